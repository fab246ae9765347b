package starlingvalve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import starlingvalve.DeliveryPolicy.Effect;
import starlingvalve.DeliveryPolicy.Outcome;

/** A caller of the module for tests: a clock, recorded actions and, where strict, a check of the rules. */
final class PolicyHarness implements DeliveryPolicy.Actions {
    private static final double STEP = 5;

    record Sent(long message, int attempt, long endpoint, double at, double timeout) {
    }

    private record ScheduledEvent(double at, long number, Runnable event) {
    }

    final List<Sent> sends = new ArrayList<>();
    final List<String> cancels = new ArrayList<>();
    final List<Long> idleCloses = new ArrayList<>();
    final List<String> answers = new ArrayList<>();
    final List<Double> wakes = new ArrayList<>();
    final List<Double> retryAfters = new ArrayList<>();
    final DeliveryPolicy policy;
    Consumer<Sent> onSend = s -> { };
    boolean checksRules;
    /** The list of endpoints is the newest: calls may go out. */
    boolean mayStartCalls = true;
    /** How often the module asked and was told to wait. */
    int callsHeldBack;
    boolean acknowledgesAtOnce = true;
    double listedRate;
    double now;
    /** The caller fails when it is told the answer of this message. */
    long failsToAnswer = -1;

    private final PriorityQueue<ScheduledEvent> due =
            new PriorityQueue<>(Comparator.comparingDouble(ScheduledEvent::at)
                    .thenComparingLong(ScheduledEvent::number));
    private final Map<Long, DeliveryPolicy.Message> messages = new HashMap<>();
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final Map<Long, DeliveryPolicy.Endpoint> endpoints = new HashMap<>();
    private final Map<String, Outcome> ends = new HashMap<>();
    private final Set<Long> over = new HashSet<>();
    private final Map<String, List<Long>> byKey = new HashMap<>();
    private long count;

    PolicyHarness() {
        this(10);
    }

    PolicyHarness(int slots) {
        this(slots, 2);
    }

    PolicyHarness(int slots, int senders) {
        this(slots, senders, 7);
    }

    PolicyHarness(int slots, int senders, long seed) {
        this(slots, senders, seed, new DeliveryPolicy.ColdStart(0.2, 12_000, 2, 1500));
    }

    PolicyHarness(int slots, int senders, long seed, DeliveryPolicy.ColdStart coldStart) {
        List<DeliveryPolicy.Kind> kinds =
                List.of(new DeliveryPolicy.Kind(false, 1), new DeliveryPolicy.Kind(false, 5),
                        new DeliveryPolicy.Kind(true, 1));
        DeliveryPolicy.Settings settings =
                new DeliveryPolicy.Settings(MessageClasses.CLASSES, kinds, true, DeliveryPolicy.Decay.LINEAR,
                        List.of(0.0, 0.06), senders, slots, 12, true, true, 500, 15_000, coldStart);
        policy = DeliveryPolicy.create(settings, seed, this);
    }

    PolicyHarness list(long destination, long... ids) {
        for (long id : ids) {
            entry(id, destination, 0, 0, true);
        }
        return this;
    }

    PolicyHarness entry(long id, long destination, int kind, int zone, boolean serving) {
        DeliveryPolicy.Endpoint entry = new DeliveryPolicy.Endpoint(id, destination, kind, zone, serving, listedRate);
        endpoints.put(id, entry);
        policy.endpoints(now, false, List.of(entry));
        policy.endTurn(now);
        return this;
    }

    void submit(long id, int type, long destination) {
        submit(id, type, destination, "key " + id);
    }

    void submit(long id, int type, long destination, String key) {
        handIn(id, type, destination, key);
        policy.endTurn(now);
    }

    void submitTogether(int many, int type, long destination) {
        for (long id = 1; id <= many; id++) {
            handIn(id, type, destination, "key " + id);
        }
        policy.endTurn(now);
    }

