package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * A reload of the configuration, as by SIGHUP, moves discovery while a successor process takes over. Whichever of the
 * two processes reloads it, and at whichever moment, the one that serves must use the new address.
 */
class UpgradeReloadTest extends SenderFixture {
    private static final long LIMIT_SECONDS = 30;

    private final List<StubServer> formerAgents = new ArrayList<>();
    private final List<Sender> predecessors = new ArrayList<>();

    @AfterEach
    void closePredecessors() throws Exception {
        for (Sender predecessor : predecessors) {
            predecessor.kill();
        }
        for (StubServer former : formerAgents) {
            former.close();
        }
    }

    /** Moves discovery to a new address and replaces the configuration file; the former address answers on. */
    private void moveDiscovery() throws Exception {
        formerAgents.add(agent);
        agent = new StubServer(this::answerAgentRequest);
        config();
    }

    /** The former address accepts no connections any more and closes the open ones. */
    private void closeFormerAddress() throws IOException {
        formerAgents.get(formerAgents.size() - 1).close();
    }

    /** Creates a successor, which has read the configuration as it is now, beside the running sender. */
    private Sender createSuccessor() throws Exception {
        predecessors.add(sender);
        listenAddress = "127.0.0.1:" + address.getPort();
        return new Sender(config(), Sender.SHUTDOWN_ACCEPT_MS, Sender.SHUTDOWN_LIMIT_MS, 0, this::interceptEvents);
    }

    private void startSuccessor(Sender successor) throws Exception {
        sender = successor;
        address = successor.start();
        ListeningSockets.awaitSingle(address.getPort());
    }

    /** Waits until the sender requests changes of the list at discovery's current address. */
    private void awaitWatchAtNewAddress() throws InterruptedException {
        StubServer.await("the new address is watched",
                () -> agent.requests.stream().anyMatch(request -> request.line().contains("after=")));
    }

    private void assertNoticeReachesPlatform() throws Exception {
        script(StubServer.status(500, ""));
        submit("failed", "once");
        awaitNotice("{\"ref\":\"failed\",\"result\":\"dead\"}");
    }

    /** The successor kept the address that it had read, and no notice reached the platform any more. */
    @Test
    void successorThatReadFormerConfigurationUsesAddressOfPredecessor() throws Exception {
        start();
        Sender successor = createSuccessor();
        moveDiscovery();
        predecessors.get(0).reconfigure();
        closeFormerAddress();
        startSuccessor(successor);
        assertNoticeReachesPlatform();
        awaitWatchAtNewAddress();
    }

    /** The successor has a list from the former address, which lacks a change that the predecessor knows. */
    @Test
    void successorUsesListThatPredecessorGotAtNewAddress() throws Exception {
        start();
        Sender successor = createSuccessor();
        moveDiscovery();
        String formerList = list();
        formerAgents.get(0).script((request, socket) -> answerList(request, socket, formerList));
        endpointStates = "DRAINING SERVING";
        String newList = list();
        agent.script((request, socket) -> answerList(request, socket, newList));
        predecessors.get(0).reconfigure();
        StubServer.await("the predecessor knows the change",
                () -> agent.requests.stream().anyMatch(request -> request.line().contains("after=")));
        agent.script(StubServer.silent());
        startSuccessor(successor);
        for (int i = 0; i < 4; i++) {
            submit("drain-" + i, "order");
        }
        awaitEmptyJournal();
        assertEquals(List.of(0, 4), endpoints.stream().map(endpoint -> endpoint.requests.size()).toList());
    }

    /** Answers a request for the full list, or one of a watch that is answered at once. */
    private static void answerList(StubServer.Message request, Socket socket, String list) throws IOException {
        boolean watch = request.line().contains("wait_ms") && !request.line().contains("wait_ms=1 ");
        if (!watch) {
            TestConfig.answer(socket, list);
        }
    }

    /** Signals in series: the process that reloaded last knows the address, whether or not it serves. */
    @Test
    void reloadOfSuccessorBeforeTakeoverIsNewerThanThatOfPredecessor() throws Exception {
        start();
        Sender successor = createSuccessor();
        moveDiscovery();
        predecessors.get(0).reconfigure();
        closeFormerAddress();
        moveDiscovery();
        successor.reconfigure();
        closeFormerAddress();
        startSuccessor(successor);
        assertNoticeReachesPlatform();
        awaitWatchAtNewAddress();
    }

    @Test
    void reloadOfPredecessorAfterTakeoverReachesSuccessor() throws Exception {
        start();
        startSuccessor(createSuccessor());
        moveDiscovery();
        predecessors.get(0).reconfigure();
        closeFormerAddress();
        awaitWatchAtNewAddress();
        assertNoticeReachesPlatform();
    }

    /** With a predecessor that is killed, a signal that it has not reported is lost; the file still tells of it. */
    @Test
    void successorRereadsConfigurationWhenPredecessorIsKilled() throws Exception {
        start();
        startSuccessor(createSuccessor());
        moveDiscovery();
        closeFormerAddress();
        predecessors.remove(0).kill();
        awaitWatchAtNewAddress();
        assertNoticeReachesPlatform();
    }

