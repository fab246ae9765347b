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

/** Tests a call whose connection comes up while the list of endpoints is not known to be current. */
class EndpointListWaitTest {
    private static final long ENDPOINT = 1;
    private static final double SHORT_MS = 200;
    private static final double LONG_MS = 20_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    /** Tasks that wait for the list to be current. */
    private final BlockingQueue<Runnable> waitingTasks = new LinkedBlockingQueue<>();
    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    private final BlockingQueue<Endpoints.CloseReason> closeReasons = new LinkedBlockingQueue<>();
    private volatile boolean draining;
    private StubServer server;
    private Endpoints endpoints;

    @BeforeEach
    void open() throws Exception {
        server = new StubServer(StubServer.status(200, ""));
        endpoints = new Endpoints(loop, 1000, 15_000, 1, 4, new PermissiveEndpointCallbacks() {
            @Override
            public void runWhenListIsCurrent(Runnable task) {
                waitingTasks.add(task);
            }

            @Override
            public boolean mayBeginAttempt(Endpoints.Call call) {
                return !draining;
            }

            @Override
            public void ended(Endpoints.Call call, Outcome outcome, boolean messageEnded, double retryAfterMs,
                    boolean exchangeOpen) {
                outcomes.add(outcome);
            }

            @Override
            public void connectionClosed(long endpoint, Endpoints.CloseReason reason, boolean underRequest,
                    String cause, Endpoints.ConnectionUse use) {
                closeReasons.add(reason);
            }
        });
        runInLoop(() -> {
            endpoints.updateEndpoint(ENDPOINT, server.address(), true, 0, 1);
            return null;
        });
    }

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        server.close();
    }

    private <T> T runInLoop(Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }

    /**
     * Starts a call, which waits for a current list before it connects, and again once its connection is up. Returns
     * the task that continues the call after the second wait.
     */
    private Runnable startCallThatWaits(double timeoutMs) throws InterruptedException {
        AcceptedMessage message =
                new AcceptedMessage(0, "m", "order", "t", Optional.empty(), Optional.empty(), 7, 0, new byte[5]);
        runInLoop(() -> {
            endpoints.call(message, 0, ENDPOINT, timeoutMs);
            endpoints.flush();
            return null;
        });
        resume(waitingTasks.poll(30, TimeUnit.SECONDS));
        return waitingTasks.poll(30, TimeUnit.SECONDS);
    }

    private void resume(Runnable task) {
        runInLoop(() -> {
            task.run();
            return null;
        });
    }

    private Outcome nextOutcome() throws InterruptedException {
        return outcomes.poll(30, TimeUnit.SECONDS);
    }

    @Test
    void callIsSentOnceListIsCurrent() throws Exception {
        Runnable task = startCallThatWaits(LONG_MS);
        assertEquals(List.of(), server.requests);
        resume(task);
        assertEquals(Outcome.DELIVERED, nextOutcome());
    }

    @Test
    void callIsNotSentIfEndpointDrainsByThen() throws Exception {
        Runnable task = startCallThatWaits(LONG_MS);
        draining = true;
        resume(task);
        assertEquals(Outcome.NOT_SENT, nextOutcome());
        assertEquals(List.of(), server.requests);
        assertEquals(1, runInLoop(endpoints::idleConnections), "the connection serves the next call");
    }

    @Test
    void callIsNotSentIfItHasTimedOutByThen() throws Exception {
        Runnable task = startCallThatWaits(SHORT_MS);
        Outcome outcome = nextOutcome();
        assertEquals(false, outcome.mayHaveRun(), "the call was never sent: " + outcome);
        resume(task);
        StubServer.await("the connection is idle", () -> runInLoop(endpoints::idleConnections) == 1);
        assertEquals(List.of(), server.requests);
    }

    @Test
    void connectionLostWhileWaitingIsUnreachable() throws Exception {
        Runnable task = startCallThatWaits(LONG_MS);
        server.close();
        assertEquals(Endpoints.CloseReason.PEER, closeReasons.poll(30, TimeUnit.SECONDS));
        resume(task);
        assertEquals(Outcome.UNREACHABLE, nextOutcome());
    }
}
