package starlingvalve.net;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;

/**
 * The token of who owns the journal, and with it the module: a lock on an empty file beside it, which the system
 * drops however the process ends. The journal itself can't carry it, as a compacted copy takes its place.
 */
final class StateLock implements AutoCloseable {
    private final FileChannel channel;

    private StateLock(FileChannel channel) {
        this.channel = channel;
    }

    /** Takes the lock, or nothing if another process has it. */
    static Optional<StateLock> take(Path folder) throws IOException {
        FileChannel channel = FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE,
                StandardOpenOption.WRITE);
        try {
            FileLock lock = channel.tryLock();
            if (lock != null) {
                return Optional.of(new StateLock(channel));
            }
        } catch (OverlappingFileLockException heldHere) {
            // Another owner in this process is another owner all the same.
        } catch (IOException e) {
            channel.close();
            throw e;
        }
        channel.close();
        return Optional.empty();
    }

    /** Lets go of it. */
    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            Log.line("letting go of the lock: " + e.getMessage());
        }
    }
}
