package starlingvalve.net;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongBinaryOperator;
import starlingvalve.net.MessageRecord.Kind;

/** What was seen of one message of a soak, judged by all rules that concern a message alone. */
final class SoakMessage {
    private final MessageRecord effects;
    private final DeadlineRecord deadline;
    /** It was sent whole on a fresh connection, which then ended with no answer. */
    private volatile boolean closedUnanswered;

    SoakMessage(String id, boolean mayRunOnce, long sentNanos, long budgetMs) {
        this.effects = new MessageRecord(id, mayRunOnce);
        this.deadline = new DeadlineRecord(id, sentNanos, budgetMs);
    }

    void taken() {
        long now = System.nanoTime();
        effects.add(now, Kind.TAKEN);
        deadline.taken(now);
    }

    void called(long atNanos, String what) {
        effects.add(atNanos, Kind.CALLED);
        deadline.seen(atNanos, what);
    }

    void neverRan() {
        effects.add(System.nanoTime(), Kind.NEVER_RAN);
    }

    /** An answer that accepts it was written; {@code awaited}: by a sender that still waited for it. */
    void accepted(boolean awaited) {
        long now = System.nanoTime();
        effects.add(now, awaited ? Kind.ACCEPTED : Kind.ACCEPTED_LATE);
        deadline.ended(now, awaited ? "accepted" : "accepted late");
    }

    void noticed(String result) {
        long now = System.nanoTime();
        effects.add(now, Kind.NOTICED);
        deadline.ended(now, "notice " + result);
    }

    void killed(long atNanos) {
        effects.add(atNanos, Kind.KILLED);
    }

    void closedUnanswered() {
        closedUnanswered = true;
        deadline.seen(System.nanoTime(), "closed with no answer");
    }

    boolean isTaken() {
        return deadline.isTaken();
    }

    boolean isEnded() {
        return deadline.isEnded();
    }

    long overdueNanos(List<DeadlineRecord.Restart> restarts) {
        return deadline.overdueNanos(restarts);
    }

    /** A line for each rule that it breaks. */
    List<String> violations(List<DeadlineRecord.Restart> restarts, LongBinaryOperator stalls) {
        List<String> found = new ArrayList<>(effects.violations());
        deadline.violation(restarts, stalls).filter(how -> !found.contains(how)).ifPresent(found::add);
        if (closedUnanswered) {
            found.add("read and closed with no answer");
        }
        return found.stream().map(how -> how + ": " + deadline + " " + effects).toList();
    }
}
