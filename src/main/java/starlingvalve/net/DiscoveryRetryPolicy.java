package starlingvalve.net;

import java.util.Random;

/**
 * The time limits of requests to discovery, and the pauses between them. Together the limits keep a budget: whatever
 * state this sender is in when discovery has a change and is reachable, the change arrives within {@link #BUDGET_MS}.
 * The worst case is a request that was sent just before and is lost. From then on the budget is spent on
 * <ol>
 * <li>the wait that this request asks for, the time-out of its answer, and the pause after it, which together take no
 *     longer than {@link Timing#intervalMs()};</li>
 * <li>the connect of the next request, {@link AgentConnection#CONNECT_MS} at most;</li>
 * <li>delays by a busy event loop, {@link #LOOP_SLACK_MS} at most: the timer of the pause and the read of the answer
 *     may each be late. A late time-out does not count, as it shortens the pause.</li>
 * </ol>
 * Within the budget the time-out is long, because an overloaded discovery answers late and a request that is given up
 * and repeated adds to its load. The pause is random, because all senders see an outage at the same moment and must not
 * all repeat their requests at the same moment too.
 */
final class DiscoveryRetryPolicy {
    /** The sender has to know a change 6 s after discovery has it and is reachable; the difference is a margin. */
    static final long BUDGET_MS = 5500;
    /** The sender has to know a change 4 s after discovery's address was replaced; the difference is a margin. */
    static final long ADDRESS_CHANGE_BUDGET_MS = 3200;
    /** Share of the budget for delays by a busy event loop. */
    static final long LOOP_SLACK_MS = 500;
    /** Shortest pause; keeps a request that fails immediately from being repeated in a tight loop. */
    static final long MIN_PAUSE_MS = 100;
    /** Longest pause after a first failure before the time-out; it doubles with each further failure in a row. */
    static final long FIRST_MAX_PAUSE_MS = 500;
    private static final int MAX_DOUBLINGS = 4;

    /**
     * The time limits of one request.
     *
     * @param waitMs how long discovery may wait for a change before it answers
     * @param answerTimeoutMs how much later its answer may arrive
     * @param intervalMs longest time from sending this request until the next one is sent, if this one fails
     */
    record Timing(long waitMs, long answerTimeoutMs, long intervalMs) {
        /** Time after which the request is given up; it includes the time to connect. */
        long limitMs() {
            return waitMs + answerTimeoutMs;
        }
    }

    private static final long INTERVAL_MS = BUDGET_MS - AgentConnection.CONNECT_MS - LOOP_SLACK_MS;
    /** A watch request while discovery answers. */
    static final Timing WATCH = new Timing(2000, 2000, INTERVAL_MS);
    /** A request for the whole list, or a watch after a failure: the short wait leaves more time for the pause. */
    static final Timing PROMPT = new Timing(100, 2000, INTERVAL_MS);
    /**
     * The first request to a new address: if it fails, a second one is still answered within
     * {@link #ADDRESS_CHANGE_BUDGET_MS}.
     */
    static final Timing NEW_ADDRESS =
            new Timing(0, 1500, ADDRESS_CHANGE_BUDGET_MS - AgentConnection.CONNECT_MS - LOOP_SLACK_MS);

    private final Random random;
    private Timing timing = PROMPT;
    private int failuresInARow;

    DiscoveryRetryPolicy(Random random) {
        this.random = random;
    }

    /** The time limits of the next request. */
    Timing timing() {
        return timing;
    }

    /** Records that the request got a usable answer. */
    void succeeded() {
        failuresInARow = 0;
        timing = WATCH;
    }

    /** Records that discovery has a new address: failures at the old address are not counted any more. */
    void addressChanged() {
        failuresInARow = 0;
        timing = NEW_ADDRESS;
    }

    /**
     * Records that the request failed, was refused or was given up.
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
