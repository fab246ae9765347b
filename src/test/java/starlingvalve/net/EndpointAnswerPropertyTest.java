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
import starlingvalve.net.AnswerScript.Ending;
import starlingvalve.net.AnswerScript.Framing;
import starlingvalve.net.AnswerScript.Moment;
import starlingvalve.net.AnswerScript.Spelling;
import starlingvalve.net.AnswerScript.Spoiling;
import starlingvalve.net.AnswerScript.Spoilt;
import starlingvalve.net.AnswerScript.Step;
import starlingvalve.net.AnswerScript.Stray;
import starlingvalve.net.AnswerScript.Word;

/**
 * Whatever bytes an endpoint sends, and whenever: each call gets one end, by the protocol's table, and a message
 * that may not be repeated runs once at most when the sender sends again only what never ran.
 */
class EndpointAnswerPropertyTest {
    private static final int TRIES = 400;
    private static final int MOST_STEPS = 4;
    private static final int MOST_SENDS = 3;
    /** Time of a call whose answer must come by itself, however busy the machine. */
    private static final long LONG_MS = 5000;
    /** Time of a call whose answer never becomes whole and whose connection stays open. */
    private static final long SHORT_MS = 150;
    private static final long MARGIN_MS = 3000;
    private static final long ACCEPT_MS = 1000;

