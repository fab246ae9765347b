package starlingvalve.net;

import java.util.Optional;
import starlingvalve.net.AttemptOutcomes.Interruption;

/**
 * Why an attempt ended as it did, for the log.
 *
 * @param interruption what ended it without a whole answer; empty if an answer did
 * @param status the status in the first line of the answer, 0 if none was read
 * @param messages how many messages its request carried
 * @param left how many of those were not waited for any more
 */
record AttemptReport(Optional<Interruption> interruption, int status, int messages, int left) {
    /** Whether a message had left the call, whose answer then does not count for the platform in all cases. */
    boolean wasPartlyAbandoned() {
        return messages > 1 && left > 0;
    }

    /** One word for the log. */
    String cause() {
        return interruption.map(Interruption::name).orElse("ANSWER");
    }
}
