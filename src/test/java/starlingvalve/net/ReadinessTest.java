package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests what a starting sender waits for before it reports that it is ready, and what it doesn't wait for. */
class ReadinessTest {
    private static final double DISK_MB = 8;
    private static final int MESSAGES = 500;
    private static final int BODY_BYTES = 4000;

    @TempDir
    private Path folder;
    private SwitchableDiscovery discovery;
    private Sender sender;
    private InetSocketAddress address;

    @BeforeEach
    void open() throws Exception {
        discovery = new SwitchableDiscovery();
        Files.createDirectory(folder.resolve("state"));
    }

    @AfterEach
    void close() throws Exception {
        if (sender != null) {
            sender.kill();
        }
        discovery.close();
    }

    private TestConfig settings() {
        return new TestConfig(discovery.agent.hostPort()).diskMb(DISK_MB);
    }

    /** The settings of a sender that knows an endpoint list at its start. */
    private TestConfig settingsWithKnownList() {
        return settings().known(TestConfig.list(discovery.endpoint));
    }

    private Config read(TestConfig config) throws Exception {
        return Config.read(Map.of("GW_CONFIG", config.write(folder).toString(),
                "GW_STATE", folder.resolve("state").toString(), "TMPDIR", folder.toString()));
    }

    private void start(TestConfig config) throws Exception {
        sender = new Sender(read(config), Sender.SHUTDOWN_ACCEPT_MS, Sender.SHUTDOWN_LIMIT_MS);
        address = sender.start();
    }

    private String health() throws IOException {
        return ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    }

    private String ask(String request) throws IOException {
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            StubServer.write(client, request);
            return StubServer.read(new BufferedInputStream(client.getInputStream()), 0).line().split(" ")[1];
        }
    }

    /** Writes a journal with accepted messages, as a previous process run would have left it. */
    private void writeJournal() throws IOException {
        try (Journal journal = new Journal(folder.resolve("state"), (long) (DISK_MB * 1_000_000), 12)) {
            for (int i = 0; i < MESSAGES; i++) {
                journal.accepted(new AcceptedMessage(journal.nextNumber(), "old" + i, "order", "acme",
                        Optional.of("key" + i), Optional.empty(), 7, System.currentTimeMillis() + 20_000,
                        new byte[BODY_BYTES]));
            }
        }
    }

    @Test
    void isReadyWithAKnownListWhileDiscoveryIsSilent() throws Exception {
        start(settingsWithKnownList());
        assertEquals("200", health());
        assertEquals("202", ask(TestConfig.message("one", "hello")));
        StubServer.await("the message is delivered", () -> discovery.endpoint.requests.size() == 1);
        assertEquals(0, discovery.answers.get());
    }

    @Test
    void isReadyWithAKnownListWhileDiscoveryRefusesConnections() throws Exception {
        int closedPort;
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            closedPort = closed.getLocalPort();
        }
        start(new TestConfig("127.0.0.1:" + closedPort).known(TestConfig.list(discovery.endpoint)));
        assertEquals("200", health());
    }

    @Test
    void largeJournalIsReadBeforeClientsConnectWithoutWaitingForDiscovery() throws Exception {
        writeJournal();
        start(settingsWithKnownList());
        assertEquals("200", health(), "it is ready when the first client can connect");
        assertEquals(0, discovery.answers.get());
        StubServer.await("recovered messages are sent", () -> !discovery.endpoint.requests.isEmpty());
    }

    /** Without an endpoint list nothing can be delivered, but clients get an answer, not a refused connection. */
    @Test
    void withoutAListItAnswersClientsAndIsReadyAfterDiscoverysFirstAnswer() throws Exception {
        writeJournal();
        start(settings());
        assertEquals("503", health());
        assertEquals("503", ask(TestConfig.message("one", "hello")));
        StubServer.await("discovery is asked", () -> !discovery.agent.requests.isEmpty());
        discovery.up = true;
        StubServer.await("the sender is ready", () -> {
            try {
                return health().equals("200");
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        assertEquals(1, discovery.answers.get(), "one answer is enough");
        StubServer.await("recovered messages are sent", () -> !discovery.endpoint.requests.isEmpty());
    }

    /** Another process owns the journal until the sender has received the list. */
    @Test
    void emptyListReceivedBeforeTheJournalIsOwnedMakesTheSenderReady() throws Exception {
        discovery.up = true;
        discovery.listIsEmpty = true;
        CompletableFuture<Void> started;
        try (StateLock other = StateLock.tryAcquire(folder.resolve("state")).orElseThrow()) {
            sender = new Sender(read(settings()), Sender.SHUTDOWN_ACCEPT_MS, Sender.SHUTDOWN_LIMIT_MS);
            started = CompletableFuture.runAsync(() -> {
                try {
                    address = sender.start();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
            StubServer.await("a watch request follows the list", () -> discovery.agent.requests.size() == 2);
        }
        started.get(30, TimeUnit.SECONDS);
        assertEquals("200", health());
        assertEquals("503", ask(TestConfig.message("one", "hello")), "no endpoint is listed for the message");
    }

    @Test
    void withoutAJournalTheStartIsDelayedAtMostByTheWarmUpLimit() throws Exception {
        Config config = read(settingsWithKnownList());
        assertEquals(0, Warmup.run(config, new DefaultEventLoop(), 0), "no step is started without time for it");
        assertTrue(Warmup.run(config, new DefaultEventLoop(), Sender.SHUTDOWN_LIMIT_MS) > 0);
    }
}
