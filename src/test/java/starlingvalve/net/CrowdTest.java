package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs the program as a separate process with a limited number of file descriptors. More idle clients than it can hold
 * connect while discovery does not answer, and further ones keep connecting.
 */
class CrowdTest {
    /** Time after which a client fails the test, as it was neither answered nor closed. */
    private static final int CLIENT_TIMEOUT_MS = 10_000;
    private static final double DISK_MB = 0.05;
    private static final int BODY_BYTES = 4000;
    /** More than the highest limit of file descriptors, so the sender can't hold so many. */
    private static final int MAX_OPEN_CLIENTS = 512;
    /** Far more messages than fit into the journal's size limit. */
    private static final int MAX_MESSAGES = 60;

    @TempDir
    private Path folder;
    private final Deque<Socket> clients = new ArrayDeque<>();
    private SwitchableDiscovery discovery;
    private SenderProcess sender;

    @BeforeEach
    void open() throws Exception {
        discovery = new SwitchableDiscovery();
    }

    /** Closes the clients first: to kill a process, the JDK must be able to open its entry in the file system. */
    @AfterEach
    void close() throws Exception {
        for (Socket client : clients) {
            client.close();
        }
        if (sender != null) {
            sender.close();
        }
        discovery.close();
    }

    private void start(int limit) throws Exception {
        Path config = new TestConfig(discovery.agent.hostPort()).sockets(limit).diskMb(DISK_MB)
                .known(TestConfig.list(discovery.endpoint)).write(folder);
        sender = new SenderProcess(folder, config).descriptorLimit(limit).start();
    }

    /** Connects more clients, each of which sends a request and keeps its connection; some may be closed unread. */
    private void connectClients(int count) {
        for (int i = 0; i < count; i++) {
            try {
                exchange(sender.address(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
                dropClosedBySender();
            } catch (ConnectException e) {
                throw new AssertionError("the sender does not listen", e);
            } catch (SocketException closed) {
                // A new client may be closed unread.
            } catch (IOException e) {
                throw new AssertionError("neither answered nor closed", e);
            }
        }
    }

    /**
     * Closes the oldest connections beyond the number that the sender can hold. The sender must have closed them
     * already; if they stayed open on this side, they would use up the file descriptors of the test.
     */
    private void dropClosedBySender() throws IOException {
        while (clients.size() > MAX_OPEN_CLIENTS) {
            try (Socket oldest = clients.removeFirst()) {
                assertEquals(-1, oldest.getInputStream().read(), "not closed for newer clients");
            } catch (SocketException reset) {
                // The sender closed it with unread input.
            }
        }
    }

    private StubServer.Message exchange(InetSocketAddress address, String text) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        clients.add(socket);
        socket.setSoTimeout(CLIENT_TIMEOUT_MS);
        StubServer.write(socket, text);
        return StubServer.read(new BufferedInputStream(socket.getInputStream()), 0);
    }

    private int agentConnections() {
        return discovery.agent.requests.stream().mapToInt(StubServer.Message::connection).max().orElse(-1) + 1;
    }

    private long journalInode() throws IOException {
        return (long) Files.getAttribute(sender.stateFolder().resolve("journal"), "unix:ino");
    }

    /** Submits a message and waits until an endpoint has received it. */
    private void deliver(int number) throws Exception {
        int before = discovery.endpoint.requests.size();
        StubServer.Message answer =
                exchange(sender.address(), TestConfig.message("m" + number, "x".repeat(BODY_BYTES)));
        assertEquals("HTTP/1.1 202 Accepted", answer.line());
        StubServer.await("message " + number + " is delivered", () -> discovery.endpoint.requests.size() > before);
    }

    private void deliverUntilTheJournalIsCompacted() throws Exception {
        long inodeAtStart = journalInode();
        for (int i = 0; i < MAX_MESSAGES; i++) {
            deliver(i);
            if (journalInode() != inodeAtStart) {
                return;
            }
        }
        throw new AssertionError("the journal was never compacted");
    }

    /** The lowest limit that the platform grants, and one that the JVM's own files almost use up. */
    @ParameterizedTest
    @ValueSource(ints = {256, 56})
    void discoveryEndpointsJournalAndOperatorsStillGetDescriptors(int limit) throws Exception {
        start(limit);
        StubServer.await("discovery is queried", () -> agentConnections() > 0);
        int connections = agentConnections();
        connectClients(2 * limit);
        StubServer.await("silent discovery is queried on a new connection", () -> {
            connectClients(limit / 4);
            return agentConnections() > connections;
        });
        discovery.up = true;
        StubServer.await("the list of discovery is read", () -> {
            connectClients(limit / 4);
            return discovery.agent.requests.stream().anyMatch(r -> r.line().contains("after=1&"));
        });
        connectClients(limit);
        deliverUntilTheJournalIsCompacted();
        assertEquals("HTTP/1.1 200 OK",
                exchange(sender.operatorsAddress(), "GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n").line());
        assertTrue(sender.isAlive());
        assertFalse(sender.log().contains("Too many open files"), sender.log());
    }
}
