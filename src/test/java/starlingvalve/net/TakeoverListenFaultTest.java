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

/** The new process of an upgrade can't make its listening socket for a moment, while the old one has let go of all. */
class TakeoverListenFaultTest {
    private static final long START_PATIENCE_MS = 500;

    @TempDir
    private Path folder;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void close() {
        group.shutdownGracefully().syncUninterruptibly();
    }

    /** A new process that fails where it is told to. */
    private static class FailingTakeoverCallbacks implements Takeover.Callbacks {
        final AtomicInteger asked = new AtomicInteger();
        final AtomicInteger failures = new AtomicInteger();

        @Override
        public boolean prepared() {
            return true;
        }

        @Override
        public void listenAlongside(Runnable then, Runnable failed) {
            asked.incrementAndGet();
            throw new ClassCastException("as Intake.listen throws where no socket can be made");
        }

        @Override
        public void listenNoMore() {
            // It never listens.
        }

        @Override
        public void own(StateLock lock, Optional<JsonNode> state) throws IOException {
            throw new OutOfMemoryError("as where the state does not fit beside the old process");
        }

        @Override
        public void failed(Throwable why) {
            failures.incrementAndGet();
        }

        @Override
        public void reported(JsonNode line) {
            // Nothing is reported.
        }

        @Override
        public void gone() {
            // It never owns.
        }
    }

    /** An error leaves the process with the lock, and nobody that lets go of it: the old process waits for it for good. */
    @Test
    void anErrorOnTheWayToOwningIsToldAsAFailure() throws Exception {
        FailingTakeoverCallbacks heir = new FailingTakeoverCallbacks();
        Takeover takeover = new Takeover(loop, folder, folder.resolve("socket"), new StartRetry(START_PATIENCE_MS), heir);
        loop.submit(takeover::begin).await();
        assertEquals(1, heir.failures.get());
    }

    /** What is thrown on the way to listening, where the old process waits for "own" or for the end of the link. */
    @Test
    @Timeout(30)
    void aFaultInListeningGivesEverythingBackToTheOldProcess() throws Exception {
        FailingTakeoverCallbacks heir = new FailingTakeoverCallbacks();
        try (StateLock lock = StateLock.take(folder).orElseThrow();
                ServerSocketChannel old = ServerSocketChannel.open(StandardProtocolFamily.UNIX)
                        .bind(UnixDomainSocketAddress.of(folder.resolve("socket")))) {
            Takeover takeover = new Takeover(loop, folder, folder.resolve("socket"), new StartRetry(START_PATIENCE_MS), heir);
            loop.execute(takeover::begin);
            try (SocketChannel link = old.accept()) {
                link.write(ByteBuffer.wrap("{\"do\":\"state\"}\n".getBytes(StandardCharsets.UTF_8)));
                StubServer.await("it tries to listen", () -> heir.asked.get() == 1);
                ByteBuffer read = ByteBuffer.allocate(1024);
                while (link.read(read) >= 0) {
                    read.clear();
                }
                // The link has ended, so the old process goes on; before, this read waits for good.
            }
        }
    }

    @Test
    @Timeout(30)
    void aNewProcessThatCanNotOpenTheJournalForAMomentAsksAgainInsteadOfEnding() throws Exception {
        AtomicInteger tries = new AtomicInteger();
        FailingTakeoverCallbacks heir = new FailingTakeoverCallbacks() {
            @Override
            public void listenAlongside(Runnable then, Runnable failed) {
                then.run();
            }

            @Override
            public void own(StateLock lock, Optional<JsonNode> state) throws IOException {
                if (tries.incrementAndGet() == 1) {
                    throw new IOException("Input/output error");
                }
            }
        };
        StateLock lock = StateLock.take(folder).orElseThrow();
        try (ServerSocketChannel old = ServerSocketChannel.open(StandardProtocolFamily.UNIX)
                .bind(UnixDomainSocketAddress.of(folder.resolve("socket")))) {
            Takeover takeover = new Takeover(loop, folder, folder.resolve("socket"), new StartRetry(START_PATIENCE_MS), heir);
            loop.execute(takeover::begin);
            try (SocketChannel link = old.accept()) {
                lock.close();
                link.write(ByteBuffer.wrap("{\"do\":\"state\"}\n".getBytes(StandardCharsets.UTF_8)));
                ByteBuffer read = ByteBuffer.allocate(1024);
                while (!new String(read.array(), StandardCharsets.UTF_8).contains("{\"do\":\"declined\"}\n")) {
                    assertTrue(link.read(read) >= 0, "it has ended without a word");
                }
                // As the old process does before it ends the link.
                StateLock.take(folder).orElseThrow(() -> new AssertionError("the lock is kept")).close();
            }
            StubServer.await("it owns once the old process has gone", () -> tries.get() == 2);
            assertEquals(0, heir.failures.get());
        }
    }

    /** The old process, alive and with its calls out, has still to take its lock back. */
    @Test
    @Timeout(30)
    void aNewProcessThatGaveUpStartsBesideNoOldOneThatHasStillToTakeItsLock() throws Exception {
        AtomicInteger owned = new AtomicInteger();
        FailingTakeoverCallbacks heir = new FailingTakeoverCallbacks() {
            @Override
            public void own(StateLock lock, Optional<JsonNode> state) {
                owned.incrementAndGet();
            }
        };
        StateLock lock = StateLock.take(folder).orElseThrow();
        try (ServerSocketChannel old = ServerSocketChannel.open(StandardProtocolFamily.UNIX)
                .bind(UnixDomainSocketAddress.of(folder.resolve("socket")))) {
            Takeover takeover = new Takeover(loop, folder, folder.resolve("socket"), new StartRetry(START_PATIENCE_MS), heir);
            loop.execute(takeover::begin);
            try (SocketChannel link = old.accept()) {
                lock.close();
                link.write(ByteBuffer.wrap("{\"do\":\"state\"}\n".getBytes(StandardCharsets.UTF_8)));
                ByteBuffer read = ByteBuffer.allocate(1024);
                while (!new String(read.array(), StandardCharsets.UTF_8).contains("{\"do\":\"declined\"}\n")) {
                    assertTrue(link.read(read) >= 0, "the link has ended, and the lock is free");
                }
                loop.submit(takeover::hasPredecessor).sync();
                assertEquals(0, owned.get());
            }
            StubServer.await("it owns once the old process has gone", () -> owned.get() == 1);
        }
    }

    /** Netty's channel of a bind that has made no socket is none of ours. */
    @Test
    void aSocketThatCanNotBeMadeIsToldAsAFailedBind() throws Exception {
        SubmissionServer intake = new SubmissionServer(loop, 10, new RecordingSubmissionHandler());
        Field bootstrap = SubmissionServer.class.getDeclaredField("bootstrap");
        bootstrap.setAccessible(true);
        Field factory = AbstractBootstrap.class.getDeclaredField("channelFactory");
        factory.setAccessible(true);
        factory.set((ServerBootstrap) bootstrap.get(intake), (ChannelFactory<?>) () -> {
            throw new ChannelException("Failed to open a socket: too many open files in system");
        });
        Boolean succeeded = assertDoesNotThrow(() -> loop.submit(() ->
                intake.listen(new InetSocketAddress("127.0.0.1", 0)).isSuccess()).get());
        assertEquals(false, succeeded);
    }
}
