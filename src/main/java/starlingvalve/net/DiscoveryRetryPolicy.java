package starlingvalve.net;

import java.util.Random;

/**
 * The time limits of requests to discovery, and the pauses between them. The limits keep one budget: whatever state
 * the client is in when discovery has a change and can be reached, the change has arrived {@link #BUDGET_MS} later.
 * The worst case is a request that was sent just before, and is lost. From then on the budget is spent on
 * <ol>
 * <li>the wait of that request, the patience with its answer, and the pause after it, which together last no longer
 *     than {@link Timing#intervalMs()};</li>
 * <li>the connect of the next request, {@link AgentConnection#CONNECT_MS} at most;</li>
 * <li>a busy event loop, {@link #LOOP_SLACK_MS} at most: the timer of the pause and the read of the answer may each
 *     be late. A late time-out shortens the pause instead.</li>
 * </ol>
 * Within the budget the patience is long and the pause is random. An overloaded discovery answers late, and a request
 * that is given up and repeated adds to its load; all clients see one outage at one moment, and must not all repeat
 * their requests at another.
 */
final class DiscoveryRetryPolicy {
    /** A change counts as told 6 s after discovery had it and could be reached; the rest is a margin. */
    static final long BUDGET_MS = 5500;
    /** A change counts as told 4 s after discovery's address was replaced; the rest is a margin. */
    static final long ADDRESS_CHANGE_BUDGET_MS = 3200;
    static final long LOOP_SLACK_MS = 500;
    /** Keeps a request that fails at once from being repeated in a tight loop. */
    static final long MIN_PAUSE_MS = 100;
    /** Longest pause after a first failure that came early; it doubles with each failure in a row. */
    static final long FIRST_MAX_PAUSE_MS = 500;
    private static final int MAX_DOUBLINGS = 4;

    /**
     * The limits of one request.
     *
     * @param waitMs how long discovery may wait for a change before it answers
     * @param patienceMs how late its answer may be after that
     * @param intervalMs the next request is sent at most this long after this one, if this one fails
     */
    record Timing(long waitMs, long patienceMs, long intervalMs) {
        /** When the request is given up; the time that it takes to connect is part of this. */
        long limitMs() {
            return waitMs + patienceMs;
        }
    }

    private static final long INTERVAL_MS = BUDGET_MS - AgentConnection.CONNECT_MS - LOOP_SLACK_MS;
    /** A watch while discovery answers. */
    static final Timing WATCH = new Timing(2000, 2000, INTERVAL_MS);
    /** A whole list, or a watch after a failure: it hardly waits, which leaves more room for the pause. */
    static final Timing PROMPT = new Timing(100, 2000, INTERVAL_MS);
    /** The first request to a new address: a second one still has an answer within that budget. */
    static final Timing NEW_ADDRESS =
            new Timing(0, 1500, ADDRESS_CHANGE_BUDGET_MS - AgentConnection.CONNECT_MS - LOOP_SLACK_MS);

    private final Random random;
    private Timing timing = PROMPT;
    private int failuresInARow;

    DiscoveryRetryPolicy(Random random) {
        this.random = random;
    }

    /** The limits of the next request. */
    Timing timing() {
        return timing;
    }

    /** The request was answered, and the answer could be used. */
    void succeeded() {
        failuresInARow = 0;
        timing = WATCH;
    }

    /** Discovery has another address: failures of the old one do not count against it. */
    void addressChanged() {
        failuresInARow = 0;
        timing = NEW_ADDRESS;
    }

    /**
     * The request failed, was refused or was given up.
     *
     * @param elapsedMs the time since it was sent
     * @return the pause before the next request
     */
    long failed(long elapsedMs) {
        failuresInARow++;
        long max = timing.intervalMs() - elapsedMs;
        if (elapsedMs < timing.limitMs()) {
            max = Math.min(max, FIRST_MAX_PAUSE_MS << Math.min(failuresInARow - 1, MAX_DOUBLINGS));
        }
        timing = PROMPT;
        max = Math.max(0, max);
        long min = Math.min(MIN_PAUSE_MS, max);
        return min + (long) (random.nextDouble() * (max - min));
    }
}
