package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tuple;
import net.jqwik.api.lifecycle.AfterContainer;
import starlingvalve.DeliveryPolicy.Outcome;
import starlingvalve.net.AnswerScript.Answer;
import starlingvalve.net.AnswerScript.Corruption;
import starlingvalve.net.AnswerScript.CorruptionKind;
import starlingvalve.net.AnswerScript.Ending;
import starlingvalve.net.AnswerScript.Framing;
import starlingvalve.net.AnswerScript.MessageResult;
import starlingvalve.net.AnswerScript.Spelling;
import starlingvalve.net.AnswerScript.Step;
import starlingvalve.net.AnswerScript.StrayBytes;
import starlingvalve.net.AnswerScript.StrayTiming;

/**
 * Whatever bytes an endpoint sends, and at whatever time, each call ends exactly once, with the outcome that the
 * protocol's table gives. A message that must not be repeated runs at most once if the sender repeats only attempts
 * that never ran.
 */
class EndpointAnswerPropertyTest {
    private static final int TRIES = 400;
    private static final int MAX_STEPS = 4;
    private static final int MAX_SENDS = 3;
    /** Time-out of a call that must get its answer or the end of its connection, even on a busy machine. */
    private static final long LONG_TIMEOUT_MS = 5000;
    /** Time-out of a call whose answer never becomes complete and whose connection stays open. */
    private static final long SHORT_TIMEOUT_MS = 150;
    private static final long MARGIN_MS = 3000;
    private static final long ACCEPT_TIMEOUT_MS = 1000;

