package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
import org.junit.jupiter.api.Test;
import starlingvalve.net.EndpointList.Query;
import starlingvalve.net.EndpointList.Result;

/** The list of endpoints under answers in any order and of any form. */
class EndpointListTest {
    /** What the sender was told: the lifecycle of each endpoint, by id. */
    private final Map<String, String> told = new TreeMap<>();
    private final EndpointList list = new EndpointList((whole, entries) -> {
        if (whole) {
            told.clear();
        }
        entries.forEach(entry -> told.put(entry.id(), entry.gone() ? "gone" : entry.serving() ? "serving" : "draining"));
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
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + hostPort + "\",\"cell\":7,\"lifecycle\":\"" + lifecycle
                + "\"}";
    }

    private void begin(int generation) {
        assertEquals(Result.CHANGED, list.take(list.query(), answer(generation, true, entry("s", "SERVING"))));
    }

    @Test
    void anAnswerThatANewerOneHasOvertakenChangesNothing() {
        begin(1);
        Query watch = list.query();
        Query check = list.query();
        assertEquals(Result.CHANGED, list.take(check, answer(3, false, entry("s", "DRAINING"))));
        assertEquals(Result.UNCHANGED, list.take(watch, answer(2, false, entry("s", "SERVING"))));
        assertEquals(Map.of("s", "draining"), told);
        assertEquals(3, list.generation());
    }

    @Test
    void theAnswerToAnEarlierRequestCountsIfItIsTheNewer() {
        begin(1);
        Query watch = list.query();
        Query check = list.query();
        assertEquals(Result.UNCHANGED, list.take(check, answer(1, false)));
        assertEquals(Result.CHANGED, list.take(watch, answer(2, false, entry("s", "DRAINING"))));
        assertEquals(Map.of("s", "draining"), told);
    }

    @Test
    void aWholeListThatIsOvertakenChangesNothingAndOneThatCountsAnewDoes() {
        Query first = list.query();
        Query second = list.query();
        list.take(second, answer(5, true, entry("s", "DRAINING")));
        assertEquals(Result.UNCHANGED, list.take(first, answer(4, true, entry("s", "SERVING"))));
        assertEquals(Map.of("s", "draining"), told);
        list.take(list.query(), answer(2, true, entry("t", "SERVING")));
        assertEquals(Map.of("t", "serving"), told);
        assertEquals(2, list.generation());
    }

    /** A discovery that counts anew without saying so: nothing can be built upon. */
    @Test
    void changesUpToAVersionBeforeTheOneAskedForLeadToTheWholeList() {
        begin(9);
        assertEquals(Result.UNUSABLE, list.take(list.query(), answer(3, false, entry("s", "DRAINING"))));
        assertTrue(list.query().isWhole());
    }

    @Test
    void afterAnAnswerThatCantBeReadChangesWaitForTheWholeList() {
        begin(1);
        Query watch = list.query();
        assertEquals(Result.UNUSABLE, list.take(list.query(), body("{\"generation\":2,\"inst")));
        assertEquals(Result.UNUSABLE, list.take(watch, answer(3, false, entry("t", "SERVING"))));
        assertEquals(Map.of("s", "serving"), told);
        begin(3);
        assertEquals(3, list.generation());
    }

    @Test
    void thatAnEndpointDrainsHoldsWhateverElseOfItsEntryCanBeRead() {
        begin(1);
        list.take(list.query(), answer(2, false, entry("s", "DRAINING", "nowhere")));
        assertEquals(Map.of("s", "draining"), told);
        list.take(list.query(), answer(3, false, "{\"instanceId\":\"s\",\"lifecycle\":\"SERVING\"}"));
        assertEquals(Map.of("s", "draining"), told, "it can't be called there");
    }

    @Test
    void aChangeNeedNotRepeatWhatHasNotChanged() {
        begin(1);
        list.take(list.query(), answer(2, false, "{\"instanceId\":\"s\",\"lifecycle\":\"DRAINING\"}"));
        assertEquals(7, list.toJson().path("instances").get(0).path("cell").asInt());
        list.take(list.query(), answer(3, false, "{\"instanceId\":\"s\",\"lifecycle\":\"SERVING\"}"));
        assertEquals(Map.of("s", "serving"), told);
    }

    @Test
    void anEndpointThatIsMissingFromAWholeListIsGone() {
        begin(1);
        list.take(list.query(), answer(2, true, entry("t", "SERVING")));
        assertEquals(Map.of("t", "serving"), told);
    }

    @Test
    void whatAnEarlierProcessWasToldHoldsUntilDiscoveryAnswers() throws Exception {
        list.takeKnown(
                HandoverConnection.JSON.readTree(
                        "{\"instances\":[" + entry("s", "SERVING") + "," + entry("t", "SERVING") + "]}"),
                EndpointList.Source.CONFIGURATION);
        list.withdraw(Set.of("s", "unknown"));
        list.tell();
        assertEquals(Map.of("s", "draining", "t", "serving"), told);
        begin(1);
        list.withdraw(Set.of("s"));
        list.tell();
        assertEquals(Map.of("s", "serving"), told);
    }
}
