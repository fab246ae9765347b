package starlingvalve.net;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The bytes of the journal: a file that is appended to, and now and then replaced by a shorter copy, on a disk that may
 * refuse writes for a while.
 *
 * <p>{@link #append} throws if its bytes could not be written. If they stand for something that has happened already,
 * {@link #defer} keeps them, and they are written before anything else once the disk takes writes again. So the file
 * always holds a prefix of what happened. A write that failed half way leaves no bytes behind which later ones would be
 * lost: they are cut off first.
 */
final class JournalFile implements AutoCloseable {
    /** The system calls that may fail; tests put their own in place. */
    interface Disk {
        /** The disk as it is. */
        Disk REAL = new Disk() {
        };

        /** Writes at a position, perhaps only part of what is left; returns how much. */
        default int write(FileChannel to, ByteBuffer bytes, long position) throws IOException {
            return to.write(bytes, position);
        }

        /** Cuts off what is behind this length. */
        default void truncate(FileChannel file, long length) throws IOException {
            file.truncate(length);
        }
    }

    private final Path file;
    private final Path next;
    private final Disk disk;
    private final Deque<byte[]> unwritten = new ArrayDeque<>();
    private FileChannel channel;
    private long size;
    /** Bytes of a write that failed may stand behind the end. */
    private boolean tornTail;
    private Optional<Object> keyAtClose = Optional.empty();

    JournalFile(Path file, Path next, Disk disk) throws IOException {
        this.file = file;
        this.next = next;
        this.disk = disk;
        deleteNext();
        channel = open();
    }

    private FileChannel open() throws IOException {
        return FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    /** A copy that the process did not live to finish still takes up room. */
    private void deleteNext() {
        try {
            Files.deleteIfExists(next);
        } catch (IOException e) {
            Log.line("an unfinished copy of the journal is left: " + e.getMessage());
        }
    }

    /** All bytes of the file, also behind its end. */
    byte[] read() throws IOException {
        return Files.readAllBytes(file);
    }

    /** The file ends here: whatever is behind belongs to a record that was not written whole. */
    void truncateTo(long length) {
        size = length;
        cutTail();
    }

    /** Bytes up to the end. */
    long size() {
        return size;
    }

    /** Bytes that have happened and are not in the file yet. */
    long unwrittenBytes() {
        return unwritten.stream().mapToLong(bytes -> bytes.length).sum();
    }

    /** Writes what is about to happen, behind all that has; throws if it could not, and then none of it counts. */
    void append(byte[] bytes) throws IOException {
        writeDeferred();
        write(bytes);
    }

    /** Keeps what has happened and could not be written, until it can. */
    void defer(byte[] bytes, IOException cause) {
        if (unwritten.isEmpty()) {
            Log.line("the journal can't be written, what happens is kept until it can: " + cause.getMessage());
        }
        unwritten.add(bytes);
    }

    /** The same for records that another process could not write, which may be none. */
    void defer(byte[] bytes) {
        if (bytes.length > 0) {
            unwritten.add(bytes);
        }
    }

    /** All that has happened and is not in the file. */
    byte[] unwritten() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        unwritten.forEach(bytes::writeBytes);
        return bytes.toByteArray();
    }

    /** Writes what could not be written before; throws if some of it still can't. */
    void writeDeferred() throws IOException {
        if (tornTail) {
            disk.truncate(channel, size);
            tornTail = false;
        }
        boolean behind = !unwritten.isEmpty();
        while (!unwritten.isEmpty()) {
            write(unwritten.peek());
            unwritten.remove();
        }
        if (behind) {
            Log.line("the journal is written again, and holds all that has happened");
        }
    }

    /** The file has these bytes from now on, which stand for all that has happened; or throws, and is as before. */
    void replace(byte[] bytes) throws IOException {
        FileChannel fresh = FileChannel.open(next, StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);
        try {
            writeAll(fresh, bytes, 0);
            Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            fresh.close();
            deleteNext();
            throw e;
        }
        FileChannel replaced = channel;
        channel = fresh;
        size = bytes.length;
        tornTail = false;
        unwritten.clear();
        close(replaced);
    }

    private void write(byte[] bytes) throws IOException {
        try {
            writeAll(channel, bytes, size);
        } catch (IOException e) {
            cutTail();
            throw e;
        }
        size += bytes.length;
    }

    private void writeAll(FileChannel to, byte[] bytes, long position) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.hasRemaining()) {
            disk.write(to, buffer, position + buffer.position());
        }
    }

    private void cutTail() {
        tornTail = true;
        try {
            disk.truncate(channel, size);
            tornTail = false;
        } catch (IOException e) {
            Log.line("a record that was written in part can't be cut off yet: " + e.getMessage());
        }
    }

    /** Lets go of the file. */
    @Override
    public void close() {
        keyAtClose = fileKey();
        close(channel);
    }

    /** Takes the file up again after {@link #close}; false if another process has written it, or that can't be known. */
    boolean reopenUnchanged() {
        try {
            boolean unchanged = !tornTail && keyAtClose.isPresent() && keyAtClose.equals(fileKey())
                    && Files.size(file) == size;
            if (unchanged) {
                channel = open();
            }
            return unchanged;
        } catch (IOException e) {
            return false;
        }
    }

    /** Tells a file from another one that has taken its place. */
    private Optional<Object> fileKey() {
        try {
            return Optional.ofNullable(Files.readAttributes(file, BasicFileAttributes.class).fileKey());
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static void close(FileChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            Log.line("closing the journal: " + e.getMessage());
        }
    }
}
