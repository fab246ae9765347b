package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/**
 * How soon discovery is asked again after failed requests, on a clock that jumps from one due task to the next. A
 * change counts as told 6 s after discovery had it and could be reached, and 4 s after its address was replaced.
 */
class DiscoveryRetryTest {
    private static final long TOLD_LIMIT_MS = 5500;
    private static final long ADDRESS_CHANGE_LIMIT_MS = 4000;
    /** How long a turn of a busy event loop takes. */
    private static final long BUSY_TURN_MS = 250;
    private static final long CONNECT_MS = 500;
    private static final long TEST_LIMIT_MS = 60_000;
    private static final String LIST = "{\"generation\":%d,\"reset\":true,\"instances\":[{\"instanceId\":\"%s\","
            + "\"hostPort\":\"127.0.0.1:7070\",\"zone\":\"a\",\"machineType\":\"m\",\"cell\":1,"
            + "\"lifecycle\":\"SERVING\",\"weight\":1.0,\"startedAtMs\":0}]}";

    /** What becomes of a request during the outage. */
    private enum Failure { SILENT, CONNECT_REFUSED, CONNECT_HANGS, ERROR_STATUS, LATE_ERROR_STATUS, UNREADABLE }

    /** When discovery has the change and can be reached: a request that is out then still fails. */
    private enum Return { AFTER_REQUEST, AFTER_FAILURE }

    /** An outage: how the requests fail one after another, and at which of them it ends. */
    private record Outage(List<Failure> failures, int last, Return end) {
        Failure failure(int request) {
            return failures.get(Math.min(request, failures.size() - 1));
        }
    }

    /** Draws the same every time, or as a seed says. */
    private static Random always(double draw) {
        return new Random() {
            @Override
            public double nextDouble() {
                return draw;
            }
        };
    }

    private static List<Supplier<Random>> draws() {
        return List.of(() -> always(Math.nextDown(1.0)), () -> always(0), () -> new Random(1), () -> new Random(2));
    }

    /** A client, and a discovery that is out of reach until its outage ends. */
    private static final class Simulation implements Discovery.Source {
        private final EmbeddedChannel loop = new EmbeddedChannel();
        private final Outage outage;
        private final boolean busy;
        private final boolean answersFirst;
        private final Discovery discovery;
        private final List<Long> requestsMs = new ArrayList<>();
        private long nowMs;
        private boolean connected;
        /** Hears of the response to the request that is out. */
        private Optional<Consumer<Optional<FullHttpResponse>>> out = Optional.empty();
        private int failed;
        /** What becomes of the first request to a new address, if there is one. */
        private Optional<Failure> atNewAddress = Optional.empty();
        private boolean moved;
        private long returnedMs = -1;
        private long toldMs = -1;

        Simulation(Outage outage, boolean busy, boolean answersFirst, Random random) {
            this.outage = outage;
            this.busy = busy;
            this.answersFirst = answersFirst;
            loop.freezeTime();
            EndpointList list = new EndpointList((whole, entries) -> {
                if (toldMs < 0 && entries.get(0).id().equals("after")) {
                    toldMs = nowMs;
                }
            }, EventLog.shared());
            discovery = new Discovery(loop.eventLoop(), this, random, list, Optional.empty(),
                    () -> TimeUnit.MILLISECONDS.toNanos(nowMs));
        }

        @Override
        public void ask(FullHttpRequest request, long limitMs, Consumer<Optional<FullHttpResponse>> then) {
            requestsMs.add(nowMs);
            out = Optional.of(then);
            if (answersFirst && requestsMs.size() == 1) {
                connected = true;
                answerAfter(1, 200, String.format(LIST, 1, "before"));
            } else if (returnedMs < 0) {
                fail(outage.failure(failed), limitMs);
                end(Return.AFTER_REQUEST);
            } else if (moved && atNewAddress.isPresent()) {
                fail(atNewAddress.get(), limitMs);
                atNewAddress = Optional.empty();
            } else if (connected) {
                // Kept from before the outage, which it did not outlive.
                giveUpAfter(limitMs);
            } else {
                answerAfter(CONNECT_MS + lateReadMs(), 200, String.format(LIST, 2, "after"));
            }
        }

        @Override
        public void disconnect() {
            connected = false;
        }

        @Override
        public void giveUp() {
            throw new AssertionError("no lease tells of lost requests");
        }

        @Override
        public void moved(InetSocketAddress to) {
            moved = true;
            disconnect();
            out.ifPresent(then -> complete(then, Optional.empty()));
        }

