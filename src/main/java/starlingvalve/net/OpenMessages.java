package starlingvalve.net;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The messages that this sender has taken on and not ended, by the module's number and by the client's id. */
final class OpenMessages {
    private final Map<Long, AcceptedMessage> byNumber = new TreeMap<>();
    private final Map<String, AcceptedMessage> byId = new HashMap<>();

    /** A message is open from now on. */
    void add(AcceptedMessage held) {
        byNumber.put(held.number, held);
        byId.put(held.id, held);
    }

    /** A message is over. */
    void remove(AcceptedMessage held) {
        byNumber.remove(held.number);
        byId.remove(held.id);
    }

    Optional<AcceptedMessage> find(long number) {
        return Optional.ofNullable(byNumber.get(number));
    }

    Optional<AcceptedMessage> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** All of them, as they are now, in the order in which they were taken. */
    Collection<AcceptedMessage> all() {
        return List.copyOf(byNumber.values());
    }

    int size() {
        return byNumber.size();
    }

    boolean isEmpty() {
        return byNumber.isEmpty();
    }

    /** Another process owns them. */
    void clear() {
        byNumber.clear();
        byId.clear();
    }
}
