package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.AbstractBootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.lang.reflect.Field;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Brief faults in a successor process, such as one in creating its listening socket, when the predecessor has already
 * released the journal and its lock.
 */
class TakeoverListenFaultTest {
    private static final long RETRY_LIMIT_MS = 500;

    @TempDir
    private Path folder;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void close() {
        group.shutdownGracefully().syncUninterruptibly();
    }

    /** A successor that fails to listen and to own. */
    private static class FailingTakeoverCallbacks implements Takeover.Callbacks {
        final AtomicInteger listenCalls = new AtomicInteger();
        final AtomicInteger failures = new AtomicInteger();

        @Override
        public boolean prepared() {
            return true;
        }

        @Override
        public void listenAlongside(Runnable successCallback, Runnable failureCallback) {
            listenCalls.incrementAndGet();
            throw new ClassCastException("as SubmissionServer.listen throws if no socket can be created");
        }

        @Override
        public void stopListening() {
            // This successor never listens.
        }

        @Override
        public void own(StateLock lock, Optional<JsonNode> state) throws IOException {
            throw new OutOfMemoryError("as if the state does not fit into memory beside the predecessor");
        }

        @Override
        public void failed(Throwable cause) {
            failures.incrementAndGet();
        }

        @Override
        public void reported(JsonNode line) {
            // Nothing is reported.
        }

        @Override
        public void predecessorEnded() {
            // This successor never owns the journal.
        }
    }

    /**
     * After an error that is not reported nobody would release this process's lock, and the predecessor would wait for
     * it forever.
     */
    @Test
    void errorWhileBecomingOwnerIsReportedAsFailure() throws Exception {
        FailingTakeoverCallbacks callbacks = new FailingTakeoverCallbacks();
        Takeover takeover = new Takeover(loop, folder, folder.resolve("socket"), new StartRetry(RETRY_LIMIT_MS),
                callbacks);
        loop.submit(takeover::begin).await();
        assertEquals(1, callbacks.failures.get());
    }

    /** An exception in listening, while the predecessor waits for "own" or for the end of the connection. */
    @Test
    @Timeout(30)
    void exceptionInListeningReturnsOwnershipToPredecessor() throws Exception {
        FailingTakeoverCallbacks callbacks = new FailingTakeoverCallbacks();
        try (StateLock lock = StateLock.tryAcquire(folder).orElseThrow();
                ServerSocketChannel predecessor = ServerSocketChannel.open(StandardProtocolFamily.UNIX)
                        .bind(UnixDomainSocketAddress.of(folder.resolve("socket")))) {
            Takeover takeover = new Takeover(loop, folder, folder.resolve("socket"), new StartRetry(RETRY_LIMIT_MS),
                    callbacks);
            loop.execute(takeover::begin);
            try (SocketChannel connection = predecessor.accept()) {
                connection.write(ByteBuffer.wrap("{\"do\":\"state\"}\n".getBytes(StandardCharsets.UTF_8)));
                StubServer.await("the takeover tries to listen", () -> callbacks.listenCalls.get() == 1);
                ByteBuffer buffer = ByteBuffer.allocate(1024);
                while (connection.read(buffer) >= 0) {
                    buffer.clear();
                }
                // The connection has ended, so the predecessor remains the owner. With the fault it never ended.
            }
        }
    }

