package starlingvalve.net;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;

/**
 * The lock of the process that owns the journal, and with it the delivery policy. It is a file lock on an empty file
 * beside the journal, which the operating system releases however the process ends. The journal itself can't be locked,
 * since a compacted copy replaces it.
 */
final class StateLock implements AutoCloseable {
    private final FileChannel channel;

    private StateLock(FileChannel channel) {
        this.channel = channel;
    }

    /** Acquires the lock; returns nothing if another owner has it, in this process or another one. */
    static Optional<StateLock> tryAcquire(Path folder) throws IOException {
        FileChannel channel = FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE,
                StandardOpenOption.WRITE);
        try {
            FileLock lock = channel.tryLock();
            if (lock != null) {
                return Optional.of(new StateLock(channel));
            }
        } catch (OverlappingFileLockException heldInThisProcess) {
            // An owner in this process is treated like one in another process.
        } catch (IOException e) {
            channel.close();
            throw e;
        }
        channel.close();
        return Optional.empty();
    }

    /** Releases the lock. */
    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            Log.line("the lock of the state folder can't be released: " + e.getMessage());
        }
    }
}