    /** While the successor starts to own, and if it fails instead, so that the predecessor serves on. */
    @Test
    void reloadDuringTakeoverReachesBothProcesses() throws Exception {
        start();
        try (SocketChannel successor = SocketChannel.open(UnixDomainSocketAddress.of(config().handover()))) {
            BufferedReader lines = new BufferedReader(Channels.newReader(successor, StandardCharsets.UTF_8));
            successor.write(ByteBuffer.wrap("{\"do\":\"handover\"}\n".getBytes(StandardCharsets.UTF_8)));
            assertEquals("state", kind(lines.readLine()));
            moveDiscovery();
            sender.reconfigure();
            JsonNode reloaded = HandoverConnection.JSON.readTree(lines.readLine());
            assertEquals(HandoverConnection.RELOADED, reloaded.path("do").asText());
            assertEquals(agent.hostPort(), reloaded.path("address").asText());
            closeFormerAddress();
        }
        awaitWatchAtNewAddress();
        assertNoticeReachesPlatform();
    }

    /** The successor may be killed before it takes over, and the signal with it. */
    @Test
    void predecessorUsesAddressThatSuccessorReports() throws Exception {
        start();
        moveDiscovery();
        closeFormerAddress();
        try (SocketChannel successor = SocketChannel.open(UnixDomainSocketAddress.of(config().handover()))) {
            InetSocketAddress newAddress = Config.address(agent.hostPort());
            String line = new DiscoveryAddress.Reading(newAddress, TimeSource.SYSTEM.monotonicMs())
                    .writeTo(HandoverConnection.line(HandoverConnection.RELOADED)) + "\n";
            successor.write(ByteBuffer.wrap(line.getBytes(StandardCharsets.UTF_8)));
        }
        awaitWatchAtNewAddress();
        assertNoticeReachesPlatform();
    }

    @Test
    void successorReportsReloadToPredecessorThatDoesNotHandOver() throws Exception {
        sender = new Sender(config(), Sender.SHUTDOWN_ACCEPT_MS, Sender.SHUTDOWN_LIMIT_MS);
        try (ScriptedPredecessor predecessor = new ScriptedPredecessor(config())) {
            CompletableFuture<InetSocketAddress> started = startInBackground();
            assertEquals("handover", kind(predecessor.nextLine()));
            moveDiscovery();
            sender.reconfigure();
            String line = predecessor.nextLine();
            while (kind(line).equals("handover")) {
                line = predecessor.nextLine();
            }
            assertEquals(HandoverConnection.RELOADED, kind(line));
            assertTrue(line.contains(agent.hostPort()), line);
            predecessor.close();
            address = started.get(LIMIT_SECONDS, TimeUnit.SECONDS);
        }
    }

    /** The predecessor is killed before it hands over, with a signal that it has not acted on. */
    @Test
    void successorRereadsConfigurationWhenPredecessorIsKilledBeforeHandover() throws Exception {
        sender = new Sender(config(), Sender.SHUTDOWN_ACCEPT_MS, Sender.SHUTDOWN_LIMIT_MS);
        try (ScriptedPredecessor predecessor = new ScriptedPredecessor(config())) {
            CompletableFuture<InetSocketAddress> started = startInBackground();
            assertEquals("handover", kind(predecessor.nextLine()));
            moveDiscovery();
            closeFormerAddress();
            predecessor.close();
            address = started.get(LIMIT_SECONDS, TimeUnit.SECONDS);
        }
        awaitWatchAtNewAddress();
        assertNoticeReachesPlatform();
    }

    private CompletableFuture<InetSocketAddress> startInBackground() {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return sender.start();
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    private static String kind(String line) throws IOException {
        return HandoverConnection.JSON.readTree(line).path("do").asText();
    }

    /** A process that owns the state folder and reads lines at the handover's socket, but never hands over. */
    private static final class ScriptedPredecessor implements AutoCloseable {
        private final StateLock lock;
        private final ServerSocketChannel server;
        private final List<SocketChannel> connections = new ArrayList<>();
        private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
        private boolean closed;

        ScriptedPredecessor(Config config) throws IOException {
            lock = StateLock.tryAcquire(config.state()).orElseThrow();
            server = ServerSocketChannel.open(StandardProtocolFamily.UNIX)
                    .bind(UnixDomainSocketAddress.of(config.handover()));
            StubServer.daemon(this::accept);
        }

        private void accept() {
            try {
                while (true) {
                    SocketChannel connection = server.accept();
                    synchronized (this) {
                        connections.add(connection);
                        if (closed) {
                            connection.close();
                        }
                    }
                    StubServer.daemon(() -> read(connection));
                }
            } catch (IOException e) {
                // Closed by the test.
            }
        }

        private void read(SocketChannel connection) {
            try (BufferedReader reader =
                    new BufferedReader(Channels.newReader(connection, StandardCharsets.UTF_8))) {
                for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                    lines.add(line);
                }
            } catch (IOException e) {
                // Closed by the test.
            }
        }

        String nextLine() throws InterruptedException {
            String line = lines.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
            assertTrue(line != null, "no line from the successor");
            return line;
        }

        /** Ends like a killed process: its lock is released and its connections are closed. */
        @Override
        public synchronized void close() throws IOException {
            if (!closed) {
                closed = true;
                lock.close();
                server.close();
                for (SocketChannel connection : connections) {
                    connection.close();
                }
            }
        }
    }
}
