package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the lease on the list of endpoints, with a clock that the test advances. */
class ListLeaseTest {
    private static final long DRAIN_GRACE_MS = 250;
    private static final ListLeasePolicy POLICY = ListLeasePolicy.of(true, DRAIN_GRACE_MS);

    private final EmbeddedChannel loop = new EmbeddedChannel();
    private final List<String> drained = new ArrayList<>();
    private final EndpointList list = new EndpointList((full, entries) -> entries.stream()
            .filter(entry -> !entry.serving()).forEach(entry -> drained.add(entry.id())), EventLog.shared());
    private final List<Connection> connections = IntStream.range(0, ListLease.MAX_CHECKS)
            .mapToObj(i -> new Connection()).toList();
    private final List<String> requests = new ArrayList<>();
    private ListLease lease = lease(POLICY);
    private long nowMs;
    private int generation = 1;
    /** The JSON of the entry that each answer contains; empty if it contains none. */
    private String changedEntry = "";
    /** The delay of each answer; empty if requests are not answered. */
    private OptionalLong answerDelayMs = OptionalLong.of(1);
    /** Connections that are already open deliver no answers any more. */
    private boolean openConnectionsAreBroken;

    /** A connection to a scripted agent. */
    private final class Connection implements Discovery.Source {
        private boolean open;
        /** The callback of the request in flight. */
        private Optional<Consumer<Optional<FullHttpResponse>>> inFlight = Optional.empty();

        @Override
        public void sendRequest(FullHttpRequest request, long limitMs, Consumer<Optional<FullHttpResponse>> callback) {
            requests.add(nowMs + " " + request.uri());
            boolean broken = open && openConnectionsAreBroken;
            open = true;
            inFlight = Optional.of(callback);
            FullHttpResponse answer = answer(request.uri().contains("after="));
            boolean isAnswered = !broken && answerDelayMs.isPresent() && answerDelayMs.getAsLong() < limitMs;
            loop.eventLoop().schedule(() -> {
                if (inFlight.equals(Optional.of(callback))) {
                    end(isAnswered ? Optional.of(answer) : Optional.empty());
                }
            }, isAnswered ? answerDelayMs.getAsLong() : limitMs, TimeUnit.MILLISECONDS);
        }

        private void end(Optional<FullHttpResponse> answer) {
            Consumer<Optional<FullHttpResponse>> callback = inFlight.orElseThrow();
            inFlight = Optional.empty();
            callback.accept(answer);
        }

        @Override
        public void disconnect() {
            open = false;
        }

        @Override
        public boolean isConnected() {
            return open;
        }

        @Override
        public void cancelRequest() {
            if (inFlight.isPresent()) {
                end(Optional.empty());
            }
        }

        @Override
        public void changeAddress(InetSocketAddress newAddress) {
            open = false;
            cancelRequest();
        }
    }

    private FullHttpResponse answer(boolean changesOnly) {
        String body = "{\"generation\":" + generation + ",\"reset\":" + !changesOnly + ",\"instances\":["
                + changedEntry + "]}";
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
                Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    }

    @BeforeEach
    void freeze() {
        loop.freezeTime();
    }

    private ListLease lease(ListLeasePolicy policy) {
        return new ListLease(loop.eventLoop(), () -> TimeUnit.MILLISECONDS.toNanos(nowMs), policy, list,
                List.copyOf(connections));
    }

    private void advance(long ms) {
        for (long i = 0; i < ms; i++) {
            nowMs++;
            loop.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            loop.runPendingTasks();
        }
    }

    /** Advances the clock until calls may be sent; returns how long that took in ms. */
    private long waitUntilValid() {
        boolean[] valid = new boolean[1];
        lease.runWhenValid(() -> valid[0] = true);
        long startMs = nowMs;
        while (!valid[0]) {
            advance(1);
            assertTrue(nowMs < startMs + 10_000, "calls are never sent");
        }
        return nowMs - startMs;
    }

    private void confirmList() {
        assertTrue(waitUntilValid() < 10);
    }

    @Test
    void noCallIsSentBeforeFirstAnswer() {
        assertFalse(lease.isValid());
        assertEquals(List.of("0 /v1/servers"), requests);
        confirmList();
        assertTrue(lease.isValid());
    }

    @Test
    void silentAgentDelaysCallsBrieflyAtStart() {
        answerDelayMs = OptionalLong.empty();
        long waitedMs = waitUntilValid();
        assertTrue(waitedMs >= 500 && waitedMs <= 600, "ms: " + waitedMs);
        for (int i = 0; i < 100; i++) {
            assertTrue(lease.isValid() || waitUntilValid() <= 60, "calls continue from then on");
            advance(20);
        }
    }

    /** The lease time plus the time for which a process may be delayed stays within the drain grace and its slack. */
    @Test
    void leaseStartsWhenCheckIsSentAndIsRenewedOnlyOnDemand() {
        confirmList();
        int requestCount = requests.size();
        long sentMs = Long.parseLong(requests.get(requestCount - 1).split(" ")[0]);
        advance(sentMs + 99 - nowMs);
        assertTrue(lease.isValid());
        advance(1);
        assertFalse(lease.isValid());
        assertEquals(requestCount + 1, requests.size());
        advance(5000);
        assertEquals(requestCount + 1, requests.size(), "no call waits");
        confirmList();
    }

    @Test
    void changeIsAppliedBeforeNextCall() {
        confirmList();
        advance(500);
        generation = 2;
        changedEntry = "{\"instanceId\":\"s\",\"lifecycle\":\"DRAINING\",\"hostPort\":\"127.0.0.1:1\"}";
        assertFalse(lease.isValid());
        confirmList();
        assertEquals(List.of("s"), drained);
    }

