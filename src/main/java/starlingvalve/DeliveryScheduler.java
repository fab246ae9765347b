package starlingvalve;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.DoubleStream;

/**
 * The delivery scheduler: implements {@link DeliveryPolicy}, which defines all types, events and actions.
 *
 * <p>A message waits in the queue until {@link #endTurn}, which ranks the queued messages and sends each to
 * the best endpoint that passes {@link #maySend}. That send starts a round: after a fixed delay a hedge joins
 * it if its {@link Throttle} allows. The first delivery wins and the other attempts are cancelled. When all
 * attempts of the round have ended and may be retried, the message is queued for a retry round. {@link
 * #endUndelivered} gives every final answer.
 *
 * <p>Parts: {@link Delivery} is a message and its round; {@link Call} one request with its messages; {@link
 * RateLimiter} paces a destination or route; {@link EndpointState} is an endpoint and its health; {@link
 * Throttle} bounds hedges and retries; {@link IdleConnectionTrust} decides which idle connections are used;
 * {@link KeyOrder} keeps keys in order. Times are in milliseconds, rates in calls per millisecond.
 */
final class DeliveryScheduler implements DeliveryPolicy {
    // Rounds. Throttles allow a fixed number per period, and a share of the first sends in that period.
    private static final double HEDGE_DELAY_SHARE = 0.5; // of the latency target
    private static final double HEDGE_BASE = 1;
    private static final double HEDGE_SHARE = 0.1;
    private static final double THROTTLE_PERIOD_MS = 10_000;
    private static final double RETRY_BASE = 2; // retry rounds of refused messages
    private static final double RETRY_SHARE = 0.3;
    /** Back-off before the first retry round: quick errors or many senders must not use up all attempts. */
    private static final double FIRST_BACKOFF_MS = 200;
    private static final double BACKOFF_GROWTH = 3;
    private static final double WINDOW_MARGIN_MS = 300; // for a request to arrive within the dedup window

    // Time-outs: a multiple of the latency target, or more where answers are observed to take longer.
    private static final double TIMEOUT_TARGET_MULTIPLE = 1.25;
    private static final double TIMEOUT_DEVIATIONS = 8;
    private static final double UNSAFE_TIMEOUT_SHARE = 0.33; // of the deadline, at least: no retry may follow
    private static final double INITIAL_LATENCY_MS = 250; // assumed until an endpoint answers

    // Pacing.
    /** A refusal cuts the pacing rate by this factor; the first refusal, the send rate of the last second. */
    private static final double RATE_CUT_FACTOR = 0.7;
    /** A cut starts from at most this multiple of the recent send rate: an unused pacing rate only grows. */
    private static final double MAX_SENT_RATE_MULTIPLE = 1.3;
    /** Growth of the pacing rate per delivery: slow near the refused rate, until the cut is long past. */
    private static final double RATE_GROWTH = 0.15;
    private static final double RATE_SLOW_GROWTH = 0.03;
    private static final double NEAR_REFUSED_SHARE = 0.9;
    private static final double CUT_MEMORY_MS = 4000;
    // Where no rate is listed: the longest interval between calls after one refusal. Each further refusal
    // multiplies it, as two calls a second from each of many senders are too many; a delivery undoes one.
    private static final double MAX_SEND_INTERVAL_MS = 500;
    private static final double SEND_INTERVAL_GROWTH = 3;
    private static final int MAX_INTERVAL_GROWTHS = 4;
    /** Unused send time that a sender may catch up on in a burst; all senders may do so at the same time. */
    private static final double BURST_MS = 250;
    /** The minimum pacing rate is the greater of these shares: of the needed rate and of the even rate. */
    private static final double MIN_RATE_DEMAND_SHARE = 0.2;
    private static final double LISTED_RATE_SHARE = 0.5; // a listed rate may be 50 % too high
    /** After more refusals in a row the minimum falls: refused calls may use capacity and keep it full. */
    private static final int MIN_RATE_REFUSALS = 2;
    private static final double DESTINATION_IDLE_MS = 60_000; // without a send; then pacing starts anew

    private static final double CLOCK_MARGIN_MS = 1; // clocks are rounded: for retry-afters and early wakes

    // Health.
    /** Failure score, 0 to 1: a failure closes this share of the gap to 1, a delivery multiplies it. */
    private static final double FAILURE_WEIGHT = 0.2;
    private static final double UNREACHABLE_WEIGHT = 0.6;
    private static final double SUCCESS_FACTOR = 0.6;
    private static final double DOWN_SCORE = 0.6; // five failures in a row, or one failed connect
    private static final int SILENT_CALLS = 2; // overdue, without any answer since
    private static final double OVERDUE_DEVIATIONS = 4;
    /** Failures or refusals in a row that mean down if they last UNAVAILABLE_MS or precede a restart. */
    private static final int UNAVAILABLE_FAILURES = 3;
    private static final double UNAVAILABLE_MS = 2500;
    private static final double MIN_PROBE_INTERVAL_MS = 500; // the longest is this times the senders
    private static final double MAX_INTERVAL_WARM_UPS = 4; // longest call interval, in warm-up times
    private static final double SLOW_START_BUDGET_SHARE = 0.7; // of the overload budget
    private static final double SLOW_START_EXTRA_CALLS = 2; // above the budget, to allow for chance
    private static final double RATE_PERIOD_MS = 10_000; // over which sends, demand and deliveries average
    private static final double DEMAND_SHARE = 0.7; // of the demand, trusted where nothing is refused
    private static final double MIN_RATE_PERIOD_MS = 2000; // a shorter observed time counts as this

    /** The longest back-off after a refused connection doubles with each in a row, up to this many times. */
    private static final int CONNECT_DOUBLINGS = 5;

    // The queue.
    /** A message ranks by the worth it loses until its destination's queue clears, or over this minimum. */
    private static final double MIN_RANK_HORIZON_MS = 1500;
    private static final double RANK_WORTH_WEIGHT = 0.01; // orders messages that lose no worth yet
    private static final double FEE_POINT_MS = 25_000; // delay that loses about as much worth as a fee of 1
    private static final double HEDGE_RECHECK_MS = 10; // while the endpoint list may be out of date
    private static final double HANDOVER_SHARE = 0.25; // of the deadline: most time that a handover may cost
    private static final double ANSWER_MARGIN_MS = 5; // before the deadline, if nothing is in flight

    private final Settings settings;
    private final Actions actions;
    private final Random random;
    private final Map<Long, EndpointState> endpointsById = new LinkedHashMap<>();
    private final Set<Long> inMaintenance = new LinkedHashSet<>(); // endpoint ids, listed or not
    private final Map<Long, Destination> destinations = new LinkedHashMap<>();
    private final Map<Long, Delivery> deliveries = new LinkedHashMap<>();
    private final Set<Delivery> queue = new LinkedHashSet<>();
    private double clock = Double.NEGATIVE_INFINITY; // time of the current event
    private final RecentEvents firstSends = new RecentEvents(() -> clock, THROTTLE_PERIOD_MS);
    private final Throttle hedgeThrottle;
    private final Throttle retryThrottle;
    private final IdleConnectionTrust idleConnections;
    private final KeyOrder keyOrder;
    private final Timers timers;
    private int slotsUsed;
    private long turn; // number of the current turn: the events up to the next endTurn()
    private double callsEndBy = Double.POSITIVE_INFINITY; // no call starts that may end later

