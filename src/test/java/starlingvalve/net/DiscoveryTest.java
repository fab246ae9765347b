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

/** Tests how the list of endpoints is kept up to date, with a clock that the test advances. */
class DiscoveryTest {
    private static final int SENDERS = 14;
    private static final long STEP_MS = 10;
    private static final String LIST = "{\"generation\":%d,\"reset\":true,\"instances\":[{\"instanceId\":\"%s\","
            + "\"hostPort\":\"127.0.0.1:7070\",\"zone\":\"a\",\"machineType\":\"m\",\"cell\":1,"
            + "\"lifecycle\":\"SERVING\",\"weight\":1.0,\"startedAtMs\":0}]}";

    private final List<EmbeddedChannel> loops = new ArrayList<>();
    /** The times of the requests of all senders. */
    private final List<Long> requestTimesMs = new ArrayList<>();
    /** The paths of the requests of all senders. */
    private final List<String> paths = new ArrayList<>();
    /** The entries that the listener received. */
    private final List<String> received = new ArrayList<>();
    private static final String NO_CHANGES = "{\"generation\":2,\"reset\":false,\"instances\":[]}";

    /** The status of answers to watches. */
    private HttpResponseStatus watchStatus = HttpResponseStatus.OK;
    /** Answers to watches contain no changes. */
    private boolean watchesUnchanged;
    private long nowMs;
    /** A request is in flight. */
    private boolean inFlight;
    /** The number of times that the listener still fails. */
    private int listenerFaults;

    /** Creates a sender whose agent answers after the given delay, or never. */
    private Discovery sender(long seed, Optional<Long> answerDelayMs) {
        EmbeddedChannel loop = new EmbeddedChannel();
        loop.freezeTime();
        loops.add(loop);
        Discovery.Source agent = new Discovery.Source() {
            @Override
            public void sendRequest(FullHttpRequest request, long limitMs,
                    Consumer<Optional<FullHttpResponse>> callback) {
                requestTimesMs.add(nowMs);
                paths.add(request.uri());
                inFlight = true;
                boolean inTime = answerDelayMs.filter(delayMs -> delayMs <= limitMs).isPresent();
                boolean watch = request.uri().contains("after=");
                HttpResponseStatus status = watch ? watchStatus : HttpResponseStatus.OK;
                String body = watch && watchesUnchanged ? NO_CHANGES : String.format(LIST, 2, "new");
                FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                        Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
                loop.eventLoop().schedule(() -> {
                    inFlight = false;
                    callback.accept(inTime ? Optional.of(answer) : Optional.empty());
                }, inTime ? answerDelayMs.get() : limitMs, TimeUnit.MILLISECONDS);
            }

            @Override
            public void disconnect() {
                assertFalse(inFlight, "no request is in flight after one has failed");
            }

            @Override
            public void cancelRequest() {
                throw new AssertionError("there is no lease to report lost requests");
            }

            @Override
            public void changeAddress(InetSocketAddress newAddress) {
                assertFalse(inFlight, "no request is in flight during a pause");
            }
        };
        EndpointList list = new EndpointList((full, entries) -> {
            if (listenerFaults-- > 0) {
                throw new IllegalStateException("a fault made by the listener");
            }
            entries.forEach(e -> received.add((e.deleted() ? "gone " : "") + e.id()));
        }, EventLog.shared());
        return new Discovery(loop.eventLoop(), agent, new Random(seed), list, Optional.empty(),
                () -> TimeUnit.MILLISECONDS.toNanos(nowMs));
    }

    private void advance(long ms) {
        for (long endMs = nowMs + ms; nowMs < endMs; ) {
            nowMs += STEP_MS;
            for (EmbeddedChannel loop : loops) {
                loop.advanceTimeBy(STEP_MS, TimeUnit.MILLISECONDS);
                loop.runScheduledPendingTasks();
            }
        }
    }

