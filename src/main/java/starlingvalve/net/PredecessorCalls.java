package starlingvalve.net;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** What an old process still does for this one after it has handed over: its calls that are out. */
final class PredecessorCalls {
    /** One attempt of a message, by the module's number. */
    record AttemptId(long message, int attempt) {
    }

    private final Map<Long, AcceptedMessage> held = new HashMap<>();
    private final Set<AttemptId> out = new HashSet<>();
    /** Calls that are over for a message, but not for others that travel with it. */
    private final Map<Long, Integer> openCalls = new HashMap<>();

    void held(AcceptedMessage message) {
        held.put(message.number, message);
    }

    Optional<AcceptedMessage> held(long message) {
        return Optional.ofNullable(held.get(message));
    }

    void out(AttemptId attempt) {
        out.add(attempt);
    }

    boolean isInFlight(AttemptId attempt) {
        return out.contains(attempt);
    }

    /** An attempt has ended: whether it was out there. */
    boolean ended(AttemptId attempt, boolean open) {
        boolean was = out.remove(attempt);
        if (was && open) {
            openCalls(attempt.message(), 1);
        }
        return was;
    }

    void openCalls(long message, int more) {
        if (more > 0) {
            openCalls.merge(message, more, Integer::sum);
        }
    }

    /** An open call is over: whether there was one. */
    boolean closed(long message) {
        boolean was = openCalls.containsKey(message);
        openCalls.computeIfPresent(message, (m, n) -> n > 1 ? n - 1 : null);
        return was;
    }

    /** The old process is gone: all that it had out, which nobody will report any more. */
    List<AttemptId> attemptsInFlight() {
        return new ArrayList<>(out);
    }

    /** The open calls alike, one entry for each. */
    List<Long> messagesOfOpenCalls() {
        List<Long> all = new ArrayList<>();
        openCalls.forEach((message, n) -> {
            for (int i = 0; i < n; i++) {
                all.add(message);
            }
        });
        return all;
    }

    /** All messages that came with the handover. */
    List<AcceptedMessage> acceptedMessages() {
        return new ArrayList<>(held.values());
    }

    /** Nothing is awaited any more. */
    void clear() {
        held.clear();
        out.clear();
        openCalls.clear();
    }

    int size() {
        return out.size();
    }
}