    DeliveryScheduler(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.timers = new Timers(CLOCK_MARGIN_MS, actions::wakeAt);
        this.hedgeThrottle = newThrottle(HEDGE_BASE, HEDGE_SHARE);
        this.retryThrottle = newThrottle(RETRY_BASE, RETRY_SHARE);
        this.random = new Random(seed);
        this.idleConnections = new IdleConnectionTrust(settings.keepAliveMs(), () -> clock);
        this.keyOrder = new KeyOrder(settings.keyQuarantineMs(), () -> clock, timers);
    }

    private Throttle newThrottle(double base, double share) {
        return new Throttle(base, share, THROTTLE_PERIOD_MS, () -> clock, firstSends, timers);
    }

    @Override
    public void endpoints(double now, boolean whole, List<Endpoint> entries) {
        advanceClock(now);
        if (whole) {
            endpointsById.values().forEach(endpoint -> endpoint.serving = false);
        }
        for (Endpoint entry : entries) {
            EndpointState endpoint = endpointFor(entry);
            endpoint.serving = entry.serving();
            endpoint.limiter.listedRate = settings.ratesListed() ? entry.listedRate() / 1000 : 0;
        }
    }

    private EndpointState endpointFor(Endpoint entry) {
        return endpointsById.computeIfAbsent(entry.id(), unknownId -> {
            EndpointState endpoint = new EndpointState(entry,
                    destinations.computeIfAbsent(entry.destination(), unlistedId -> new Destination()));
            endpoint.inMaintenance = inMaintenance.contains(entry.id());
            endpoint.destination.members.add(endpoint);
            return endpoint;
        });
    }

    @Override
    public Set<Long> openMessages() {
        return deliveries.values().stream().filter(delivery -> !delivery.ended)
                .map(delivery -> delivery.message.id()).collect(Collectors.toSet());
    }

    @Override
    public void handoverStarting(double now, double pauseMs) {
        advanceClock(now);
        for (Delivery delivery : List.copyOf(queue)) {
            if (delivery.deadline - clock <= Math.min(pauseMs, HANDOVER_SHARE * delivery.type.deadlineMs())) {
                endUndelivered(delivery);
            }
        }
    }

    @Override
    public Snapshot snapshot(double now) {
        advanceClock(now);
        Map<Call, Long> calls = new LinkedHashMap<>();
        return new Snapshot(endpointsById.values().stream().map(EndpointState::snapshot).toList(),
                deliveries.values().stream().map(delivery -> delivery.snapshot(calls)).toList(),
                keyOrder.quarantines(), firstSends.count(), hedgeThrottle.count(), retryThrottle.count());
    }

    @Override
    public void restore(double now, double takenAt, Snapshot snapshot) {
        advanceClock(now);
        snapshot.endpoints().forEach(e -> endpointFor(e.entry()).restore(e, takenAt));
        firstSends.restore(snapshot.firstSends(), clock);
        hedgeThrottle.restore(snapshot.copies(), clock);
        retryThrottle.restore(snapshot.retries(), clock);
        Map<Long, Call> calls = new LinkedHashMap<>();
        snapshot.keyRests().forEach((key, leftMs) -> keyOrder.restoreQuarantine(key, takenAt + leftMs));
        FaultCollector faults = new FaultCollector();
        for (MessageSnapshot message : snapshot.messages()) {
            if (!faults.collect(() -> restoreMessage(message, takenAt, calls))) {
                Optional.ofNullable(deliveries.remove(message.message().id())).ifPresent(this::discard);
            }
        }
        faults.rethrow();
    }

    /** Undoes a partial restore: a message that can't be restored whole is not known at all. */
    private void discard(Delivery delivery) {
        delivery.ended = true;
        dequeue(delivery);
        for (Attempt attempt : delivery.attempts) {
            attempt.call.filter(call -> attempt.inFlight).ifPresent(Call::removeMessage);
        }
        keyOrder.forget(delivery);
    }

    /** Restores a message as it stood: attempts in flight continue, and a queued message is queued again. */
    private void restoreMessage(MessageSnapshot snapshot, double takenAt, Map<Long, Call> calls) {
        Delivery delivery = new Delivery(snapshot.message(), takenAt);
        deliveries.put(snapshot.message().id(), delivery);
        delivery.notBefore = takenAt + snapshot.notBeforeIn();
        delivery.retryRounds = snapshot.waves();
        delivery.lastRefused = snapshot.refused();
        delivery.ended = snapshot.ended();
        delivery.unacknowledged = snapshot.unheard();
        delivery.openCalls = snapshot.openCalls();
        if (!delivery.ended || delivery.unacknowledged) {
            keyOrder.accepted(delivery);
        }
        snapshot.attempts().forEach(a -> delivery.attempts.add(new Attempt(delivery, a, takenAt, calls)));
        for (int i = 0; i < delivery.callsInFlight(); i++) {
            keyOrder.callStarted(delivery);
        }
        if (delivery.ended) {
            return;
        }
        timers.add(delivery.deadline - ANSWER_MARGIN_MS, () -> endUndelivered(delivery));
        timers.add(delivery.notBefore, () -> { });
        if (delivery.attemptsInFlight == 0) {
            enqueue(delivery);
            endIfNotRetryable(delivery);
        } else {
            watchRestored(delivery);
        }
    }

    /** Watches attempts in flight. One that another followed was hedged, even if the other has ended. */
    private void watchRestored(Delivery delivery) {
        for (Attempt attempt : delivery.attempts) {
            boolean hedged = delivery.attemptsInFlight > 1
                    || attempt != delivery.attempts.get(delivery.attempts.size() - 1);
            attempt.call.filter(call -> attempt.inFlight)
                    .ifPresent(call -> watch(delivery, attempt, call, hedged));
        }
    }

    @Override
    public void setMaintenance(double now, long endpointId, boolean maintenance) {
        advanceClock(now);
        boolean changed = maintenance ? inMaintenance.add(endpointId) : inMaintenance.remove(endpointId);
        EndpointState endpoint = endpointsById.get(endpointId);
        if (changed && endpoint != null) {
            endpoint.setInMaintenance(maintenance);
        }
    }

    @Override
    public boolean isExcluded(long endpointId) {
        EndpointState endpoint = endpointsById.get(endpointId);
        return inMaintenance.contains(endpointId) || endpoint != null && endpoint.circuit == Circuit.DOWN;
    }

    @Override
    public void messageAccepted(double now, Message message) {
        advanceClock(now);
        accept(message).destination.demand.add();
    }

    /** Rejects a message that would miss its deadline here: once accepted, it can't go to another sender. */
    @Override
    public OptionalDouble admissionRetryAfter(double now, Message message) {
        advanceClock(now);
        Delivery delivery = new Delivery(message, clock);
        if (clock < delivery.deadline - ANSWER_MARGIN_MS && !delivery.destination.queueOutlasts(delivery)) {
            return OptionalDouble.empty();
        }
        delivery.destination.demand.add();
        return OptionalDouble.of(delivery.destination.nextCallAt() - clock);
    }

