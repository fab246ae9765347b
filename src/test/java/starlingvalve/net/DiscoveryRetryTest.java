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
 * Tests how soon discovery receives the next request after failed ones, with a clock that jumps from one due task to
 * the next. The sender must have received a change within 6 s after discovery had it and was reachable, and within 4 s
 * after the address of discovery was replaced.
 */
class DiscoveryRetryTest {
    /** Time limit for a change to be received, with a margin below 6 s. */
    private static final long CHANGE_LIMIT_MS = 5500;
    private static final long ADDRESS_CHANGE_LIMIT_MS = 4000;
    /** Duration of one pass of a busy event loop. */
    private static final long BUSY_PASS_MS = 250;
    private static final long CONNECT_MS = 500;
    private static final long TEST_LIMIT_MS = 60_000;
    private static final String LIST = "{\"generation\":%d,\"reset\":true,\"instances\":[{\"instanceId\":\"%s\","
            + "\"hostPort\":\"127.0.0.1:7070\",\"zone\":\"a\",\"machineType\":\"m\",\"cell\":1,"
            + "\"lifecycle\":\"SERVING\",\"weight\":1.0,\"startedAtMs\":0}]}";

    /** How a request fails during the outage. */
    private enum Failure { SILENT, CONNECT_REFUSED, CONNECT_HANGS, ERROR_STATUS, LATE_ERROR_STATUS, UNREADABLE }

    /** The moment at which discovery has the change and is reachable; a request in flight at that time still fails. */
    private enum Recovery { AFTER_REQUEST, AFTER_FAILURE }

    /** An outage: how its requests fail, in their order, and at which request it ends. */
    private record Outage(List<Failure> failures, int lastRequest, Recovery end) {
        Failure failure(int request) {
            return failures.get(Math.min(request, failures.size() - 1));
        }
    }

    /** A random source that always returns the same number. */
    private static Random always(double number) {
        return new Random() {
            @Override
            public double nextDouble() {
                return number;
            }
        };
    }

    /** Constant and seeded random sources. */
    private static List<Supplier<Random>> randoms() {
        return List.of(() -> always(Math.nextDown(1.0)), () -> always(0), () -> new Random(1), () -> new Random(2));
    }

    /** A sender, and a discovery that is unreachable until its outage ends. */
    private static final class Simulation implements Discovery.Source {
        private final EmbeddedChannel loop = new EmbeddedChannel();
        private final Outage outage;
        private final boolean busy;
        private final boolean answersFirst;
        private final Discovery discovery;
        private final List<Long> requestsMs = new ArrayList<>();
        private long nowMs;
        private boolean connected;
        /** The callback of the request in flight. */
        private Optional<Consumer<Optional<FullHttpResponse>>> inFlight = Optional.empty();
        private int failedRequests;
        /** How the first request to a new address fails, if it does. */
        private Optional<Failure> failureAtNewAddress = Optional.empty();
        private boolean addressChanged;
        /** The time at which the outage ended; negative before. */
        private long recoveredMs = -1;
        /** The time at which the sender received the change; negative before. */
        private long receivedMs = -1;

        Simulation(Outage outage, boolean busy, boolean answersFirst, Random random) {
            this.outage = outage;
            this.busy = busy;
            this.answersFirst = answersFirst;
            loop.freezeTime();
            EndpointList list = new EndpointList((full, entries) -> {
                if (receivedMs < 0 && entries.get(0).id().equals("after")) {
                    receivedMs = nowMs;
                }
            }, EventLog.shared());
            discovery = new Discovery(loop.eventLoop(), this, random, list, Optional.empty(),
                    () -> TimeUnit.MILLISECONDS.toNanos(nowMs));
        }

        @Override
        public void sendRequest(FullHttpRequest request, long limitMs, Consumer<Optional<FullHttpResponse>> callback) {
            requestsMs.add(nowMs);
            inFlight = Optional.of(callback);
            if (answersFirst && requestsMs.size() == 1) {
                connected = true;
                answerAfter(1, 200, String.format(LIST, 1, "before"));
            } else if (recoveredMs < 0) {
                fail(outage.failure(failedRequests), limitMs);
                endOutage(Recovery.AFTER_REQUEST);
            } else if (addressChanged && failureAtNewAddress.isPresent()) {
                fail(failureAtNewAddress.get(), limitMs);
                failureAtNewAddress = Optional.empty();
            } else if (connected) {
                // The connection was opened before the outage and is broken since.
                timeOutAfter(limitMs);
            } else {
                answerAfter(CONNECT_MS + readDelayMs(), 200, String.format(LIST, 2, "after"));
            }
        }

        @Override
        public void disconnect() {
            connected = false;
        }

        @Override
        public void cancelRequest() {
            throw new AssertionError("there is no lease to report lost requests");
        }

        @Override
        public void changeAddress(InetSocketAddress newAddress) {
            addressChanged = true;
            disconnect();
            inFlight.ifPresent(callback -> complete(callback, Optional.empty()));
        }