    private static final EventLoopGroup GROUP = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterContainer
    static void stopLoop() {
        GROUP.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    @Property(seed = "20261202", tries = TRIES, edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.BOUNDED)
    void eachCallHasOneTrueEndAndNothingRunsTwice(@ForAll("scripts") List<Step> script) throws Exception {
        assertEquals(List.of(), new Play().violations(script));
    }

    /** A sender and an endpoint that go through a script; what goes wrong is collected in words. */
    private static final class Play {
        private final List<String> violations = new ArrayList<>();
        private final Deque<String> again = new ArrayDeque<>();
        private final Map<String, Integer> sends = new HashMap<>();
        private EndpointClient client;
        private ScriptedEndpoint endpoint;
        private int messages;

        List<String> violations(List<Step> script) throws Exception {
            try (ScriptedEndpoint opened = new ScriptedEndpoint(() -> client.readAll())) {
                endpoint = opened;
                client = new EndpointClient(GROUP.next(), endpoint.address());
                for (int number = 0; number < script.size(); number++) {
                    play(number, script.get(number));
                }
                client.furtherEnds().forEach(end -> violations.add("a further end: " + end));
                for (String id : sends.keySet()) {
                    if (endpoint.runs(id) > 1) {
                        violations.add(id + " ran " + endpoint.runs(id) + " times");
                    }
                }
                client.stop();
            }
            return violations;
        }

        private void play(int number, Step step) throws Exception {
            List<String> ids = nextMessages(step.size());
            long timeoutMs = timeoutMs(step);
            int writtenBefore = client.written();
            int waitsBefore = client.waits().size();
            endpoint.play(step);
            start(step, ids, timeoutMs);
            List<EndpointClient.End> ends = client.ends(ids.size(), timeoutMs + MARGIN_MS);
            if (client.written() > writtenBefore) {
                endpoint.awaitArrival(ids, MARGIN_MS);
            }
            client.readAll();
            List<Double> waits = client.waits().subList(waitsBefore, client.waits().size());
            for (int place = 0; place < ids.size(); place++) {
                String id = ids.get(place);
                List<EndpointClient.End> own = ends.stream().filter(end -> end.id().equals(id)).toList();
                if (own.size() == 1) {
                    check(number, step, place, own.get(0), waits);
                } else {
                    violations.add("step " + number + ": " + id + " has these ends: " + own);
                }
            }
            ends.stream().filter(EndpointClient.End::neverRan).forEach(end -> sendAgain(end.id()));
        }

        private List<String> nextMessages(int many) {
            List<String> ids = new ArrayList<>();
            while (ids.size() < many) {
                String id = again.isEmpty() ? "m" + messages++ : again.removeFirst();
                sends.merge(id, 1, Integer::sum);
                ids.add(id);
            }
            return ids;
        }

        private void sendAgain(String id) {
            if (sends.get(id) < MOST_SENDS) {
                again.add(id);
            }
        }

        private long timeoutMs(Step step) {
            boolean clean = step.spoilt().by().clean() || step.spoilt().by() == Spoiling.STRAY_AFTER;
            return !clean && step.spoilt().ending() == Ending.SILENCE ? SHORT_MS : LONG_MS;
        }

        private void start(Step step, List<String> ids, long timeoutMs) {
            if (step.moment() == Moment.RESTING_READ) {
                endpoint.strayOnAll(step.before().bytes());
                client.readAll();
            }
            client.inLoop(() -> {
                if (step.moment() == Moment.RESTING_UNREAD) {
                    client.beforeNextStart(() -> endpoint.strayOnAll(step.before().bytes()));
                }
                if (step.moment() == Moment.AT_ACCEPT) {
                    startUnderStray(ids, timeoutMs);
                } else {
                    client.start(ids, timeoutMs);
                }
                return null;
            });
        }

        /** The loop dials, and hears that the connection is up only once its stray bytes have come. */
        private void startUnderStray(List<String> ids, long timeoutMs) {
            client.dropIdle();
            int before = endpoint.beginStrayAtAccept();
            Runnable afterDial = () -> endpoint.endStrayAtAccept(before, ACCEPT_MS);
            // A dial queues its connect, and does so after this question: one task more is behind it.
            client.beforeNextStart(() -> client.nextInLoop(() -> client.nextInLoop(afterDial)));
            client.start(ids, timeoutMs);
        }

        private void check(int number, Step step, int place, EndpointClient.End end, List<Double> waits) {
            ScriptedEndpoint.Fate fate = endpoint.fate(end.id());
            Answer answer = step.answer();
            String where = "step " + number + ": " + end + " with " + fate + ": ";
            if (end.outcome() == Outcome.DELIVERED && !maySayDelivered(step, place, fate)) {
                violations.add(where + "nothing said that it was delivered");
            }
            if (end.neverRan() && fate != null && fate.ran()) {
                violations.add(where + "it may have run");
            }
            if (end.gone() && !maySayGone(answer, place, fate)) {
                violations.add(where + "nothing said that it is over");
            }
            if (fate != null && fate.clean()) {
                checkClean(where, step, place, end, fate);
            }
            if (fate != null && wasToldToWait(step, fate) && !heard(answer.waitMs(), end, waits)) {
                violations.add(where + "the wait of " + answer.waitMs() + " ms was told, and not heard");
            }
        }

        private static boolean maySayDelivered(Step step, int place, ScriptedEndpoint.Fate fate) {
            if (fate == null || step.answer().status() != 200) {
                return false;
            }
            if (step.size() == 1) {
                return fate.firstLineWritten();
            }
            // What follows a whole answer takes nothing from it: the protocol asks only that it was written.
            boolean whole = !fate.connectionSpoilt()
                    && (step.spoilt().by().clean() || step.spoilt().by() == Spoiling.STRAY_AFTER);
            return whole && step.answer().words().get(place) == Word.ACCEPTED;
        }

        private static boolean maySayGone(Answer answer, int place, ScriptedEndpoint.Fate fate) {
            boolean toldGone = answer.toBatchWithWords() ? answer.words().get(place) == Word.EXPIRED
                    : answer.status() == 410;
            return toldGone && fate != null && fate.firstLineWritten();
        }

        private void checkClean(String where, Step step, int place, EndpointClient.End end,
                ScriptedEndpoint.Fate fate) {
            Answer answer = step.answer();
            if (provesNothing(step)) {
                checkMayHaveRun(where, end);
                return;
            }
            Outcome expected = answer.toBatchWithWords() ? outcome(answer.words().get(place))
                    : outcome(answer, fate);
            boolean gone = answer.toBatchWithWords() ? answer.words().get(place) == Word.EXPIRED
                    : answer.status() == 410;
            if (end.outcome() != expected || end.gone() != gone) {
                violations.add(where + "the answer says " + expected + (gone ? " and over" : ""));
            }
        }

        /** One that ends with its connection may be cut anywhere: only a first line with 200 counts in it. */
        private static boolean provesNothing(Step step) {
            boolean delivered = step.answer().status() == 200 && step.answer().words().size() == 1;
            return step.endsWithConnection() && !delivered;
        }

        private void checkMayHaveRun(String where, EndpointClient.End end) {
            if (!end.outcome().mayHaveRun() || end.gone()) {
                violations.add(where + "an answer without a length proves nothing");
            }
        }

        private static Outcome outcome(Word word) {
            return switch (word) {
                case ACCEPTED -> Outcome.DELIVERED;
                case FAULT -> Outcome.ERROR;
                case DEFERRED -> Outcome.FULL;
                case EXPIRED, NO_MORE -> Outcome.NOT_SENT;
            };
        }

        private static Outcome outcome(Answer answer, ScriptedEndpoint.Fate fate) {
            boolean single = answer.words().size() == 1;
            return switch (answer.status()) {
                case 200 -> Outcome.DELIVERED;
                case 429 -> Outcome.FULL;
                case 503 -> refusal(answer, fate);
                case 504, 410 -> Outcome.NOT_SENT;
                // To a single message: it is one that no client handed in, and is not to be sent again.
                case 400, 413 -> single ? Outcome.ERROR : Outcome.NOT_SENT;
                default -> Outcome.ERROR;
            };
        }

        /** One that ends a new connection refuses the connection; all others refuse the message, or the slot. */
        private static Outcome refusal(Answer answer, ScriptedEndpoint.Fate fate) {
            if (answer.noSlot()) {
                return Outcome.NOT_SENT;
            }
            return fate.newConnection() && !answer.keepAlive() ? Outcome.NO_CONNECTION : Outcome.FULL;
        }

        /** Whether the wait stands in a head that can be read, on a connection that carried nothing else. */
        private static boolean wasToldToWait(Step step, ScriptedEndpoint.Fate fate) {
            boolean readable = step.spoilt().by() != Spoiling.BAD_HEADER && fate.headWritten();
            boolean lost = !step.spoilt().by().clean() && step.spoilt().ending() == Ending.RESET;
            return step.answer().isRefusal() && step.answer().waitMs() > 0 && readable && !lost
                    && !fate.connectionSpoilt();
        }

        private static boolean heard(int waitMs, EndpointClient.End end, List<Double> waits) {
            return end.waitMs() == waitMs || waits.contains((double) waitMs);
        }
    }

    @Provide
    Arbitrary<List<Step>> scripts() {
        return steps().list().ofMinSize(1).ofMaxSize(MOST_STEPS);
    }

    private static Arbitrary<Step> steps() {
        Arbitrary<Integer> sizes = Arbitraries.frequency(Tuple.of(3, 1), Tuple.of(1, 2), Tuple.of(1, 3));
        return sizes.flatMap(size -> Combinators.combine(moments(), strays(), answers(size), spoilt())
                .as((moment, stray, answer, spoilt) -> new Step(size, moment, stray, answer, spoilt)));
    }

    private static Arbitrary<Moment> moments() {
        return Arbitraries.frequency(Tuple.of(6, Moment.NONE), Tuple.of(1, Moment.RESTING_READ),
                Tuple.of(1, Moment.RESTING_UNREAD), Tuple.of(1, Moment.AT_ACCEPT));
    }

    private static Arbitrary<Stray> strays() {
        Arbitrary<Stray> known = Arbitraries.of("\r\n", "HTTP/1.1 503 Serv", "HTTP/1.1 200 ",
                "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 429 x\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 503 x\r\nContent-Length: 1000\r\n\r\n").map(Stray::of);
        Arbitrary<Stray> random = Arbitraries.bytes().array(byte[].class).ofMinSize(1).ofMaxSize(40).map(Stray::new);
        return Arbitraries.frequencyOf(Tuple.of(3, known), Tuple.of(1, random));
    }

    private static Arbitrary<Answer> answers(int size) {
        Arbitrary<Integer> statuses = size == 1
                ? Arbitraries.of(200, 500, 429, 503, 504, 410, 400, 413)
                : Arbitraries.frequency(Tuple.of(4, 200), Tuple.of(1, 500), Tuple.of(1, 429), Tuple.of(1, 503),
                        Tuple.of(1, 400), Tuple.of(1, 413));
        Arbitrary<List<Word>> words = Arbitraries.of(Word.class).list().ofSize(size);
        Arbitrary<Integer> waits = Arbitraries.of(0, 250, 1500);
        Arbitrary<Integer> bodyLengths = Arbitraries.integers().between(0, 40);
        return Combinators.combine(statuses, Arbitraries.of(false, true), waits, words, bodyLengths,
                Arbitraries.of(Framing.class), Arbitraries.of(true, true, true, false), Arbitraries.of(Spelling.class))
                .as((status, noSlot, wait, told, length, framing, keep, spelling) -> new Answer(status,
                        noSlot && status == 503, wait, told, length, framing, keep, spelling));
    }

    private static Arbitrary<Spoilt> spoilt() {
        Arbitrary<Spoiling> ways = Arbitraries.frequency(Tuple.of(6, Spoiling.NONE), Tuple.of(2, Spoiling.SPLIT),
                Tuple.of(3, Spoiling.CUT), Tuple.of(2, Spoiling.STRAY_AFTER), Tuple.of(1, Spoiling.LENGTH_TOO_LONG),
                Tuple.of(1, Spoiling.LENGTH_TOO_SHORT), Tuple.of(1, Spoiling.BAD_CHUNK),
                Tuple.of(1, Spoiling.BAD_STATUS_LINE), Tuple.of(1, Spoiling.BAD_HEADER));
        Arbitrary<Ending> endings = Arbitraries.frequency(Tuple.of(3, Ending.FIN), Tuple.of(2, Ending.RESET),
                Tuple.of(2, Ending.SILENCE));
        return Combinators.combine(ways, Arbitraries.integers().between(0, 999),
                Arbitraries.integers().between(0, 30), endings, strays()).as(Spoilt::new);
    }
}