    /** One message each so many milliseconds, numbered on from those taken before, until that time. */
    void submitEvery(double gap, int type, long destination, double end) {
        while (now < end) {
            submit(messages.size(), type, destination);
            advanceTo(now + gap);
        }
    }

    private void handIn(long id, int type, long destination, String key) {
        double left = type < MessageClasses.CLASSES.size() ? MessageClasses.CLASSES.get(type).deadlineMs() : 16_000;
        DeliveryPolicy.Message m = new DeliveryPolicy.Message(id, type, 0, Optional.of(key), left, destination);
        messages.put(id, m);
        OptionalDouble away = policy.admissionRetryAfter(now, m);
        if (away.isPresent()) {
            refuse(id, away.getAsDouble());
        } else {
            policy.messageAccepted(now, m);
        }
        if (MessageClasses.CLASSES.get(type).inOrder()) {
            byKey.computeIfAbsent(key, k -> new ArrayList<>()).add(id);
        }
    }

    /** A message of an earlier life, with the attempts made then. */
    void recover(long id, int type, long destination, double leftMs, List<DeliveryPolicy.EarlierAttempt> earlier) {
        recoverInTurn(id, type, destination, leftMs, earlier);
        policy.endTurn(now);
    }

    void recoverInTurn(long id, int type, long destination, double leftMs, List<DeliveryPolicy.EarlierAttempt> earlier) {
        DeliveryPolicy.Message m =
                new DeliveryPolicy.Message(id, type, 0, Optional.of("key " + id), leftMs, destination);
        attempts.put(id, earlier.size());
        messages.put(id, m);
        policy.messageRecovered(now, m, earlier);
    }

    /** Goes on where another instance was, some time ago by the clock. */
    void takeOver(PolicyHarness old, double agoMs) {
        takeOver(old, agoMs, snapshot -> snapshot);
    }

    /** The same, with what becomes of the memory on its way. */
    void takeOver(PolicyHarness old, double agoMs, UnaryOperator<DeliveryPolicy.Snapshot> passed) {
        attempts.putAll(old.attempts);
        messages.putAll(old.messages);
        ends.putAll(old.ends);
        over.addAll(old.over);
        policy.restore(now, now - agoMs, passed.apply(old.policy.snapshot(old.now)));
        policy.endTurn(now);
    }

    boolean hasEnded(long id) {
        return over.contains(id);
    }

    void end(long message, int attempt, Outcome outcome) {
        end(message, attempt, outcome, 0);
    }

    void end(long message, int attempt, Outcome outcome, double retryAfterMs) {
        boolean messageEnded = outcome == Outcome.DELIVERED || over.contains(message);
        ends.put(message + "/" + attempt, outcome);
        if (outcome == Outcome.DELIVERED) {
            over.add(message);
        }
        policy.attemptEnded(now, new DeliveryPolicy.AttemptEnd(message, attempt, outcome, 10, messageEnded, retryAfterMs,
                false));
        policy.endTurn(now);
    }

    void endLater(Sent s, Outcome outcome, double took) {
        at(now + took, () -> {
            if (!ends.containsKey(s.message + "/" + s.attempt)) {
                end(s.message, s.attempt, outcome);
            }
        });
    }

    void withdraw(long id) {
        over.add(id);
        policy.messageWithdrawn(now, id);
        policy.endTurn(now);
    }

    void at(double time, Runnable event) {
        due.add(new ScheduledEvent(time, count++, event));
    }

    /** Lets time pass up to this moment, in steps of the caller's tick. */
    void advanceTo(double end) {
        while (now + STEP <= end) {
            now += STEP;
            while (!due.isEmpty() && due.peek().at <= now) {
                due.remove().event.run();
            }
        }
    }

    long delivered() {
        return ends.values().stream().filter(o -> o == Outcome.DELIVERED).count();
    }

    long delivered(int type) {
        return messages.values().stream().filter(m -> m.messageClass() == type).map(DeliveryPolicy.Message::id)
                .filter(id -> ends.entrySet().stream().anyMatch(e -> e.getKey().startsWith(id + "/")
                        && e.getValue() == Outcome.DELIVERED)).count();
    }