    /** Adds no demand: recovered messages arrive at once, but were submitted over an unknown time. */
    @Override
    public void messageRecovered(double now, Message message, List<EarlierAttempt> attempts) {
        advanceClock(now);
        Delivery delivery = accept(message);
        for (EarlierAttempt earlier : attempts) {
            delivery.attempts.add(
                    new Attempt(Optional.ofNullable(endpointsById.get(earlier.endpoint())), earlier));
        }
        if (delivery.attempts.stream().anyMatch(attempt -> attempt.mayHaveRun)) {
            keyOrder.quarantine(delivery);
        }
        endIfNotRetryable(delivery);
        if (!delivery.ended) {
            delivery.destination.messageRecovered(delivery);
        }
    }

    @Override
    public void shutdownScheduled(double now, double end) {
        advanceClock(now);
        callsEndBy = end;
    }

    private Delivery accept(Message message) {
        Delivery delivery = new Delivery(message, clock);
        if (deliveries.putIfAbsent(message.id(), delivery) != null) {
            throw new IllegalArgumentException("message " + message.id() + " was already accepted");
        }
        keyOrder.accepted(delivery);
        enqueue(delivery);
        timers.add(delivery.deadline - ANSWER_MARGIN_MS, () -> endUndelivered(delivery));
        return delivery;
    }

    @Override
    public void attemptEnded(double now, AttemptEnd end) {
        advanceClock(now);
        Delivery delivery = deliveries.get(end.message());
        if (delivery == null || end.attempt() < 0 || end.attempt() >= delivery.attempts.size()) {
            throw new IllegalArgumentException("unknown attempt " + end.attempt() + " of message "
                    + end.message());
        }
        Attempt attempt = delivery.attempts.get(end.attempt());
        if (!attempt.inFlight) {
            return;
        }
        attempt.inFlight = false;
        attempt.mayHaveRun = end.outcome().mayHaveRun();
        delivery.lastRefused = end.outcome().isRefusal();
        delivery.attemptsInFlight--;
        attempt.call.ifPresent(call -> call.attemptEnded(end));
        if (end.callInFlight()) {
            delivery.openCalls++;
        } else {
            keyOrder.callEnded(delivery, end.outcome());
        }
        if (end.messageEnded()) {
            endMessage(delivery);
        }
        if (delivery.ended) {
            removeIfDone(delivery);
        } else if (delivery.attemptsInFlight == 0) {
            scheduleRetryRound(delivery);
        }
    }

    @Override
    public void retryAfterReceived(double now, long endpointId, double retryAfterMs) {
        advanceClock(now);
        Optional.ofNullable(endpointsById.get(endpointId))
                .ifPresent(e -> e.limiter.applyRetryAfter(retryAfterMs));
    }

    @Override
    public boolean mayBeginAttempt(double now, long message, int attempt) {
        advanceClock(now);
        Delivery delivery = deliveries.get(message);
        return delivery != null && !delivery.ended && delivery.attempts.get(attempt).endpoint
                .filter(e -> e.isInService() && e.limiter.retryAfterUntil <= clock
                        && mayOverlap(delivery, delivery.attempts.get(attempt))
                        && mayRepeat(delivery, e, delivery.attempts.get(attempt))).isPresent();
    }

    /** An ended attempt may still run until its call ends, so the key has to wait until then. */
    @Override
    public void callEnded(double now, long message) {
        advanceClock(now);
        Delivery delivery = deliveries.get(message);
        if (delivery == null || delivery.openCalls == 0) {
            throw new IllegalArgumentException("no open call of message " + message);
        }
        delivery.openCalls--;
        keyOrder.callEnded(delivery, Outcome.TIMED_OUT);
        if (delivery.ended) {
            removeIfDone(delivery);
        }
    }

    @Override
    public void endedUnacknowledged(double now, Message message) {
        advanceClock(now);
        Delivery delivery = new Delivery(message, clock);
        delivery.ended = true;
        delivery.unacknowledged = true;
        deliveries.put(message.id(), delivery);
        keyOrder.accepted(delivery);
    }

    @Override
    public void endAcknowledged(double now, long message) {
        advanceClock(now);
        Optional.ofNullable(deliveries.get(message)).filter(d -> d.unacknowledged).ifPresent(delivery -> {
            delivery.unacknowledged = false;
            keyOrder.messageEnded(delivery);
            removeIfDone(delivery);
        });
    }

    @Override
    public void messageWithdrawn(double now, long message) {
        advanceClock(now);
        Optional.ofNullable(deliveries.get(message)).ifPresent(this::endMessage);
    }

    @Override
    public void endConfirmationPending(double now, long message) {
        advanceClock(now);
        Optional.ofNullable(deliveries.get(message)).filter(d -> !d.ended).ifPresent(delivery -> {
            delivery.unacknowledged = true;
            endMessage(delivery);
        });
    }

    @Override
    public void wake(double now) {
        advanceClock(now);
    }

    @Override
    public void endTurn(double now) {
        advanceClock(now);
        FaultCollector faults = new FaultCollector();
        faults.collect(() -> timers.run(now));
        faults.collect(this::dispatch);
        turn++;
        timers.requestNextWake(now, nextCallTime());
        faults.rethrow();
    }

    private void enqueue(Delivery delivery) {
        delivery.destination.queued += queue.add(delivery) ? 1 : 0;
    }

    private void dequeue(Delivery delivery) {
        delivery.destination.queued -= queue.remove(delivery) ? 1 : 0;
    }

    private void advanceClock(double now) {
        if (now < clock) {
            throw new IllegalArgumentException("the clock went back");
        }
        clock = now;
    }

    /** Sends queued messages in order of rank, as far as the eligibility checks and the slots allow. */
    private void dispatch() {
        // A destination that can't take a call now can't in this turn: skipping its messages saves most time.
        for (Destination destination : destinations.values()) {
            destination.eligible = destination.queued > 0 && destination.canTakeCall();
            destination.rankHorizonMs = destination.eligible
                    ? Math.max(MIN_RANK_HORIZON_MS, destination.queued / destination.messageRate()) : 0;
        }
        List<Delivery> ranked = new ArrayList<>();
        for (Delivery delivery : queue) {
            if (delivery.destination.eligible && delivery.notBefore <= clock && keyOrder.allows(delivery)) {
                delivery.rank = delivery.rank();
                ranked.add(delivery);
            }
        }
        if (ranked.isEmpty() || !actions.mayStartCalls()) {
            return;
        }
        ranked.sort(Comparator.comparingDouble((Delivery d) -> -d.rank)
                .thenComparingDouble(d -> d.latencyTargetAt));
        FaultCollector faults = new FaultCollector();
        for (Delivery delivery : ranked) {
            if (delivery.destination.eligible && !faults.collect(() -> sendWherePossible(delivery))) {
                delivery.notBefore = clock + FIRST_BACKOFF_MS;
                timers.add(delivery.notBefore, () -> { });
            }
        }
        faults.rethrow();
    }

    private void sendWherePossible(Delivery delivery) {
        chooseEndpoint(delivery, false).ifPresent(endpoint -> {
            sendAttempt(delivery, endpoint, false);
            delivery.destination.eligible = delivery.destination.canTakeCall();
        });
    }

