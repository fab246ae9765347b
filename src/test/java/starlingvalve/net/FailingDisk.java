package starlingvalve.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

/** A disk whose writes and truncations fail as the test sets. */
final class FailingDisk implements JournalFile.Disk {
    /** Bytes that can still be written: a write of more than that writes so many of its bytes and then fails. */
    long writableBytes = Long.MAX_VALUE;
    boolean truncateSucceeds = true;

    /** Lets all writes and truncations succeed again. */
    void repair() {
        writableBytes = Long.MAX_VALUE;
        truncateSucceeds = true;
    }

    @Override
    public int write(FileChannel channel, ByteBuffer bytes, long position) throws IOException {
        if (bytes.remaining() <= writableBytes) {
            writableBytes -= bytes.remaining();
            return channel.write(bytes, position);
        }
        ByteBuffer part = bytes.duplicate();
        part.limit(part.position() + (int) writableBytes);
        writableBytes = 0;
        while (part.hasRemaining()) {
            channel.write(part, position + part.position() - bytes.position());
        }
        throw new IOException("No space left on device");
    }

    @Override
    public void truncate(FileChannel file, long length) throws IOException {
        if (!truncateSucceeds) {
            throw new IOException("Input/output error");
        }
        file.truncate(length);
    }
}