    List<Long> sent() {
        return sends.stream().map(Sent::message).toList();
    }

    void assertAllAnswered() {
        for (long id : messages.keySet()) {
            assertTrue(over.contains(id), "message " + id + " got no answer");
        }
    }

    @Override
    public boolean mayStartCalls() {
        callsHeldBack += mayStartCalls ? 0 : 1;
        return mayStartCalls;
    }

    @Override
    public void send(long message, long endpoint, double timeoutMs) {
        int attempt = attempts.merge(message, 1, Integer::sum) - 1;
        Sent s = new Sent(message, attempt, endpoint, now, timeoutMs);
        if (checksRules) {
            check(s);
        }
        sends.add(s);
        onSend.accept(s);
    }

    private void check(Sent s) {
        DeliveryPolicy.Message m = messages.get(s.message);
        DeliveryPolicy.MessageClass type = MessageClasses.CLASSES.get(m.messageClass());
        assertFalse(over.contains(s.message), "sent after the end");
        assertTrue(endpoints.get(s.endpoint).serving(), "sent to a draining endpoint");
        assertEquals(m.destination(), endpoints.get(s.endpoint).destination());
        for (Sent earlier : sends) {
            if (earlier.message != s.message) {
                continue;
            }
            Outcome outcome = ends.get(earlier.message + "/" + earlier.attempt);
            if (outcome != null && !outcome.mayHaveRun()) {
                continue;
            }
            assertFalse(type.effect() == Effect.UNSAFE, "an unsafe message may have run twice");
            if (type.effect() == Effect.KEYED) {
                assertTrue(now <= earlier.at + type.dedupWindowMs(), "outside the window");
                assertTrue(!type.sameZone()
                        || endpoints.get(earlier.endpoint).zone() == endpoints.get(s.endpoint).zone());
            }
        }
        if (type.inOrder()) {
            for (long other : byKey.get(m.key().orElseThrow())) {
                if (other == s.message) {
                    break;
                }
                assertTrue(over.contains(other), "an earlier message of the key is unfinished");
                for (int i = 0; i < attempts.getOrDefault(other, 0); i++) {
                    assertTrue(ends.containsKey(other + "/" + i), "an earlier attempt of the key is out");
                }
            }
        }
    }

    @Override
    public void cancel(long message, int attempt) {
        cancels.add(message + "/" + attempt);
        if (checksRules) {
            at(now, () -> {
                if (!ends.containsKey(message + "/" + attempt)) {
                    end(message, attempt, Outcome.CANCELLED);
                }
            });
        }
    }

    @Override
    public void closeIdle(long endpoint) {
        idleCloses.add(endpoint);
    }

    @Override
    public boolean refuse(long message, double retryAfterMs) {
        retryAfters.add(retryAfterMs);
        if (checksRules) {
            Effect effect = MessageClasses.CLASSES.get(messages.get(message).messageClass()).effect();
            for (int i = 0; effect == Effect.UNSAFE && i < attempts.getOrDefault(message, 0); i++) {
                assertFalse(ends.get(message + "/" + i).mayHaveRun(), "refused though it may have run");
            }
        }
        return answer("refuse ", message);
    }

    @Override
    public boolean fail(long message) {
        return answer("fail ", message);
    }

    private boolean answer(String what, long message) {
        if (message == failsToAnswer) {
            throw new IllegalStateException("a fault of the test's");
        }
        assertTrue(over.add(message), "a second answer");
        answers.add(what + message);
        return acknowledgesAtOnce;
    }

    @Override
    public void wakeAt(double time) {
        wakes.add(time);
        at(Math.max(time, now + 0.001), () -> {
            policy.wake(now);
            policy.endTurn(now);
        });
    }

    @Override
    public void log(String text) {
        assertFalse(text.isBlank());
    }
}
