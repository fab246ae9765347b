package starlingvalve.net;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A message that this sender has taken on, with all that its journal must know of it: who may send it again,
 * and how, is decided from this after a restart.
 */
final class AcceptedMessage {
    final long number;
    final String id;
    final String messageClass;
    final String tenant;
    /** The idempotency key, which goes on to the endpoint. */
    final Optional<String> idempotencyKey;
    /** What it is about: messages of one thread go out in order, in classes that keep it. */
    final Optional<String> orderingKey;
    final long destination;
    /** By the journal's {@link SteadyClock}, since it must hold in a later life. */
    final long deadlineMs;
    final byte[] body;
    final List<Attempt> attempts = new ArrayList<>();
    /** So many of them, from the first, are in the journal. */
    int journalledAttempts;
    Optional<Notice> pendingNotice = Optional.empty();
    /** Bytes of its records in the journal. */
    long bytes;
    /** Answers to requests with its id of which it is not known yet whether they were written. */
    private int pendingAnswers;
    /** Its client has heard that it was taken; what comes back from the journal counts as heard. */
    boolean acceptanceAcknowledged;
    /** An answer has been read that tells its end, though the module may not know yet: nothing is written for it now. */
    boolean endReceived;
    /** Nothing may be sent for it any more: delivered, over, or ended by a notice. */
    boolean ended;

    /**
     * An attempt; from its first byte on it may have run, whatever becomes of this process, unless its end proves
     * otherwise.
     */
    static final class Attempt {
        final String endpoint;
        final long sentAtMs;
        /** The version of discovery's list by which the endpoint was chosen; -1 before discovery has answered. */
        long listGeneration = -1;
        boolean neverRan = true;

        Attempt(String endpoint, long sentAtMs) {
            this.endpoint = endpoint;
            this.sentAtMs = sentAtMs;
        }
    }

    /** The end that the platform must still hear of. */
    record Notice(boolean bounced, double waitMs) {
        /** Says nothing but that the message is over. */
        static final Notice CONFIRMATION = new Notice(false, 0);
    }

    /** What is known of whether a client has heard that the message was taken. */
    enum Acknowledgement {
        /** One has. */
        ACKNOWLEDGED,
        /** An answer is still to be written. */
        PENDING,
        /** None has, and none will. */
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

    /** One more request with its id is answered; {@link #answerCompleted} follows. */
    void addPendingAnswer() {
        pendingAnswers++;
    }

    /** An answer was written, or never will be. */
    Acknowledgement answerCompleted(boolean written) {
        pendingAnswers = Math.max(0, pendingAnswers - 1);
        if (written) {
            return Acknowledgement.ACKNOWLEDGED;
        }
        return pendingAnswers > 0 ? Acknowledgement.PENDING : Acknowledgement.UNACKNOWLEDGED;
    }
}
