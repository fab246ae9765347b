package starlingvalve.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.FileSystemException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import starlingvalve.InvalidInputException;

/** Reads a configuration that was replaced while the sender runs. */
final class ConfigReload {
    /** A file that says something else is read again so often, within the 4 s that SIGHUP leaves. */
    private static final int MOST_READS = 20;
    /** One that can't be opened is tried so often: the old address will not answer again. */
    private static final int MOST_OPENS = 600;
    private static final long RETRY_MS = 100;

    private ConfigReload() {
    }

    /**
     * Where the new configuration puts discovery. A file that is just being replaced may be there in part only, or not
     * at all: it is read again for a while, and for a minute if the system refuses to open it.
     *
     * @throws InvalidInputException if the file says something else than an address to the last
     * @throws IOException if the file can't be read to the last
     */
    static InetSocketAddress readDiscovery(Map<String, String> env)
            throws InvalidInputException, IOException, InterruptedException {
        for (int reads = 1; ; reads++) {
            try {
                return Config.discovery(env);
            } catch (InvalidInputException | IOException | IllegalArgumentException e) {
                if (reads >= (e instanceof FileSystemException ? MOST_OPENS : MOST_READS)) {
                    throw e;
                }
                if (reads == 1) {
                    Log.line("the new configuration can't be read yet: " + e.getMessage());
                }
            }
            TimeUnit.MILLISECONDS.sleep(RETRY_MS);
        }
    }
}
