package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

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

/** The old side of an upgrade, with a new process that the test plays. */
class HandoverTest {
    @TempDir
    private Path folder;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<String> heard = new CopyOnWriteArrayList<>();
    private Path path;
    private Handover handover;

    private final Handover.Callbacks estate = new Handover.Callbacks() {
        @Override
        public boolean canHandOver() {
            return true;
        }

        @Override
        public void freeze(Consumer<Optional<ObjectNode>> state) {
            heard.add("freeze");
            state.accept(Optional.of(HandoverConnection.line("state")));
        }

        @Override
        public void unfreeze() {
            heard.add("unfreeze");
        }

        @Override
        public void left() {
            heard.add("left");
        }

        @Override
        public void cancel(long message, int attempt) {
            heard.add("cancel");
        }
    };

    @BeforeEach
    void open() throws Exception {
        path = folder.resolve("socket");
        handover = new Handover(loop, estate);
        loop.submit(() -> handover.listen(path)).sync();
        StubServer.await("it listens", () -> Files.exists(path));
    }

    @AfterEach
    void close() {
        group.shutdownGracefully().syncUninterruptibly();
    }

    private SocketChannel asked() throws IOException {
        SocketChannel link = SocketChannel.open(UnixDomainSocketAddress.of(path));
        write(link, "{\"do\":\"handover\"}\n");
        ByteBuffer state = ByteBuffer.allocate(1024);
        while (state.position() == 0 || state.get(state.position() - 1) != '\n') {
            link.read(state);
        }
        return link;
    }

    private static void write(SocketChannel link, String line) throws IOException {
        link.write(ByteBuffer.wrap(line.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void theSocketOfTheNewProcessOutlivesTheOldProcesssListener() throws Exception {
        try (SocketChannel link = asked()) {
            Files.deleteIfExists(path);
            try (ServerSocketChannel next = ServerSocketChannel.open(StandardProtocolFamily.UNIX)
                    .bind(UnixDomainSocketAddress.of(path))) {
                write(link, "{\"do\":\"own\"}\n");
                StubServer.await("the old one has left", () -> heard.contains("left"));
                assertTrue(Files.exists(path), "the new process's socket is gone: no later upgrade reaches it");
            }
        }
    }

    /** One that can't be done must not keep the others from being done. */
    @Test
    void whatWasPassedOnIsDoneHereThoughOneOfItFailsIfTheNewProcessFails() throws Exception {
        SocketChannel link = asked();
        loop.submit(() -> {
            handover.tell(HandoverConnection.line("ended"), () -> {
                throw new IllegalStateException("a fault of the test's");
            });
            handover.tell(HandoverConnection.line("ended"), () -> heard.add("second"));
        }).sync();
        link.close();
        StubServer.await("it goes on", () -> heard.contains("unfreeze"));
        loop.submit(() -> { }).sync();
        assertTrue(heard.contains("second"), "what stood behind the one that failed is lost: " + heard);
    }
}
