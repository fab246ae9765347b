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

/**
 * Drives one {@link DeliveryPolicy} in tests: simulates the clock and the sender, records the actions and, if {@link
 * #checksRules} is set, asserts at each send and refusal that the delivery rules hold.
 */
final class PolicyHarness implements DeliveryPolicy.Actions {
    private static final double STEP_MS = 5;

    /** A {@link #send} action: an attempt, with its time and its time-out in milliseconds. */
    record Sent(long message, int attempt, long endpoint, double at, double timeout) {
    }

    private record ScheduledEvent(double at, long number, Runnable event) {
    }

    final List<Sent> sends = new ArrayList<>();
    /** Cancelled attempts, as {@code message/attempt}. */
    final List<String> cancels = new ArrayList<>();
    /** Endpoints to which idle connections were closed. */
    final List<Long> idleCloses = new ArrayList<>();
    /** Final answers, as {@code refuse message} or {@code fail message}. */
    final List<String> answers = new ArrayList<>();
    /** Times of the requested wake-ups. */
    final List<Double> wakes = new ArrayList<>();
    /** The times in milliseconds after which clients of refused messages may submit them again. */
    final List<Double> retryAfters = new ArrayList<>();
    final DeliveryPolicy policy;
    /** Called after each send; usually schedules the end of the attempt. */
    Consumer<Sent> onSend = attempt -> { };
    /** Whether each send and refusal is checked against the delivery rules, and cancelled attempts end at once. */
    boolean checksRules;
    /** Whether the list of endpoints is up to date, so that calls may be started. */
    boolean mayStartCalls = true;
    /** How often the policy asked whether calls may be started while they may not. */
    int callsHeldBack;
    /** Whether final answers count as acknowledged at once. */
    boolean acknowledgesAtOnce = true;
    /** The rate that {@link #entry} lists for endpoints, in calls a second; 0 for none. */
    double listedRate;
    double now;
    /** Refusing or failing this message throws an exception. */
    long failsToAnswer = -1;

