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
 * The program as a process of its own, under a limit of the system for its descriptors: more idle clients than it
 * may hold come while discovery is silent, and keep coming.
 */
class CrowdTest {
    /** A client gives up after so long: it was neither answered nor closed. */
    private static final int PATIENCE_MS = 10_000;
    private static final double DISK_MB = 0.05;
    private static final int BODY_BYTES = 4000;
    /** More than the highest limit of descriptors, so the sender can't hold so many. */
    private static final int MOST_OPEN_CLIENTS = 512;
    /** Far more messages than the journal holds bytes for. */
    private static final int MOST_MESSAGES = 60;

    @TempDir
    private Path folder;
    private final Deque<Socket> clients = new ArrayDeque<>();
    private SwitchableDiscovery discovery;
    private SenderProcess sender;

    @BeforeEach
    void open() throws Exception {
        discovery = new SwitchableDiscovery();
    }

    /** The clients go first: the JDK kills a process only if it can open that process's entry in the file system. */
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

    /** So many more clients come, ask one thing each, and keep their connections; some may be shut unread. */
    private void crowd(int more) {
        for (int i = 0; i < more; i++) {
            try {
                ask(sender.address(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
                dropClosedByTheSender();
            } catch (ConnectException e) {
                throw new AssertionError("nobody listens", e);
            } catch (SocketException shut) {
                // Which a new client may be.
            } catch (IOException e) {
                throw new AssertionError("neither answered nor shut", e);
            }
        }
    }

    /**
     * Gives up the oldest connections beyond those that the sender can still hold. It must have closed them by
     * itself; kept open on this side, they would use up the descriptors of the test.
     */
    private void dropClosedByTheSender() throws IOException {
        while (clients.size() > MOST_OPEN_CLIENTS) {
            try (Socket oldest = clients.removeFirst()) {
                assertEquals(-1, oldest.getInputStream().read(), "not closed for newer clients");
            } catch (SocketException reset) {
                // Closed over bytes that it had not read.
            }
        }
    }

    private StubServer.Message ask(InetSocketAddress where, String text) throws IOException {
        Socket socket = new Socket(where.getAddress(), where.getPort());
        clients.add(socket);
        socket.setSoTimeout(PATIENCE_MS);
        StubServer.write(socket, text);
        return StubServer.read(new BufferedInputStream(socket.getInputStream()), 0);
    }

    private int agentConnections() {
        return discovery.agent.requests.stream().mapToInt(StubServer.Message::connection).max().orElse(-1) + 1;
    }

    private long journalFile() throws IOException {
        return (long) Files.getAttribute(sender.stateFolder().resolve("journal"), "unix:ino");
    }

    /** Hands in a message and waits until it has arrived. */
    private void deliver(int number) throws Exception {
        int before = discovery.endpoint.requests.size();
        StubServer.Message answer = ask(sender.address(), TestConfig.message("m" + number, "x".repeat(BODY_BYTES)));
        assertEquals("HTTP/1.1 202 Accepted", answer.line());
        StubServer.await("message " + number + " is delivered", () -> discovery.endpoint.requests.size() > before);
    }

    private void deliverUntilTheJournalIsCompacted() throws Exception {
        long begun = journalFile();
        for (int i = 0; i < MOST_MESSAGES; i++) {
            deliver(i);
            if (journalFile() != begun) {
                return;
            }
        }
        throw new AssertionError("the journal was never compacted");
    }

    /** The least limit that the platform grants, and one at which the JVM's own files nearly fill it. */
    @ParameterizedTest
    @ValueSource(ints = {256, 56})
    void discoveryCallsTheJournalAndOperatorsStillGetTheirs(int limit) throws Exception {
        start(limit);
        StubServer.await("discovery is asked", () -> agentConnections() > 0);
        int connections = agentConnections();
        crowd(2 * limit);
        StubServer.await("silent discovery is asked on a new connection", () -> {
            crowd(limit / 4);
            return agentConnections() > connections;
        });
        discovery.up = true;
        StubServer.await("its list is read", () -> {
            crowd(limit / 4);
            return discovery.agent.requests.stream().anyMatch(r -> r.line().contains("after=1&"));
        });
        crowd(limit);
        deliverUntilTheJournalIsCompacted();
        assertEquals("HTTP/1.1 200 OK", ask(sender.operatorsAddress(), "GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n").line());
        assertTrue(sender.isAlive());
        assertFalse(sender.log().contains("Too many open files"), sender.log());
    }
}
