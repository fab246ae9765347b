package starlingvalve.net;

/**
 * How long the list of endpoints may be used without asking discovery again, and when discovery's agent counts as
 * silent.
 *
 * <p>In a deployment where changes are pushed, this sender counts as notified of a change as soon as discovery's agent
 * has it, and calls to a draining server have to stop within the configured grace period. The budget is that grace
 * period and its slack, less the time for which the process may stall between a decision and its write. A call is sent
 * at most the budget after the last time at which the list was certainly up to date: the time at which a check was
 * <em>sent</em> that was answered, or that a reachable agent would have answered.
 *
 * <p>In a deployment where the sender asks for changes, the list stays valid once discovery has answered; there the
 * timing of the watch requests ensures that changes arrive within the protocol's time limits.
 *
 * @param expires whether the lease expires, so that checks have to renew it
 * @param leaseMs time after the sending of an answered check for which the list counts as up to date
 * @param checkIntervalMs shortest time between two checks
 * @param answerTimeoutMs time without an answer to a check on a new connection after which the agent counts as silent
 * @param startupAnswerTimeoutMs the same time-out before the agent's first answer
 * @param silenceMs time after the sending of an unanswered check for which the agent still counts as silent
 */
record ListLeasePolicy(boolean expires, long leaseMs, long checkIntervalMs, long answerTimeoutMs,
        long startupAnswerTimeoutMs, long silenceMs) {
    /** The protocol allows this much more than each of its time limits. */
    private static final double SLACK_MS = 50;
    /** Longest time for which the process may stall between reading its clock and writing. */
    private static final double MAX_STALL_MS = 150;
    /** With a very short grace period checks still need some time for their answers. */
    private static final double MIN_BUDGET_MS = 60;
    /**
     * A process that has just started is slow, and so may be the agent on the same machine. Messages that wait this
     * long for the first answer lose little time, while calls sent by an outdated list would violate the protocol.
     */
    private static final long STARTUP_ANSWER_TIMEOUT_MS = 500;

    /**
     * This machine may be unable to open connections for a moment, which says nothing about the agent. After this time
     * calls are sent by the last list, since otherwise no message would be delivered over the existing connections.
     */
    static final long LOCAL_FAILURE_MS = 2000;

    /**
     * Creates the policy of a deployment.
     *
     * @param pushed whether changes are pushed; otherwise this sender asks for them
     * @param drainGraceMs time within which calls to a draining server have to stop
     */
    static ListLeasePolicy of(boolean pushed, double drainGraceMs) {
        double budgetMs = Math.max(MIN_BUDGET_MS, drainGraceMs + SLACK_MS - MAX_STALL_MS);
        return new ListLeasePolicy(pushed, (long) (budgetMs * 2 / 3), (long) (budgetMs / 2), (long) (budgetMs / 3),
                STARTUP_ANSWER_TIMEOUT_MS, (long) budgetMs);
    }
}
