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

/** The lease on the list of endpoints, on a clock that the test moves. */
class ListLeaseTest {
    private static final long GRACE_MS = 250;
    private static final ListLeasePolicy POLICY = ListLeasePolicy.of(true, GRACE_MS);

    private final EmbeddedChannel loop = new EmbeddedChannel();
    private final List<String> drained = new ArrayList<>();
    private final EndpointList list = new EndpointList((whole, entries) -> entries.stream()
            .filter(entry -> !entry.serving()).forEach(entry -> drained.add(entry.id())), EventLog.shared());
    private final List<Connection> connections = IntStream.range(0, ListLease.MOST_CHECKS)
            .mapToObj(i -> new Connection()).toList();
    private final List<String> asked = new ArrayList<>();
    private ListLease lease = lease(POLICY);
    private long nowMs;
    private int generation = 1;
    private String change = "";
    /** After so long an answer comes; there is none while it is not set. */
    private OptionalLong answersAfterMs = OptionalLong.of(1);
    /** Connections that were open by now bring nothing any more. */
    private boolean keptAreDead;

    /** A connection to a scripted agent. */
    private final class Connection implements Discovery.Source {
        private boolean open;
        private Optional<Consumer<Optional<FullHttpResponse>>> out = Optional.empty();

        @Override
        public void ask(FullHttpRequest request, long limitMs, Consumer<Optional<FullHttpResponse>> then) {
            asked.add(nowMs + " " + request.uri());
            boolean dead = open && keptAreDead;
            open = true;
            out = Optional.of(then);
            FullHttpResponse answer = answer(request.uri().contains("after="));
            boolean answers = !dead && answersAfterMs.isPresent() && answersAfterMs.getAsLong() < limitMs;
            loop.eventLoop().schedule(() -> {
                if (out.equals(Optional.of(then))) {
                    end(answers ? Optional.of(answer) : Optional.empty());
                }
            }, answers ? answersAfterMs.getAsLong() : limitMs, TimeUnit.MILLISECONDS);
        }

        private void end(Optional<FullHttpResponse> answer) {
            Consumer<Optional<FullHttpResponse>> then = out.orElseThrow();
            out = Optional.empty();
            then.accept(answer);
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
        public void giveUp() {
            if (out.isPresent()) {
                end(Optional.empty());
            }
        }

        @Override
        public void moved(InetSocketAddress to) {
            open = false;
            giveUp();
        }
    }

