package starlingvalve.net;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A message that this sender has accepted, with everything that the journal stores about it. After a restart the
 * decision whether and how the message may be sent again is based on this state.
 */
final class AcceptedMessage {
    /** Identifies the message in the journal and towards the delivery policy. */
    final long number;
    /** Identifies the message towards clients and endpoints. */
    final String id;
    final String messageClass;
    final String tenant;
    /** The idempotency key of the request, which is passed on to the endpoint. */
    final Optional<String> idempotencyKey;
    /** Messages with the same ordering key are sent in order, in classes that require ordering. */
    final Optional<String> orderingKey;
    final long destination;
    /** The deadline by the journal's {@link SteadyClock}, so that it stays valid after a restart. */
    final long deadlineMs;
    final byte[] body;
    final List<Attempt> attempts = new ArrayList<>();
    /** Number of attempts, counted from the first, that are written to the journal. */
    int journalledAttempts;
    /** The notice of its end that the platform has not acknowledged yet. */
    Optional<Notice> pendingNotice = Optional.empty();
    /** Total size of its records in the journal. */
    long bytes;
    /** Number of answers to requests with its id that are neither written yet nor known to be lost. */
    private int pendingAnswers;
    /**
     * Its client has received the answer that the message was accepted. Messages recovered from the journal count as
     * acknowledged.
     */
    boolean acceptanceAcknowledged;
    /**
     * An answer that ends the message was read, though the delivery policy may not know yet. No request is written for
     * the message from then on.
     */
    boolean endReceived;
    /**
     * Nothing may be sent for it any more: it was delivered, an answer or a notice ended it, or its acceptance will
     * never be acknowledged.
     */
    boolean ended;

    /**
     * An attempt to deliver the message. Once its first byte may have been written, the endpoint may have processed the
     * message, even if this process dies, unless the outcome of the attempt proves otherwise.
     */
    static final class Attempt {
        final String endpoint;
        final long sentAtMs;
        /** Version of the discovery list that the endpoint was chosen from; -1 before discovery has answered. */
        long listGeneration = -1;
        /** The endpoint has certainly not processed the message in this attempt. */
        boolean neverRan = true;

        Attempt(String endpoint, long sentAtMs) {
            this.endpoint = endpoint;
            this.sentAtMs = sentAtMs;
        }
    }

    /**
     * A notice of a message's end to the platform.
     *
     * @param bounced whether the message was returned without having been processed, so that it may be submitted again
     * @param waitMs the time after which a returned message may be submitted again, or 0
     */
    record Notice(boolean bounced, double waitMs) {
        /** Only confirms that the message has ended. */
        static final Notice CONFIRMATION = new Notice(false, 0);
    }

    /** Whether a client has received the answer that the message was accepted. */
    enum Acknowledgement {
        /** At least one client has received it. */
        ACKNOWLEDGED,
        /** At least one answer is still to be written. */
        PENDING,
        /** No client has received it, and none will. */
        UNACKNOWLEDGED
    }

    AcceptedMessage(long number, String id, String messageClass, String tenant, Optional<String> idempotencyKey,
            Optional<String> orderingKey, long destination, long deadlineMs, byte[] body) {
        this.number = number;
        this.id = id;
        this.messageClass = messageClass;
        this.tenant = tenant;
        this.idempotencyKey = idempotencyKey;
        this.orderingKey = orderingKey;
        this.destination = destination;
        this.deadlineMs = deadlineMs;
        this.body = body;
    }

    /** Registers an answer to a request with its id; {@link #answerCompleted} follows for each. */
    void addPendingAnswer() {
        pendingAnswers++;
    }

    /** Registers that an answer was written, or never will be. */
    Acknowledgement answerCompleted(boolean written) {
        pendingAnswers = Math.max(0, pendingAnswers - 1);
        if (written) {
            return Acknowledgement.ACKNOWLEDGED;
        }
        return pendingAnswers > 0 ? Acknowledgement.PENDING : Acknowledgement.UNACKNOWLEDGED;
    }
}
