package starlingvalve.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** The listening sockets of this machine, by the kernel's tables. */
final class ListeningSockets {
    /** The state of a listening socket in the kernel's table. */
    private static final String LISTEN_STATE = "0A";

    private ListeningSockets() {
    }

    /**
     * Waits until one process alone listens at a port. Before that a new connection may reach the old process of an
     * upgrade, which may reset it while it closes its listener.
     */
    static void awaitSingle(int port) throws InterruptedException {
        StubServer.await("only the successor listens", () -> count(port) == 1);
    }

    /** Number of sockets that listen at a port, of IPv4 and IPv6. */
    private static long count(int port) {
        return Stream.of("/proc/net/tcp", "/proc/net/tcp6").flatMap(ListeningSockets::lines)
                .map(line -> line.split("\\s+"))
                .filter(fields -> fields[2].endsWith(String.format(":%04X", port)) && fields[4].equals(LISTEN_STATE))
                .count();
    }

    private static Stream<String> lines(String file) {
        try {
            return Files.readAllLines(Path.of(file)).stream();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