    /**
     * Guards against a failure observed in the simulator scenario herd+vast: with a request from each sender every
     * 0.6 s, an overloaded discovery never answered again.
     */
    @Test
    void silentDiscoveryReceivesFewRequestsSpreadOverSenders() throws Exception {
        for (int i = 0; i < SENDERS; i++) {
            sender(i, Optional.empty()).start(Optional.empty());
        }
        advance(30_000);
        assertTrue(requestTimesMs.size() <= SENDERS * 12, "requests in 30 s: " + requestTimesMs.size());
        assertTrue(requestTimesMs.size() >= SENDERS * 5, "requests must continue; in 30 s: " + requestTimesMs.size());
        long maxSimultaneous = requestTimesMs.stream().filter(timeMs -> timeMs > 10_000)
                .mapToLong(timeMs -> requestTimesMs.stream()
                .filter(other -> other >= timeMs && other < timeMs + 100).count()).max().orElse(0);
        assertTrue(maxSimultaneous <= SENDERS / 2, "requests within 100 ms: " + maxSimultaneous);
    }

    /** Without a next request after a fault in the listener the sender would keep its last list forever. */
    @Test
    void fullListIsRequestedAfterListenerFault() {
        listenerFaults = 2;
        sender(1, Optional.of(100L)).start(Optional.empty());
        advance(1500);
        assertEquals(List.of("new"), received.subList(0, 1));
    }

    @Test
    void fullListIsRequestedAfterWatchFailsWithClientError() {
        watchStatus = HttpResponseStatus.GONE;
        sender(1, Optional.of(100L)).start(Optional.empty());
        advance(3000);
        assertEquals(List.of("/v1/servers", "/v1/servers?after=2&wait_ms=2000", "/v1/servers"), paths.subList(0, 3));
    }

    /** The watch is continuous if the next request follows within 200 ms. */
    @Test
    void immediateAnswersWithoutChangesDoNotCauseTightLoop() {
        watchesUnchanged = true;
        sender(1, Optional.of(1L)).start(Optional.empty());
        advance(3000);
        assertTrue(requestTimesMs.size() <= 30 + 1, "requests in 3 s: " + requestTimesMs.size());
        for (int i = 2; i < requestTimesMs.size(); i++) {
            assertTrue(requestTimesMs.get(i) - requestTimesMs.get(i - 1) < 200, "the watch continues");
        }
    }

    @Test
    void deletedEndpointNeedsNoAddress() throws Exception {
        sender(1, Optional.empty()).start(Optional.of(JsonMapper.builder().build().readTree(
                "{\"instances\":[{\"instanceId\":\"s-1\",\"lifecycle\":\"DELETED\"}]}")));
        assertEquals(List.of("gone s-1"), received);
    }

    /** A change must be applied within 4 s after an address change; a retry pause alone could take 3.2 s of that. */
    @Test
    void newAddressIsRequestedAtOnceAfterLongSilenceOfOldOne() {
        Discovery discovery = sender(1, Optional.empty());
        discovery.start(Optional.empty());
        while (nowMs < 20_000 || inFlight) {
            advance(STEP_MS);
        }
        int requestsBefore = requestTimesMs.size();
        discovery.changeAddress(new InetSocketAddress("127.0.0.1", 1));
        assertEquals(requestsBefore + 1, requestTimesMs.size());
        advance(2000 + 200);
        assertEquals(requestsBefore + 2, requestTimesMs.size(),
                "the back-off starts anew, without the failures of the old address");
    }

    @Test
    void knownListIsUsedUntilLateAnswerIsApplied() throws Exception {
        JsonNode known = JsonMapper.builder().build().readTree(String.format(LIST, 1, "known"));
        sender(1, Optional.of(1500L)).start(Optional.of(known));
        assertEquals(List.of("known"), received, "at once");
        advance(1600);
        assertEquals(List.of("known", "new"), received);
    }
}