        private void fail(Failure failure, long limitMs) {
            connected = failure.ordinal() >= Failure.ERROR_STATUS.ordinal();
            switch (failure) {
                case SILENT -> timeOutAfter(limitMs);
                case CONNECT_REFUSED -> completeAfter(0, Optional.empty());
                case CONNECT_HANGS -> completeAfter(CONNECT_MS, Optional.empty());
                case ERROR_STATUS -> answerAfter(1, 503, "");
                case LATE_ERROR_STATUS -> answerAfter(limitMs - 1, 503, "");
                case UNREADABLE -> answerAfter(1, 200, "{\"generation\":");
                default -> throw new AssertionError(failure);
            }
        }

        private void endOutage(Recovery moment) {
            if (recoveredMs < 0 && outage.end() == moment && failedRequests == outage.lastRequest()) {
                recoveredMs = nowMs;
            }
        }

        /** A time-out is delayed by one pass of the loop, in which arrived input is read. */
        private void timeOutAfter(long limitMs) {
            completeAfter(limitMs + readDelayMs(), Optional.empty());
        }

        private void answerAfter(long ms, int status, String body) {
            completeAfter(ms, Optional.of(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status), Unpooled.copiedBuffer(body, StandardCharsets.UTF_8))));
        }

        private void completeAfter(long ms, Optional<FullHttpResponse> answer) {
            Consumer<Optional<FullHttpResponse>> callback = inFlight.orElseThrow();
            loop.eventLoop().schedule(() -> complete(callback, answer), ms, TimeUnit.MILLISECONDS);
        }

        private void complete(Consumer<Optional<FullHttpResponse>> callback, Optional<FullHttpResponse> answer) {
            if (inFlight.isEmpty() || inFlight.get() != callback) {
                return;
            }
            boolean failure = recoveredMs < 0 && !(answersFirst && requestsMs.size() == 1);
            inFlight = Optional.empty();
            callback.accept(answer);
            if (failure) {
                endOutage(Recovery.AFTER_FAILURE);
                failedRequests++;
            }
        }

        private long readDelayMs() {
            return busy ? BUSY_PASS_MS : 0;
        }

        /** Advances the clock to the next due task, or to the end of the busy loop's pass in which the task is due. */
        private void step() {
            long dueNanos = loop.runScheduledPendingTasks();
            assertTrue(dueNanos >= 0, "a task is always scheduled");
            long ms = Math.max(1, TimeUnit.NANOSECONDS.toMillis(dueNanos + 999_999));
            if (busy) {
                ms = (ms + BUSY_PASS_MS - 1) / BUSY_PASS_MS * BUSY_PASS_MS;
            }
            nowMs += ms;
            loop.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
            loop.runScheduledPendingTasks();
        }

        /** Runs until the change is received; returns the time from the end of the outage to then. */
        long changeDelayMs() {
            runUntil(() -> receivedMs >= 0);
            return receivedMs - recoveredMs;
        }

        /** Replaces the address, which ends the outage; returns the time from then until the change is received. */
        long changeDelayAfterAddressChangeMs(Failure firstRequest) {
            failureAtNewAddress = Optional.of(firstRequest);
            runUntil(() -> recoveredMs >= 0);
            discovery.changeAddress(new InetSocketAddress("127.0.0.1", 1));
            stepUntil(() -> receivedMs >= 0);
            return receivedMs - recoveredMs;
        }

        void runUntil(BooleanSupplier end) {
            discovery.start(Optional.empty());
            stepUntil(end);
        }

        private void stepUntil(BooleanSupplier end) {
            while (!end.getAsBoolean()) {
                assertTrue(nowMs < TEST_LIMIT_MS, "the expected state is never reached");
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
                    for (int lastRequest : new int[] {0, 1, 2, 6}) {
                        outages.add(new Outage(List.of(first, second, rest), lastRequest, Recovery.AFTER_REQUEST));
                        outages.add(new Outage(List.of(first, second, rest), lastRequest, Recovery.AFTER_FAILURE));
                    }
                }
            }
        }
        return outages;
    }

    private static void assertChangeInTime(boolean busy) {
        long worstMs = 0;
        String worst = "";
        for (Outage outage : outages()) {
            for (Supplier<Random> random : randoms()) {
                for (boolean answersFirst : new boolean[] {true, false}) {
                    long ms = new Simulation(outage, busy, answersFirst, random.get()).changeDelayMs();
                    if (ms > worstMs) {
                        worstMs = ms;
                        worst = outage + (answersFirst ? " after an answer" : " from the start");
                    }
                }
            }
        }
        assertTrue(worstMs <= CHANGE_LIMIT_MS, "change received after ms: " + worstMs + " with " + worst);
    }

    @Test
    void limitsOfEachRequestStayWithinBudget() {
        assertEquals(CONNECT_MS, AgentConnection.CONNECT_MS);
        assertEquals(CHANGE_LIMIT_MS, DiscoveryRetryPolicy.BUDGET_MS);
        assertEquals(2 * BUSY_PASS_MS, DiscoveryRetryPolicy.LOOP_SLACK_MS);
        long afterInterval = AgentConnection.CONNECT_MS + DiscoveryRetryPolicy.LOOP_SLACK_MS;
        for (DiscoveryRetryPolicy.Timing timing : List.of(DiscoveryRetryPolicy.WATCH, DiscoveryRetryPolicy.PROMPT)) {
            assertTrue(timing.intervalMs() + afterInterval <= CHANGE_LIMIT_MS, "total time: " + timing);
            assertTrue(timing.limitMs() + DiscoveryRetryPolicy.FIRST_MAX_PAUSE_MS <= timing.intervalMs(),
                    "the interval has time for the pause: " + timing);
            assertTrue(timing.answerTimeoutMs() >= 2000, "an overloaded discovery has time to answer: " + timing);
        }
        DiscoveryRetryPolicy.Timing newAddress = DiscoveryRetryPolicy.NEW_ADDRESS;
        assertTrue(newAddress.intervalMs() + afterInterval <= ADDRESS_CHANGE_LIMIT_MS, "total time: " + newAddress);
        assertTrue(newAddress.limitMs() + DiscoveryRetryPolicy.FIRST_MAX_PAUSE_MS <= newAddress.intervalMs(),
                "the interval has time for the pause: " + newAddress);
    }

    @Test
    void changeIsReceivedInTimeAfterAnyFailures() {
        assertChangeInTime(false);
    }

    @Test
    void changeIsReceivedInTimeAfterAnyFailuresWithBusyEventLoop() {
        assertChangeInTime(true);
    }

    /** The first request to the new address may also be lost: the second one still returns the change in time. */
    @Test
    void changeAtNewAddressIsReceivedInTimeAfterAnyFailures() {
        long worstMs = 0;
        String worst = "";
        for (Outage outage : outages()) {
            for (Failure first : Failure.values()) {
                for (boolean busy : new boolean[] {true, false}) {
                    Simulation simulation = new Simulation(outage, busy, true, always(Math.nextDown(1.0)));
                    long ms = simulation.changeDelayAfterAddressChangeMs(first);
                    if (ms > worstMs) {
                        worstMs = ms;
                        worst = outage + ", first request: " + first + (busy ? ", busy loop" : "");
                    }
                }
            }
        }
        assertTrue(worstMs <= ADDRESS_CHANGE_LIMIT_MS, "change received after ms: " + worstMs + " with " + worst);
    }

    /** The largest number of the given times within one period of the given length. */
    private static long maxCountWithin(long slotMs, List<Long> timesMs) {
        return timesMs.stream().mapToLong(startMs -> timesMs.stream()
                .filter(timeMs -> timeMs >= startMs && timeMs < startMs + slotMs).count()).max().orElse(0);
    }

    /** Discovery stops answering the watches of all senders at the same moment. */
    @Test
    void requestsOfManySendersAreSpreadOverAllowedInterval() {
        int senders = 100;
        Outage silence = new Outage(List.of(Failure.SILENT), Integer.MAX_VALUE, Recovery.AFTER_FAILURE);
        List<Long> firstRetries = new ArrayList<>();
        List<Long> laterRetries = new ArrayList<>();
        // Seeds of 64 random bits, as in the configurations: small seeds have very similar first random numbers.
        SplittableRandom seeds = new SplittableRandom(1);
        for (int i = 0; i < senders; i++) {
            Random random = new Random(seeds.nextLong());
            List<Long> requests = new Simulation(silence, false, true, random).requestsUntil(30_000);
            firstRetries.add(requests.get(2));
            requests.stream().filter(timeMs -> timeMs >= 20_000 && timeMs < 24_500).forEach(laterRetries::add);
        }
        assertTrue(maxCountWithin(100, firstRetries) <= 45, "first retries: " + firstRetries);
        assertTrue(maxCountWithin(500, laterRetries) <= 35, "later retries: " + laterRetries);
        assertTrue(laterRetries.size() >= senders, "each sender sends another request: " + laterRetries.size());
    }

    @Test
    void immediateFailuresDoNotCauseTightLoop() {
        for (Failure failure : List.of(Failure.ERROR_STATUS, Failure.CONNECT_REFUSED, Failure.UNREADABLE)) {
            Outage outage = new Outage(List.of(failure), Integer.MAX_VALUE, Recovery.AFTER_FAILURE);
            int maxRequests = new Simulation(outage, false, true, always(0)).requestsUntil(10_000).size();
            assertTrue(maxRequests <= 102, failure + ", requests in 10 s: " + maxRequests);
            int typicalRequests = new Simulation(outage, false, true, new Random(1)).requestsUntil(30_000).size();
            assertTrue(typicalRequests <= 30, failure + ", requests in 30 s: " + typicalRequests);
        }
    }
}
