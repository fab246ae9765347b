package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import starlingvalve.net.EndpointList.Query;
import starlingvalve.net.EndpointList.Result;

/** Tests how the list of endpoints applies answers in any order, and incomplete or unreadable ones. */
class EndpointListTest {
    /** The lifecycle of each endpoint by id, as the listener received it. */
    private final Map<String, String> lifecycles = new TreeMap<>();
    private final EndpointList list = new EndpointList((full, entries) -> {
        if (full) {
            lifecycles.clear();
        }
        entries.forEach(entry -> lifecycles.put(entry.id(),
                entry.deleted() ? "gone" : entry.serving() ? "serving" : "draining"));
    }, EventLog.shared());

    private static Optional<FullHttpResponse> answer(int generation, boolean reset, String... entries) {
        return body("{\"generation\":" + generation + ",\"reset\":" + reset + ",\"instances\":["
                + String.join(",", entries) + "]}");
    }

    private static Optional<FullHttpResponse> body(String text) {
        return Optional.of(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
                Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)));
    }

    private static String entry(String id, String lifecycle) {
        return entry(id, lifecycle, "127.0.0.1:1");
    }

    private static String entry(String id, String lifecycle, String hostPort) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + hostPort + "\",\"cell\":7,\"lifecycle\":\""
                + lifecycle + "\"}";
    }

    private void applyFullList(int generation) {
        assertEquals(Result.CHANGED, list.apply(list.query(), answer(generation, true, entry("s", "SERVING"))));
    }

    @Test
    void answerOlderThanAppliedOneIsIgnored() {
        applyFullList(1);
        Query watch = list.query();
        Query check = list.query();
        assertEquals(Result.CHANGED, list.apply(check, answer(3, false, entry("s", "DRAINING"))));
        assertEquals(Result.UNCHANGED, list.apply(watch, answer(2, false, entry("s", "SERVING"))));
        assertEquals(Map.of("s", "draining"), lifecycles);
        assertEquals(3, list.generation());
    }

    @Test
    void newerAnswerToEarlierRequestIsApplied() {
        applyFullList(1);
        Query watch = list.query();
        Query check = list.query();
        assertEquals(Result.UNCHANGED, list.apply(check, answer(1, false)));
        assertEquals(Result.CHANGED, list.apply(watch, answer(2, false, entry("s", "DRAINING"))));
        assertEquals(Map.of("s", "draining"), lifecycles);
    }

    @Test
    void outdatedFullListIsIgnoredButOneWithRestartedVersionsIsApplied() {
        Query first = list.query();
        Query second = list.query();
        list.apply(second, answer(5, true, entry("s", "DRAINING")));
        assertEquals(Result.UNCHANGED, list.apply(first, answer(4, true, entry("s", "SERVING"))));
        assertEquals(Map.of("s", "draining"), lifecycles);
        list.apply(list.query(), answer(2, true, entry("t", "SERVING")));
        assertEquals(Map.of("t", "serving"), lifecycles);
        assertEquals(2, list.generation());
    }

    /** Discovery restarts its versions without sending a full list, so its changes do not apply to the held list. */
    @Test
    void changesOlderThanRequestedVersionLeadToFullListRequest() {
        applyFullList(9);
        assertEquals(Result.UNUSABLE, list.apply(list.query(), answer(3, false, entry("s", "DRAINING"))));
        assertTrue(list.query().isFull());
    }

    @Test
    void afterUnreadableAnswerChangesAreIgnoredUntilFullList() {
        applyFullList(1);
        Query watch = list.query();
        assertEquals(Result.UNUSABLE, list.apply(list.query(), body("{\"generation\":2,\"inst")));
        assertEquals(Result.UNUSABLE, list.apply(watch, answer(3, false, entry("t", "SERVING"))));
        assertEquals(Map.of("s", "serving"), lifecycles);
        applyFullList(3);
        assertEquals(3, list.generation());
    }

    @Test
    void drainingEntryWithUnreadableAddressIsApplied() {
        applyFullList(1);
        list.apply(list.query(), answer(2, false, entry("s", "DRAINING", "nowhere")));
        assertEquals(Map.of("s", "draining"), lifecycles);
        list.apply(list.query(), answer(3, false, "{\"instanceId\":\"s\",\"lifecycle\":\"SERVING\"}"));
        assertEquals(Map.of("s", "draining"), lifecycles, "without an address it can't be called");
    }

    @Test
    void changedEntryMayOmitUnchangedFields() {
        applyFullList(1);
        list.apply(list.query(), answer(2, false, "{\"instanceId\":\"s\",\"lifecycle\":\"DRAINING\"}"));
        assertEquals(7, list.toJson().path("instances").get(0).path("cell").asInt());
        list.apply(list.query(), answer(3, false, "{\"instanceId\":\"s\",\"lifecycle\":\"SERVING\"}"));
        assertEquals(Map.of("s", "serving"), lifecycles);
    }

    @Test
    void endpointMissingFromFullListIsRemoved() {
        applyFullList(1);
        list.apply(list.query(), answer(2, true, entry("t", "SERVING")));
        assertEquals(Map.of("t", "serving"), lifecycles);
    }

    @Test
    void drainsKnownToEarlierProcessApplyUntilDiscoveryAnswers() throws Exception {
        list.loadKnown(
                HandoverConnection.JSON.readTree(
                        "{\"instances\":[" + entry("s", "SERVING") + "," + entry("t", "SERVING") + "]}"),
                EndpointList.Source.CONFIGURATION);
        list.markDraining(Set.of("s", "unknown"));
        list.notifyListener();
        assertEquals(Map.of("s", "draining", "t", "serving"), lifecycles);
        applyFullList(1);
        list.markDraining(Set.of("s"));
        list.notifyListener();
        assertEquals(Map.of("s", "serving"), lifecycles);
    }

    /** Guards against a full heap: a list that changes bring together had no limit. */
    @Test
    void changesThatMakeTheListTooLongAreNotApplied() {
        applyFullList(1);
        int generation = 1;
        int answerEntries = 4096;
        for (int first = 0; first < EndpointList.MAX_ENTRIES - answerEntries; first += answerEntries) {
            assertEquals(Result.CHANGED, list.apply(list.query(), additions(++generation, first, answerEntries)));
        }
        int heldEntries = lifecycles.size();
        assertEquals(Result.UNUSABLE,
                list.apply(list.query(), additions(++generation, EndpointList.MAX_ENTRIES, answerEntries)));
        assertEquals(heldEntries, lifecycles.size());
        assertTrue(list.query().isFull());
    }

    private static Optional<FullHttpResponse> additions(int generation, int first, int count) {
        return answer(generation, false, IntStream.range(first, first + count)
                .mapToObj(number -> entry("added-" + number, "SERVING")).toArray(String[]::new));
    }

    /** Guards against a full heap: a JSON tree takes up many times the bytes of short values. */
    @Test
    void answerWithTooManyValuesIsNotRead() {
        applyFullList(1);
        assertEquals(Result.UNUSABLE, list.apply(list.query(), body("{\"generation\":2,\"reset\":true,\"instances\":["
                + "{},".repeat(EndpointList.MAX_ANSWER_BYTES / 4) + "{}]}")));
        assertEquals(Map.of("s", "serving"), lifecycles);
    }

    /** Guards against a full heap: what an entry has besides the protocol's fields was kept with the list. */
    @Test
    void onlyTheProtocolsFieldsAreKeptAndOnlyShort() {
        String entry = entry("s", "SERVING").replace("}", ",\"notes\":\"" + "x".repeat(1000) + "\"}");
        assertEquals(Result.CHANGED, list.apply(list.query(), answer(1, true, entry)));
        assertFalse(list.toJson().toString().contains("notes"), "kept");
        assertEquals(Result.UNUSABLE,
                list.apply(list.query(), answer(2, true, entry("s".repeat(1000), "SERVING"))));
        assertEquals(Map.of("s", "serving"), lifecycles);
    }

    /** The largest fleets have 3,200 endpoints, and lists may come indented. */
    @Test
    void listOfTheLargestFleetIsApplied() {
        String entry = "{\n    \"instanceId\": \"s-%08d\",\n    \"hostPort\": \"10.100.100.18:17070\",\n    "
                + "\"zone\": \"hall-a\",\n    \"machineType\": \"machine-type\",\n    \"cell\": 333,\n    "
                + "\"lifecycle\": \"SERVING\",\n    \"weight\": 1.0,\n    \"startedAtMs\": 1796400000000\n  }\n";
        Optional<FullHttpResponse> answer = answer(1, true, IntStream.range(0, 3200)
                .mapToObj(number -> String.format(entry, number)).toArray(String[]::new));
        assertTrue(answer.orElseThrow().content().readableBytes() < EndpointList.MAX_ANSWER_BYTES);
        assertEquals(Result.CHANGED, list.apply(list.query(), answer));
        assertEquals(3200, lifecycles.size());
    }
}
