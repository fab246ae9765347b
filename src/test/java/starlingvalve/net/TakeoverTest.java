package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The successor's side of an upgrade; the test plays the predecessor. */
class TakeoverTest {
    private static final long RETRY_LIMIT_MS = 500;

    @TempDir
    private Path folder;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<String> events = new CopyOnWriteArrayList<>();
    private final List<Runnable> listenCallbacks = new CopyOnWriteArrayList<>();
    private ServerSocketChannel predecessor;
    private StateLock lock;
    private volatile boolean ownFails;

    private final Takeover.Callbacks callbacks = new Takeover.Callbacks() {
        @Override
        public boolean prepared() {
            return true;
        }

        @Override
        public void listenAlongside(Runnable successCallback, Runnable failureCallback) {
            listenCallbacks.add(successCallback);
        }

        @Override
        public void stopListening() {
            events.add("stop listening");
        }

        @Override
        public void own(StateLock acquiredLock, Optional<JsonNode> state) {
            events.add(state.isPresent() ? "own with state" : "own");
            acquiredLock.close();
            if (ownFails) {
                throw new IllegalStateException("the state can't be used");
            }
        }

        @Override
        public void failed(Throwable cause) {
            events.add("failed");
        }

        @Override
        public void reported(JsonNode line) {
            if (line.path("fails").asBoolean()) {
                throw new IllegalStateException("fault injected by the test");
            }
            events.add(line.path("do").asText());
        }

        @Override
        public void predecessorEnded() {
            events.add("predecessor ended");
        }
    };

    @BeforeEach
    void open() throws Exception {
        lock = StateLock.tryAcquire(folder).orElseThrow();
        predecessor = ServerSocketChannel.open(StandardProtocolFamily.UNIX)
                .bind(UnixDomainSocketAddress.of(folder.resolve("socket")));
        Takeover takeover = new Takeover(loop, folder, folder.resolve("socket"), new StartRetry(RETRY_LIMIT_MS),
                callbacks);
        loop.execute(takeover::begin);
    }

    @AfterEach
    void close() throws Exception {
        predecessor.close();
        lock.close();
        group.shutdownGracefully().syncUninterruptibly();
    }

    /** Accepts a connection and reads the request for a handover. */
    private SocketChannel acceptRequest() throws IOException {
        SocketChannel connection = predecessor.accept();
        assertEquals("{\"do\":\"handover\"}\n", read(connection));
        return connection;
    }

    private static String read(SocketChannel connection) throws IOException {
        ByteBuffer line = ByteBuffer.allocate(1024);
        while (connection.read(line) >= 0 && line.get(line.position() - 1) != '\n') {
            // A line may arrive in several parts.
        }
        return new String(line.array(), 0, line.position(), StandardCharsets.UTF_8);
    }

    private static void write(SocketChannel connection, String lines) throws IOException {
        connection.write(ByteBuffer.wrap(lines.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void reportsBeforeOwnershipAreHandledAfterIt() throws Exception {
        try (SocketChannel connection = acceptRequest()) {
            write(connection, "{\"do\":\"state\"}\n{\"do\":\"ended\"}\n{\"do\":\"submit\"}\n");
            StubServer.await("the takeover listens", () -> listenCallbacks.size() == 1);
            lock.close();
            loop.submit(() -> { }).syncUninterruptibly();
            assertEquals(List.of(), events);
            loop.execute(listenCallbacks.get(0));
            assertEquals("{\"do\":\"own\"}\n", read(connection));
            StubServer.await("the reports are handled", () -> events.size() == 3);
        }
        StubServer.await("the end of the predecessor is noticed", () -> events.contains("predecessor ended"));
        assertEquals(List.of("own with state", "ended", "submit", "predecessor ended"), events);
    }

    @Test
    void predecessorThatDiesDuringHandoverLeadsToStartWithoutState() throws Exception {
        try (SocketChannel connection = acceptRequest()) {
            write(connection, "{\"do\":\"state\"}\n");
            StubServer.await("the takeover listens", () -> listenCallbacks.size() == 1);
        }
        lock.close();
        StubServer.await("the takeover owns the journal", () -> events.contains("own"));
        loop.submit(listenCallbacks.get(0)).syncUninterruptibly();
        assertEquals(List.of("stop listening", "own"), events, "the state of a predecessor that has ended is not used");
    }

    @Test
    void predecessorThatRefusesIsAskedAgain() throws Exception {
        for (int i = 0; i < 3; i++) {
            acceptRequest().close();
        }
        assertEquals(List.of(), events);
    }

    @Test
    void exceptionWhileBecomingOwnerIsReportedAsFailure() throws Exception {
        ownFails = true;
        try (SocketChannel connection = acceptRequest()) {
            write(connection, "{\"do\":\"state\"}\n");
            StubServer.await("the takeover listens", () -> listenCallbacks.size() == 1);
            lock.close();
            loop.execute(listenCallbacks.get(0));
            StubServer.await("the failure is reported", () -> events.contains("failed"));
        }
        assertEquals(List.of("own with state", "failed"), events);
    }

    /** An attempt whose end was not handled would count as in flight forever. */
    @Test
    void reportsAfterOneThatFailsAreHandled() throws Exception {
        try (SocketChannel connection = acceptRequest()) {
            write(connection, "{\"do\":\"state\"}\n{\"do\":\"ended\",\"fails\":true}\n{\"do\":\"ended\"}\n");
            StubServer.await("the takeover listens", () -> listenCallbacks.size() == 1);
            lock.close();
            loop.submit(() -> { }).syncUninterruptibly();
            // In production a listener of a future runs this, where an exception does not propagate.
            loop.newSucceededFuture(null).addListener(done -> listenCallbacks.get(0).run());
            assertEquals("{\"do\":\"own\"}\n", read(connection));
            loop.submit(() -> { }).syncUninterruptibly();
            assertEquals(List.of("own with state", "ended"), events);
        }
    }
}
