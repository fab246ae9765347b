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

/** The new side of an upgrade, with an old process that the test plays. */
class TakeoverTest {
    private static final long START_PATIENCE_MS = 500;

    @TempDir
    private Path folder;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<String> heard = new CopyOnWriteArrayList<>();
    private final List<Runnable> listening = new CopyOnWriteArrayList<>();
    private ServerSocketChannel old;
    private StateLock lock;
    private volatile boolean ownFails;

    private final Takeover.Callbacks heir = new Takeover.Callbacks() {
        @Override
        public boolean prepared() {
            return true;
        }

        @Override
        public void listenAlongside(Runnable then, Runnable failed) {
            listening.add(then);
        }

        @Override
        public void listenNoMore() {
            heard.add("listen no more");
        }

        @Override
        public void own(StateLock token, Optional<JsonNode> state) {
            heard.add(state.isPresent() ? "own with state" : "own");
            token.close();
            if (ownFails) {
                throw new IllegalStateException("the state can't be used");
            }
        }

        @Override
        public void failed(Throwable why) {
            heard.add("failed");
        }

        @Override
        public void reported(JsonNode line) {
            if (line.path("fails").asBoolean()) {
                throw new IllegalStateException("a fault of the test's");
            }
            heard.add(line.path("do").asText());
        }

        @Override
        public void gone() {
            heard.add("gone");
        }
    };

    @BeforeEach
    void open() throws Exception {
        lock = StateLock.take(folder).orElseThrow();
        old = ServerSocketChannel.open(StandardProtocolFamily.UNIX)
                .bind(UnixDomainSocketAddress.of(folder.resolve("socket")));
        Takeover takeover = new Takeover(loop, folder, folder.resolve("socket"), new StartRetry(START_PATIENCE_MS), heir);
        loop.execute(takeover::begin);
    }

    @AfterEach
    void close() throws Exception {
        old.close();
        lock.close();
        group.shutdownGracefully().syncUninterruptibly();
    }

    private SocketChannel asked() throws IOException {
        SocketChannel link = old.accept();
        assertEquals("{\"do\":\"handover\"}\n", read(link));
        return link;
    }

    private static String read(SocketChannel link) throws IOException {
        ByteBuffer line = ByteBuffer.allocate(1024);
        while (link.read(line) >= 0 && line.get(line.position() - 1) != '\n') {
            // A line comes in any number of parts.
        }
        return new String(line.array(), 0, line.position(), StandardCharsets.UTF_8);
    }

    private static void write(SocketChannel link, String lines) throws IOException {
        link.write(ByteBuffer.wrap(lines.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void whatIsReportedBeforeItOwnsIsHeardOnceItDoes() throws Exception {
        try (SocketChannel link = asked()) {
            write(link, "{\"do\":\"state\"}\n{\"do\":\"ended\"}\n{\"do\":\"submit\"}\n");
            StubServer.await("it listens", () -> listening.size() == 1);
            lock.close();
            loop.submit(() -> { }).syncUninterruptibly();
            assertEquals(List.of(), heard);
            loop.execute(listening.get(0));
            assertEquals("{\"do\":\"own\"}\n", read(link));
            StubServer.await("the reports", () -> heard.size() == 3);
        }
        StubServer.await("the end", () -> heard.contains("gone"));
        assertEquals(List.of("own with state", "ended", "submit", "gone"), heard);
    }

    @Test
    void anOldProcessThatDiesHalfWayLeavesAPlainStart() throws Exception {
        try (SocketChannel link = asked()) {
            write(link, "{\"do\":\"state\"}\n");
            StubServer.await("it listens", () -> listening.size() == 1);
        }
        lock.close();
        StubServer.await("it owns", () -> heard.contains("own"));
        loop.submit(listening.get(0)).syncUninterruptibly();
        assertEquals(List.of("listen no more", "own"), heard, "the state of a process that is gone is not taken");
    }

    @Test
    void anOldProcessThatRefusesIsAskedAgain() throws Exception {
        for (int i = 0; i < 3; i++) {
            asked().close();
        }
        assertEquals(List.of(), heard);
    }

    @Test
    void aFaultOnTheWayToOwningIsTold() throws Exception {
        ownFails = true;
        try (SocketChannel link = asked()) {
            write(link, "{\"do\":\"state\"}\n");
            StubServer.await("it listens", () -> listening.size() == 1);
            lock.close();
            loop.execute(listening.get(0));
            StubServer.await("the failure", () -> heard.contains("failed"));
        }
        assertEquals(List.of("own with state", "failed"), heard);
    }

    /** An attempt whose end is not heard would count as out for good. */
    @Test
    void reportsBehindOneThatFailsAreStillHeard() throws Exception {
        try (SocketChannel link = asked()) {
            write(link, "{\"do\":\"state\"}\n{\"do\":\"ended\",\"fails\":true}\n{\"do\":\"ended\"}\n");
            StubServer.await("it listens", () -> listening.size() == 1);
            lock.close();
            loop.submit(() -> { }).syncUninterruptibly();
            // As from a listener of a future, which keeps what is thrown to itself.
            loop.newSucceededFuture(null).addListener(f -> listening.get(0).run());
            assertEquals("{\"do\":\"own\"}\n", read(link));
            loop.submit(() -> { }).syncUninterruptibly();
            assertEquals(List.of("own with state", "ended"), heard);
        }
    }
}
