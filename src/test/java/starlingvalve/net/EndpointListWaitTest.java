package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import starlingvalve.DeliveryPolicy.Outcome;

/** A call whose connection has come up while the list of endpoints was not known to be the newest. */
class EndpointListWaitTest {
    private static final long ENDPOINT = 1;
    private static final double SHORT_MS = 200;
    private static final double LONG_MS = 20_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    /** What goes on once the list is the newest. */
    private final BlockingQueue<Runnable> waiting = new LinkedBlockingQueue<>();
    private final BlockingQueue<Outcome> ended = new LinkedBlockingQueue<>();
    private final BlockingQueue<Endpoints.CloseReason> closed = new LinkedBlockingQueue<>();
    private volatile boolean drains;
    private StubServer server;
    private Endpoints endpoints;

    @BeforeEach
    void open() throws Exception {
        server = new StubServer(StubServer.status(200, ""));
        endpoints = new Endpoints(loop, 1000, 15_000, 1, 4, new PermissiveEndpointCallbacks() {
            @Override
            public void whenListIsCurrent(Runnable task) {
                waiting.add(task);
            }

            @Override
            public boolean mayBeginAttempt(Endpoints.Call call) {
                return !drains;
            }

            @Override
            public void ended(Endpoints.Call call, Outcome outcome, boolean gone, double waitMs, boolean open) {
                ended.add(outcome);
            }

            @Override
            public void connectionClosed(long endpoint, Endpoints.CloseReason reason, boolean underRequest, String cause,
                    Endpoints.ConnectionUse use) {
                closed.add(reason);
            }
        });
        inLoop(() -> {
            endpoints.at(ENDPOINT, server.address(), true, 0, 1);
            return null;
        });
    }

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        server.close();
    }

    private <T> T inLoop(Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }

    /**
     * Makes a call, which waits for the list before its connection is made, and again once that is up; what it returns
     * goes on with it then.
     */
    private Runnable callThatWaits(double timeoutMs) throws InterruptedException {
        AcceptedMessage held =
                new AcceptedMessage(0, "m", "order", "t", Optional.empty(), Optional.empty(), 7, 0, new byte[5]);
        inLoop(() -> {
            endpoints.call(held, 0, ENDPOINT, timeoutMs);
            endpoints.flush();
            return null;
        });
        goOn(waiting.poll(30, TimeUnit.SECONDS));
        return waiting.poll(30, TimeUnit.SECONDS);
    }

    private void goOn(Runnable task) {
        inLoop(() -> {
            task.run();
            return null;
        });
    }

    private Outcome end() throws InterruptedException {
        return ended.poll(30, TimeUnit.SECONDS);
    }

    @Test
    void itGoesOutOnceTheListIsTheNewest() throws Exception {
        Runnable task = callThatWaits(LONG_MS);
        assertEquals(List.of(), server.requests);
        goOn(task);
        assertEquals(Outcome.DELIVERED, end());
    }

    @Test
    void itDoesNotGoOutIfItsEndpointIsKnownToDrainByThen() throws Exception {
        Runnable task = callThatWaits(LONG_MS);
        drains = true;
        goOn(task);
        assertEquals(Outcome.NOT_SENT, end());
        assertEquals(List.of(), server.requests);
        assertEquals(1, inLoop(endpoints::kept), "the connection serves the next call");
    }

    @Test
    void itDoesNotGoOutIfItsTimeIsUpByThen() throws Exception {
        Runnable task = callThatWaits(SHORT_MS);
        Outcome outcome = end();
        assertEquals(false, outcome.mayHaveRun(), "surely not sent: " + outcome);
        goOn(task);
        StubServer.await("the connection is kept", () -> inLoop(endpoints::kept) == 1);
        assertEquals(List.of(), server.requests);
    }

    @Test
    void aConnectionThatDiesMeanwhileCountsAsNeverMade() throws Exception {
        Runnable task = callThatWaits(LONG_MS);
        server.close();
        assertEquals(Endpoints.CloseReason.PEER, closed.poll(30, TimeUnit.SECONDS));
        goOn(task);
        assertEquals(Outcome.UNREACHABLE, end());
    }
}