    @Test
    @Timeout(30)
    void journalThatBrieflyFailsToOpenLeadsToAnotherRequest() throws Exception {
        AtomicInteger ownCalls = new AtomicInteger();
        FailingTakeoverCallbacks callbacks = new FailingTakeoverCallbacks() {
            @Override
            public void listenAlongside(Runnable successCallback, Runnable failureCallback) {
                successCallback.run();
            }

            @Override
            public void own(StateLock lock, Optional<JsonNode> state) throws IOException {
                if (ownCalls.incrementAndGet() == 1) {
                    throw new IOException("Input/output error");
                }
            }
        };
        StateLock lock = StateLock.tryAcquire(folder).orElseThrow();
        try (ServerSocketChannel predecessor = ServerSocketChannel.open(StandardProtocolFamily.UNIX)
                .bind(UnixDomainSocketAddress.of(folder.resolve("socket")))) {
            Takeover takeover = new Takeover(loop, folder, folder.resolve("socket"), new StartRetry(RETRY_LIMIT_MS),
                    callbacks);
            loop.execute(takeover::begin);
            try (SocketChannel connection = predecessor.accept()) {
                lock.close();
                connection.write(ByteBuffer.wrap("{\"do\":\"state\"}\n".getBytes(StandardCharsets.UTF_8)));
                ByteBuffer buffer = ByteBuffer.allocate(1024);
                while (!new String(buffer.array(), StandardCharsets.UTF_8).contains("{\"do\":\"declined\"}\n")) {
                    assertTrue(connection.read(buffer) >= 0, "the connection has ended without a line");
                }
                // As the predecessor does before it closes the connection.
                StateLock.tryAcquire(folder)
                        .orElseThrow(() -> new AssertionError("the successor has the lock")).close();
            }
            StubServer.await("the successor owns once the predecessor has ended", () -> ownCalls.get() == 2);
            assertEquals(0, callbacks.failures.get());
        }
    }

    /** The predecessor still runs, with calls in flight, and has yet to take its lock back. */
    @Test
    @Timeout(30)
    void successorThatDeclinedLeavesTheFreeLockToItsPredecessor() throws Exception {
        AtomicInteger ownCalls = new AtomicInteger();
        FailingTakeoverCallbacks callbacks = new FailingTakeoverCallbacks() {
            @Override
            public void own(StateLock lock, Optional<JsonNode> state) {
                ownCalls.incrementAndGet();
            }
        };
        StateLock lock = StateLock.tryAcquire(folder).orElseThrow();
        try (ServerSocketChannel predecessor = ServerSocketChannel.open(StandardProtocolFamily.UNIX)
                .bind(UnixDomainSocketAddress.of(folder.resolve("socket")))) {
            Takeover takeover = new Takeover(loop, folder, folder.resolve("socket"), new StartRetry(RETRY_LIMIT_MS),
                    callbacks);
            loop.execute(takeover::begin);
            try (SocketChannel connection = predecessor.accept()) {
                lock.close();
                connection.write(ByteBuffer.wrap("{\"do\":\"state\"}\n".getBytes(StandardCharsets.UTF_8)));
                ByteBuffer buffer = ByteBuffer.allocate(1024);
                while (!new String(buffer.array(), StandardCharsets.UTF_8).contains("{\"do\":\"declined\"}\n")) {
                    assertTrue(connection.read(buffer) >= 0, "the connection has ended, and the lock is free");
                }
                loop.submit(takeover::hasPredecessor).sync();
                assertEquals(0, ownCalls.get());
            }
            StubServer.await("the successor owns once the predecessor has ended", () -> ownCalls.get() == 1);
        }
    }

    /** If no socket can be created, the channel of Netty's bind future is not one of this program's classes. */
    @Test
    void socketThatCanNotBeCreatedIsReportedAsFailedBind() throws Exception {
        SubmissionServer server = new SubmissionServer(loop, 10, new RecordingSubmissionHandler());
        Field bootstrap = SubmissionServer.class.getDeclaredField("bootstrap");
        bootstrap.setAccessible(true);
        Field factory = AbstractBootstrap.class.getDeclaredField("channelFactory");
        factory.setAccessible(true);
        factory.set((ServerBootstrap) bootstrap.get(server), (ChannelFactory<?>) () -> {
            throw new ChannelException("Failed to open a socket: too many open files in system");
        });
        Boolean succeeded = assertDoesNotThrow(() -> loop.submit(() ->
                server.listen(new InetSocketAddress("127.0.0.1", 0)).isSuccess()).get());
        assertEquals(false, succeeded);
    }
}
