package starlingvalve.net;

import java.util.Optional;
import starlingvalve.net.AttemptOutcomes.Interruption;

/**
 * Why an attempt ended, for the event log.
 *
 * @param interruption what ended it without a complete answer; empty if an answer ended it
 * @param status the status in the status line of the answer; 0 if none was read
 * @param messages number of messages that its request carried
 * @param abandoned number of those whose calls had been abandoned: cancelled, timed out or withheld
 */
record AttemptReport(Optional<Interruption> interruption, int status, int messages, int abandoned) {
    /**
     * Whether the request carried several messages and the call of at least one of them had been abandoned. The
     * platform does not in all cases count the answer to such a request.
     */
    boolean wasPartlyAbandoned() {
        return messages > 1 && abandoned > 0;
    }

    /** The interruption, or {@code ANSWER}, for the event log. */
    String cause() {
        return interruption.map(Interruption::name).orElse("ANSWER");
    }
}
