package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
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
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The predecessor's side of an upgrade; the test plays the successor. */
class HandoverTest {
    @TempDir
    private Path folder;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<String> events = new CopyOnWriteArrayList<>();
    private Path path;
    private Handover handover;

    private final Handover.Callbacks callbacks = new Handover.Callbacks() {
        @Override
        public boolean canHandOver() {
            return true;
        }

        @Override
        public void freeze(Consumer<Optional<ObjectNode>> callback) {
            events.add("freeze");
            callback.accept(Optional.of(HandoverConnection.line("state")));
        }

        @Override
        public void unfreeze() {
            events.add("unfreeze");
        }

        @Override
        public void handedOver() {
            events.add("handed over");
        }

        @Override
        public void configurationReloaded(JsonNode line) {
            events.add("reloaded");
        }

        @Override
        public void cancel(long message, int attempt) {
            events.add("cancel");
        }
    };

    @BeforeEach
    void open() throws Exception {
        path = folder.resolve("socket");
        handover = new Handover(loop, callbacks);
        loop.submit(() -> handover.listen(path)).sync();
        StubServer.await("the handover listens", () -> Files.exists(path));
    }

    @AfterEach
    void close() {
        group.shutdownGracefully().syncUninterruptibly();
    }

    /** Asks for a handover as a successor does, and reads the state. */
    private SocketChannel requestHandover() throws IOException {
        SocketChannel connection = SocketChannel.open(UnixDomainSocketAddress.of(path));
        write(connection, "{\"do\":\"handover\"}\n");
        ByteBuffer state = ByteBuffer.allocate(1024);
        while (state.position() == 0 || state.get(state.position() - 1) != '\n') {
            connection.read(state);
        }
        return connection;
    }

    private static void write(SocketChannel connection, String line) throws IOException {
        connection.write(ByteBuffer.wrap(line.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void closingTheListenerKeepsTheSuccessorsSocket() throws Exception {
        try (SocketChannel connection = requestHandover()) {
            Files.deleteIfExists(path);
            try (ServerSocketChannel successorListener = ServerSocketChannel.open(StandardProtocolFamily.UNIX)
                    .bind(UnixDomainSocketAddress.of(path))) {
                write(connection, "{\"do\":\"own\"}\n");
                StubServer.await("the handover is complete", () -> events.contains("handed over"));
                assertTrue(Files.exists(path), "the successor's socket is deleted: no later upgrade can reach it");
            }
        }
    }

    /** A local action that throws must not prevent the others from running. */
    @Test
    void failedSuccessorLetsAllLocalActionsRunThoughOneThrows() throws Exception {
        SocketChannel connection = requestHandover();
        loop.submit(() -> {
            handover.forward(HandoverConnection.line("ended"), () -> {
                throw new IllegalStateException("fault injected by the test");
            });
            handover.forward(HandoverConnection.line("ended"), () -> events.add("second"));
        }).sync();
        connection.close();
        StubServer.await("the process takes the journal back", () -> events.contains("unfreeze"));
        loop.submit(() -> { }).sync();
        assertTrue(events.contains("second"), "the action after the one that failed has not run: " + events);
    }
}
