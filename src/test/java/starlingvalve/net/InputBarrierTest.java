package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** When what waits for the reading of all input goes on, by a clock that stands still between its steps. */
class InputBarrierTest {
    private static final long LONG_NANOS = TimeUnit.MILLISECONDS.toNanos(30);
    private static final long SHORT_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private final EventExecutor loop = new DefaultEventLoop();
    private final AtomicLong now = new AtomicLong();
    /** How much later each look at the clock finds it. */
    private volatile long step;
    private final InputBarrier barrier = new InputBarrier(loop, () -> now.getAndAdd(step));
    /** Used on the loop. */
    private final List<String> ran = new ArrayList<>();

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private List<String> ranSoFar() {
        return loop.submit(() -> List.copyOf(ran)).syncUninterruptibly().getNow();
    }

    private void awaitRun(String... tasks) throws InterruptedException {
        StubServer.await("tasks " + List.of(tasks) + " ran", () -> ranSoFar().equals(List.of(tasks)));
    }

    @Test
    void whatTheReadingQueuesBeforeRunsFirst() throws Exception {
        loop.submit(() -> {
            barrier.runAfterPendingInput(() -> ran.add("write"));
            barrier.runAfterPendingInput(() -> ran.add("second write"));
            loop.execute(() -> ran.add("told in the same pass"));
        }).sync();
        awaitRun("told in the same pass", "write", "second write");
    }

    @Test
    void whatWaitsAgainGoesOnAfterAnotherReading() throws Exception {
        loop.execute(() -> barrier.runAfterPendingInput(() -> barrier.runAfterPendingInput(() -> ran.add("write"))));
        awaitRun("write");
    }

    @Test
    void whatWasReadIsRecentForAWhile() throws Exception {
        loop.execute(() -> barrier.runAfterPendingInput(() -> ran.add("write")));
        awaitRun("write");
        now.addAndGet(SHORT_NANOS);
        assertTrue(loop.submit(barrier::isInputRecent).get());
        now.addAndGet(LONG_NANOS);
        assertFalse(loop.submit(barrier::isInputRecent).get());
    }

    @Test
    void aLoopWhosePassesAreAllLongGoesOnAllTheSame() throws Exception {
        step = LONG_NANOS;
        loop.execute(() -> barrier.runAfterPendingInput(() -> ran.add("write")));
        awaitRun("write");
        assertEquals(8, now.get() / LONG_NANOS - 1, "two looks at the clock in each of four passes, and one at the end");
    }

    @Test
    void whatWaitsBehindATaskThatFailsIsStillRun() throws Exception {
        loop.submit(() -> {
            barrier.runAfterPendingInput(() -> {
                throw new IllegalStateException("a fault of the test's");
            });
            barrier.runAfterPendingInput(() -> ran.add("write"));
            loop.schedule(() -> ran.add("later"), 100, TimeUnit.MILLISECONDS);
        }).sync();
        awaitRun("write", "later");
    }
}
