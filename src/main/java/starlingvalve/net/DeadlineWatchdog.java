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
 * Finds the messages that are still open after their deadline. The delivery policy ends each message before its
 * deadline; a message that is open a little later was lost through a fault, and its client must be notified all the
 * same. The watchdog depends on nothing but the set of open messages and the clock.
 */
final class DeadlineWatchdog {
    /**
     * Time after a message's deadline at which the message counts as overdue; the delivery policy should have ended
     * it by the deadline. This is well below the delay at which the end of a message would count as late.
     */
    static final long GRACE_MS = 100;

    private static final long NEVER = Long.MAX_VALUE;

    private final EventExecutor loop;
    private final LongSupplier clockMs;
    private final Consumer<AcceptedMessage> onOverdue;
    private final TreeSet<AcceptedMessage> byDeadline =
            new TreeSet<>(Comparator.<AcceptedMessage>comparingLong(message -> message.deadlineMs)
                    .thenComparingLong(message -> message.number));
    private long nextCheckMs = NEVER;
    private boolean suspended;

    /** {@code clockMs} is the clock of the messages' deadlines; {@code onOverdue} gets each overdue message once. */
    DeadlineWatchdog(EventExecutor loop, LongSupplier clockMs, Consumer<AcceptedMessage> onOverdue) {
        this.loop = loop;
        this.clockMs = clockMs;
        this.onOverdue = onOverdue;
    }

    /** Starts watching a message. */
    void watch(AcceptedMessage message) {
        byDeadline.add(message);
        schedule();
    }

    /** Stops watching a message, which has ended. */
    void forget(AcceptedMessage message) {
        byDeadline.remove(message);
    }

    /** Reports no more messages, since another process owns them now. */
    void suspend() {
        suspended = true;
    }

    /** Schedules a check for the first deadline; a check already scheduled for a later one stays and does no harm. */
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
            pollOverdue().forEach(onOverdue);
        }
        schedule();
    }

    private List<AcceptedMessage> pollOverdue() {
        List<AcceptedMessage> overdue = new ArrayList<>();
        long nowMs = clockMs.getAsLong();
        while (!byDeadline.isEmpty() && byDeadline.first().deadlineMs + GRACE_MS <= nowMs) {
            overdue.add(byDeadline.pollFirst());
        }
        return overdue;
    }
}
