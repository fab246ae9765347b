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
 * The file of the journal. Bytes are appended to it, and from time to time a shorter copy replaces it. Writes to the
 * disk may fail for a while.
 *
 * <p>{@link #append} throws if its bytes could not be written. If these bytes record something that has happened
 * already, {@link #defer} keeps them, and they are written before any others once writes succeed again. So the file
 * always holds a prefix of what has happened. A write that fails half way leaves a torn record, which would hide all
 * records after it: it is cut off before anything else is written.
 */
final class JournalFile implements AutoCloseable {
    /** The system calls that may fail; tests replace them. */
    interface Disk {
        /** The real disk. */
        Disk REAL = new Disk() {
        };

        /** Writes at a position, possibly only some of the remaining bytes; returns how many. */
        default int write(FileChannel to, ByteBuffer bytes, long position) throws IOException {
            return to.write(bytes, position);
        }

        /** Cuts off all bytes after this length. */
        default void truncate(FileChannel file, long length) throws IOException {
            file.truncate(length);
        }
    }

    private final Path file;
    private final Path nextFile;
    private final Disk disk;
    private final Deque<byte[]> unwritten = new ArrayDeque<>();
    private FileChannel channel;
    private long size;
    /** Whether bytes of a failed write may follow the valid end of the file, {@link #size}. */
    private boolean hasTornTail;
    private Optional<Object> fileKeyAtClose = Optional.empty();

    JournalFile(Path file, Path nextFile, Disk disk) throws IOException {
        this.file = file;
        this.nextFile = nextFile;
        this.disk = disk;
        deleteNext();
        channel = open();
    }

    private FileChannel open() throws IOException {
        return FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    /** Deletes a copy that an earlier process or a failed {@link #replace} left unfinished: it takes up disk space. */
    private void deleteNext() {
        try {
            Files.deleteIfExists(nextFile);
        } catch (IOException e) {
            Log.line("an unfinished copy of the journal can't be deleted: " + e.getMessage());
        }
    }

    /** Returns all bytes of the file, also those after its valid end. */
    byte[] read() throws IOException {
        return Files.readAllBytes(file);
    }

    /** Sets the valid end of the file and cuts off the bytes after it, which belong to a partly written record. */
    void truncateTo(long length) {
        size = length;
        truncateTail();
    }

    /** Returns the length of the file up to its valid end. */
    long size() {
        return size;
    }

    /** Returns the number of deferred bytes, which are not in the file yet. */
    long unwrittenBytes() {
        return unwritten.stream().mapToLong(bytes -> bytes.length).sum();
    }

    /** Writes bytes after all deferred ones; if this throws, none of {@code bytes} are in the file. */
    void append(byte[] bytes) throws IOException {
        writeDeferred();
        write(bytes);
    }

    /** Keeps bytes that record what has happened and that could not be written, until they can be. */
    void defer(byte[] bytes, IOException cause) {
        if (unwritten.isEmpty()) {
            Log.line("the journal can't be written, what happens is kept until it can: " + cause.getMessage());
        }
        unwritten.add(bytes);
    }

    /** Keeps bytes that another process could not write, possibly none, until they can be written. */
    void defer(byte[] bytes) {
        if (bytes.length > 0) {
            unwritten.add(bytes);
        }
    }

    /** Returns all deferred bytes. */
    byte[] unwritten() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        unwritten.forEach(bytes::writeBytes);
        return bytes.toByteArray();
    }

    /** Cuts off a torn record and writes the deferred bytes; throws if some of them still can't be written. */
    void writeDeferred() throws IOException {
        if (hasTornTail) {
            disk.truncate(channel, size);
            hasTornTail = false;
        }
        boolean hadUnwritten = !unwritten.isEmpty();
        while (!unwritten.isEmpty()) {
            write(unwritten.peek());
            unwritten.remove();
        }
        if (hadUnwritten) {
            Log.line("the journal is written again, and holds all that has happened");
        }
    }

    /**
     * Replaces the file by one with these bytes, which must cover the deferred ones too. If this throws, the file is as
     * before.
     */
    void replace(byte[] bytes) throws IOException {
        FileChannel nextChannel = FileChannel.open(nextFile, StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);
        try {
            writeAll(nextChannel, bytes, 0);
            Files.move(nextFile, file, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            nextChannel.close();
            deleteNext();
            throw e;
        }
        FileChannel oldChannel = channel;
        channel = nextChannel;
        size = bytes.length;
        hasTornTail = false;
        unwritten.clear();
        close(oldChannel);
    }

    private void write(byte[] bytes) throws IOException {
        try {
            writeAll(channel, bytes, size);
        } catch (IOException e) {
            truncateTail();
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

    private void truncateTail() {
        hasTornTail = true;
        try {
            disk.truncate(channel, size);
            hasTornTail = false;
        } catch (IOException e) {
            Log.line("a partly written record can't be cut off yet: " + e.getMessage());
        }
    }

    /** Closes the file, and remembers its identity for {@link #reopenUnchanged}. */
    @Override
    public void close() {
        fileKeyAtClose = fileKey();
        close(channel);
    }

    /**
     * Opens the file again after {@link #close}; returns false, and leaves it closed, if another process has written it
     * or this can't be ruled out.
     */
    boolean reopenUnchanged() {
        try {
            boolean unchanged = !hasTornTail && fileKeyAtClose.isPresent() && fileKeyAtClose.equals(fileKey())
                    && Files.size(file) == size;
            if (unchanged) {
                channel = open();
            }
            return unchanged;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns what distinguishes the file from another one that has replaced it. */
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
            Log.line("the journal can't be closed: " + e.getMessage());
        }
    }
}
