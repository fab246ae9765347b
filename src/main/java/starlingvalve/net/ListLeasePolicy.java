package starlingvalve.net;

/**
 * How long the list of endpoints may be relied on without asking discovery again, and when discovery counts as silent.
 *
 * <p>Where changes are pushed, a change counts as told as soon as discovery's agent has it, and calls to a server that
 * drains have to cease within the grace of the settings. The budget is that grace with its slack, less the time for
 * which the process may be held up between its decision and its write. A call goes out at most the budget after the
 * last moment at which the list was surely the newest: the moment at which a check was <em>sent</em> that has been
 * answered, or that a reachable agent would have answered.
 *
 * <p>Where changes are asked for, the list stands once discovery has answered: the watch keeps the time limits there.
 *
 * @param expires whether the list has to be confirmed again and again
 * @param leaseMs a list counts as the newest so long after an answered check was sent
 * @param checkMs shortest time from one check to the next
 * @param patienceMs an agent that has not answered a new connection for so long counts as silent
 * @param startPatienceMs the same before its first answer
 * @param silenceMs so long after an unanswered check was sent its agent counts as silent still
 */
record ListLeasePolicy(boolean expires, long leaseMs, long checkMs, long patienceMs, long startPatienceMs,
        long silenceMs) {
    /** Each time limit of the protocol is longer by this. */
    private static final double SLACK_MS = 50;
    /** A process may be held up so long between reading its clock and writing. */
    private static final double HELD_UP_MS = 150;
    /** Under very short graces checks still need some time for their answers. */
    private static final double LEAST_BUDGET_MS = 60;
    /**
     * A process that has just started is slow, and so may be the agent beside it. Work that waits so long for the first
     * answer loses little; work that is sent by an old list breaks the rule.
     */
    private static final long START_PATIENCE_MS = 500;

    /**
     * This machine may fail to make connections for a moment, which tells nothing of the agent. Where it lasts longer
     * calls go by the last list, lest no message be delivered over the connections that are there.
     */
    static final long FAILURE_HERE_MS = 2000;

    /** For a deployment whose changes are pushed or asked for; calls to a draining server have to cease in that time. */
    static ListLeasePolicy of(boolean pushed, double drainGraceMs) {
        double budgetMs = Math.max(LEAST_BUDGET_MS, drainGraceMs + SLACK_MS - HELD_UP_MS);
        return new ListLeasePolicy(pushed, (long) (budgetMs * 2 / 3), (long) (budgetMs / 2), (long) (budgetMs / 3),
                START_PATIENCE_MS, (long) budgetMs);
    }
}
