package starlingvalve.net;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
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
 * The list of endpoints as this sender holds it, with its version. Several requests for it may be out at once, and
 * their answers may come in any order: an answer that is older than what is held changes nothing.
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
    /** The version before discovery has answered, and after an answer that can't be used. */
    private static final long UNKNOWN = -1;

    /** One entry, by the platform's names; the address may be missing (null) of one that takes no new work. */
    record Entry(String id, InetSocketAddress address, String zone, String kind, long destination,
                 boolean serving, boolean gone, double weight) {
    }

    /** Hears of each list, or of what changed in it. */
    interface Listener {
        void listChanged(boolean whole, List<Entry> entries);
    }

    /** Where a list came from. */
    enum Source {
        /** The configuration of the sender, which may be old. */
        CONFIGURATION,
        /** An answer of discovery. */
        DISCOVERY,
        /** The process that this one takes over from. */
        OLD_PROCESS
    }

    /**
     * A request for what is new.
     *
     * @param number the place among the requests, in the order in which they are sent
     * @param after the version after which changes are asked for; negative where the whole list is
     */
    record Query(long number, long after) {
        boolean isFull() {
            return after < 0;
        }

        /** The path to ask; discovery may wait so long for a change before it answers. */
        String path(long waitMs) {
            return isFull() ? PATH : PATH + "?after=" + after + "&wait_ms=" + waitMs;
        }
    }

    /** What an answer was good for. */
    enum Result {
        /** It told something. */
        CHANGED,
        /** Nothing is newer than what is held. */
        UNCHANGED,
        /** There was none, it told an error, or it could not be read or built upon. */
        UNUSABLE
    }

    private final Listener listener;
    private final EventLog events;
    private final ObjectMapper json = JsonMapper.builder().build();
    private final Map<String, JsonNode> entries = new LinkedHashMap<>();
    private long generation = UNKNOWN;
    private long queries;
    /** The latest sent of the requests whose answers were taken. */
    private long latestTaken;

    EndpointList(Listener listener, EventLog events) {
        this.listener = listener;
        this.events = events;
    }

    /** The version of discovery's list that is held; negative while none is. */
    long generation() {
        return generation;
    }

    /** Whether this is discovery's list, rather than what was known before it answered. */
    boolean isFromDiscovery() {
        return generation >= 0;
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    /** The list as it stands, in discovery's form. */
    ObjectNode toJson() {
        ObjectNode whole = json.createObjectNode().put(RESET, true);
        whole.putArray(INSTANCES).addAll(entries.values());
        return whole;
    }

    /** Tells the list as it stands. */
    void tell() {
        listener.listChanged(true, read(entries.values()));
    }

    /** Takes a whole list that is not discovery's own. */
    void loadKnown(JsonNode known, Source source) {
        take(known, true, source);
    }

    /** Endpoints of a list that is not discovery's own are known to drain, or to be gone. */
    void markDraining(Set<String> ids) {
        if (isFromDiscovery()) {
            return;
        }
        entries.replaceAll((id, entry) -> ids.contains(id) ? ((ObjectNode) entry.deepCopy()).put(LIFECYCLE, DRAINING)
                : entry);
    }

    /** The next request: for changes, or for the whole list where no version of it is held. */
    Query query() {
        return new Query(++queries, generation);
    }

    /** The version that is held means nothing any more: the whole list is asked for next. */
    void forgetGeneration() {
        generation = UNKNOWN;
    }

    /** Takes what came of a request: an answer, or none in time. */
    Result take(Query query, Optional<FullHttpResponse> response) {
        if (response.filter(r -> r.status().codeClass() == HttpStatusClass.CLIENT_ERROR).isPresent()) {
            // It may not know the version that was named: the whole list needs none.
            forgetGeneration();
        }
        return response.filter(r -> r.status().equals(HttpResponseStatus.OK)).map(r -> take(query, r))
                .orElse(Result.UNUSABLE);
    }

    private Result take(Query query, FullHttpResponse answer) {
        try (InputStream in = new ByteBufInputStream(answer.content())) {
            return take(query, json.readTree(in));
        } catch (IOException | RuntimeException e) {
            // Whatever is wrong with one list, the next must be asked for: nothing else ever would.
            Log.line("discovery's answer can't be used: " + e.getMessage());
            forgetGeneration();
            return Result.UNUSABLE;
        }
    }

    private Result take(Query query, JsonNode news) {
        boolean whole = query.isFull() || news.path(RESET).asBoolean();
        long answered = news.path(GENERATION).asLong(UNKNOWN);
        boolean readable = news.path(GENERATION).isIntegralNumber() && news.path(INSTANCES).isArray();
        boolean buildsOnList = whole || isFromDiscovery() && answered >= query.after();
        if (!readable || !buildsOnList) {
            forgetGeneration();
            return Result.UNUSABLE;
        }
        if (isOvertaken(query, answered, whole)) {
            return Result.UNCHANGED;
        }
        generation = answered;
        latestTaken = Math.max(latestTaken, query.number());
        take(news, whole, Source.DISCOVERY);
        return whole || !news.path(INSTANCES).isEmpty() ? Result.CHANGED : Result.UNCHANGED;
    }

    /** Whether a newer answer was taken before. A whole list may count anew, so it may have a lower version. */
    private boolean isOvertaken(Query query, long answered, boolean whole) {
        return answered < generation && (!whole || query.number() < latestTaken);
    }

    private void take(JsonNode news, boolean whole, Source source) {
        Map<String, JsonNode> before = whole ? new LinkedHashMap<>(entries) : entries;
        if (whole) {
            entries.clear();
        }
        List<JsonNode> taken = new ArrayList<>();
        for (JsonNode told : news.path(INSTANCES)) {
            String id = told.path(ID).asText();
            JsonNode earlier = before.get(id);
            JsonNode entry = earlier == null || whole ? told : completed(told, earlier);
            logTransition(id, earlier, entry);
            if (lifecycle(entry).equals(DELETED)) {
                entries.remove(id);
            } else {
                entries.put(id, entry);
            }
            taken.add(entry);
        }
        if (whole) {
            before.keySet().stream().filter(id -> !entries.containsKey(id))
                    .forEach(id -> events.add("server-state", "endpoint", id, "to", "UNLISTED"));
        }
        if (whole || !taken.isEmpty()) {
            events.add("list", "source", source, "generation", news.path(GENERATION).asLong(UNKNOWN), "whole", whole,
                    "entries", taken.size(), "listed", entries.size());
            listener.listChanged(whole, read(taken));
        }
    }

    /** A change need not repeat what has not changed. */
    private static JsonNode completed(JsonNode told, JsonNode earlier) {
        if (!told.isObject() || !earlier.isObject()) {
            return told;
        }
        ObjectNode entry = earlier.deepCopy();
        entry.setAll((ObjectNode) told);
        return entry;
    }

    private void logTransition(String id, JsonNode earlier, JsonNode entry) {
        if (earlier != null && !lifecycle(earlier).equals(lifecycle(entry))) {
            events.add("server-state", "endpoint", id, "from", lifecycle(earlier), "to", lifecycle(entry));
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
            } catch (InvalidInputException bad) {
                Log.line("an entry of the list can't be read: " + bad.getMessage());
            }
        }
        return read;
    }

    private static Entry read(JsonNode entry) throws InvalidInputException {
        boolean serving = lifecycle(entry).equals(SERVING);
        return new Entry(entry.path(ID).asText(), address(entry, serving), entry.path("zone").asText(),
                entry.path("machineType").asText(), entry.path("cell").asLong(), serving,
                lifecycle(entry).equals(DELETED), entry.path("weight").asDouble());
    }

    /** That an endpoint takes no new work holds whatever else of its entry can be read. */
    private static InetSocketAddress address(JsonNode entry, boolean needed) throws InvalidInputException {
        try {
            return Config.address(entry.path("hostPort").asText());
        } catch (InvalidInputException bad) {
            if (needed) {
                throw bad;
            }
            return null;
        }
    }
}