    /** The cheapest endpoint that passes {@link #maySend}; if possible, a hedge uses another endpoint. */
    private Optional<EndpointState> chooseEndpoint(Delivery delivery, boolean hedge) {
        EndpointState best = null;
        boolean otherInService = hedge && delivery.destination.members.stream()
                .anyMatch(e -> e.isInService() && !delivery.isInFlightAt(e));
        for (EndpointState endpoint : delivery.destination.members) {
            boolean skipped = otherInService && delivery.isInFlightAt(endpoint)
                    || hedge && endpoint.circuit == Circuit.DOWN;
            if (!skipped && maySend(delivery, endpoint)
                    && (best == null || endpoint.cost(delivery) < best.cost(delivery))) {
                best = endpoint;
            }
        }
        return Optional.ofNullable(best);
    }

    /** The eligibility checks of every send: first send, hedge and retry round. */
    private boolean maySend(Delivery delivery, EndpointState endpoint) {
        return !delivery.ended && endpoint.canTakeCall() && clock < delivery.deadline - ANSWER_MARGIN_MS
                && delivery.attempts.size() < settings.maxAttempts()
                && mayOverlap(delivery, null)
                && mayRepeat(delivery, endpoint, null)
                && keyOrder.allows(delivery)
                && (!delivery.lastRefused || delivery.attemptsInFlight > 0 || retryThrottle.allows())
                && clock + endpoint.expectedCallMs(delivery.type) <= callsEndBy;
    }

    /** Whether the attempt (null: the next one) is no second copy, or second copies are allowed. */
    private boolean mayOverlap(Delivery delivery, Attempt attempt) {
        return settings.hedging() || !delivery.hasOtherCallInFlight(attempt);
    }

    /**
     * Whether the attempt (null: the next one) at the endpoint (null: any) can't cause a second effect, once
     * {@link #mayOverlap} allows it.
     */
    private boolean mayRepeat(Delivery delivery, EndpointState endpoint, Attempt attempt) {
        for (Attempt earlier : delivery.attempts) {
            if (earlier == attempt || !earlier.inFlight && !earlier.mayHaveRun) {
                continue;
            }
            if (delivery.type.effect() == Effect.UNSAFE) {
                return false;
            }
            if (delivery.type.effect() == Effect.KEYED
                    && (clock > earlier.sentAt + delivery.type.dedupWindowMs() - WINDOW_MARGIN_MS
                    || delivery.type.sameZone() && endpoint != null && earlier.endpoint
                            .filter(e -> e.entry.zone() == endpoint.entry.zone()).isEmpty())) {
                return false;
            }
        }
        return true;
    }

    private void sendAttempt(Delivery delivery, EndpointState endpoint, boolean hedge) {
        Call call = endpoint.joinOrStartCall();
        Attempt attempt = new Attempt(call);
        delivery.attempts.add(attempt);
        delivery.attemptsInFlight++;
        dequeue(delivery);
        keyOrder.callStarted(delivery);
        if (hedge) {
            hedgeThrottle.sent();
        } else if (delivery.attempts.size() == 1) {
            firstSends.add();
        } else if (delivery.lastRefused) {
            retryThrottle.sent();
        }
        double timeoutMs = Math.min(endpoint.timeoutMs(delivery.type), delivery.deadline - clock);
        actions.send(delivery.message.id(), endpoint.entry.id(), timeoutMs);
        watch(delivery, attempt, call, hedge);
    }

    private void watch(Delivery delivery, Attempt attempt, Call call, boolean hedged) {
        double delayMs = delivery.type.latencyTargetMs() * HEDGE_DELAY_SHARE;
        timers.add(attempt.sentAt + delayMs, () -> hedgeDelayPassed(delivery, attempt, hedged));
        timers.add(attempt.sentAt + Math.max(delayMs, call.endpoint.overdueAfterMs()), call::checkOverdue);
    }

    /** Sends a hedge if the attempt is still in flight and neither a hedge itself nor hedged already. */
    private void hedgeDelayPassed(Delivery delivery, Attempt attempt, boolean hedged) {
        boolean mayHedge = attempt.inFlight && delivery.type.effect() != Effect.UNSAFE
                && settings.hedging() && !hedged;
        if (!mayHedge || delivery.ended || slotsUsed >= settings.slots() || !hedgeThrottle.allows()) {
            return;
        }
        Optional<EndpointState> endpoint = chooseEndpoint(delivery, true);
        if (endpoint.isPresent() && actions.mayStartCalls()) {
            sendAttempt(delivery, endpoint.get(), true);
        } else if (endpoint.isPresent()) {
            timers.add(clock + HEDGE_RECHECK_MS, () -> hedgeDelayPassed(delivery, attempt, hedged));
        }
    }

    /** After all attempts ended undelivered: queues a retry round, unless no attempt can be allowed. */
    private void scheduleRetryRound(Delivery delivery) {
        endIfNotRetryable(delivery);
        if (delivery.ended) {
            return;
        }
        double backoffMs = FIRST_BACKOFF_MS * Math.pow(BACKOFF_GROWTH, delivery.retryRounds)
                * (0.75 + 0.5 * random.nextDouble());
        delivery.notBefore = clock + Math.min(backoffMs, (delivery.deadline - clock) / 2);
        delivery.retryRounds++;
        enqueue(delivery);
        timers.add(delivery.notBefore, () -> { });
    }

    /** Ends a message that may get no further attempt: now, or once its keyed window has passed. */
    private void endIfNotRetryable(Delivery delivery) {
        List<EndpointState> known = delivery.destination.members;
        if (delivery.attempts.size() >= settings.maxAttempts()
                || clock >= delivery.deadline - ANSWER_MARGIN_MS
                || known.stream().noneMatch(e -> mayRepeat(delivery, e, null))
                && !(known.isEmpty() && mayRepeat(delivery, null, null))) {
            endUndelivered(delivery);
        } else if (delivery.type.effect() == Effect.KEYED) {
            delivery.attempts.stream().filter(a -> a.mayHaveRun).mapToDouble(a -> a.sentAt).min()
                    .ifPresent(firstSentAt -> timers.add(firstSentAt + delivery.type.dedupWindowMs()
                            - WINDOW_MARGIN_MS + CLOCK_MARGIN_MS, () -> endIfNotRetryable(delivery)));
        }
    }

    /** Gives the final answer of an undelivered message: refused where a retry is harmless, else failed. */
    private void endUndelivered(Delivery delivery) {
        if (delivery.ended || delivery.attemptsInFlight > 0) {
            return;
        }
        boolean repeatable = delivery.type.effect() == Effect.SAFE
                || delivery.type.effect() == Effect.KEYED && !delivery.type.sameZone();
        boolean harmless = repeatable
                || delivery.attempts.stream().noneMatch(attempt -> attempt.inFlight || attempt.mayHaveRun);
        delivery.unacknowledged = !(harmless
                ? actions.refuse(delivery.message.id(), delivery.destination.nextCallAt() - clock)
                : actions.fail(delivery.message.id()));
        endMessage(delivery);
    }

    /** Ends a message and cancels its attempts in flight, where the settings allow that. */
    private void endMessage(Delivery delivery) {
        if (delivery.ended) {
            return;
        }
        delivery.ended = true;
        dequeue(delivery);
        if (!delivery.unacknowledged) {
            keyOrder.messageEnded(delivery);
        }
        for (int i = 0; i < delivery.attempts.size(); i++) {
            if (delivery.attempts.get(i).inFlight && settings.cancels()) {
                actions.cancel(delivery.message.id(), i);
            }
        }
        removeIfDone(delivery);
    }