    private static final EventLoopGroup GROUP = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterContainer
    static void stopLoop() {
        GROUP.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    @Property(seed = "20261202", tries = TRIES, edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.BOUNDED)
    void eachCallEndsOnceWithTheRightOutcomeAndNoMessageRunsTwice(@ForAll("scripts") List<Step> script)
            throws Exception {
        assertEquals(List.of(), new ScriptRun().violations(script));
    }

    /** Runs a script with a sender and an endpoint, and collects descriptions of the violations. */
    private static final class ScriptRun {
        private final List<String> violations = new ArrayList<>();
        private final Deque<String> repeats = new ArrayDeque<>();
        private final Map<String, Integer> sends = new HashMap<>();
        private EndpointClient client;
        private ScriptedEndpoint endpoint;
        private int messages;

        List<String> violations(List<Step> script) throws Exception {
            try (ScriptedEndpoint opened = new ScriptedEndpoint(() -> client.readAll())) {
                endpoint = opened;
                client = new EndpointClient(GROUP.next(), endpoint.address());
                for (int number = 0; number < script.size(); number++) {
                    execute(number, script.get(number));
                }
                client.remainingEnds().forEach(end -> violations.add("an additional end: " + end));
                for (String id : sends.keySet()) {
                    if (endpoint.runs(id) > 1) {
                        violations.add(id + " ran " + endpoint.runs(id) + " times");
                    }
                }
                client.stop();
            }
            return violations;
        }

        private void execute(int number, Step step) throws Exception {
            List<String> ids = nextMessages(step.size());
            long timeoutMs = timeoutMs(step);
            int writtenBefore = client.writtenMessages();
            int retryAftersBefore = client.retryAfters().size();
            endpoint.setStep(step);
            start(step, ids, timeoutMs);
            List<EndpointClient.End> ends = client.ends(ids.size(), timeoutMs + MARGIN_MS);
            if (client.writtenMessages() > writtenBefore) {
                endpoint.awaitArrival(ids, MARGIN_MS);
            }
            client.readAll();
            List<Double> retryAfters =
                    client.retryAfters().subList(retryAftersBefore, client.retryAfters().size());
            for (int index = 0; index < ids.size(); index++) {
                String id = ids.get(index);
                List<EndpointClient.End> own = ends.stream().filter(end -> end.id().equals(id)).toList();
                if (own.size() == 1) {
                    check(number, step, index, own.get(0), retryAfters);
                } else {
                    violations.add("step " + number + ": " + id + " has these ends: " + own);
                }
            }
            ends.stream().filter(EndpointClient.End::neverRan).forEach(end -> sendAgain(end.id()));
        }

        private List<String> nextMessages(int count) {
            List<String> ids = new ArrayList<>();
            while (ids.size() < count) {
                String id = repeats.isEmpty() ? "m" + messages++ : repeats.removeFirst();
                sends.merge(id, 1, Integer::sum);
                ids.add(id);
            }
            return ids;
        }

        private void sendAgain(String id) {
            if (sends.get(id) < MAX_SENDS) {
                repeats.add(id);
            }
        }

        private long timeoutMs(Step step) {
            boolean complete = step.corruption().kind().isHarmless()
                    || step.corruption().kind() == CorruptionKind.STRAY_AFTER;
            return !complete && step.corruption().ending() == Ending.SILENCE ? SHORT_TIMEOUT_MS : LONG_TIMEOUT_MS;
        }

        private void start(Step step, List<String> ids, long timeoutMs) {
            if (step.strayTiming() == StrayTiming.IDLE_READ) {
                endpoint.writeStrayToAll(step.strayBefore().bytes());
                client.readAll();
            }
            client.inLoop(() -> {
                if (step.strayTiming() == StrayTiming.IDLE_UNREAD) {
                    client.beforeNextStart(() -> endpoint.writeStrayToAll(step.strayBefore().bytes()));
                }
                if (step.strayTiming() == StrayTiming.AT_ACCEPT) {
                    startWithStrayAtAccept(ids, timeoutMs);
                } else {
                    client.start(ids, timeoutMs);
                }
                return null;
            });
        }

        /** The event loop connects, and handles the new connection only after its stray bytes have arrived. */
        private void startWithStrayAtAccept(List<String> ids, long timeoutMs) {
            client.closeIdle();
            int acceptedBefore = endpoint.beginStrayAtAccept();
            Runnable afterConnect = () -> endpoint.endStrayAtAccept(acceptedBefore, ACCEPT_TIMEOUT_MS);
            // The connect is queued as a task only after this callback returns; a second task runs after it.
            client.beforeNextStart(() -> client.executeInLoop(() -> client.executeInLoop(afterConnect)));
            client.start(ids, timeoutMs);
        }

        private void check(int number, Step step, int index, EndpointClient.End end, List<Double> retryAfters) {
            ScriptedEndpoint.Handling handling = endpoint.handling(end.id());
            Answer answer = step.answer();
            String where = "step " + number + ": " + end + " with " + handling + ": ";
            if (end.outcome() == Outcome.DELIVERED && !mayReportDelivery(step, index, handling)) {
                violations.add(where + "no answer reported a delivery");
            }
            if (end.neverRan() && handling != null && handling.ran()) {
                violations.add(where + "it may have run");
            }
            if (end.messageEnded() && !mayReportEnd(answer, index, handling)) {
                violations.add(where + "no answer reported that it has ended");
            }
            if (handling != null && handling.validAnswer()) {
                checkValidAnswer(where, step, index, end, handling);
            }
            if (handling != null && hasRetryAfter(step, handling)
                    && !reported(answer.retryAfterMs(), end, retryAfters)) {
                violations.add(where + "a retry-after of " + answer.retryAfterMs() + " ms was sent, but not reported");
            }
        }

        private static boolean mayReportDelivery(Step step, int index, ScriptedEndpoint.Handling handling) {
            if (handling == null || step.answer().status() != 200) {
                return false;
            }
            if (step.size() == 1) {
                return handling.statusLineWritten();
            }
            // Trailing bytes don't invalidate a complete answer: the protocol only requires that it was written.
            boolean complete = !handling.connectionCorrupted()
                    && (step.corruption().kind().isHarmless()
                    || step.corruption().kind() == CorruptionKind.STRAY_AFTER);
            return complete && step.answer().results().get(index) == MessageResult.ACCEPTED;
        }

        private static boolean mayReportEnd(Answer answer, int index, ScriptedEndpoint.Handling handling) {
            boolean reportedEnd = answer.hasMessageResults() ? answer.results().get(index) == MessageResult.EXPIRED
                    : answer.status() == 410;
            return reportedEnd && handling != null && handling.statusLineWritten();
        }

        private void checkValidAnswer(String where, Step step, int index, EndpointClient.End end,
                ScriptedEndpoint.Handling handling) {
            Answer answer = step.answer();
            if (provesNothing(step)) {
                checkMayHaveRun(where, end);
                return;
            }
            Outcome expected = answer.hasMessageResults() ? outcome(answer.results().get(index))
                    : outcome(answer, handling);
            boolean messageEnded = answer.hasMessageResults() ? answer.results().get(index) == MessageResult.EXPIRED
                    : answer.status() == 410;
            if (end.outcome() != expected || end.messageEnded() != messageEnded) {
                violations.add(where + "the answer says " + expected
                        + (messageEnded ? " and that the message has ended" : ""));
            }
        }

        /** An answer that ends with its connection may be truncated anywhere: only a status line with 200 counts. */
        private static boolean provesNothing(Step step) {
            boolean delivered = step.answer().status() == 200 && step.answer().results().size() == 1;
            return step.endsWithConnection() && !delivered;
        }

        private void checkMayHaveRun(String where, EndpointClient.End end) {
            if (!end.outcome().mayHaveRun() || end.messageEnded()) {
                violations.add(where + "an answer without a length proves nothing");
            }
        }

        private static Outcome outcome(MessageResult result) {
            return switch (result) {
                case ACCEPTED -> Outcome.DELIVERED;
                case FAULT -> Outcome.ERROR;
                case DEFERRED -> Outcome.FULL;
                case EXPIRED, NO_MORE -> Outcome.NOT_SENT;
            };
        }

        private static Outcome outcome(Answer answer, ScriptedEndpoint.Handling handling) {
            boolean single = answer.results().size() == 1;
            return switch (answer.status()) {
                case 200 -> Outcome.DELIVERED;
                case 429 -> Outcome.FULL;
                case 503 -> refusal(answer, handling);
                case 504, 410 -> Outcome.NOT_SENT;
                // A client can't have submitted such a single message, and it must not be sent again.
                case 400, 413 -> single ? Outcome.ERROR : Outcome.NOT_SENT;
                default -> Outcome.ERROR;
            };
        }

        /** A refusal that closes a new connection refuses the connection; any other one the message or the slot. */
        private static Outcome refusal(Answer answer, ScriptedEndpoint.Handling handling) {
            if (answer.noSlot()) {
                return Outcome.NOT_SENT;
            }
            return handling.newConnection() && !answer.keepAlive() ? Outcome.NO_CONNECTION : Outcome.FULL;
        }

        /** Whether the answer has a Retry-After in a readable head, on a connection that was not corrupted before. */
        private static boolean hasRetryAfter(Step step, ScriptedEndpoint.Handling handling) {
            boolean readable = step.corruption().kind() != CorruptionKind.BAD_HEADER && handling.headWritten();
            boolean lost = !step.corruption().kind().isHarmless() && step.corruption().ending() == Ending.RESET;
            return step.answer().isRefusal() && step.answer().retryAfterMs() > 0 && readable && !lost
                    && !handling.connectionCorrupted();
        }

        private static boolean reported(int retryAfterMs, EndpointClient.End end, List<Double> retryAfters) {
            return end.retryAfterMs() == retryAfterMs || retryAfters.contains((double) retryAfterMs);
        }
    }

    @Provide
    Arbitrary<List<Step>> scripts() {
        return steps().list().ofMinSize(1).ofMaxSize(MAX_STEPS);
    }

    private static Arbitrary<Step> steps() {
        Arbitrary<Integer> sizes = Arbitraries.frequency(Tuple.of(3, 1), Tuple.of(1, 2), Tuple.of(1, 3));
        return sizes.flatMap(size -> Combinators.combine(strayTimings(), strayBytes(), answers(size), corruption())
                .as((timing, stray, answer, corruption) -> new Step(size, timing, stray, answer, corruption)));
    }

    private static Arbitrary<StrayTiming> strayTimings() {
        return Arbitraries.frequency(Tuple.of(6, StrayTiming.NONE), Tuple.of(1, StrayTiming.IDLE_READ),
                Tuple.of(1, StrayTiming.IDLE_UNREAD), Tuple.of(1, StrayTiming.AT_ACCEPT));
    }

    private static Arbitrary<StrayBytes> strayBytes() {
        Arbitrary<StrayBytes> known = Arbitraries.of("\r\n", "HTTP/1.1 503 Serv", "HTTP/1.1 200 ",
                "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 429 x\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 503 x\r\nContent-Length: 1000\r\n\r\n").map(StrayBytes::of);
        Arbitrary<StrayBytes> random =
                Arbitraries.bytes().array(byte[].class).ofMinSize(1).ofMaxSize(40).map(StrayBytes::new);
        return Arbitraries.frequencyOf(Tuple.of(3, known), Tuple.of(1, random));
    }

    private static Arbitrary<Answer> answers(int size) {
        Arbitrary<Integer> statuses = size == 1
                ? Arbitraries.of(200, 500, 429, 503, 504, 410, 400, 413)
                : Arbitraries.frequency(Tuple.of(4, 200), Tuple.of(1, 500), Tuple.of(1, 429), Tuple.of(1, 503),
                        Tuple.of(1, 400), Tuple.of(1, 413));
        Arbitrary<List<MessageResult>> results = Arbitraries.of(MessageResult.class).list().ofSize(size);
        Arbitrary<Integer> retryAfters = Arbitraries.of(0, 250, 1500);
        Arbitrary<Integer> bodyLengths = Arbitraries.integers().between(0, 40);
        return Combinators.combine(statuses, Arbitraries.of(false, true), retryAfters, results, bodyLengths,
                Arbitraries.of(Framing.class), Arbitraries.of(true, true, true, false), Arbitraries.of(Spelling.class))
                .as((status, noSlot, retryAfter, resultList, length, framing, keepAlive, spelling) -> new Answer(status,
                        noSlot && status == 503, retryAfter, resultList, length, framing, keepAlive, spelling));
    }

    private static Arbitrary<Corruption> corruption() {
        Arbitrary<CorruptionKind> kinds = Arbitraries.frequency(Tuple.of(6, CorruptionKind.NONE),
                Tuple.of(2, CorruptionKind.SPLIT), Tuple.of(3, CorruptionKind.TRUNCATED),
                Tuple.of(2, CorruptionKind.STRAY_AFTER), Tuple.of(1, CorruptionKind.LENGTH_TOO_LONG),
                Tuple.of(1, CorruptionKind.LENGTH_TOO_SHORT), Tuple.of(1, CorruptionKind.BAD_CHUNK),
                Tuple.of(1, CorruptionKind.BAD_STATUS_LINE), Tuple.of(1, CorruptionKind.BAD_HEADER));
        Arbitrary<Ending> endings = Arbitraries.frequency(Tuple.of(3, Ending.FIN), Tuple.of(2, Ending.RESET),
                Tuple.of(2, Ending.SILENCE));
        return Combinators.combine(kinds, Arbitraries.integers().between(0, 999),
                Arbitraries.integers().between(0, 30), endings, strayBytes()).as(Corruption::new);
    }
}
