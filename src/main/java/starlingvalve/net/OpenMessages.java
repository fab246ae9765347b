package starlingvalve.net;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The accepted messages that have not ended, by their number and by the id that the client gave them. */
final class OpenMessages {
    private final Map<Long, AcceptedMessage> byNumber = new TreeMap<>();
    private final Map<String, AcceptedMessage> byId = new HashMap<>();

    /** Adds a message that was accepted or recovered. */
    void add(AcceptedMessage message) {
        byNumber.put(message.number, message);
        byId.put(message.id, message);
    }

    /** Removes a message that has ended. */
    void remove(AcceptedMessage message) {
        byNumber.remove(message.number);
        byId.remove(message.id);
    }

    Optional<AcceptedMessage> find(long number) {
        return Optional.ofNullable(byNumber.get(number));
    }

    Optional<AcceptedMessage> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Returns a copy of all open messages, in the order in which they were accepted. */
    Collection<AcceptedMessage> all() {
        return List.copyOf(byNumber.values());
    }

    int size() {
        return byNumber.size();
    }

    boolean isEmpty() {
        return byNumber.isEmpty();
    }

    /** Removes all messages, since another process owns them now. */
    void clear() {
        byNumber.clear();
        byId.clear();
    }
}
