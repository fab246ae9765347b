package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** The list of endpoints, on a clock that the test moves. */
class DiscoveryTest {
    private static final int SENDERS = 14;
    private static final long STEP_MS = 10;
    private static final String LIST = "{\"generation\":%d,\"reset\":true,\"instances\":[{\"instanceId\":\"%s\","
            + "\"hostPort\":\"127.0.0.1:7070\",\"zone\":\"a\",\"machineType\":\"m\",\"cell\":1,"
            + "\"lifecycle\":\"SERVING\",\"weight\":1.0,\"startedAtMs\":0}]}";

    private final List<EmbeddedChannel> loops = new ArrayList<>();
    /** When calls were made, over all senders. */
    private final List<Long> calls = new ArrayList<>();
    /** What they asked for. */
    private final List<String> paths = new ArrayList<>();
    private final List<String> listed = new ArrayList<>();
    private static final String NOTHING_NEW = "{\"generation\":2,\"reset\":false,\"instances\":[]}";

    private HttpResponseStatus watchStatus = HttpResponseStatus.OK;
    private boolean nothingNew;
    private long now;
    private boolean out;
    /** So many lists meet a fault. */
    private int faults;

    /** A sender's list, and an agent that answers after so long, or not at all. */
    private Discovery sender(long seed, Optional<Long> answersAfterMs) {
        EmbeddedChannel loop = new EmbeddedChannel();
        loop.freezeTime();
        loops.add(loop);
        Discovery.Source agent = new Discovery.Source() {
            @Override
            public void ask(FullHttpRequest request, long limitMs, Consumer<Optional<FullHttpResponse>> then) {
                calls.add(now);
                paths.add(request.uri());
                out = true;
                boolean inTime = answersAfterMs.filter(after -> after <= limitMs).isPresent();
                boolean watch = request.uri().contains("after=");
                HttpResponseStatus status = watch ? watchStatus : HttpResponseStatus.OK;
                String body = watch && nothingNew ? NOTHING_NEW : String.format(LIST, 2, "new");
                FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                        Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
                loop.eventLoop().schedule(() -> {
                    out = false;
                    then.accept(inTime ? Optional.of(answer) : Optional.empty());
                }, inTime ? answersAfterMs.get() : limitMs, TimeUnit.MILLISECONDS);
            }

            @Override
            public void disconnect() {
                assertFalse(out, "nothing is out when a request has failed");
            }

            @Override
            public void giveUp() {
                throw new AssertionError("no lease tells of lost requests");
            }

            @Override
            public void moved(InetSocketAddress to) {
                assertFalse(out, "nothing is out in a pause");
            }
        };
        EndpointList list = new EndpointList((whole, entries) -> {
            if (faults-- > 0) {
                throw new IllegalStateException("a fault while a list is told");
            }
            entries.forEach(e -> listed.add((e.gone() ? "gone " : "") + e.id()));
        }, EventLog.shared());
        return new Discovery(loop.eventLoop(), agent, new Random(seed), list, Optional.empty(),
                () -> TimeUnit.MILLISECONDS.toNanos(now));
    }

    private void pass(long ms) {
        for (long end = now + ms; now < end; ) {
            now += STEP_MS;
            for (EmbeddedChannel loop : loops) {
                loop.advanceTimeBy(STEP_MS, TimeUnit.MILLISECONDS);
                loop.runScheduledPendingTasks();
            }
        }
    }

    /** Seen on herd+vast: asked by every sender each 0.6 s, an overbooked discovery never answered again. */
    @Test
    void aSilentDiscoveryIsAskedSeldomAndNotByAllSendersAtOnce() throws Exception {
        for (int i = 0; i < SENDERS; i++) {
            sender(i, Optional.empty()).start(Optional.empty());
        }
        pass(30_000);
        assertTrue(calls.size() <= SENDERS * 12, "calls in 30 s: " + calls.size());
        assertTrue(calls.size() >= SENDERS * 5, "it is still asked: " + calls.size());
        long together = calls.stream().filter(at -> at > 10_000).mapToLong(at -> calls.stream()
                .filter(other -> other >= at && other < at + 100).count()).max().orElse(0);
        assertTrue(together <= SENDERS / 2, "calls within 100 ms: " + together);
    }

    /** Nothing else ever asks again: a fault in one list left the sender with its last one for good. */
    @Test
    void afterAFaultWhileAListIsToldTheNextIsAskedForWhole() {
        faults = 2;
        sender(1, Optional.of(100L)).start(Optional.empty());
        pass(1500);
        assertEquals(List.of("new"), listed.subList(0, 1));
    }

    @Test
    void afterAWatchThatDiscoveryCantServeTheWholeListIsAskedFor() {
        watchStatus = HttpResponseStatus.GONE;
        sender(1, Optional.of(100L)).start(Optional.empty());
        pass(3000);
        assertEquals(List.of("/v1/servers", "/v1/servers?after=2&wait_ms=2000", "/v1/servers"), paths.subList(0, 3));
    }

    /** A watch goes on if the next call comes within 200 ms. */
    @Test
    void aDiscoveryThatAnswersAtOnceWithNothingNewIsNotAskedInATightLoop() {
        nothingNew = true;
        sender(1, Optional.of(1L)).start(Optional.empty());
        pass(3000);
        assertTrue(calls.size() <= 30 + 1, "calls in 3 s: " + calls.size());
        for (int i = 2; i < calls.size(); i++) {
            assertTrue(calls.get(i) - calls.get(i - 1) < 200, "the watch goes on");
        }
    }

    @Test
    void anEndpointThatIsGoneNeedsNoAddress() throws Exception {
        sender(1, Optional.empty()).start(Optional.of(JsonMapper.builder().build().readTree(
                "{\"instances\":[{\"instanceId\":\"s-1\",\"lifecycle\":\"DELETED\"}]}")));
        assertEquals(List.of("gone s-1"), listed);
    }

    /** What a new address tells counts as told after 4 s, and a pause alone could take 3.2 s of that. */
    @Test
    void aNewAddressIsAskedAtOnceHoweverLongTheOldOneWasSilent() {
        Discovery discovery = sender(1, Optional.empty());
        discovery.start(Optional.empty());
        while (now < 20_000 || out) {
            pass(STEP_MS);
        }
        int before = calls.size();
        discovery.moved(new InetSocketAddress("127.0.0.1", 1));
        assertEquals(before + 1, calls.size());
        pass(2000 + 200);
        assertEquals(before + 2, calls.size(), "its own failures count, not those of the old one");
    }

    @Test
    void anAnswerThatIsLateForAllThatAreAskedIsTakenAndWhatIsKnownServesTillThen() throws Exception {
        JsonNode known = JsonMapper.builder().build().readTree(String.format(LIST, 1, "known"));
        sender(1, Optional.of(1500L)).start(Optional.of(known));
        assertEquals(List.of("known"), listed, "at once");
        pass(1600);
        assertEquals(List.of("known", "new"), listed);
    }
}