        private void fail(Failure failure, long limitMs) {
            connected = failure.ordinal() >= Failure.ERROR_STATUS.ordinal();
            switch (failure) {
                case SILENT -> giveUpAfter(limitMs);
                case CONNECT_REFUSED -> completeAfter(0, Optional.empty());
                case CONNECT_HANGS -> completeAfter(CONNECT_MS, Optional.empty());
                case ERROR_STATUS -> answerAfter(1, 503, "");
                case LATE_ERROR_STATUS -> answerAfter(limitMs - 1, 503, "");
                case UNREADABLE -> answerAfter(1, 200, "{\"generation\":");
                default -> throw new AssertionError(failure);
            }
        }

        private void end(Return now) {
            if (returnedMs < 0 && outage.end() == now && failed == outage.last()) {
                returnedMs = nowMs;
            }
        }

        /** A time-out takes one more turn of the loop, in which what has come is read. */
        private void giveUpAfter(long limitMs) {
            completeAfter(limitMs + lateReadMs(), Optional.empty());
        }

        private void answerAfter(long ms, int status, String body) {
            completeAfter(ms, Optional.of(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status), Unpooled.copiedBuffer(body, StandardCharsets.UTF_8))));
        }

        private void completeAfter(long ms, Optional<FullHttpResponse> answer) {
            Consumer<Optional<FullHttpResponse>> then = out.orElseThrow();
            loop.eventLoop().schedule(() -> complete(then, answer), ms, TimeUnit.MILLISECONDS);
        }

        private void complete(Consumer<Optional<FullHttpResponse>> then, Optional<FullHttpResponse> answer) {
            if (out.isEmpty() || out.get() != then) {
                return;
            }
            boolean failure = returnedMs < 0 && !(answersFirst && requestsMs.size() == 1);
            out = Optional.empty();
            then.accept(answer);
            if (failure) {
                end(Return.AFTER_FAILURE);
                failed++;
            }
        }

        private long lateReadMs() {
            return busy ? BUSY_TURN_MS : 0;
        }

        /** To the next due task, or to the end of the busy loop's turn in which it falls due. */
        private void step() {
            long dueNanos = loop.runScheduledPendingTasks();
            assertTrue(dueNanos >= 0, "something is always due");
            long ms = Math.max(1, TimeUnit.NANOSECONDS.toMillis(dueNanos + 999_999));
            if (busy) {
                ms = (ms + BUSY_TURN_MS - 1) / BUSY_TURN_MS * BUSY_TURN_MS;
            }
            nowMs += ms;
            loop.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
            loop.runScheduledPendingTasks();
        }

        /** How long after the end of the outage the change is told. */
        long toldAfterMs() {
            runUntil(() -> toldMs >= 0);
            return toldMs - returnedMs;
        }

        /** How long after its address was replaced, which ends the outage, the change is told. */
        long toldAfterMoveMs(Failure firstRequest) {
            atNewAddress = Optional.of(firstRequest);
            runUntil(() -> returnedMs >= 0);
            discovery.moved(new InetSocketAddress("127.0.0.1", 1));
            stepUntil(() -> toldMs >= 0);
            return toldMs - returnedMs;
        }

        void runUntil(BooleanSupplier end) {
            discovery.start(Optional.empty());
            stepUntil(end);
        }

        private void stepUntil(BooleanSupplier end) {
            while (!end.getAsBoolean()) {
                assertTrue(nowMs < TEST_LIMIT_MS, "never came about");
                step();
            }
        }

        List<Long> requestsUntil(long endMs) {
            runUntil(() -> nowMs >= endMs);
            return requestsMs;
        }
    }

    private static List<Outage> outages() {
        List<Outage> outages = new ArrayList<>();
        for (Failure first : Failure.values()) {
            for (Failure second : Failure.values()) {
                for (Failure rest : Failure.values()) {
                    for (int last : new int[] {0, 1, 2, 6}) {
                        outages.add(new Outage(List.of(first, second, rest), last, Return.AFTER_REQUEST));
                        outages.add(new Outage(List.of(first, second, rest), last, Return.AFTER_FAILURE));
                    }
                }
            }
        }
        return outages;
    }

    private static void assertToldInTime(boolean busy) {
        long worstMs = 0;
        String worst = "";
        for (Outage outage : outages()) {
            for (Supplier<Random> draws : draws()) {
                for (boolean answersFirst : new boolean[] {true, false}) {
                    long ms = new Simulation(outage, busy, answersFirst, draws.get()).toldAfterMs();
                    if (ms > worstMs) {
                        worstMs = ms;
                        worst = outage + (answersFirst ? " after an answer" : " from the start");
                    }
                }
            }
        }
        assertTrue(worstMs <= TOLD_LIMIT_MS, "told after ms: " + worstMs + " with " + worst);
    }

    @Test
    void theLimitsOfEachRequestKeepTheBudget() {
        assertEquals(CONNECT_MS, AgentConnection.CONNECT_MS);
        assertEquals(TOLD_LIMIT_MS, DiscoveryRetryPolicy.BUDGET_MS);
        assertEquals(2 * BUSY_TURN_MS, DiscoveryRetryPolicy.LOOP_SLACK_MS);
        long afterInterval = AgentConnection.CONNECT_MS + DiscoveryRetryPolicy.LOOP_SLACK_MS;
        for (DiscoveryRetryPolicy.Timing timing : List.of(DiscoveryRetryPolicy.WATCH, DiscoveryRetryPolicy.PROMPT)) {
            assertTrue(timing.intervalMs() + afterInterval <= TOLD_LIMIT_MS, "in all: " + timing);
            assertTrue(timing.limitMs() + DiscoveryRetryPolicy.FIRST_MAX_PAUSE_MS <= timing.intervalMs(),
                    "room for the pause: " + timing);
            assertTrue(timing.answerTimeoutMs() >= 2000, "patience with an overloaded discovery: " + timing);
        }
        DiscoveryRetryPolicy.Timing moved = DiscoveryRetryPolicy.NEW_ADDRESS;
        assertTrue(moved.intervalMs() + afterInterval <= ADDRESS_CHANGE_LIMIT_MS, "in all: " + moved);
        assertTrue(moved.limitMs() + DiscoveryRetryPolicy.FIRST_MAX_PAUSE_MS <= moved.intervalMs(),
                "room for the pause: " + moved);
    }

    @Test
    void aChangeIsToldInTimeWhateverFailedBefore() {
        assertToldInTime(false);
    }

    @Test
    void aChangeIsToldInTimeWhateverFailedBeforeAlsoWithABusyEventLoop() {
        assertToldInTime(true);
    }

    /** The first request to the new address may be lost, too: the second one still brings the change in time. */
    @Test
    void aNewAddressTellsInTimeWhateverFailedBefore() {
        long worstMs = 0;
        String worst = "";
        for (Outage outage : outages()) {
            for (Failure first : Failure.values()) {
                for (boolean busy : new boolean[] {true, false}) {
                    Simulation simulation = new Simulation(outage, busy, true, always(Math.nextDown(1.0)));
                    long ms = simulation.toldAfterMoveMs(first);
                    if (ms > worstMs) {
                        worstMs = ms;
                        worst = outage + ", first request: " + first + (busy ? ", busy loop" : "");
                    }
                }
            }
        }
        assertTrue(worstMs <= ADDRESS_CHANGE_LIMIT_MS, "told after ms: " + worstMs + " with " + worst);
    }

    private static long mostWithin(long slotMs, List<Long> times) {
        return times.stream().mapToLong(from -> times.stream()
                .filter(at -> at >= from && at < from + slotMs).count()).max().orElse(0);
    }

    /** The watches of all clients fall silent at one moment. */
    @Test
    void theRequestsOfManyClientsAreSpreadOverTheIntervalThatTheBudgetAllows() {
        int clients = 100;
        Outage silence = new Outage(List.of(Failure.SILENT), Integer.MAX_VALUE, Return.AFTER_FAILURE);
        List<Long> firstRetries = new ArrayList<>();
        List<Long> laterRetries = new ArrayList<>();
        // Seeds of 64 random bits, as the configurations have them: the first draws of small seeds are much alike.
        SplittableRandom seeds = new SplittableRandom(1);
        for (int i = 0; i < clients; i++) {
            Random draws = new Random(seeds.nextLong());
            List<Long> requests = new Simulation(silence, false, true, draws).requestsUntil(30_000);
            firstRetries.add(requests.get(2));
            requests.stream().filter(at -> at >= 20_000 && at < 24_500).forEach(laterRetries::add);
        }
        assertTrue(mostWithin(100, firstRetries) <= 45, "first retries: " + firstRetries);
        assertTrue(mostWithin(500, laterRetries) <= 35, "later retries: " + laterRetries);
        assertTrue(laterRetries.size() >= clients, "each client asks again: " + laterRetries.size());
    }

    @Test
    void discoveryThatFailsAtOnceIsNotAskedInATightLoop() {
        for (Failure failure : List.of(Failure.ERROR_STATUS, Failure.CONNECT_REFUSED, Failure.UNREADABLE)) {
            Outage outage = new Outage(List.of(failure), Integer.MAX_VALUE, Return.AFTER_FAILURE);
            int most = new Simulation(outage, false, true, always(0)).requestsUntil(10_000).size();
            assertTrue(most <= 102, failure + ", requests in 10 s: " + most);
            int usual = new Simulation(outage, false, true, new Random(1)).requestsUntil(30_000).size();
            assertTrue(usual <= 30, failure + ", requests in 30 s: " + usual);
        }
    }
}
