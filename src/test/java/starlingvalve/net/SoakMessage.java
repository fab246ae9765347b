package starlingvalve.net;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongBinaryOperator;
import starlingvalve.net.MessageHistory.Kind;

/** The observed history of one message of a soak, checked against all rules that concern a single message. */
final class SoakMessage {
    private final MessageHistory history;
    private final DeadlineHistory deadlineHistory;
    /** The submission was sent completely on a new connection, which was then closed without an answer. */
    private volatile boolean closedUnanswered;

    SoakMessage(String id, boolean atMostOnce, long sentNanos, long budgetMs) {
        this.history = new MessageHistory(id, atMostOnce);
        this.deadlineHistory = new DeadlineHistory(id, sentNanos, budgetMs);
    }

    /** The client has received the 202 for the message. */
    void accepted() {
        long nowNanos = System.nanoTime();
        history.add(nowNanos, Kind.ACCEPTED);
        deadlineHistory.accepted(nowNanos);
    }

    /** A call with the message has arrived at an endpoint. */
    void called(long atNanos, String event) {
        history.add(atNanos, Kind.CALLED);
        deadlineHistory.addEvent(atNanos, event);
    }

    /** The endpoint answers the last call in a way that proves that it did not execute the message. */
    void notExecuted() {
        history.add(System.nanoTime(), Kind.NOT_EXECUTED);
    }

    /**
     * An answer that accepts the message was written.
     *
     * @param awaited whether the sender still waited for the answer
     */
    void delivered(boolean awaited) {
        long nowNanos = System.nanoTime();
        history.add(nowNanos, awaited ? Kind.DELIVERED : Kind.DELIVERED_LATE);
        deadlineHistory.ended(nowNanos, awaited ? "delivered" : "delivered late");
    }

    /** A notice of the end of the message was acknowledged. */
    void noticeAcknowledged(String result) {
        long nowNanos = System.nanoTime();
        history.add(nowNanos, Kind.NOTICE_ACKNOWLEDGED);
        deadlineHistory.ended(nowNanos, "notice " + result);
    }

    /** The sender process that held the message was killed. */
    void killed(long atNanos) {
        history.add(atNanos, Kind.KILLED);
    }

    /** The sender closed the connection of the submission without an answer. */
    void closedUnanswered() {
        closedUnanswered = true;
        deadlineHistory.addEvent(System.nanoTime(), "closed without an answer");
    }

    boolean isAccepted() {
        return deadlineHistory.isAccepted();
    }

    boolean isEnded() {
        return deadlineHistory.isEnded();
    }

    /** The time after which the end of the message is overdue, given these restarts. */
    long overdueNanos(List<DeadlineHistory.Restart> restarts) {
        return deadlineHistory.overdueNanos(restarts);
    }

    /** Describes each rule that the message breaks, one line each. */
    List<String> violations(List<DeadlineHistory.Restart> restarts, LongBinaryOperator stalledNanos) {
        List<String> violations = new ArrayList<>(history.violations());
        deadlineHistory.violation(restarts, stalledNanos).filter(violation -> !violations.contains(violation))
                .ifPresent(violations::add);
        if (closedUnanswered) {
            violations.add("read and closed without an answer");
        }
        return violations.stream().map(violation -> violation + ": " + deadlineHistory + " " + history).toList();
    }
}
