package starlingvalve.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBufInputStream;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import starlingvalve.InvalidInputException;

/**
 * The list of endpoints that this sender holds, with its version. Several requests for it may be in flight at once, and
 * their answers may arrive in any order: an answer that is older than the held list changes nothing.
 */
final class EndpointList {
    private static final String PATH = "/v1/servers";
    private static final String SERVING = "SERVING";
    private static final String DRAINING = "DRAINING";
    private static final String DELETED = "DELETED";
    private static final String ID = "instanceId";
    private static final String LIFECYCLE = "lifecycle";
    private static final String GENERATION = "generation";
    private static final String INSTANCES = "instances";
    private static final String RESET = "reset";
    private static final String ADDRESS = "hostPort";
    private static final String ZONE = "zone";
    private static final String KIND = "machineType";
    private static final String DESTINATION = "cell";
    private static final String WEIGHT = "weight";
    /** The fields of an entry that are kept. */
    private static final Set<String> FIELDS = Set.of(ID, ADDRESS, ZONE, KIND, DESTINATION, LIFECYCLE, WEIGHT,
            "startedAtMs");
    /** Most endpoints in the list; the largest fleets have 3,200. */
    static final int MAX_ENTRIES = 8192;
    /** Longest answer that is read: 512 bytes for each endpoint. */
    static final int MAX_ANSWER_BYTES = MAX_ENTRIES * 512;
    /** Most JSON tokens of an answer: an entry has 18 with the protocol's fields. */
    private static final int MAX_TOKENS = MAX_ENTRIES * 20;
    /** Longest text of a field that is kept. */
    private static final int MAX_TEXT_LENGTH = 256;
    /** The version before discovery has answered, and after an unusable answer. */
    private static final long UNKNOWN = -1;

    /**
     * One endpoint of the list.
     *
     * @param id the platform's id of the endpoint
     * @param address null if the address of an endpoint that takes no new work can't be read
     * @param kind the machine type
     * @param destination the number of its destination, which discovery calls the cell
     * @param serving whether the endpoint takes new work
     * @param deleted whether the endpoint is deleted
     */
    record Entry(String id, InetSocketAddress address, String zone, String kind, long destination,
                 boolean serving, boolean deleted, double weight) {
    }

    /** Receives each new list and the changes to it. */
    interface Listener {
        /**
         * Called when the list has changed.
         *
         * @param full whether the entries are the full list, rather than those that have changed
         */
        void listChanged(boolean full, List<Entry> entries);
    }

    /** The origin of a list; written to the event log. */
    enum Source {
        /** The configuration of the sender, which may be outdated. */
        CONFIGURATION,
        /** An answer from discovery. */
        DISCOVERY,
        /** The predecessor process, from which this process takes over. */
        OLD_PROCESS
    }

    /**
     * A request for the list or for changes to it.
     *
     * @param number the sequence number of the request, in the order of sending
     * @param after the version since which changes are requested; negative if the full list is requested
     */
    record Query(long number, long after) {
        /** Whether the full list is requested. */
        boolean isFull() {
            return after < 0;
        }

        /** The request path; {@code waitMs} is how long discovery may wait for a change before it answers. */
        String path(long waitMs) {
            return isFull() ? PATH : PATH + "?after=" + after + "&wait_ms=" + waitMs;
        }
    }

    /** The effect of an answer on the list. */
    enum Result {
        /** The answer changed the list. */
        CHANGED,
        /** The answer contains nothing newer than the held list. */
        UNCHANGED,
        /**
         * There was no answer, it was an error, it could not be parsed, or its changes do not apply to the held
         * list.
         */
        UNUSABLE
    }

