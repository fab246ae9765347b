package starlingvalve.net;

/**
 * Limits the submissions that are forwarded to the successor and that it has not decided on: it may have stopped
 * reading, while clients give up and submit again.
 */
final class ForwardedSubmissions {
    /** The longest submission fits many times. */
    static final long MAX_BYTES = 2 << 20;
    /** What a submission takes beside its body. */
    private static final int OVERHEAD_BYTES = 1024;

    private long bytes;

    /** Counts a submission that is to be forwarded; returns false, and does not count it, if there is no room. */
    boolean add(SubmissionServer.Submission submission) {
        long total = bytes + size(submission);
        if (total > MAX_BYTES) {
            return false;
        }
        bytes = total;
        return true;
    }

    /** Called once for each counted submission, when it is decided on. */
    void remove(SubmissionServer.Submission submission) {
        bytes -= size(submission);
    }

    private static long size(SubmissionServer.Submission submission) {
        return OVERHEAD_BYTES + submission.body().length;
    }
}
