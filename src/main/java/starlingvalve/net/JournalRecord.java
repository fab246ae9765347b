package starlingvalve.net;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * Encodes the records of the journal. A record consists of its length and checksum, then the type, the number of the
 * message (0 for a record of no message) and the parts that the type needs.
 */
final class JournalRecord {
    /** A message was accepted. */
    static final int ACCEPTED = 1;
    /** An attempt was started, so it may have run. */
    static final int STARTED_ATTEMPT = 2;
    /** An attempt with an earlier record never ran. */
    static final int NEVER_RAN = 3;
    /** A message has ended with a notice, which is not acknowledged yet. */
    static final int NOTICE_PENDING = 4;
    /** Nothing more is due for a message. */
    static final int ENDED = 5;
    /** Operators drain this sender, or end the drain. */
    static final int DRAINED = 6;
    /** Operators put an endpoint in maintenance, or back in service. */
    static final int IN_MAINTENANCE = 7;
    /** An attempt that has not started: it never ran, unless {@link #ATTEMPT_STARTED} follows. */
    static final int UNSTARTED_ATTEMPT = 8;
    /** An attempt recorded as {@link #UNSTARTED_ATTEMPT} has started since, so it may have run. */
    static final int ATTEMPT_STARTED = 9;
    /** How a message has ended, in addition to {@link #ENDED}; versions that don't know this type skip it. */
    static final int FINISHED = 10;
    /** The base of the clock of all times in the records; versions that don't know this type skip it. */
    static final int CLOCK = 11;
    /** An endpoint takes no new work, or does so again; versions that don't know this type skip it. */
    static final int WITHDRAWN = 12;
    /** Bytes before each record's type: the length (an int) and the checksum (a long). */
    static final int PREFIX_BYTES = 12;
    private static final int INITIAL_BUFFER_BYTES = 128;

    /** Writes the parts of a record that depend on its type. */
    private interface BodyWriter {
        void write(DataOutputStream out) throws IOException;
    }

    private JournalRecord() {
    }

    static long checksum(byte[] bytes, int offset, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, offset, length);
        return crc.getValue();
    }

    static byte[] accepted(AcceptedMessage message) {
        return record(ACCEPTED, message.number, out -> {
            out.writeUTF(message.id);
            out.writeUTF(message.messageClass);
            out.writeUTF(message.tenant);
            out.writeBoolean(message.idempotencyKey.isPresent());
            out.writeUTF(message.idempotencyKey.orElse(""));
            out.writeLong(message.destination);
            out.writeLong(message.deadlineMs);
            out.writeInt(message.body.length);
            out.write(message.body);
            out.writeUTF(message.orderingKey.orElse(""));
        });
    }

    /** Encodes an attempt, as started or not started. */
    static byte[] attempt(AcceptedMessage message, AcceptedMessage.Attempt attempt, boolean started) {
        return record(started ? STARTED_ATTEMPT : UNSTARTED_ATTEMPT, message.number, out -> {
            out.writeUTF(attempt.endpoint);
            out.writeLong(attempt.sentAtMs);
        });
    }

    /** Encodes what became of an attempt that has a record; {@code attempt} is its index. */
    static byte[] attemptMark(int type, AcceptedMessage message, int attempt) {
        return record(type, message.number, out -> out.writeInt(attempt));
    }

    static byte[] noticePending(AcceptedMessage message, AcceptedMessage.Notice notice) {
        return record(NOTICE_PENDING, message.number, out -> {
            out.writeBoolean(notice.bounced());
            out.writeDouble(notice.waitMs());
        });
    }

    static byte[] ended(AcceptedMessage message) {
        return record(ENDED, message.number, out -> { });
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
        return endpointMark(IN_MAINTENANCE, endpoint, on);
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

    private static byte[] record(int type, long number, BodyWriter bodyWriter) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeInt(0);
            out.writeLong(0);
            out.writeByte(type);
            out.writeLong(number);
            bodyWriter.write(out);
            byte[] record = bytes.toByteArray();
            ByteBuffer.wrap(record).putInt(record.length - PREFIX_BYTES)
                    .putLong(checksum(record, PREFIX_BYTES, record.length - PREFIX_BYTES));
            return record;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
