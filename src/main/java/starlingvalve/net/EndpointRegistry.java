package starlingvalve.net;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Which endpoints and destinations are known: the numbers under which the decision module knows endpoints, and what
 * the list of discovery names. A number stays with its endpoint for the life of the process.
 */
final class EndpointRegistry {
    private final Map<String, Long> numbers = new HashMap<>();
    /** By number. */
    private final List<String> ids = new ArrayList<>();
    /** Numbers of the endpoints that the list holds now. */
    private final Set<Long> listed = new HashSet<>();
    /** Destinations that the list has named since the start. */
    private final Set<Long> destinations = new HashSet<>();

    /** The number of an endpoint, a new one if it was not known. */
    long number(String id) {
        return numbers.computeIfAbsent(id, unknown -> {
            ids.add(id);
            return ids.size() - 1L;
        });
    }

    /** The number of an endpoint, if it has one. */
    OptionalLong knownNumber(String id) {
        Long number = numbers.get(id);
        return number == null ? OptionalLong.empty() : OptionalLong.of(number);
    }

    /** The endpoint with that number. */
    String id(long number) {
        return ids.get((int) number);
    }

    /** All endpoints that have a number, in the order of their numbers. */
    List<String> ids() {
        return Collections.unmodifiableList(ids);
    }

    /** The whole list follows. */
    void clearList() {
        listed.clear();
    }

    /** The list holds this endpoint, or no longer does. */
    void list(long number, long destination, boolean gone) {
        destinations.add(destination);
        if (gone) {
            listed.remove(number);
        } else {
            listed.add(number);
        }
    }

    boolean isListed(long number) {
        return listed.contains(number);
    }

    /** Numbers of the endpoints that the list holds now. */
    Set<Long> listed() {
        return Collections.unmodifiableSet(listed);
    }

    /** Whether the list has named this destination since the start. */
    boolean knowsDestination(long destination) {
        return destinations.contains(destination);
    }
}
