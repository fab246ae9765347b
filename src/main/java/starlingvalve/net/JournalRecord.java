package starlingvalve.net;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * The records of the journal as bytes: length and checksum, then a type, the number of a message (0 where there is
 * none) and what the type needs.
 */
final class JournalRecord {
    static final int TAKEN = 1;
    static final int ATTEMPT = 2;
    static final int NEVER_RAN = 3;
    static final int OWED = 4;
    static final int ENDED = 5;
    static final int DRAINED = 6;
    static final int MAINTAINED = 7;
    /** An attempt that never ran, unless it has begun since. */
    static final int UNBEGUN = 8;
    static final int BEGUN = 9;
    /** How a message has ended, beside ENDED: versions that don't know it pass it over. */
    static final int FINISHED = 10;
    /** The zero of the clock by which all times of the records are kept; versions that don't know it pass it over. */
    static final int CLOCK = 11;
    /** An endpoint takes no new work, or does again; versions that don't know it pass it over. */
    static final int WITHDRAWN = 12;
    /** Length and checksum. */
    static final int HEAD = 12;
    private static final int USUAL_LENGTH = 128;

    private interface Body {
        void write(DataOutputStream out) throws IOException;
    }

    private JournalRecord() {
    }

    static long checksum(byte[] bytes, int from, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, from, length);
        return crc.getValue();
    }

    static byte[] accepted(AcceptedMessage held) {
        return record(TAKEN, held.number, out -> {
            out.writeUTF(held.id);
            out.writeUTF(held.messageClass);
            out.writeUTF(held.tenant);
            out.writeBoolean(held.key.isPresent());
            out.writeUTF(held.key.orElse(""));
            out.writeLong(held.destination);
            out.writeLong(held.deadlineMs);
            out.writeInt(held.body.length);
            out.write(held.body);
            out.writeUTF(held.thread.orElse(""));
        });
    }

    /** An attempt, as one that has begun or not. */
    static byte[] attempt(AcceptedMessage held, AcceptedMessage.Attempt attempt, boolean begun) {
        return record(begun ? ATTEMPT : UNBEGUN, held.number, out -> {
            out.writeUTF(attempt.endpoint);
            out.writeLong(attempt.sentAtMs);
        });
    }

    /** What became of an attempt that has a record. */
    static byte[] mark(int type, AcceptedMessage held, int attempt) {
        return record(type, held.number, out -> out.writeInt(attempt));
    }

    static byte[] owed(AcceptedMessage held, AcceptedMessage.Notice notice) {
        return record(OWED, held.number, out -> {
            out.writeBoolean(notice.bounced());
            out.writeDouble(notice.waitMs());
        });
    }

    static byte[] ended(AcceptedMessage held) {
        return record(ENDED, held.number, out -> { });
    }

    static byte[] finished(FinishedMessage message) {
        return record(FINISHED, 0, out -> {
            out.writeUTF(message.id());
            out.writeByte(message.result().ordinal());
            out.writeDouble(message.waitMs());
            out.writeLong(message.expiresAtMs());
        });
    }

    static byte[] clock(SteadyClock.Base base) {
        return record(CLOCK, 0, out -> {
            out.writeUTF(base.bootId());
            out.writeLong(base.monotonicMs());
            out.writeLong(base.steadyMs());
        });
    }

    static byte[] drained(boolean on) {
        return record(DRAINED, 0, out -> out.writeBoolean(on));
    }

    static byte[] inMaintenance(String endpoint, boolean on) {
        return endpointMark(MAINTAINED, endpoint, on);
    }

    static byte[] withdrawn(String endpoint, boolean on) {
        return endpointMark(WITHDRAWN, endpoint, on);
    }

    private static byte[] endpointMark(int type, String endpoint, boolean on) {
        return record(type, 0, out -> {
            out.writeUTF(endpoint);
            out.writeBoolean(on);
        });
    }

    private static byte[] record(int type, long number, Body body) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream(USUAL_LENGTH);
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeInt(0);
            out.writeLong(0);
            out.writeByte(type);
            out.writeLong(number);
            body.write(out);
            byte[] record = bytes.toByteArray();
            ByteBuffer.wrap(record).putInt(record.length - HEAD)
                    .putLong(checksum(record, HEAD, record.length - HEAD));
            return record;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
