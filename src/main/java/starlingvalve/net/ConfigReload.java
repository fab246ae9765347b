package starlingvalve.net;

import java.io.IOException;
import java.nio.file.FileSystemException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import starlingvalve.InvalidInputException;

/** Reads a configuration that was replaced while the sender runs. */
final class ConfigReload {
    /**
     * Limit on reads of a file without a valid address; all of them must fit in the 4 s in which SIGHUP has to take
     * effect.
     */
    private static final int MAX_READS = 20;
    /** Limit on attempts to open the file; it is high, since discovery's previous address will not answer again. */
    private static final int MAX_OPEN_ATTEMPTS = 600;
    private static final long RETRY_MS = 100;

    private ConfigReload() {
    }

    /**
     * Reads discovery's address from the new configuration. A file that is just being replaced may be incomplete or
     * missing: it is read again for about 2 s if its content is invalid, and for a minute if it can't be opened.
     *
     * @throws InvalidInputException if the last read still finds no valid address
     * @throws IOException if the last attempt to read the file fails too
     */
    static DiscoveryAddress.Reading readDiscovery(Path file)
            throws InvalidInputException, IOException, InterruptedException {
        for (int attempts = 1; ; attempts++) {
            try {
                return Config.readDiscovery(file);
            } catch (InvalidInputException | IOException | IllegalArgumentException e) {
                if (attempts >= (e instanceof FileSystemException ? MAX_OPEN_ATTEMPTS : MAX_READS)) {
                    throw e;
                }
                if (attempts == 1) {
                    Log.line("the new configuration can't be read yet: " + e.getMessage());
                }
            }
            TimeUnit.MILLISECONDS.sleep(RETRY_MS);
        }
    }
}
