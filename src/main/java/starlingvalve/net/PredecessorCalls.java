package starlingvalve.net;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The predecessor's calls that were in flight at the handover, whose ends it reports to this process, and the messages
 * that came with the handover.
 */
final class PredecessorCalls {
    /** An attempt, by the number of its message and its number within that message. */
    record AttemptId(long message, int attempt) {
    }

    /** The messages that came with the handover, by number. */
    private final Map<Long, AcceptedMessage> messages = new HashMap<>();
    /** Attempts in flight in the predecessor. */
    private final Set<AttemptId> inFlight = new HashSet<>();
    /**
     * By message number: the number of calls that are still in flight for other messages, although this message's
     * attempts in them have ended.
     */
    private final Map<Long, Integer> openCalls = new HashMap<>();

    /** Adds a message that came with the handover. */
    void addMessage(AcceptedMessage message) {
        messages.put(message.number, message);
    }

    /** Returns a message that came with the handover, by number. */
    Optional<AcceptedMessage> findMessage(long message) {
        return Optional.ofNullable(messages.get(message));
    }

    /** Adds an attempt that is in flight in the predecessor. */
    void addAttempt(AttemptId attempt) {
        inFlight.add(attempt);
    }

    boolean isInFlight(AttemptId attempt) {
        return inFlight.contains(attempt);
    }

    /**
     * Removes an attempt that has ended, and returns whether it was in flight. {@code open} means that its call is
     * still in flight for other messages.
     */
    boolean attemptEnded(AttemptId attempt, boolean open) {
        boolean known = inFlight.remove(attempt);
        if (known && open) {
            addOpenCalls(attempt.message(), 1);
        }
        return known;
    }

    /** Adds calls that are still in flight for other messages than this one, whose attempts in them have ended. */
    void addOpenCalls(long message, int count) {
        if (count > 0) {
            openCalls.merge(message, count, Integer::sum);
        }
    }

    /** Removes one open call of a message, which has ended for all messages; returns whether there was one. */
    boolean callClosed(long message) {
        boolean known = openCalls.containsKey(message);
        openCalls.computeIfPresent(message, (number, count) -> count > 1 ? count - 1 : null);
        return known;
    }

    /** Returns the attempts in flight, whose ends are not reported any more if the predecessor has ended. */
    List<AttemptId> attemptsInFlight() {
        return new ArrayList<>(inFlight);
    }

    /** Returns the message numbers of the open calls, one entry for each call. */
    List<Long> messagesOfOpenCalls() {
        List<Long> all = new ArrayList<>();
        openCalls.forEach((message, count) -> {
            for (int i = 0; i < count; i++) {
                all.add(message);
            }
        });
        return all;
    }

    /** Returns all messages that came with the handover. */
    List<AcceptedMessage> acceptedMessages() {
        return new ArrayList<>(messages.values());
    }

    /** Forgets everything, because no more reports are expected. */
    void clear() {
        messages.clear();
        inFlight.clear();
        openCalls.clear();
    }

    /** Returns the number of attempts in flight. */
    int inFlightCount() {
        return inFlight.size();
    }
}
