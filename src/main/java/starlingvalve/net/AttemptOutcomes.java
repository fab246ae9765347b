package starlingvalve.net;

import starlingvalve.DeliveryPolicy.Outcome;

/**
 * The outcome of an attempt, by the protocol's table; the only place that decides whether an attempt may have run.
 *
 * <p>Two things prove that an attempt never ran: the last byte of its request was not written and never will be, or
 * its answer, read whole, says so; what comes behind a whole answer takes nothing from it, unless that may be an answer of
 * another status. An answer that is cut short or can't be read proves nothing, with one exception: the first line of the
 * answer to a single message, if it says 200.
 */
final class AttemptOutcomes {
    /** What ended an attempt that got no whole answer. */
    enum Interruption {
        /** The connection did not come up. */
        CONNECT_FAILED,
        /** The connection broke, or what came over it can't be read. */
        CONNECTION_LOST,
        /** Its time was up. */
        TIMED_OUT,
        /** The decision module needs it no more. */
        CANCELLED,
        /** It was called off before its first byte. */
        WITHHELD
    }

    /** What an answer with 503 refused, as far as its headers and its connection tell. */
    enum Refusal {
        /** The message: a limit, a full queue, an endpoint that is shut. */
        MESSAGE(Outcome.FULL),
        /** The connection: it was new, and the refusal ends it. */
        CONNECTION(Outcome.NO_CONNECTION),
        /** The call: no slot of this sender was free. */
        SLOT(Outcome.NOT_SENT);

        private final Outcome outcome;

        Refusal(Outcome outcome) {
            this.outcome = outcome;
        }

        /**
         * @param noSlot whether the answer says that no slot was free
         * @param newConnection whether it is the first answer of its connection
         * @param keepAlive whether its connection stays open
         */
        static Refusal of(boolean noSlot, boolean newConnection, boolean keepAlive) {
            if (noSlot) {
                return SLOT;
            }
            return newConnection && !keepAlive ? CONNECTION : MESSAGE;
        }
    }

    /** An outcome; {@code over} tells that the message has ended and nothing more is owed for it. */
    record Result(Outcome outcome, boolean over) {
        private static Result of(Outcome outcome) {
            return new Result(outcome, false);
        }

        /** Whether its message must not be sent again, whatever becomes of its other attempts. */
        boolean endsMessage() {
            return over || outcome == Outcome.DELIVERED;
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
     * The end of an attempt without a whole answer.
     *
     * @param requestMayArrive whether the last byte of its request was written or may yet be
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
     * What the status of an answer says of all messages of its exchange.
     *
     * @param proven whether the answer was read whole, with nothing behind it that may be another one
     * @param refusal what an answer with 503 refused
     * @param messages how many messages the request carried
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

    /** What a first line with 200 says of the message of its exchange, where that carried only one. */
    static Result firstLineDelivered() {
        return Result.of(Outcome.DELIVERED);
    }

    /** What a whole and clean answer to several messages says of one of them, by the protocol's word for it. */
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