    /** Silence on a connection that was already open does not show that the agent is silent. */
    @Test
    void brokenConnectionIsReplacedBeforeCallsAreSent() {
        confirmList();
        advance(500);
        openConnectionsAreBroken = true;
        generation = 2;
        changedEntry = "{\"instanceId\":\"s\",\"lifecycle\":\"DRAINING\",\"hostPort\":\"127.0.0.1:1\"}";
        assertFalse(lease.isValid());
        long waitedMs = waitUntilValid();
        assertEquals(List.of("s"), drained, "received before calls are sent");
        assertTrue(waitedMs < 100, "ms: " + waitedMs);
    }

    /** Calls continue during an outage; at each moment a check is in flight that was sent within the budget. */
    @Test
    void returnOfSilentAgentIsNoticedWithinBudgetWhileCallsContinue() {
        confirmList();
        advance(500);
        answerDelayMs = OptionalLong.empty();
        waitUntilValid();
        for (int i = 0; i < 100; i++) {
            assertTrue(lease.isValid() || waitUntilValid() <= 60, "calls continue");
            advance(20);
        }
        answerDelayMs = OptionalLong.of(1);
        generation = 2;
        changedEntry = "{\"instanceId\":\"s\",\"lifecycle\":\"DRAINING\",\"hostPort\":\"127.0.0.1:1\"}";
        long returnMs = nowMs;
        while (drained.isEmpty()) {
            lease.isValid();
            advance(1);
        }
        assertTrue(nowMs - returnMs <= 100, "ms: " + (nowMs - returnMs));
    }

    /** A change may be available only briefly between two outages, while no call waits. */
    @Test
    void heartbeatReceivesChangesWhileNoCallWaits() {
        confirmList();
        lease.start();
        answerDelayMs = OptionalLong.empty();
        advance(2000);
        answerDelayMs = OptionalLong.of(1);
        generation = 2;
        changedEntry = "{\"instanceId\":\"s\",\"lifecycle\":\"DRAINING\",\"hostPort\":\"127.0.0.1:1\"}";
        advance(110);
        assertEquals("s", drained.get(0));
        int requestCount = requests.size();
        advance(1000);
        assertTrue(requests.size() - requestCount <= 11, "checks in 1 s: " + (requests.size() - requestCount));
        lease.stop();
        requestCount = requests.size();
        advance(1000);
        assertEquals(requestCount, requests.size());
    }

    @Test
    void earlierSilenceIsIgnoredAfterLongPause() {
        confirmList();
        answerDelayMs = OptionalLong.empty();
        advance(500);
        waitUntilValid();
        assertTrue(lease.isValid());
        advance(5000);
        answerDelayMs = OptionalLong.of(1);
        assertFalse(lease.isValid(), "the agent may be reachable again");
    }

    /**
     * The first answer after an outage shows that the requests sent during the outage are lost; a late answer does not
     * make its request count as lost.
     */
    @Test
    void lostRequestsAreReportedAndLateAnswersAreNot() {
        List<Long> lost = new ArrayList<>();
        lease.onRequestsLost(sentBefore -> lost.add(TimeUnit.NANOSECONDS.toMillis(sentBefore)));
        confirmList();
        lease.start();
        answerDelayMs = OptionalLong.of(180);
        advance(1000);
        assertEquals(List.of(), lost);
        answerDelayMs = OptionalLong.empty();
        advance(1000);
        answerDelayMs = OptionalLong.of(1);
        long returnMs = nowMs;
        advance(150);
        assertEquals(1, lost.size());
        assertTrue(lost.get(0) >= returnMs,
                "requests before ms " + lost.get(0) + " are lost, but the agent was back at ms " + returnMs);
    }

    /** Answers that arrive after the time limit for a reachable agent are still applied. */
    @Test
    void answersOfSlowAgentAreApplied() {
        confirmList();
        advance(500);
        answerDelayMs = OptionalLong.of(180);
        generation = 2;
        changedEntry = "{\"instanceId\":\"s\",\"lifecycle\":\"DRAINING\",\"hostPort\":\"127.0.0.1:1\"}";
        assertTrue(waitUntilValid() <= 130, "one time limit for the open connection and one for a new one");
        advance(180);
        assertEquals("s", drained.get(0));
    }

    @Test
    void newAddressIsRequestedAtOnceAndOldSilenceIsDiscarded() {
        confirmList();
        answerDelayMs = OptionalLong.empty();
        advance(500);
        waitUntilValid();
        lease.changeAddress(new InetSocketAddress("127.0.0.1", 1));
        answerDelayMs = OptionalLong.of(1);
        assertFalse(lease.isValid());
        confirmList();
    }

    @Test
    void withoutPushedChangesFirstAnswerIsEnough() {
        lease = lease(ListLeasePolicy.of(false, DRAIN_GRACE_MS));
        assertFalse(lease.isValid());
        confirmList();
        advance(60_000);
        assertTrue(lease.isValid());
        assertEquals(1, requests.size());
    }

    @Test
    void leaseTimesFollowDrainGraceSetting() {
        for (double graceMs : new double[] {0, 100, 250, 1000, 5000}) {
            ListLeasePolicy policy = ListLeasePolicy.of(true, graceMs);
            double budgetMs = Math.max(60, graceMs + 50 - 150);
            assertTrue(policy.leaseMs() <= budgetMs && policy.silenceMs() <= budgetMs, policy.toString());
            assertTrue(policy.answerTimeoutMs() >= 20 && policy.answerTimeoutMs() < policy.checkIntervalMs(),
                    policy.toString());
            assertTrue(policy.checkIntervalMs() + policy.answerTimeoutMs() <= policy.silenceMs(),
                    "checks overlap while the agent is silent");
        }
    }
}
