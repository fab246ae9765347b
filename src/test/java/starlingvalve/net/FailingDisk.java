package starlingvalve.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

/** A disk that fails as a test says. */
final class FailingDisk implements JournalFile.Disk {
    /** Bytes that writes still take; the one that takes more writes so many of them, and fails. */
    long room = Long.MAX_VALUE;
    boolean truncates = true;

    /** All works again. */
    void mend() {
        room = Long.MAX_VALUE;
        truncates = true;
    }

    @Override
    public int write(FileChannel to, ByteBuffer bytes, long position) throws IOException {
        if (bytes.remaining() <= room) {
            room -= bytes.remaining();
            return to.write(bytes, position);
        }
        ByteBuffer part = bytes.duplicate();
        part.limit(part.position() + (int) room);
        room = 0;
        while (part.hasRemaining()) {
            to.write(part, position + part.position() - bytes.position());
        }
        throw new IOException("No space left on device");
    }

    @Override
    public void truncate(FileChannel file, long length) throws IOException {
        if (!truncates) {
            throw new IOException("Input/output error");
        }
        file.truncate(length);
    }
}
