package starlingvalve.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

/** A disk that fails as a test says. */
final class FailingDisk implements JournalFile.Disk {
    /** Bytes that writes still take; the one that takes more writes so many of them, and fails. */
    long writableBytes = Long.MAX_VALUE;
    boolean truncateSucceeds = true;

    /** All works again. */
    void repair() {
        writableBytes = Long.MAX_VALUE;
        truncateSucceeds = true;
    }

    @Override
    public int write(FileChannel to, ByteBuffer bytes, long position) throws IOException {
        if (bytes.remaining() <= writableBytes) {
            writableBytes -= bytes.remaining();
            return to.write(bytes, position);
        }
        ByteBuffer part = bytes.duplicate();
        part.limit(part.position() + (int) writableBytes);
        writableBytes = 0;
        while (part.hasRemaining()) {
            to.write(part, position + part.position() - bytes.position());
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
