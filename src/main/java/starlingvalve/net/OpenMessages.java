package starlingvalve.net;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The messages that this sender has taken on and not ended, by the module's number and by the client's id. */
final class OpenMessages {
    private final Map<Long, Held> byNumber = new TreeMap<>();
    private final Map<String, Held> byId = new HashMap<>();

    /** A message is open from now on. */
    void add(Held held) {
        byNumber.put(held.number, held);
        byId.put(held.id, held);
    }

    /** A message is over. */
    void remove(Held held) {
        byNumber.remove(held.number);
        byId.remove(held.id);
    }

    Optional<Held> find(long number) {
        return Optional.ofNullable(byNumber.get(number));
    }

    Optional<Held> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** All of them, as they are now, in the order in which they were taken. */
    Collection<Held> all() {
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
