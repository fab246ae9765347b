package starlingvalve.net;

/**
 * The final result of an accepted message. It is kept for as long as a request with the same id may arrive: a client
 * whose connection closes during its request, or before it has read the answer, repeats the request.
 *
 * @param waitMs the time after which a refused message may be submitted again, or 0
 * @param expiresAtMs when the result is no longer kept, on the journal's {@link SteadyClock}, since this time must stay
 *     valid after a restart
 */
record FinishedMessage(String id, Result result, double waitMs, long expiresAtMs) {
    /**
     * Time after a message's deadline during which a client may still repeat its request: a restarted sender serves
     * again within this time.
     */
    static final long REPEAT_GRACE_MS = 10_000;

    /** The result that a client gets when it repeats the request. */
    enum Result {
        /** An endpoint has processed it. */
        DELIVERED,
        /** Returned without effect: submitting it again, as a new message, is safe. */
        REFUSED,
        /** Given up, with no guarantee about its effect. */
        FAILED
    }

    /** The result of a message that was ended by a notice. */
    static FinishedMessage endedByNotice(AcceptedMessage message, AcceptedMessage.Notice notice) {
        Result result = notice.bounced() ? Result.REFUSED : Result.FAILED;
        return new FinishedMessage(message.id, result, notice.waitMs(), message.deadlineMs + REPEAT_GRACE_MS);
    }

    /** The result of a message that an endpoint's answer ended. */
    static FinishedMessage endedByAnswer(AcceptedMessage message, Result result) {
        return new FinishedMessage(message.id, result, 0, message.deadlineMs + REPEAT_GRACE_MS);
    }

    boolean isExpired(long nowMs) {
        return nowMs >= expiresAtMs;
    }
}