    private void removeIfDone(Delivery delivery) {
        if (delivery.attemptsInFlight == 0 && delivery.openCalls == 0 && !delivery.unacknowledged) {
            deliveries.remove(delivery.message.id());
        }
    }

    /** The next time at which the passing of time alone allows a call for a queued message. */
    private double nextCallTime() {
        return destinations.values().stream().filter(d -> d.queued > 0)
                .flatMapToDouble(d -> d.nextCallTimes().filter(time -> time > clock)).min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    /** A message and its round. */
    private final class Delivery implements KeyOrder.Item {
        final Message message;
        final MessageClass type;
        final Destination destination;
        final double latencyTargetAt;
        final double deadline;
        final List<Attempt> attempts = new ArrayList<>();
        double notBefore = Double.NEGATIVE_INFINITY;
        double rank;
        int retryRounds;
        boolean lastRefused; // whether the attempt that ended last was refused
        int attemptsInFlight;
        int openCalls; // calls in which an attempt of it has ended, in flight for other messages
        boolean ended;
        boolean unacknowledged; // ended by an answer that is not acknowledged; its key waits until it is
        boolean expedited; // recovered, unattempted, and now due ahead of the pacing rate

        Delivery(Message message, double asOf) {
            if (message.messageClass() < 0 || message.messageClass() >= settings.classes().size()) {
                throw new IllegalArgumentException("unknown class " + message.messageClass());
            }
            this.message = message;
            this.type = settings.classes().get(message.messageClass());
            this.destination = destinations.computeIfAbsent(message.destination(), id -> new Destination());
            this.deadline = asOf + message.timeLeftMs();
            this.latencyTargetAt = deadline - type.deadlineMs() + type.latencyTargetMs();
        }

        MessageSnapshot snapshot(Map<Call, Long> calls) {
            Message remaining = new Message(message.id(), message.messageClass(), message.tenant(),
                    message.key(), deadline - clock, message.destination());
            return new MessageSnapshot(remaining, notBefore - clock, retryRounds, lastRefused, ended,
                    unacknowledged, openCalls, attempts.stream().map(a -> a.snapshot(calls)).toList());
        }

        @Override
        public Optional<String> orderKey() {
            return type.inOrder() ? message.key() : Optional.empty();
        }

        @Override
        public int callsInFlight() {
            return attemptsInFlight + openCalls;
        }

        /**
         * Whether a call that carries the message is in flight, apart from that of the attempt (null: of
         * none). Includes calls that only other messages still wait for: the endpoint may work on this one.
         */
        boolean hasOtherCallInFlight(Attempt attempt) {
            int own = attempt != null && attempt.inFlight ? 1 : 0;
            return callsInFlight() > own;
        }

        boolean isInFlightAt(EndpointState endpoint) {
            return attempts.stream()
                    .anyMatch(a -> a.inFlight && a.endpoint.filter(e -> e == endpoint).isPresent());
        }

        /** Worth if delivered at this time. */
        double worthAt(double time) {
            return time > deadline ? 0
                    : type.worthWhenLate(Math.max(0, time - latencyTargetAt), settings.decay());
        }

        double rank() {
            double worth = worthAt(clock);
            return expedited && attempts.isEmpty() ? Double.POSITIVE_INFINITY
                    : worth - worthAt(clock + destination.rankHorizonMs) + RANK_WORTH_WEIGHT * worth;
        }
    }

    /** An attempt; one from before a restart has no call, and its endpoint may be unknown. */
    private final class Attempt {
        final Optional<Call> call;
        final Optional<EndpointState> endpoint;
        final double sentAt;
        boolean inFlight;
        boolean mayHaveRun;

        Attempt(Call call) {
            this.call = Optional.of(call);
            this.endpoint = Optional.of(call.endpoint);
            this.sentAt = call.sentAt;
            this.inFlight = true;
        }

        Attempt(Optional<EndpointState> endpoint, EarlierAttempt earlier) {
            this.call = Optional.empty();
            this.endpoint = endpoint;
            this.sentAt = earlier.sentAt();
            this.mayHaveRun = earlier.mayHaveRun();
        }

        /** An attempt of the predecessor; while in flight it shares a slot with the others of its call. */
        Attempt(Delivery delivery, AttemptSnapshot snapshot, double takenAt, Map<Long, Call> calls) {
            this.endpoint = Optional.ofNullable(endpointsById.get(snapshot.endpoint()));
            this.sentAt = takenAt + snapshot.sentIn();
            this.mayHaveRun = snapshot.mayHaveRun();
            this.inFlight = snapshot.out();
            // The call belongs to no turn of this process (-1), so that no further message joins it.
            this.call = endpoint.filter(e -> inFlight)
                    .map(e -> calls.computeIfAbsent(snapshot.call(), number -> new Call(e, sentAt, -1, 0)));
            call.ifPresent(c -> {
                delivery.attemptsInFlight++;
                c.messages++;
                c.messagesInFlight++;
            });
        }

        AttemptSnapshot snapshot(Map<Call, Long> calls) {
            return new AttemptSnapshot(endpoint.map(e -> e.entry.id()).orElse(-1L), sentAt - clock,
                    mayHaveRun, inFlight, call.filter(c -> inFlight)
                            .map(c -> calls.computeIfAbsent(c, unseen -> (long) calls.size())).orElse(-1L));
        }
    }

    /** One request: its messages share a slot and the outcome that counts for the endpoint's health. */
    private final class Call implements IdleConnectionTrust.Call {
        final EndpointState endpoint;
        final double sentAt;
        final long sentTurn;
        final double idleMs; // of its connection, before the call
        int messages;
        int messagesInFlight;
        boolean observed;
        boolean overdue;

        Call(EndpointState endpoint) {
            this(endpoint, clock, turn, idleConnections.idleMsForCall(
                    endpoint.idleMs(), () -> actions.closeIdle(endpoint.entry.id())));
            endpoint.lastUsedAt = clock;
        }

        Call(EndpointState endpoint, double sentAt, long sentTurn, double idleMs) {
            this.endpoint = endpoint;
            this.sentAt = sentAt;
            this.sentTurn = sentTurn;
            this.idleMs = idleMs;
            slotsUsed++;
            endpoint.callsInFlight++;
            endpoint.destination.callsInFlight++;
        }

        @Override
        public double idleMs() {
            return idleMs;
        }

        @Override
        public boolean isOverdue() {
            return overdue;
        }

        @Override
        public long destination() {
            return endpoint.entry.destination();
        }

        void attemptEnded(AttemptEnd end) {
            endpoint.limiter.applyRetryAfter(end.retryAfterMs());
            if (!observed && end.outcome() != Outcome.CANCELLED && end.outcome() != Outcome.NOT_SENT) {
                observed = true;
                endpoint.observe(this, end);
            }
            endpoint.lastUsedAt = clock;
            removeMessage();
        }

        void removeMessage() {
            messagesInFlight--;
            if (messagesInFlight == 0) {
                slotsUsed--;
                endpoint.callsInFlight--;
                endpoint.destination.callsInFlight--;
            }
        }

        void checkOverdue() {
            if (!overdue && !observed && messagesInFlight > 0) {
                overdue = true;
                endpoint.callOverdue(this);
            }
        }
    }

    /** A destination: its endpoints and, where they share one, its limit. */
    private final class Destination {
        final List<EndpointState> members = new ArrayList<>(); // its endpoints
        final RateLimiter sharedLimiter = new RateLimiter(this);
        final Rate demand = new Rate(() -> clock, RATE_PERIOD_MS, MIN_RATE_PERIOD_MS);
        int callsInFlight;
        int queued;
        boolean eligible; // within dispatch(): whether it can still take a call in this turn
        double rankHorizonMs;
        int recovered;
        int refusedOrRepeated; // of the recovered messages

        /** Prepares for a recovered message: detects an outage, and expedites an unattempted message. */
        void messageRecovered(Delivery delivery) {
            boolean unattempted = delivery.attempts.isEmpty();
            recovered++;
            refusedOrRepeated += delivery.attempts.size() > 1
                    || !unattempted && !delivery.attempts.get(0).mayHaveRun ? 1 : 0;
            // After a restart in an outage all would be sent at once to endpoints that may just return cold:
            // where most messages were refused or repeated, probes come first.
            timers.add(clock, () -> {
                if (refusedOrRepeated >= UNAVAILABLE_FAILURES && 2 * refusedOrRepeated > recovered) {
                    members.forEach(endpoint -> endpoint.markDown("had trouble before the restart"));
                }
            });
            // Each is sent ahead of the pacing rate, spread at random over the first half of its time left.
            if (unattempted) {
                timers.add(clock + random.nextDouble() * delivery.message.timeLeftMs() / 2,
                        () -> expedite(delivery));
            }
        }

        private void expedite(Delivery delivery) {
            delivery.expedited = !delivery.ended && delivery.attempts.isEmpty();
            if (delivery.expedited && keyOrder.allows(delivery)) {
                members.forEach(e -> e.limiter.nextCallAt = Math.min(e.limiter.nextCallAt, clock));
            } else if (delivery.expedited) {
                timers.add(clock + FIRST_BACKOFF_MS, () -> expedite(delivery));
            }
        }

        boolean canTakeCall() {
            return members.stream().anyMatch(EndpointState::canTakeCall);
        }

        /** Messages per millisecond at the current pacing rates; infinite where one of them is unbounded. */
        double messageRate() {
            return members.stream().filter(EndpointState::isInService)
                    .mapToDouble(e -> e.limiter.pacingRate * e.limiter.messagesPerCall()).sum()
                    / members.size();
        }

        /** Whether queued messages of no less worth outlast the message's deadline, even at growing rates. */
        boolean queueOutlasts(Delivery delivery) {
            long ahead = queue.stream().filter(other -> other.destination == this
                    && other.type.worth() >= delivery.type.worth()).count();
            double clearMs = (1 - Math.pow(1 + RATE_SLOW_GROWTH, -ahead)) / RATE_SLOW_GROWTH / messageRate();
            return messageRate() > 0 && members.stream().allMatch(e -> e.circuit == Circuit.UP)
                    && nextCallAt() + clearMs > delivery.deadline;
        }

        /** When each of its endpoints may be called, as far as this depends on time alone. */
        DoubleStream nextCallTimes() {
            return members.stream().filter(EndpointState::isInService)
                    .mapToDouble(e -> Math.max(e.limiter.retryAfterUntil, e.nextCallAllowedAt()));
        }

        /** When the first endpoint may be called, or now if none is in service. */
        double nextCallAt() {
            return Math.max(clock, nextCallTimes().min().orElse(clock));
        }
    }

    /** Pacing rate and retry-after of one limit; prevents refusals, and calls before a retry-after ends. */
    private final class RateLimiter {
        final Rate sendRate = new Rate(() -> clock, RATE_PERIOD_MS, MIN_RATE_PERIOD_MS);
        final RecentEvents sendsLastSecond = new RecentEvents(() -> clock, 1000);
        final Destination destination;
        int intervalGrowths; // refusals less deliveries, from 0 to the maximum
        int refusalsInRow;
        double listedRate;
        double pacingRate = Double.POSITIVE_INFINITY;
        double nextCallAt = Double.NEGATIVE_INFINITY;
        double retryAfterUntil = Double.NEGATIVE_INFINITY;
        double refusedRate; // rate at the last refusal or at the first send; 0 before the first send
        double rateAtLastDelivery;
        double lastCutAt = Double.NEGATIVE_INFINITY;

        RateLimiter(Destination destination) {
            this.destination = destination;
        }

        LimitSnapshot snapshot() {
            return new LimitSnapshot(intervalGrowths, sendsLastSecond.count(), pacingRate, refusedRate,
                    nextCallAt - clock, retryAfterUntil - clock, lastCutAt - clock, sendRate.snapshot());
        }

        void restore(LimitSnapshot snapshot, double takenAt) {
            intervalGrowths = snapshot.pressed();
            sendsLastSecond.restore(snapshot.lastSecond(), takenAt);
            pacingRate = snapshot.rate();
            refusedRate = snapshot.edge();
            nextCallAt = takenAt + snapshot.nextIn();
            retryAfterUntil = takenAt + snapshot.waitIn();
            lastCutAt = takenAt + snapshot.cutIn();
            sendRate.restore(snapshot.sends());
        }

        void callSent() {
            if (refusedRate == 0 || sendsLastSecond.latestAt() < clock - DESTINATION_IDLE_MS) {
                // Many senders may start at one moment: each begins with an even share of a listed rate.
                pacingRate = listedRate == 0 ? Double.POSITIVE_INFINITY : Math.max(minRate(), evenRate());
                refusedRate = pacingRate;
            }
            sendRate.add();
            sendsLastSecond.add();
            if (pacingRate < Double.POSITIVE_INFINITY) {
                nextCallAt = Math.max(nextCallAt, clock - BURST_MS) + 1 / pacingRate;
            }
        }

        /** Each message of a call may have its own retry-after, in separate turns; the latest end counts. */
        void applyRetryAfter(double retryAfterMs) {
            retryAfterUntil = retryAfterMs > 0
                    ? Math.max(retryAfterUntil, clock + retryAfterMs + CLOCK_MARGIN_MS) : retryAfterUntil;
        }

        /** Cuts the pacing rate, unless the refusal is outdated: the call was sent before the last cut. */
        void callRefused(Call call) {
            if (call.sentAt < lastCutAt) {
                return;
            }
            refusedRate = pacingRate == Double.POSITIVE_INFINITY ? sendsLastSecond.countUntilLatest() / 1000.0
                    : Math.min(pacingRate, MAX_SENT_RATE_MULTIPLE * sendRate.perMs());
            pacingRate = Math.max(minRate(), refusedRate * RATE_CUT_FACTOR);
            intervalGrowths = Math.min(intervalGrowths + 1, MAX_INTERVAL_GROWTHS);
            refusalsInRow++;
            lastCutAt = clock;
            nextCallAt = clock + 1 / pacingRate;
            // The retry-after of all senders ends at one moment: longer intervals start at random after it.
            if (nextCallAt > retryAfterUntil) {
                nextCallAt = Math.max(clock, retryAfterUntil) + (0.5 + random.nextDouble()) / pacingRate;
            }
        }

        /** Raises the rate again after an outage, whose refusals say nothing about a listed limit. */
        void outageEnded() {
            pacingRate = listedRate > 0
                    ? Math.max(pacingRate, Math.max(rateAtLastDelivery, evenRate())) : pacingRate;
            nextCallAt = listedRate > 0 ? clock : nextCallAt;
        }

        void callDelivered() {
            intervalGrowths = Math.max(intervalGrowths - 1, 0);
            refusalsInRow = 0;
            boolean fast = pacingRate < NEAR_REFUSED_SHARE * refusedRate || clock > lastCutAt + CUT_MEMORY_MS;
            double grown = pacingRate * (1 + (fast ? RATE_GROWTH : RATE_SLOW_GROWTH));
            // Without recent refusals the rate soon follows this sender's demand, however few its calls.
            double trusted = clock > lastCutAt + DESTINATION_IDLE_MS ? DEMAND_SHARE * neededRate() : 0;
            pacingRate = Math.max(minRate(), Math.max(grown, Math.min(2 * pacingRate, trusted)));
            rateAtLastDelivery = pacingRate;
        }

        private double minRate() {
            double minimum = Math.max(MIN_RATE_DEMAND_SHARE * neededRate(), LISTED_RATE_SHARE * evenRate());
            double unlisted = listedRate > 0 ? 0
                    : 1 / (MAX_SEND_INTERVAL_MS * Math.pow(SEND_INTERVAL_GROWTH, intervalGrowths));
            return Math.max(unlisted,
                    minimum / Math.pow(SEND_INTERVAL_GROWTH, Math.max(0, refusalsInRow - MIN_RATE_REFUSALS)));
        }

        /** Number of endpoints that share this limit. */
        int endpointCount() {
            return this == destination.sharedLimiter ? destination.members.size() : 1;
        }

        /** The listed rate, divided evenly among the senders. */
        double evenRate() {
            return listedRate / settings.senders();
        }

        /** Calls per millisecond that this sender's demand needs here; the routes share the demand. */
        private double neededRate() {
            return destination.demand.perMs() / messagesPerCall();
        }

        private double messagesPerCall() {
            return (double) destination.members.get(0).maxBatch * destination.members.size()
                    / endpointCount();
        }
    }

    /** UP takes calls, DOWN single probes only, WARMING is in slow start after an outage. */
    private enum Circuit { UP, DOWN, WARMING }

    /**
     * An endpoint and its health. Handles dead, silent, failing and unavailable endpoints alike: while down
     * it gets single probes, and once it answers again, a slow start within its capacity when cold.
     */
    private final class EndpointState {
        final Endpoint entry;
        final Destination destination;
        final RateLimiter limiter;
        final int maxBatch;
        final double fee;
        boolean serving;
        boolean inMaintenance;
        Circuit circuit = Circuit.UP;
        Call latestCall;
        final LatencyEstimate latency = new LatencyEstimate(INITIAL_LATENCY_MS);
        double failureScore;
        int silentCalls;
        int failures; // failures and refusals since the last delivery
        double failingSince;
        double lastDeliveryAt = Double.NEGATIVE_INFINITY;
        final Rate deliveredRate = new Rate(() -> clock, RATE_PERIOD_MS, MIN_RATE_PERIOD_MS);
        double warmingSince;
        double downSince;
        boolean downBySilence;
        boolean downByOneConnect;
        double nextCallAt = Double.NEGATIVE_INFINITY;
        double lastUsedAt = Double.NEGATIVE_INFINITY;
        int callsInFlight;

        EndpointState(Endpoint entry, Destination destination) {
            Kind kind = settings.kinds().get(Math.min(entry.kind(), settings.kinds().size() - 1));
            this.entry = entry;
            this.destination = destination;
            this.limiter = kind.separateRoutes() ? new RateLimiter(destination) : destination.sharedLimiter;
            this.maxBatch = kind.batch();
            boolean charged = kind.separateRoutes() && entry.zone() < settings.zoneFees().size();
            this.fee = charged ? settings.zoneFees().get(entry.zone()) : 0;
        }

        /** Cost of a send, as time: latency with calls in flight, failures in a row, and the fee. */
        double cost(Delivery delivery) {
            // A due probe is sent first, or the endpoint might stay down forever; unsafe messages avoid it.
            if (circuit == Circuit.DOWN) {
                return (delivery.type.effect() == Effect.UNSAFE ? 1 : -1) * Double.POSITIVE_INFINITY;
            }
            double freeShare = 1 - (double) slotsUsed / settings.slots();
            return latency.mean() * (1 + callsInFlight) + failures * UNAVAILABLE_MS
                    + fee * FEE_POINT_MS * freeShare;
        }

        EndpointSnapshot snapshot() {
            return new EndpointSnapshot(entry, circuit.name(), latency.mean(), latency.deviation(),
                    failureScore, silentCalls, failures, failingSince - clock, lastDeliveryAt - clock,
                    warmingSince - clock, nextCallAt - clock, deliveredRate.snapshot(),
                    destination.demand.snapshot(), limiter.snapshot());
        }

        void restore(EndpointSnapshot snapshot, double takenAt) {
            circuit = Circuit.valueOf(snapshot.state());
            latency.set(snapshot.latency(), snapshot.deviation());
            failureScore = snapshot.bad();
            silentCalls = snapshot.silentCalls();
            failures = snapshot.fruitless();
            failingSince = takenAt + snapshot.fruitlessIn();
            lastDeliveryAt = takenAt + snapshot.lastGoodIn();
            warmingSince = takenAt + snapshot.warmIn();
            nextCallAt = takenAt + snapshot.nextIn();
            deliveredRate.restore(snapshot.carried());
            destination.demand.restore(snapshot.demand());
            limiter.restore(snapshot.limit(), takenAt);
        }

        /** How long the connection that the next call uses has been idle, at most; 0 if it is new. */
        double idleMs() {
            return callsInFlight > 0 ? 0 : clock - lastUsedAt;
        }

        /** Listed as serving and not in maintenance, whatever its health. */
        boolean isInService() {
            return serving && !inMaintenance;
        }

        /** An endpoint in maintenance is restarted: afterwards it is cold, and gets a probe first. */
        void setInMaintenance(boolean maintenance) {
            inMaintenance = maintenance;
            actions.closeIdle(entry.id());
            if (!maintenance) {
                failureScore = 0;
                failures = 0;
                silentCalls = 0;
                circuit = Circuit.DOWN;
            }
        }

        /** Whether any message may be sent here now, as far as endpoint, limit and slots decide. */
        boolean canTakeCall() {
            // A destination gets fewer slots than stay free: a slow or silent one must not hold them all.
            boolean slotFree = slotsUsed < settings.slots() && (circuit != Circuit.DOWN || callsInFlight == 0)
                    && destination.callsInFlight < Math.max(1, settings.slots() - slotsUsed - 1);
            return isInService() && limiter.retryAfterUntil <= clock
                    && (canJoinCall() || slotFree && nextCallAllowedAt() <= clock);
        }

        boolean canJoinCall() {
            return latestCall != null && latestCall.sentTurn == turn && latestCall.messages < maxBatch
                    && circuit != Circuit.DOWN;
        }

        Call joinOrStartCall() {
            if (!canJoinCall()) {
                latestCall = new Call(this);
                limiter.callSent();
                nextCallAt = circuit == Circuit.UP ? nextCallAt : clock + callIntervalMs();
            }
            latestCall.messages++;
            latestCall.messagesInFlight++;
            return latestCall;
        }

        /** When health and pacing allow the next call; with a listed rate, probes depend on health alone. */
        double nextCallAllowedAt() {
            return circuit == Circuit.DOWN && limiter.listedRate > 0 ? nextCallAt
                    : Math.max(limiter.nextCallAt, nextCallAt);
        }

        /** Time after which a call without an answer is overdue. */
        double overdueAfterMs() {
            return latency.meanPlus(OVERDUE_DEVIATIONS);
        }

        /** Expected time of a call; for an unsafe one its time-out, since it must not be cut off. */
        double expectedCallMs(MessageClass type) {
            return type.effect() == Effect.UNSAFE ? timeoutMs(type) : overdueAfterMs();
        }

        double timeoutMs(MessageClass type) {
            double base = Math.max(type.latencyTargetMs() * TIMEOUT_TARGET_MULTIPLE,
                    latency.meanPlus(TIMEOUT_DEVIATIONS));
            double least = type.effect() == Effect.UNSAFE ? type.deadlineMs() * UNSAFE_TIMEOUT_SHARE : 0;
            return Math.max(base, least);
        }

        /** While down or warming up: time until the growing budget allows one more call. */
        double callIntervalMs() {
            ColdStart cold = settings.coldStart();
            double growth = circuit == Circuit.DOWN ? 0 : budget(1 - cold.startCapacity()) / cold.warmMs();
            double extraRate = limiter.listedRate == 0 ? 0 : SLOW_START_EXTRA_CALLS / cold.overloadMs()
                    / settings.senders() / limiter.endpointCount();
            double rate = Math.max(1 / (MAX_INTERVAL_WARM_UPS * cold.warmMs()),
                    budget(cold.startCapacity()) + growth * (clock - warmingSince) + extraRate);
            double intervalMs = limiter.listedRate == 0 ? 1 / rate
                    : 2 / (rate + Math.sqrt(rate * rate + 2 * growth));
            double probeIntervalMs = Math.min(intervalMs, MIN_PROBE_INTERVAL_MS * settings.senders());
            return circuit == Circuit.DOWN ? Math.max(MIN_PROBE_INTERVAL_MS, probeIntervalMs) : intervalMs;
        }

        /** This sender's part of the overload budget, by the greatest of delivered, needed and even rate. */
        private double budget(double capacity) {
            double demanded = DEMAND_SHARE * destination.demand.perMs() / destination.members.size();
            double even = LISTED_RATE_SHARE * limiter.evenRate() / limiter.endpointCount();
            return SLOW_START_BUDGET_SHARE * settings.coldStart().overloadMultiple() * capacity
                    * Math.max(even, Math.max(deliveredRate.perMs(), demanded));
        }

        void observe(Call call, AttemptEnd end) {
            switch (end.outcome()) {
                case DELIVERED -> callDelivered(call, end);
                case FULL -> {
                    limiter.callRefused(call);
                    callRefused(call, end);
                }
                case NO_CONNECTION -> { // calls sent at the same moment count once
                    if (circuit != Circuit.UP || call.sentAt >= nextCallAt) {
                        callRefused(call, end);
                        double maxBackoffMs = latency.mean()
                                * Math.pow(2, Math.min(failures, CONNECT_DOUBLINGS));
                        nextCallAt = Math.max(nextCallAt, clock + random.nextDouble() * maxBackoffMs);
                    }
                }
                case UNREACHABLE -> {
                    boolean wasDown = circuit == Circuit.DOWN;
                    callFailed(call, UNREACHABLE_WEIGHT, "refuses connections");
                    downByOneConnect = !wasDown && failures == 1;
                }
                case ERROR -> callFailed(call, FAILURE_WEIGHT, "loses calls");
                default -> {
                    idleConnections.callLost(call);
                    callFailed(call, FAILURE_WEIGHT, "loses calls");
                }
            }
            if (circuit == Circuit.WARMING && clock - warmingSince >= settings.coldStart().warmMs()) {
                markUp("is warm");
            }
        }

        private void callRefused(Call call, AttemptEnd end) {
            if (addFailure(call) || end.retryAfterMs() >= UNAVAILABLE_MS) {
                markDown("is shut");
            }
        }

        private void callDelivered(Call call, AttemptEnd end) {
            idleConnections.callDelivered(call);
            failureScore *= SUCCESS_FACTOR;
            boolean oneConnectFailed = downByOneConnect && failures == 1;
            silentCalls = 0;
            failures = 0;
            lastDeliveryAt = clock;
            latency.add(end.tookMs());
            if (circuit == Circuit.UP) {
                deliveredRate.add();
            } else if (circuit == Circuit.DOWN && downBySilence && call.sentAt < downSince) {
                markUp("was slow, not silent");
            } else if (circuit == Circuit.DOWN && oneConnectFailed) {
                // An outage would have failed the probe too: the network failed once, or a table was full.
                markUp("failed one connect only");
            } else if (circuit == Circuit.DOWN) {
                warmingSince = clock;
                circuit = Circuit.WARMING;
                latency.restart(end.tookMs());
                nextCallAt = clock + callIntervalMs();
                limiter.outageEnded();
                actions.log("endpoint " + entry.id() + " answers again, warming");
            }
            limiter.callDelivered();
        }

        /** Counts a failure or refusal and returns whether the endpoint counts as down. */
        private boolean addFailure(Call call) {
            // Long after the last delivery a second failure is enough, if its call was sent after the first
            // failure: failures of calls that were in flight together count as one sign.
            boolean failsAgain = failures > 0 && call.sentAt >= failingSince
                    && clock - lastDeliveryAt >= RATE_PERIOD_MS;
            if (failures++ == 0) {
                failingSince = clock;
            }
            return failsAgain || failures >= UNAVAILABLE_FAILURES && clock - failingSince >= UNAVAILABLE_MS;
        }

        private void callFailed(Call call, double weight, String symptom) {
            failureScore += (1 - failureScore) * weight;
            if (addFailure(call) || failureScore >= DOWN_SCORE) {
                markDown(symptom);
            }
        }

        void callOverdue(Call call) {
            idleConnections.callLost(call);
            if (lastDeliveryAt < call.sentAt && ++silentCalls >= SILENT_CALLS) {
                boolean wasDown = circuit == Circuit.DOWN;
                markDown("is silent");
                downBySilence = !wasDown;
            }
        }

        private void markUp(String reason) {
            circuit = Circuit.UP;
            nextCallAt = clock;
            deliveredRate.resume();
            actions.log("endpoint " + entry.id() + " " + reason);
        }

        private void markDown(String symptom) {
            downBySilence = false;
            downByOneConnect = false;
            if (circuit != Circuit.DOWN) {
                circuit = Circuit.DOWN;
                downSince = clock;
                nextCallAt = Math.max(clock, limiter.retryAfterUntil)
                        + random.nextDouble() * callIntervalMs();
                actions.log("endpoint " + entry.id() + " " + symptom + ", trials only");
            }
        }
    }
}