    private final Listener listener;
    private final EventLog events;
    private final ObjectMapper json = JsonMapper.builder(JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder().maxTokenCount(MAX_TOKENS).build()).build()).build();
    private final Map<String, JsonNode> entries = new LinkedHashMap<>();
    private long generation = UNKNOWN;
    private long queryCount;
    /** The highest number of a request whose answer was applied. */
    private long lastAppliedQuery;

    EndpointList(Listener listener, EventLog events) {
        this.listener = listener;
        this.events = events;
    }

    /** The version of the held list of discovery; negative while none is held. */
    long generation() {
        return generation;
    }

    /** Whether the held list comes from discovery, and its version is known. */
    boolean isFromDiscovery() {
        return generation >= 0;
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    /** The current list in the JSON form of discovery. */
    ObjectNode toJson() {
        ObjectNode full = json.createObjectNode().put(RESET, true);
        full.putArray(INSTANCES).addAll(entries.values());
        return full;
    }

    /** Passes the current list to the listener. */
    void notifyListener() {
        listener.listChanged(true, read(entries.values()));
    }

    /** Loads a full list that does not come from discovery. */
    void loadKnown(JsonNode known, Source source) {
        apply(known, true, source);
    }

    /** Marks endpoints as draining; has no effect on a list that comes from discovery. */
    void markDraining(Set<String> ids) {
        if (isFromDiscovery()) {
            return;
        }
        entries.replaceAll((id, entry) -> ids.contains(id) ? ((ObjectNode) entry.deepCopy()).put(LIFECYCLE, DRAINING)
                : entry);
    }

    /** Creates the next request: for changes, or for the full list if the version of the held list is unknown. */
    Query query() {
        return new Query(++queryCount, generation);
    }

    /** Discards the version of the list, so the next request is for the full list. */
    void forgetGeneration() {
        generation = UNKNOWN;
    }

    /** Applies the result of a request: an answer, or none if it did not arrive in time. */
    Result apply(Query query, Optional<FullHttpResponse> response) {
        if (response.filter(r -> r.status().codeClass() == HttpStatusClass.CLIENT_ERROR).isPresent()) {
            // Discovery may not know the version in the request; a request for the full list contains none.
            forgetGeneration();
        }
        return response.filter(r -> r.status().equals(HttpResponseStatus.OK)).map(r -> apply(query, r))
                .orElse(Result.UNUSABLE);
    }

    private Result apply(Query query, FullHttpResponse answer) {
        try (InputStream in = new ByteBufInputStream(answer.content())) {
            return apply(query, json.readTree(in));
        } catch (IOException | InvalidInputException | RuntimeException e) {
            // Whatever the fault, the caller must return and send the next request, as nothing else would.
            Log.line("discovery's answer can't be used: " + e.getMessage());
            forgetGeneration();
            return Result.UNUSABLE;
        }
    }

    private Result apply(Query query, JsonNode update) throws InvalidInputException {
        boolean full = query.isFull() || update.path(RESET).asBoolean();
        long answeredGeneration = update.path(GENERATION).asLong(UNKNOWN);
        boolean wellFormed = update.path(GENERATION).isIntegralNumber() && update.path(INSTANCES).isArray();
        boolean applicable = full || isFromDiscovery() && answeredGeneration >= query.after();
        if (!wellFormed || !applicable) {
            forgetGeneration();
            return Result.UNUSABLE;
        }
        if (isOutdated(query, answeredGeneration, full)) {
            return Result.UNCHANGED;
        }
        requireRoom(update, full);
        generation = answeredGeneration;
        lastAppliedQuery = Math.max(lastAppliedQuery, query.number());
        apply(update, full, Source.DISCOVERY);
        return full || !update.path(INSTANCES).isEmpty() ? Result.CHANGED : Result.UNCHANGED;
    }

    /** Checks that the list stays within its limits, however many answers change it. */
    private void requireRoom(JsonNode update, boolean full) throws InvalidInputException {
        int size = full ? 0 : entries.size();
        for (JsonNode entry : update.path(INSTANCES)) {
            size += full || !entries.containsKey(entry.path(ID).asText()) ? 1 : 0;
            for (String field : FIELDS) {
                if (entry.path(field).asText().length() > MAX_TEXT_LENGTH) {
                    throw new InvalidInputException(field + " has over " + MAX_TEXT_LENGTH + " characters");
                }
            }
        }
        if (size > MAX_ENTRIES) {
            throw new InvalidInputException("the list has over " + MAX_ENTRIES + " endpoints");
        }
    }

    /** Whether the value of a field that is kept is a plain one. */
    private static boolean isKept(Map.Entry<String, JsonNode> field) {
        return FIELDS.contains(field.getKey()) && field.getValue().isValueNode();
    }

    /** Returns an entry without the fields that are not kept. */
    private static JsonNode withKeptFields(JsonNode received) {
        ObjectNode entry = JsonNodeFactory.instance.objectNode();
        received.properties().stream().filter(EndpointList::isKept)
                .forEach(field -> entry.set(field.getKey(), field.getValue()));
        return entry;
    }

    /**
     * Whether a newer answer was applied before. The versions of a full list may have restarted, so a lower version
     * alone does not make a full list older.
     */
    private boolean isOutdated(Query query, long answeredGeneration, boolean full) {
        return answeredGeneration < generation && (!full || query.number() < lastAppliedQuery);
    }

    private void apply(JsonNode update, boolean full, Source source) {
        Map<String, JsonNode> previousEntries = full ? new LinkedHashMap<>(entries) : entries;
        if (full) {
            entries.clear();
        }
        List<JsonNode> applied = new ArrayList<>();
        for (JsonNode instance : update.path(INSTANCES)) {
            JsonNode received = withKeptFields(instance);
            String id = received.path(ID).asText();
            JsonNode previous = previousEntries.get(id);
            JsonNode entry = previous == null || full ? received : merged(received, previous);
            logTransition(id, previous, entry);
            if (lifecycle(entry).equals(DELETED)) {
                entries.remove(id);
            } else {
                entries.put(id, entry);
            }
            applied.add(entry);
        }
        if (full) {
            previousEntries.keySet().stream().filter(id -> !entries.containsKey(id))
                    .forEach(id -> events.add("server-state", "endpoint", id, "to", "UNLISTED"));
        }
        if (full || !applied.isEmpty()) {
            events.add("list", "source", source, "generation", update.path(GENERATION).asLong(UNKNOWN), "whole", full,
                    "entries", applied.size(), "listed", entries.size());
            listener.listChanged(full, read(applied));
        }
    }

    /** Adds to a changed entry the fields that it omits because they have not changed. */
    private static JsonNode merged(JsonNode received, JsonNode previous) {
        ObjectNode entry = previous.deepCopy();
        entry.setAll((ObjectNode) received);
        return entry;
    }

    private void logTransition(String id, JsonNode previous, JsonNode entry) {
        if (previous != null && !lifecycle(previous).equals(lifecycle(entry))) {
            events.add("server-state", "endpoint", id, "from", lifecycle(previous), "to", lifecycle(entry));
        }
    }

    private static String lifecycle(JsonNode entry) {
        return entry.path(LIFECYCLE).asText();
    }

    private static List<Entry> read(Iterable<JsonNode> entries) {
        List<Entry> read = new ArrayList<>();
        for (JsonNode entry : entries) {
            try {
                read.add(read(entry));
            } catch (InvalidInputException invalid) {
                Log.line("an entry of the list can't be read: " + invalid.getMessage());
            }
        }
        return read;
    }

    private static Entry read(JsonNode entry) throws InvalidInputException {
        boolean serving = lifecycle(entry).equals(SERVING);
        return new Entry(entry.path(ID).asText(), address(entry, serving), entry.path(ZONE).asText(),
                entry.path(KIND).asText(), entry.path(DESTINATION).asLong(), serving,
                lifecycle(entry).equals(DELETED), entry.path(WEIGHT).asDouble());
    }

    /**
     * Reads the address of an entry.
     *
     * @param needed whether a missing or invalid address makes the entry invalid; otherwise it is null, since an
     *     endpoint that takes no new work must be recorded as such even without its address
     */
    private static InetSocketAddress address(JsonNode entry, boolean needed) throws InvalidInputException {
        try {
            return Config.address(entry.path(ADDRESS).asText());
        } catch (InvalidInputException invalid) {
            if (needed) {
                throw invalid;
            }
            return null;
        }
    }
}
