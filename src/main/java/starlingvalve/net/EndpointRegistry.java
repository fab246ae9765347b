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
 * The known endpoints and destinations: the numbers that identify endpoints in the delivery policy, and the contents of
 * discovery's list. An endpoint keeps its number until the process ends.
 */
final class EndpointRegistry {
    private final Map<String, Long> numbers = new HashMap<>();
    /** The ids of the endpoints, indexed by number. */
    private final List<String> ids = new ArrayList<>();
    /** Numbers of the endpoints that the list contains now. */
    private final Set<Long> listed = new HashSet<>();
    /** Destinations that the list has contained since the start. */
    private final Set<Long> destinations = new HashSet<>();

    /** Returns the number of an endpoint; assigns one to an unknown endpoint. */
    long number(String id) {
        return numbers.computeIfAbsent(id, unknown -> {
            ids.add(id);
            return ids.size() - 1L;
        });
    }

    /** Returns the number of an endpoint, if one is assigned. */
    OptionalLong knownNumber(String id) {
        Long number = numbers.get(id);
        return number == null ? OptionalLong.empty() : OptionalLong.of(number);
    }

    /** Returns the id of the endpoint with that number. */
    String id(long number) {
        return ids.get((int) number);
    }

    /** Returns the ids of all endpoints that have a number, in the order of their numbers. */
    List<String> ids() {
        return Collections.unmodifiableList(ids);
    }

    /** Clears the listed endpoints, before the entries of a full list are added. */
    void clearList() {
        listed.clear();
    }

    /** Records that the list contains an endpoint, or, with {@code removed}, that it no longer does. */
    void recordEntry(long number, long destination, boolean removed) {
        destinations.add(destination);
        if (removed) {
            listed.remove(number);
        } else {
            listed.add(number);
        }
    }

    /** Whether the list contains the endpoint now. */
    boolean isListed(long number) {
        return listed.contains(number);
    }

    /** Numbers of the endpoints that the list contains now. */
    Set<Long> listed() {
        return Collections.unmodifiableSet(listed);
    }

    /** Whether the list has contained this destination since the start. */
    boolean knowsDestination(long destination) {
        return destinations.contains(destination);
    }
}
