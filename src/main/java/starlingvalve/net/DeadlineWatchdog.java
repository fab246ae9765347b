package starlingvalve.net;

import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Finds the messages whose time is up and which nobody has ended. The decision module ends each message before its
 * deadline; one that is still open a moment later was lost by a fault on its way, and its client is owed its end all the
 * same. It depends on nothing but the set of open messages and the clock.
 */
final class DeadlineWatchdog {
    /** After the deadline, by which the module ends a message; well before the end would count as late. */
    static final long GRACE_MS = 100;

    private static final long NEVER = Long.MAX_VALUE;

    private final EventExecutor loop;
    private final LongSupplier clockMs;
    private final Consumer<AcceptedMessage> overdue;
    private final TreeSet<AcceptedMessage> byDeadline =
            new TreeSet<>(Comparator.<AcceptedMessage>comparingLong(held -> held.deadlineMs)
                    .thenComparingLong(held -> held.number));
    private long nextCheckMs = NEVER;
    private boolean suspended;

    /** By this clock, which is that of the messages' deadlines; {@code overdue} is told each such message once. */
    DeadlineWatchdog(EventExecutor loop, LongSupplier clockMs, Consumer<AcceptedMessage> overdue) {
        this.loop = loop;
        this.clockMs = clockMs;
        this.overdue = overdue;
    }

    /** A message is open from now on. */
    void watch(AcceptedMessage held) {
        byDeadline.add(held);
        schedule();
    }

    /** A message has ended. */
    void forget(AcceptedMessage held) {
        byDeadline.remove(held);
    }

    /** Another process owns the messages: nothing is told any more. */
    void suspend() {
        suspended = true;
    }

    /** At the first deadline; a check that was scheduled for a later one does no harm. */
    private void schedule() {
        if (suspended || byDeadline.isEmpty()) {
            return;
        }
        long checkMs = byDeadline.first().deadlineMs + GRACE_MS;
        if (checkMs < nextCheckMs) {
            nextCheckMs = checkMs;
            AfterPendingReads.schedule(loop, Math.max(0, checkMs - clockMs.getAsLong()), TimeUnit.MILLISECONDS,
                    () -> check(checkMs));
        }
    }

    private void check(long scheduledMs) {
        if (scheduledMs == nextCheckMs) {
            nextCheckMs = NEVER;
        }
        if (!suspended) {
            takeOverdue().forEach(overdue);
        }
        schedule();
    }

    private List<AcceptedMessage> takeOverdue() {
        List<AcceptedMessage> taken = new ArrayList<>();
        long now = clockMs.getAsLong();
        while (!byDeadline.isEmpty() && byDeadline.first().deadlineMs + GRACE_MS <= now) {
            taken.add(byDeadline.pollFirst());
        }
        return taken;
    }
}