    private final PriorityQueue<ScheduledEvent> scheduled =
            new PriorityQueue<>(Comparator.comparingDouble(ScheduledEvent::at)
                    .thenComparingLong(ScheduledEvent::number));
    private final Map<Long, DeliveryPolicy.Message> messages = new HashMap<>();
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final Map<Long, DeliveryPolicy.Endpoint> endpoints = new HashMap<>();
    /** The outcome of each ended attempt, by {@code message/attempt}. */
    private final Map<String, Outcome> outcomes = new HashMap<>();
    private final Set<Long> endedMessages = new HashSet<>();
    /** The messages of each ordering key, in the order in which they were accepted. */
    private final Map<String, List<Long>> messagesByKey = new HashMap<>();
    private long scheduledCount;

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
        this(slots, senders, seed, coldStart, true);
    }

    /** Creates a policy whose settings allow no second copies. */
    static PolicyHarness withoutHedging() {
        return new PolicyHarness(10, 2, 7, new DeliveryPolicy.ColdStart(0.2, 12_000, 2, 1500), false);
    }

    private PolicyHarness(int slots, int senders, long seed, DeliveryPolicy.ColdStart coldStart, boolean hedging) {
        List<DeliveryPolicy.Kind> kinds =
                List.of(new DeliveryPolicy.Kind(false, 1), new DeliveryPolicy.Kind(false, 5),
                        new DeliveryPolicy.Kind(true, 1));
        DeliveryPolicy.Settings settings =
                new DeliveryPolicy.Settings(MessageClasses.CLASSES, kinds, true, DeliveryPolicy.Decay.LINEAR,
                        List.of(0.0, 0.06), senders, slots, 12, hedging, true, 500, 15_000, coldStart);
        policy = DeliveryPolicy.create(settings, seed, this);
    }

    /** Lists serving endpoints of a destination whose endpoints share one limit and whose calls carry one message. */
    PolicyHarness list(long destination, long... ids) {
        for (long id : ids) {
            entry(id, destination, 0, 0, true);
        }
        return this;
    }

    /** Adds or changes one endpoint of the list, in a turn of its own. */
    PolicyHarness entry(long id, long destination, int kind, int zone, boolean serving) {
        DeliveryPolicy.Endpoint entry = new DeliveryPolicy.Endpoint(id, destination, kind, zone, serving, listedRate);
        endpoints.put(id, entry);
        policy.endpoints(now, false, List.of(entry));
        policy.endTurn(now);
        return this;
    }

    /** Submits a message in a turn of its own, with its class's deadline and an ordering key that no other has. */
    void submit(long id, int type, long destination) {
        submit(id, type, destination, "key " + id);
    }

    void submit(long id, int type, long destination, String key) {
        submitInTurn(id, type, destination, key);
        policy.endTurn(now);
    }

    /** Submits messages 1 to {@code count} in one turn. */
    void submitTogether(int count, int type, long destination) {
        for (long id = 1; id <= count; id++) {
            submitInTurn(id, type, destination, "key " + id);
        }
        policy.endTurn(now);
    }

    /** Submits a message each {@code gapMs} until the given time, numbered on from those submitted before. */
    void submitEvery(double gapMs, int type, long destination, double endTime) {
        while (now < endTime) {
            submit(messages.size(), type, destination);
            advanceTo(now + gapMs);
        }
    }

    private void submitInTurn(long id, int type, long destination, String key) {
        double timeLeftMs =
                type < MessageClasses.CLASSES.size() ? MessageClasses.CLASSES.get(type).deadlineMs() : 16_000;
        DeliveryPolicy.Message message =
                new DeliveryPolicy.Message(id, type, 0, Optional.of(key), timeLeftMs, destination);
        messages.put(id, message);
        OptionalDouble retryAfterMs = policy.admissionRetryAfter(now, message);
        if (retryAfterMs.isPresent()) {
            refuse(id, retryAfterMs.getAsDouble());
        } else {
            policy.messageAccepted(now, message);
        }
        if (MessageClasses.CLASSES.get(type).inOrder()) {
            messagesByKey.computeIfAbsent(key, k -> new ArrayList<>()).add(id);
        }
    }

    /** Reports a message that was accepted before a restart, with the attempts made until then, in its own turn. */
    void recover(long id, int type, long destination, double leftMs, List<DeliveryPolicy.EarlierAttempt> earlier) {
        recoverInTurn(id, type, destination, leftMs, earlier);
        policy.endTurn(now);
    }

    /** Like {@link #recover}, but leaves the turn open. */
    void recoverInTurn(long id, int type, long destination, double leftMs,
            List<DeliveryPolicy.EarlierAttempt> earlier) {
        DeliveryPolicy.Message message =
                new DeliveryPolicy.Message(id, type, 0, Optional.of("key " + id), leftMs, destination);
        attempts.put(id, earlier.size());
        messages.put(id, message);
        policy.messageRecovered(now, message, earlier);
    }

    /** Restores the state of another policy from {@code agoMs} before now. */
    void takeOver(PolicyHarness predecessor, double agoMs) {
        takeOver(predecessor, agoMs, snapshot -> snapshot);
    }

    /** The same, with a function that stands for the transfer of the snapshot between two processes. */
    void takeOver(PolicyHarness predecessor, double agoMs, UnaryOperator<DeliveryPolicy.Snapshot> transfer) {
        attempts.putAll(predecessor.attempts);
        messages.putAll(predecessor.messages);
        outcomes.putAll(predecessor.outcomes);
        endedMessages.addAll(predecessor.endedMessages);
        policy.restore(now, now - agoMs, transfer.apply(predecessor.policy.snapshot(predecessor.now)));
        policy.endTurn(now);
    }

    boolean hasEnded(long id) {
        return endedMessages.contains(id);
    }

    /** Ends an attempt in a turn of its own. */
    void end(long message, int attempt, Outcome outcome) {
        end(message, attempt, outcome, 0);
    }

    void end(long message, int attempt, Outcome outcome, double retryAfterMs) {
        boolean messageEnded = outcome == Outcome.DELIVERED || endedMessages.contains(message);
        outcomes.put(message + "/" + attempt, outcome);
        if (outcome == Outcome.DELIVERED) {
            endedMessages.add(message);
        }
        policy.attemptEnded(now, new DeliveryPolicy.AttemptEnd(message, attempt, outcome, 10, messageEnded,
                retryAfterMs, false));
        policy.endTurn(now);
    }

    /** Ends an attempt after the given time, unless it has ended by then. */
    void endLater(Sent attempt, Outcome outcome, double delayMs) {
        at(now + delayMs, () -> {
            if (!outcomes.containsKey(attempt.message + "/" + attempt.attempt)) {
                end(attempt.message, attempt.attempt, outcome);
            }
        });
    }

    void withdraw(long id) {
        endedMessages.add(id);
        policy.messageWithdrawn(now, id);
        policy.endTurn(now);
    }

    /** Runs an event when the clock reaches the given time. */
    void at(double time, Runnable event) {
        scheduled.add(new ScheduledEvent(time, scheduledCount++, event));
    }

    /** Advances the clock to the given time in steps, and runs the events that are due at each. */
    void advanceTo(double time) {
        while (now + STEP_MS <= time) {
            now += STEP_MS;
            while (!scheduled.isEmpty() && scheduled.peek().at <= now) {
                scheduled.remove().event.run();
            }
        }
    }

    /** The number of delivered attempts. */
    long delivered() {
        return outcomes.values().stream().filter(outcome -> outcome == Outcome.DELIVERED).count();
    }

    /** The number of delivered messages of a class. */
    long delivered(int type) {
        return messages.values().stream().filter(m -> m.messageClass() == type).map(DeliveryPolicy.Message::id)
                .filter(id -> outcomes.entrySet().stream().anyMatch(e -> e.getKey().startsWith(id + "/")
                        && e.getValue() == Outcome.DELIVERED)).count();
    }

    /** The message of each attempt sent, in order. */
    List<Long> sent() {
        return sends.stream().map(Sent::message).toList();
    }

    void assertAllAnswered() {
        for (long id : messages.keySet()) {
            assertTrue(endedMessages.contains(id), "message " + id + " got no answer");
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
        Sent sent = new Sent(message, attempt, endpoint, now, timeoutMs);
        if (checksRules) {
            assertMaySend(sent);
        }
        sends.add(sent);
        onSend.accept(sent);
    }

    private void assertMaySend(Sent next) {
        DeliveryPolicy.Message message = messages.get(next.message);
        DeliveryPolicy.MessageClass type = MessageClasses.CLASSES.get(message.messageClass());
        assertFalse(endedMessages.contains(next.message), "sent after the message has ended");
        assertTrue(endpoints.get(next.endpoint).serving(), "sent to a draining endpoint");
        assertEquals(message.destination(), endpoints.get(next.endpoint).destination());
        for (Sent earlier : sends) {
            if (earlier.message != next.message) {
                continue;
            }
            Outcome outcome = outcomes.get(earlier.message + "/" + earlier.attempt);
            if (outcome != null && !outcome.mayHaveRun()) {
                continue;
            }
            assertFalse(type.effect() == Effect.UNSAFE, "an unsafe message may have run twice");
            if (type.effect() == Effect.KEYED) {
                assertTrue(now <= earlier.at + type.dedupWindowMs(), "repeated outside the deduplication window");
                assertTrue(!type.sameZone()
                        || endpoints.get(earlier.endpoint).zone() == endpoints.get(next.endpoint).zone());
            }
        }
        if (type.inOrder()) {
            for (long other : messagesByKey.get(message.key().orElseThrow())) {
                if (other == next.message) {
                    break;
                }
                assertTrue(endedMessages.contains(other), "an earlier message of the key has not ended");
                for (int i = 0; i < attempts.getOrDefault(other, 0); i++) {
                    assertTrue(outcomes.containsKey(other + "/" + i), "an earlier attempt of the key is in flight");
                }
            }
        }
    }

    @Override
    public void cancel(long message, int attempt) {
        cancels.add(message + "/" + attempt);
        if (checksRules) {
            at(now, () -> {
                if (!outcomes.containsKey(message + "/" + attempt)) {
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
                assertFalse(outcomes.get(message + "/" + i).mayHaveRun(), "refused though it may have run");
            }
        }
        return recordAnswer("refuse ", message);
    }

    @Override
    public boolean fail(long message) {
        return recordAnswer("fail ", message);
    }

    private boolean recordAnswer(String action, long message) {
        if (message == failsToAnswer) {
            throw new IllegalStateException("the test makes this answer fail");
        }
        assertTrue(endedMessages.add(message), "the message got a second answer");
        answers.add(action + message);
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
