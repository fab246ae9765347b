package starlingvalve.net;

/**
 * How a message that was taken on has ended. It is kept for as long as its id may come again: a client whose connection
 * closes under its request, or before it has read the answer, sends the same request once more.
 *
 * @param waitMs after how long a refused message may be handed in again, or 0
 * @param expiresAtMs by the journal's {@link SteadyClock}, since it must hold after a restart
 */
record FinishedMessage(String id, Result result, double waitMs, long expiresAtMs) {
    /** From its deadline on, an id may still come for so long: within this time a restarted sender serves again. */
    static final long REPEAT_GRACE_MS = 10_000;

    /** The final answer. */
    enum Result {
        /** It has run. */
        DELIVERED,
        /** Handed back: handing it in again, as a new message, is harmless. */
        REFUSED,
        /** Given up, with no promise about its effect. */
        FAILED
    }

    /** The end of a message by a notice. */
    static FinishedMessage noticed(AcceptedMessage message, AcceptedMessage.Notice notice) {
        Result result = notice.bounced() ? Result.REFUSED : Result.FAILED;
        return new FinishedMessage(message.id, result, notice.waitMs(), message.deadlineMs + REPEAT_GRACE_MS);
    }

    /** The end of a message that an answer tells. */
    static FinishedMessage ended(AcceptedMessage message, Result result) {
        return new FinishedMessage(message.id, result, 0, message.deadlineMs + REPEAT_GRACE_MS);
    }

    boolean isExpired(long nowMs) {
        return nowMs >= expiresAtMs;
    }
}