    private FullHttpResponse answer(boolean changes) {
        String body = "{\"generation\":" + generation + ",\"reset\":" + !changes + ",\"instances\":[" + change + "]}";
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

    private void pass(long ms) {
        for (long i = 0; i < ms; i++) {
            nowMs++;
            loop.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            loop.runPendingTasks();
        }
    }

    /** The time until calls may go out, as somebody sees who waits for it. */
    private long waited() {
        boolean[] valid = new boolean[1];
        lease.whenValid(() -> valid[0] = true);
        long begun = nowMs;
        while (!valid[0]) {
            pass(1);
            assertTrue(nowMs < begun + 10_000, "calls never go out");
        }
        return nowMs - begun;
    }

    private void confirm() {
        assertTrue(waited() < 10);
    }

    @Test
    void noCallGoesOutBeforeTheFirstAnswer() {
        assertFalse(lease.isValid());
        assertEquals(List.of("0 /v1/servers"), asked);
        confirm();
        assertTrue(lease.isValid());
    }

    @Test
    void aSilentAgentHoldsCallsUpForAMomentAtTheStart() {
        answersAfterMs = OptionalLong.empty();
        long waited = waited();
        assertTrue(waited >= 500 && waited <= 600, "ms: " + waited);
        for (int i = 0; i < 100; i++) {
            assertTrue(lease.isValid() || waited() <= 60, "calls go on from then on");
            pass(20);
        }
    }

    /** Together with the time for which a process may be held up this is within the grace and its slack. */
    @Test
    void aLeaseRunsFromWhenItsCheckWasSentAndIsRenewedOnDemandAlone() {
        confirm();
        int checks = asked.size();
        long sentMs = Long.parseLong(asked.get(checks - 1).split(" ")[0]);
        pass(sentMs + 99 - nowMs);
        assertTrue(lease.isValid());
        pass(1);
        assertFalse(lease.isValid());
        assertEquals(checks + 1, asked.size());
        pass(5000);
        assertEquals(checks + 1, asked.size(), "nobody wants to call");
        confirm();
    }

    @Test
    void aChangeIsTakenBeforeTheNextCall() {
        confirm();
        pass(500);
        generation = 2;
        change = "{\"instanceId\":\"s\",\"lifecycle\":\"DRAINING\",\"hostPort\":\"127.0.0.1:1\"}";
        assertFalse(lease.isValid());
        confirm();
        assertEquals(List.of("s"), drained);
    }

    /** Silence on a kept connection proves nothing of the agent. */
    @Test
    void aKeptConnectionThatIsDeadIsReplacedBeforeCallsGoOut() {
        confirm();
        pass(500);
        keptAreDead = true;
        generation = 2;
        change = "{\"instanceId\":\"s\",\"lifecycle\":\"DRAINING\",\"hostPort\":\"127.0.0.1:1\"}";
        assertFalse(lease.isValid());
        long waited = waited();
        assertEquals(List.of("s"), drained, "told before calls went out");
        assertTrue(waited < 100, "ms: " + waited);
    }

    /** Calls go on in an outage; each moment of it a check is out that is younger than the budget. */
    @Test
    void theReturnOfASilentAgentIsNoticedWithinTheBudgetWhileCallsGoOn() {
        confirm();
        pass(500);
        answersAfterMs = OptionalLong.empty();
        waited();
        for (int i = 0; i < 100; i++) {
            assertTrue(lease.isValid() || waited() <= 60, "calls go on");
            pass(20);
        }
        answersAfterMs = OptionalLong.of(1);
        generation = 2;
        change = "{\"instanceId\":\"s\",\"lifecycle\":\"DRAINING\",\"hostPort\":\"127.0.0.1:1\"}";
        long back = nowMs;
        while (drained.isEmpty()) {
            lease.isValid();
            pass(1);
        }
        assertTrue(nowMs - back <= 100, "ms: " + (nowMs - back));
    }

    /** Told in a moment between two outages, while nobody wanted to call. */
    @Test
    void aHeartbeatLearnsWhatIsToldWhileNobodyWantsToCall() {
        confirm();
        lease.start();
        answersAfterMs = OptionalLong.empty();
        pass(2000);
        answersAfterMs = OptionalLong.of(1);
        generation = 2;
        change = "{\"instanceId\":\"s\",\"lifecycle\":\"DRAINING\",\"hostPort\":\"127.0.0.1:1\"}";
        pass(110);
        assertEquals("s", drained.get(0));
        int checks = asked.size();
        pass(1000);
        assertTrue(asked.size() - checks <= 11, "checks in 1 s: " + (asked.size() - checks));
        lease.stop();
        checks = asked.size();
        pass(1000);
        assertEquals(checks, asked.size());
    }

    @Test
    void afterALongPauseTheSilenceOfBeforeCountsForNothing() {
        confirm();
        answersAfterMs = OptionalLong.empty();
        pass(500);
        waited();
        assertTrue(lease.isValid());
        pass(5000);
        answersAfterMs = OptionalLong.of(1);
        assertFalse(lease.isValid(), "the agent may be back by now");
    }

    /** What an outage has swallowed is known to be lost with the first answer behind it; what is only late is not. */
    @Test
    void lostRequestsAreToldOfAndLateAnswersAreNot() {
        List<Long> lost = new ArrayList<>();
        lease.whenLost(sentBefore -> lost.add(TimeUnit.NANOSECONDS.toMillis(sentBefore)));
        confirm();
        lease.start();
        answersAfterMs = OptionalLong.of(180);
        pass(1000);
        assertEquals(List.of(), lost);
        answersAfterMs = OptionalLong.empty();
        pass(1000);
        answersAfterMs = OptionalLong.of(1);
        long back = nowMs;
        pass(150);
        assertEquals(1, lost.size());
        assertTrue(lost.get(0) >= back, "told ms: " + lost.get(0) + " of " + back);
    }

    /** Answers that come later than the patience are heeded all the same. */
    @Test
    void aSlowAgentIsHeard() {
        confirm();
        pass(500);
        answersAfterMs = OptionalLong.of(180);
        generation = 2;
        change = "{\"instanceId\":\"s\",\"lifecycle\":\"DRAINING\",\"hostPort\":\"127.0.0.1:1\"}";
        assertTrue(waited() <= 130, "for the kept connection, and then a new one");
        pass(180);
        assertEquals("s", drained.get(0));
    }

    @Test
    void aNewAddressIsAskedAtOnceAndTheOldOnesSilenceIsForgotten() {
        confirm();
        answersAfterMs = OptionalLong.empty();
        pass(500);
        waited();
        lease.moved(new InetSocketAddress("127.0.0.1", 1));
        answersAfterMs = OptionalLong.of(1);
        assertFalse(lease.isValid());
        confirm();
    }

    @Test
    void whereChangesAreAskedForTheFirstAnswerIsEnough() {
        lease = lease(ListLeasePolicy.of(false, GRACE_MS));
        assertFalse(lease.isValid());
        confirm();
        pass(60_000);
        assertTrue(lease.isValid());
        assertEquals(1, asked.size());
    }

    @Test
    void theTimesOfTheLeaseFollowTheGraceOfTheSettings() {
        for (double graceMs : new double[] {0, 100, 250, 1000, 5000}) {
            ListLeasePolicy policy = ListLeasePolicy.of(true, graceMs);
            double budgetMs = Math.max(60, graceMs + 50 - 150);
            assertTrue(policy.leaseMs() <= budgetMs && policy.silenceMs() <= budgetMs, policy.toString());
            assertTrue(policy.answerTimeoutMs() >= 20 && policy.answerTimeoutMs() < policy.checkIntervalMs(), policy.toString());
            assertTrue(policy.checkIntervalMs() + policy.answerTimeoutMs() <= policy.silenceMs(), "checks overlap in silence");
        }
    }
}
