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

/** Tests when tasks that wait for pending input run, with a clock that advances only as the test sets it. */
class InputBarrierTest {
    private static final long LONG_NANOS = TimeUnit.MILLISECONDS.toNanos(30);
    private static final long SHORT_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private final EventExecutor loop = new DefaultEventLoop();
    private final AtomicLong nowNanos = new AtomicLong();
    /** How far each read of the clock advances it. */
    private volatile long stepNanos;
    private final InputBarrier barrier = new InputBarrier(loop, () -> nowNanos.getAndAdd(stepNanos));
    /** Names of the tasks that have run; used only on the event loop. */
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
    void tasksQueuedWhileReadingRunFirst() throws Exception {
        loop.submit(() -> {
            barrier.runAfterPendingInput(() -> ran.add("write"));
            barrier.runAfterPendingInput(() -> ran.add("second write"));
            loop.execute(() -> ran.add("queued in the same pass"));
        }).sync();
        awaitRun("queued in the same pass", "write", "second write");
    }

    @Test
    void taskAddedByWaitingTaskRunsAfterAnotherRead() throws Exception {
        loop.execute(() -> barrier.runAfterPendingInput(() -> barrier.runAfterPendingInput(() -> ran.add("write"))));
        awaitRun("write");
    }

    @Test
    void inputIsRecentForLimitedTime() throws Exception {
        loop.execute(() -> barrier.runAfterPendingInput(() -> ran.add("write")));
        awaitRun("write");
        nowNanos.addAndGet(SHORT_NANOS);
        assertTrue(loop.submit(barrier::isInputRecent).get());
        nowNanos.addAndGet(LONG_NANOS);
        assertFalse(loop.submit(barrier::isInputRecent).get());
    }

    @Test
    void tasksRunEvenIfAllLoopPassesAreLong() throws Exception {
        stepNanos = LONG_NANOS;
        loop.execute(() -> barrier.runAfterPendingInput(() -> ran.add("write")));
        awaitRun("write");
        assertEquals(8, nowNanos.get() / LONG_NANOS - 1, "two clock reads in each of four passes, and one at the end");
    }

    @Test
    void tasksAfterFailingTaskStillRun() throws Exception {
        loop.submit(() -> {
            barrier.runAfterPendingInput(() -> {
                throw new IllegalStateException("a fault made by the test");
            });
            barrier.runAfterPendingInput(() -> ran.add("write"));
            loop.schedule(() -> ran.add("later"), 100, TimeUnit.MILLISECONDS);
        }).sync();
        awaitRun("write", "later");
    }
}
