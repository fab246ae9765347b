package starlingvalve.net;

import starlingvalve.DeliveryPolicy.Outcome;

/**
 * Derives the outcome of an attempt by the protocol's table. This is the only place that decides whether an attempt may
 * have run, that is, whether the endpoint may have processed the message.
 *
 * <p>Two things prove that an attempt never ran: the last byte of its request was not written and never will be, or
 * its complete answer says so. Bytes after a complete answer don't invalidate it, unless they may be an answer with
 * another status. A truncated or unreadable answer proves nothing, with one exception: a status line with 200 in the
 * answer to a single message proves that the message was delivered.
 */
final class AttemptOutcomes {
    /** Why an attempt ended without a complete answer. */
    enum Interruption {
        /** The connection could not be established. */
        CONNECT_FAILED,
        /** The connection was lost, or the bytes received on it can't be parsed. */
        CONNECTION_LOST,
        /** Its time-out passed. */
        TIMED_OUT,
        /** The delivery policy does not need it any more. */
        CANCELLED,
        /** It was withdrawn before its first byte was written. */
        WITHHELD
    }

    /** What an answer with status 503 refused, judging by its headers and its connection. */
    enum Refusal {
        /** The message: a limit is reached, a queue is full, or the endpoint refuses all calls for a while. */
        MESSAGE(Outcome.FULL),
        /** The connection: it was new, and is closed after this answer. */
        CONNECTION(Outcome.NO_CONNECTION),
        /** The call: this sender had no free slot. */
        SLOT(Outcome.NOT_SENT);

        private final Outcome outcome;

        Refusal(Outcome outcome) {
            this.outcome = outcome;
        }

        /**
         * Determines what an answer refused.
         *
         * @param noSlot whether the answer says that no slot was free
         * @param newConnection whether it is the first answer on its connection
         * @param keepAlive whether its connection stays open
         */
        static Refusal of(boolean noSlot, boolean newConnection, boolean keepAlive) {
            if (noSlot) {
                return SLOT;
            }
            return newConnection && !keepAlive ? CONNECTION : MESSAGE;
        }
    }

    /** An outcome; {@code messageEnded} tells that the message has ended and needs no notice of its end. */
    record Result(Outcome outcome, boolean messageEnded) {
        private static Result of(Outcome outcome) {
            return new Result(outcome, false);
        }

        /** Whether the message must not be sent again, whatever the outcome of its other attempts. */
        boolean endsMessage() {
            return messageEnded || outcome == Outcome.DELIVERED;
        }
    }

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int GONE = 410;
    private static final int TOO_LARGE = 413;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final int NO_MORE_ATTEMPTS = 504;

    private AttemptOutcomes() {
    }

    /**
     * The outcome of an attempt without a complete answer.
     *
     * @param requestMayArrive whether the last byte of its request was written or may still be written
     */
    static Outcome interrupted(Interruption cause, boolean requestMayArrive) {
        if (cause == Interruption.CANCELLED) {
            return Outcome.CANCELLED;
        }
        if (requestMayArrive) {
            return cause == Interruption.TIMED_OUT ? Outcome.TIMED_OUT : Outcome.BROKEN;
        }
        return cause == Interruption.WITHHELD ? Outcome.NOT_SENT : Outcome.UNREACHABLE;
    }

    /**
     * The result that the status of an answer gives for each message of its exchange.
     *
     * @param proven whether the answer is complete, and followed by nothing that may be another answer
     * @param refusal what an answer with status 503 refused
     * @param messages number of messages in the request
     */
    static Result answered(int status, boolean proven, Refusal refusal, int messages) {
        if (status == OK && messages == 1) {
            return firstLineDelivered();
        }
        if (!proven) {
            return Result.of(Outcome.BROKEN);
        }
        return switch (status) {
            case TOO_MANY_REQUESTS -> Result.of(Outcome.FULL);
            case UNAVAILABLE -> Result.of(refusal.outcome);
            case NO_MORE_ATTEMPTS -> Result.of(Outcome.NOT_SENT);
            case GONE -> new Result(Outcome.NOT_SENT, true);
            case BAD_REQUEST, TOO_LARGE -> Result.of(messages == 1 ? Outcome.ERROR : Outcome.NOT_SENT);
            default -> Result.of(Outcome.ERROR);
        };
    }

    /** The result that a status line with 200 gives for the message of an exchange with a single message. */
    static Result firstLineDelivered() {
        return Result.of(Outcome.DELIVERED);
    }

    /** The result that a complete answer to a batch gives for one of its messages, by the protocol's word for it. */
    static Result reported(String word) {
        return switch (word) {
            case "accepted" -> Result.of(Outcome.DELIVERED);
            case "deferred" -> Result.of(Outcome.FULL);
            case "expired" -> new Result(Outcome.NOT_SENT, true);
            case "no_more" -> Result.of(Outcome.NOT_SENT);
            default -> Result.of(Outcome.ERROR);
        };
    }
}
