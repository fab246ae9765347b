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
 * The decision module. Its interface, with all types, events and actions, is DeliveryPolicy.java.
 *
 * <p>A message waits in the queue until {@link #endTurn}, which ranks what waits and gives each message the
 * best endpoint that {@link #maySend} lets pass; the send starts a wave. At a fixed offset a copy joins if
 * the {@link Throttle} allows. The first delivery wins and the rest are cancelled; when every attempt of
 * the wave has ended retryable the message waits again, for a new wave. {@link #finish} gives every final
 * answer.
 *
 * <p>Parts: {@link Delivery} is a message and its wave; {@link Call} what travels together; {@link Limit} the
 * pace of a destination or route; {@link Target} an endpoint with its health; {@link Throttle} bounds copies
 * and new tries; {@link Connections} is the trust in idle connections, {@link KeyOrder} the keys in order.
 * All times are milliseconds, all rates calls a millisecond.
 */
final class DeliveryScheduler implements DeliveryPolicy {
    // The wave.
    /** Share of the aim after which a copy is scheduled (the design's default). */
    private static final double COPY_OFFSET = 0.5;
    /** Copies over the period: this many, and this share of the first sends (the design's default). */
    private static final double COPY_BASE = 1;
    private static final double COPY_SHARE = 0.1;
    private static final double THROTTLE_PERIOD_MS = 10_000;
    /** New waves of refused messages, alike. */
    private static final double RETRY_BASE = 2;
    private static final double RETRY_SHARE = 0.3;
    /** First pause before a new wave and its growth, lest quick errors or many senders burn all attempts. */
    private static final double BACKOFF_MS = 200;
    private static final double BACKOFF_GROWTH = 3;
    /** A keyed repeat stays this far inside its window, for the time that it travels. */
    private static final double WINDOW_MARGIN_MS = 300;

    // Time-outs: the aim and a quarter at least, more where answers are seen to take longer.
    private static final double TIMEOUT_AIMS = 1.25;
    private static final double TIMEOUT_DEVIATIONS = 8;
    /** An unsafe message has one try that may run, which may take this share of its deadline at least. */
    private static final double UNSAFE_PATIENCE = 0.33;
    /** Answer time assumed of an endpoint that has not answered yet. */
    private static final double FIRST_LATENCY_MS = 250;

    // Pace.
    /** A pace is cut to this share: at first of the last second's sends. */
    private static final double PACE_CUT = 0.7;
    /** A pace stands for no more than this multiple of what was sent of late: unused, it only grows. */
    private static final double PACE_OVER_SENT = 1.3;
    /** Growth of a pace with each delivery: little near where it was refused, until that is so long ago. */
    private static final double PACE_GROWTH = 0.15;
    private static final double PACE_PROBE = 0.03;
    private static final double PACE_NEAR = 0.9;
    private static final double PACE_MEMORY_MS = 4000;
    /**
     * Longest interval of a pace after one refusal where no rate is listed: two calls a second from each of
     * many senders are too many. It grows so with each further refusal, up to so often, and falls again.
     */
    private static final double PACE_PAUSE_MS = 500;
    private static final double PACE_PAUSE_GROWTH = 3;
    private static final int PACE_PAUSES = 4;
    /** A pace may be ahead of itself by so long: for all senders together, so long at the limit. */
    private static final double PACE_BURST_MS = 250;
    /** Slowest pace, as a share of the calls that this sender's messages need there. */
    private static final double PACE_LEAST_SHARE = 0.2;
    /** The same as a share of the even part of a listed rate, which may be half too high. */
    private static final double LISTED_SHARE = 0.5;
    /** Both give way to more refusals in a row: all floors may keep full what refused calls use up. */
    private static final int FLOOR_REFUSALS = 2;
    /** Idle for so long, a destination loses pace and counts (the design's figure). */
    private static final double IDLE_MS = 60_000;

    /** A told wait is kept, and a wake counts as come, within this much: clocks are rounded. */
    private static final double CLOCK_MARGIN_MS = 1;

    // Health.
    /** Evidence, 0 to 1: each bad outcome closes this share of the gap to 1, each good one multiplies it. */
    private static final double BAD_WEIGHT = 0.2;
    private static final double UNREACHABLE_WEIGHT = 0.6;
    private static final double GOOD_FACTOR = 0.6;
    /** From here on an endpoint counts as down: five bad outcomes in a row, or a failed connect. */
    private static final double DOWN_AT = 0.6;
    /** Overdue calls without any answer since, after which an endpoint counts as silent. */
    private static final int SILENT_CALLS = 2;
    private static final double SILENT_DEVIATIONS = 4;
    /** Bad ends or refusals in a row over so long, or in a backlog, without a delivery, mean shut or dead. */
    private static final int SHUT_ENDS = 3;
    private static final double SHUT_MS = 2500;
    /** Pause between trials of what is down: least (times the senders at most); most, in warm-ups. */
    private static final double TRIAL_LEAST_MS = 500;
    private static final double TRIAL_MOST = 4;
    /** Share of the rule's budget that a returning endpoint's ramp uses, and calls beside it, for chance. */
    private static final double RAMP_SAFETY = 0.7;
    private static final double RAMP_CHANCE = 2;
    /** Time over which an endpoint's carried rate is averaged, and the shortest that counts. */
    private static final double CARRIED_MS = 10_000;
    /** Share of this sender's messages that a destination is trusted to carry, while it refuses none. */
    private static final double DEMAND_SHARE = 0.7;
    private static final double CARRIED_LEAST_MS = 2000;

    // Connections.
    /** The longest pause after a full connection table doubles with each in a row, up to so often. */
    private static final int CONNECT_BACKOFFS = 5;
    /** A connection without use for so long counts as idle. */
    private static final double IDLE_LEAST_MS = 100;
    /** Trust after a loss, as a share of the time that the connection had idled; forgotten after so long. */
    private static final double TRUST_CUT = 0.25;
    private static final double TRUST_MEMORY_MS = 30_000;

    // The queue.
    /** Rank is the worth lost by waiting until the queue there is through, and so long at least. */
    private static final double RANK_HORIZON_MS = 1500;
    /** Weight of plain worth in the rank, to settle ties between messages that lose nothing yet. */
    private static final double RANK_WORTH = 0.01;
    /** Time worth a fee of one point: about what a message loses in worth when it waits so long. */
    private static final double FEE_MS = 25_000;
    /** A copy that is due while the list may be out of date is looked at again after this. */
    private static final double COPY_RECHECK_MS = 10;
    /** For a handover a message gives up no more than this share of its time. */
    private static final double HANDOVER_SHARE = 0.25;
    /** Time before the deadline at which a message that is not out is answered. */
    private static final double ANSWER_MARGIN_MS = 5;

    private final Settings settings;
    private final Actions actions;
    private final Random random;
    private final Map<Long, Target> targets = new LinkedHashMap<>();
    /** Endpoints that operators leave out, whatever the list says. */
    private final Set<Long> leftOut = new LinkedHashSet<>();
    private final Map<Long, Destination> destinations = new LinkedHashMap<>();
    private final Map<Long, Delivery> deliveries = new LinkedHashMap<>();
    private final Set<Delivery> queue = new LinkedHashSet<>();
    private double clock = Double.NEGATIVE_INFINITY;
    private final RecentEvents firstSends = new RecentEvents(() -> clock, THROTTLE_PERIOD_MS);
    private final Throttle copies;
    private final Throttle retries;
    private final Connections connections = new Connections();
    private final KeyOrder keys;
    private final Timers timers;
    private int slotsUsed;
    private long turn;
    private double closesAt = Double.POSITIVE_INFINITY;

    DeliveryScheduler(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.timers = new Timers(CLOCK_MARGIN_MS, actions::wakeAt);
        this.copies = throttle(COPY_BASE, COPY_SHARE);
        this.retries = throttle(RETRY_BASE, RETRY_SHARE);
        this.random = new Random(seed);
        this.keys = new KeyOrder(settings.keyQuarantineMs(), () -> clock, timers);
    }

    private Throttle throttle(double base, double share) {
        return new Throttle(base, share, THROTTLE_PERIOD_MS, () -> clock, firstSends, timers);
    }

    // ---- events ----

    @Override
    public void endpoints(double now, boolean whole, List<Endpoint> entries) {
        tick(now);
        if (whole) {
            targets.values().forEach(target -> target.serving = false);
        }
        for (Endpoint entry : entries) {
            Target target = target(entry);
            target.serving = entry.serving();
            target.limit.listedRate = settings.ratesListed() ? entry.listedRate() / 1000 : 0;
        }
    }

    private Target target(Endpoint entry) {
        return targets.computeIfAbsent(entry.id(), unknown -> {
            Target target = new Target(entry,
                    destinations.computeIfAbsent(entry.destination(), unlisted -> new Destination()));
            target.leftOut = leftOut.contains(entry.id());
            target.destination.targets.add(target);
            return target;
        });
    }

    @Override
    public Set<Long> openMessages() {
        return deliveries.values().stream().filter(d -> !d.ended).map(d -> d.message.id())
                .collect(Collectors.toSet());
    }

    @Override
    public void handoverStarting(double now, double pauseMs) {
        tick(now);
        for (Delivery d : List.copyOf(queue)) {
            if (d.deadline - clock <= Math.min(pauseMs, HANDOVER_SHARE * d.type.deadlineMs())) {
                finish(d);
            }
        }
    }

    @Override
    public Snapshot snapshot(double now) {
        tick(now);
        Map<Call, Long> calls = new LinkedHashMap<>();
        return new Snapshot(targets.values().stream().map(Target::snapshot).toList(),
                deliveries.values().stream().map(d -> d.snapshot(calls)).toList(), keys.rests(),
                firstSends.count(), copies.count(), retries.count());
    }

    @Override
    public void restore(double now, double takenAt, Snapshot snapshot) {
        tick(now);
        snapshot.endpoints().forEach(e -> target(e.entry()).restore(e, takenAt));
        firstSends.restore(snapshot.firstSends(), clock);
        copies.restore(snapshot.copies(), clock);
        retries.restore(snapshot.retries(), clock);
        Map<Long, Call> calls = new LinkedHashMap<>();
        snapshot.keyRests().forEach((key, restIn) -> keys.restore(key, takenAt + restIn));
        FaultCollector faults = new FaultCollector();
        for (MessageSnapshot m : snapshot.messages()) {
            if (!faults.collect(() -> restore(m, takenAt, calls))) {
                Optional.ofNullable(deliveries.remove(m.message().id())).ifPresent(this::discard);
            }
        }
        faults.rethrow();
    }

    /** What could not be remembered whole is not known here at all. */
    private void discard(Delivery d) {
        d.ended = true;
        dequeue(d);
        for (Attempt attempt : d.attempts) {
            attempt.call.filter(call -> attempt.out).ifPresent(Call::itemLeft);
        }
        keys.forget(d);
    }

    /** A message comes back as it stood: a wave that is out runs on, and what waits waits as before. */
    private void restore(MessageSnapshot m, double takenAt, Map<Long, Call> calls) {
        Delivery d = new Delivery(m.message(), takenAt);
        deliveries.put(m.message().id(), d);
        d.notBefore = takenAt + m.notBeforeIn();
        d.waves = m.waves();
        d.refused = m.refused();
        d.ended = m.ended();
        d.unheard = m.unheard();
        d.openCalls = m.openCalls();
        if (!d.ended || d.unheard) {
            keys.taken(d);
        }
        m.attempts().forEach(a -> d.attempts.add(new Attempt(d, a, takenAt, calls)));
        for (int i = 0; i < d.callsOut(); i++) {
            keys.attemptSent(d);
        }
        if (d.ended) {
            return;
        }
        timers.add(d.deadline - ANSWER_MARGIN_MS, () -> finish(d));
        timers.add(d.notBefore, () -> { });
        if (d.out == 0) {
            enqueue(d);
            giveUpInTime(d);
        } else {
            watchRemembered(d);
        }
    }

    /** One that is out while a later one was sent has had its copy, whether or not that is still out. */
    private void watchRemembered(Delivery d) {
        for (Attempt attempt : d.attempts) {
            boolean hadCopy = d.out > 1 || attempt != d.attempts.get(d.attempts.size() - 1);
            attempt.call.filter(call -> attempt.out).ifPresent(call -> watch(d, attempt, call, hadCopy));
        }
    }

    @Override
    public void setMaintenance(double now, long endpoint, boolean out) {
        tick(now);
        boolean changed = out ? leftOut.add(endpoint) : leftOut.remove(endpoint);
        Target target = targets.get(endpoint);
        if (changed && target != null) {
            target.maintained(out);
        }
    }

    @Override
    public boolean isExcluded(long endpoint) {
        Target target = targets.get(endpoint);
        return leftOut.contains(endpoint) || target != null && target.state == State.DOWN;
    }

    @Override
    public void messageAccepted(double now, Message message) {
        tick(now);
        take(message).destination.demand.count();
    }

    /** What is taken is kept as long as it can be; here its client may find room at another sender. */
    @Override
    public OptionalDouble admissionRetryAfter(double now, Message message) {
        tick(now);
        Delivery d = new Delivery(message, clock);
        if (clock < d.deadline - ANSWER_MARGIN_MS && !d.destination.hasNoTimeFor(d)) {
            return OptionalDouble.empty();
        }
        d.destination.demand.count();
        return OptionalDouble.of(d.destination.opensAt() - clock);
    }

    /** Demand is not counted: what comes back at once was asked for over a time that nobody knows. */
    @Override
    public void messageRecovered(double now, Message message, List<EarlierAttempt> attempts) {
        tick(now);
        Delivery d = take(message);
        for (EarlierAttempt earlier : attempts) {
            d.attempts.add(new Attempt(Optional.ofNullable(targets.get(earlier.endpoint())), earlier));
        }
        if (d.attempts.stream().anyMatch(a -> a.mayHaveRun)) {
            keys.rest(d);
        }
        giveUpInTime(d);
        if (!d.ended) {
            d.destination.messageRecovered(d);
        }
    }

    @Override
    public void shutdownScheduled(double now, double end) {
        tick(now);
        closesAt = end;
    }

    private Delivery take(Message message) {
        Delivery d = new Delivery(message, clock);
        if (deliveries.putIfAbsent(message.id(), d) != null) {
            throw new IllegalArgumentException("message " + message.id() + " was already taken");
        }
        keys.taken(d);
        enqueue(d);
        timers.add(d.deadline - ANSWER_MARGIN_MS, () -> finish(d));
        return d;
    }

    @Override
    public void attemptEnded(double now, AttemptEnd end) {
        tick(now);
        Delivery d = deliveries.get(end.message());
        if (d == null || end.attempt() < 0 || end.attempt() >= d.attempts.size()) {
            throw new IllegalArgumentException("unknown attempt " + end.attempt() + " of message "
                    + end.message());
        }
        Attempt attempt = d.attempts.get(end.attempt());
        if (!attempt.out) {
            return;
        }
        attempt.out = false;
        attempt.mayHaveRun = end.outcome().mayHaveRun();
        d.refused = end.outcome().isRefusal();
        d.out--;
        attempt.call.ifPresent(call -> call.itemEnded(end));
        if (end.callInFlight()) {
            d.openCalls++;
        } else {
            keys.attemptEnded(d, end.outcome());
        }
        if (end.messageEnded()) {
            close(d);
        }
        if (d.ended) {
            forget(d);
        } else if (d.out == 0) {
            nextWave(d);
        }
    }

    @Override
    public void retryAfterReceived(double now, long endpoint, double retryAfterMs) {
        tick(now);
        Optional.ofNullable(targets.get(endpoint)).ifPresent(target -> target.limit.told(retryAfterMs));
    }

    @Override
    public boolean mayBeginAttempt(double now, long message, int attempt) {
        tick(now);
        Delivery d = deliveries.get(message);
        return d != null && !d.ended && d.attempts.get(attempt).target.filter(t -> t.takes()
                && t.limit.waitUntil <= clock && mayRepeat(d, t, d.attempts.get(attempt))).isPresent();
    }

    /** Until now the attempt could still run, so its key had to wait. */
    @Override
    public void callEnded(double now, long message) {
        tick(now);
        Delivery d = deliveries.get(message);
        if (d == null || d.openCalls == 0) {
            throw new IllegalArgumentException("no open call of message " + message);
        }
        d.openCalls--;
        keys.attemptEnded(d, Outcome.TIMED_OUT);
        if (d.ended) {
            forget(d);
        }
    }

    @Override
    public void endedUnacknowledged(double now, Message message) {
        tick(now);
        Delivery d = new Delivery(message, clock);
        d.ended = true;
        d.unheard = true;
        deliveries.put(message.id(), d);
        keys.taken(d);
    }

    @Override
    public void endAcknowledged(double now, long message) {
        tick(now);
        Optional.ofNullable(deliveries.get(message)).filter(d -> d.unheard).ifPresent(d -> {
            d.unheard = false;
            keys.ended(d);
            forget(d);
        });
    }

    @Override
    public void messageWithdrawn(double now, long message) {
        tick(now);
        Optional.ofNullable(deliveries.get(message)).ifPresent(this::close);
    }

    @Override
    public void endConfirmationPending(double now, long message) {
        tick(now);
        Optional.ofNullable(deliveries.get(message)).filter(d -> !d.ended).ifPresent(d -> {
            d.unheard = true;
            close(d);
        });
    }

    @Override
    public void wake(double now) {
        tick(now);
    }

    @Override
    public void endTurn(double now) {
        tick(now);
        FaultCollector faults = new FaultCollector();
        faults.collect(() -> timers.run(now));
        faults.collect(this::dispatch);
        turn++;
        timers.ask(now, nextOpening());
        faults.rethrow();
    }

    private void enqueue(Delivery d) {
        d.destination.waiting += queue.add(d) ? 1 : 0;
    }

    private void dequeue(Delivery d) {
        d.destination.waiting -= queue.remove(d) ? 1 : 0;
    }

    private void tick(double now) {
        if (now < clock) {
            throw new IllegalArgumentException("the clock went back");
        }
        clock = now;
    }

    // ---- decisions ----

    /** Sends what waits, the most pressing first, as far as gates and slots allow. */
    private void dispatch() {
        // A gate that is shut now stays so for this turn: looking behind one would cost most of a turn.
        for (Destination at : destinations.values()) {
            at.open = at.waiting > 0 && at.isOpen();
            at.horizon = at.open ? Math.max(RANK_HORIZON_MS, at.waiting / at.pace()) : 0;
        }
        List<Delivery> ranked = new ArrayList<>();
        for (Delivery d : queue) {
            if (d.destination.open && d.notBefore <= clock && keys.mayGo(d)) {
                d.rank = d.rank();
                ranked.add(d);
            }
        }
        if (ranked.isEmpty() || !actions.mayStartCalls()) {
            return;
        }
        ranked.sort(Comparator.comparingDouble((Delivery d) -> -d.rank).thenComparingDouble(d -> d.aimAt));
        FaultCollector faults = new FaultCollector();
        for (Delivery d : ranked) {
            if (d.destination.open && !faults.collect(() -> sendWherePossible(d))) {
                d.notBefore = clock + BACKOFF_MS;
                timers.add(d.notBefore, () -> { });
            }
        }
        faults.rethrow();
    }

    private void sendWherePossible(Delivery d) {
        choose(d, false).ifPresent(target -> {
            send(d, target, false);
            d.destination.open = d.destination.isOpen();
        });
    }

    /** The endpoint to send to among those that the gate lets pass; a copy goes elsewhere if it can. */
    private Optional<Target> choose(Delivery d, boolean copy) {
        Target best = null;
        boolean elsewhere = copy && d.destination.targets.stream().anyMatch(t -> t.takes() && !d.isOutAt(t));
        for (Target target : d.destination.targets) {
            boolean passed = elsewhere && d.isOutAt(target) || copy && target.state == State.DOWN;
            if (!passed && maySend(d, target) && (best == null || target.cost(d) < best.cost(d))) {
                best = target;
            }
        }
        return Optional.ofNullable(best);
    }

    /** The gate that every send passes: first send, copy and new wave. */
    private boolean maySend(Delivery d, Target target) {
        return !d.ended && target.isOpen()
                && clock < d.deadline - ANSWER_MARGIN_MS
                && d.attempts.size() < settings.maxAttempts()
                && mayRepeat(d, target, null)
                && keys.mayGo(d)
                && (!d.refused || d.out > 0 || retries.allows())
                && clock + target.expectedEnd(d.type) <= closesAt;
    }

    /** Whether an attempt, made or next (null), there or anywhere (null), can be no second effect. */
    private boolean mayRepeat(Delivery d, Target target, Attempt made) {
        for (Attempt earlier : d.attempts) {
            if (earlier == made || !earlier.out && !earlier.mayHaveRun) {
                continue;
            }
            if (earlier.out && !settings.hedging() || d.type.effect() == Effect.UNSAFE) {
                return false;
            }
            if (d.type.effect() == Effect.KEYED
                    && (clock > earlier.sentAt + d.type.dedupWindowMs() - WINDOW_MARGIN_MS
                    || d.type.sameZone() && target != null && earlier.target
                            .filter(t -> t.entry.zone() == target.entry.zone()).isEmpty())) {
                return false;
            }
        }
        return true;
    }

    private void send(Delivery d, Target target, boolean copy) {
        Call call = target.joinOrStart();
        Attempt attempt = new Attempt(call);
        d.attempts.add(attempt);
        d.out++;
        dequeue(d);
        keys.attemptSent(d);
        if (copy) {
            copies.sent();
        } else if (d.attempts.size() == 1) {
            firstSends.add();
        } else if (d.refused) {
            retries.sent();
        }
        double timeout = Math.min(target.timeout(d.type), d.deadline - clock);
        actions.send(d.message.id(), target.entry.id(), timeout);
        watch(d, attempt, call, copy);
    }

    private void watch(Delivery d, Attempt attempt, Call call, boolean copy) {
        double offset = d.type.latencyTargetMs() * COPY_OFFSET;
        timers.add(attempt.sentAt + offset, () -> offsetPassed(d, attempt, copy));
        timers.add(attempt.sentAt + Math.max(offset, call.target.patience()), call::overdue);
    }

    /** The scheduled offset after a send: a copy may join the wave. */
    private void offsetPassed(Delivery d, Attempt attempt, boolean copy) {
        boolean races = attempt.out && d.type.effect() != Effect.UNSAFE && settings.hedging() && !copy;
        if (!races || d.ended || slotsUsed >= settings.slots() || !copies.allows()) {
            return;
        }
        Optional<Target> target = choose(d, true);
        if (target.isPresent() && actions.mayStartCalls()) {
            send(d, target.get(), true);
        } else if (target.isPresent()) {
            timers.add(clock + COPY_RECHECK_MS, () -> offsetPassed(d, attempt, copy));
        }
    }

    /** Every attempt has ended retryable: wait for a new wave, unless no further attempt can be allowed. */
    private void nextWave(Delivery d) {
        giveUpInTime(d);
        if (d.ended) {
            return;
        }
        double backoff = BACKOFF_MS * Math.pow(BACKOFF_GROWTH, d.waves) * (0.75 + 0.5 * random.nextDouble());
        d.notBefore = clock + Math.min(backoff, (d.deadline - clock) / 2);
        d.waves++;
        enqueue(d);
        timers.add(d.notBefore, () -> { });
    }

    /** Answers at once what no further attempt can be allowed for: now, or when a keyed window has passed. */
    private void giveUpInTime(Delivery d) {
        List<Target> known = d.destination.targets;
        if (d.attempts.size() >= settings.maxAttempts() || clock >= d.deadline - ANSWER_MARGIN_MS
                || known.stream().noneMatch(t -> mayRepeat(d, t, null))
                && !(known.isEmpty() && mayRepeat(d, null, null))) {
            finish(d);
        } else if (d.type.effect() == Effect.KEYED) {
            d.attempts.stream().filter(a -> a.mayHaveRun).mapToDouble(a -> a.sentAt).min().ifPresent(first ->
                    timers.add(first + d.type.dedupWindowMs() - WINDOW_MARGIN_MS + CLOCK_MARGIN_MS,
                            () -> giveUpInTime(d)));
        }
    }

    /** The final answer of what waits undelivered: refused where trying again is harmless, else failed. */
    private void finish(Delivery d) {
        if (d.ended || d.out > 0) {
            return;
        }
        boolean repeatable = d.type.effect() == Effect.SAFE
                || d.type.effect() == Effect.KEYED && !d.type.sameZone();
        boolean harmless = repeatable || d.attempts.stream().noneMatch(a -> a.out || a.mayHaveRun);
        d.unheard = !(harmless ? actions.refuse(d.message.id(), d.destination.opensAt() - clock)
                : actions.fail(d.message.id()));
        close(d);
    }

    /** Ends a message and cancels what is redundant. */
    private void close(Delivery d) {
        if (d.ended) {
            return;
        }
        d.ended = true;
        dequeue(d);
        if (!d.unheard) {
            keys.ended(d);
        }
        for (int i = 0; i < d.attempts.size(); i++) {
            if (d.attempts.get(i).out && settings.cancels()) {
                actions.cancel(d.message.id(), i);
            }
        }
        forget(d);
    }

    private void forget(Delivery d) {
        if (d.out == 0 && d.openCalls == 0 && !d.unheard) {
            deliveries.remove(d.message.id());
        }
    }

    /** When the next gate opens by time alone for a message that waits. */
    private double nextOpening() {
        return destinations.values().stream().filter(destination -> destination.waiting > 0)
                .flatMapToDouble(destination -> destination.openings().filter(at -> at > clock)).min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    // ---- parts ----

    /** A message and its wave. */
    private final class Delivery implements KeyOrder.Item {
        final Message message;
        final MessageClass type;
        final Destination destination;
        final double aimAt;
        final double deadline;
        final List<Attempt> attempts = new ArrayList<>();
        double notBefore = Double.NEGATIVE_INFINITY;
        double rank;
        int waves;
        boolean refused;
        int out;
        /** Attempts that have ended, but whose call is still out for others. */
        int openCalls;
        boolean ended;
        /** Ended by an answer that nobody has heard yet, until when its key waits. */
        boolean unheard;
        /** An earlier life took it and never called for it. */
        boolean pressing;

        Delivery(Message message, double at) {
            if (message.messageClass() < 0 || message.messageClass() >= settings.classes().size()) {
                throw new IllegalArgumentException("unknown class " + message.messageClass());
            }
            this.message = message;
            this.type = settings.classes().get(message.messageClass());
            this.destination = destinations.computeIfAbsent(message.destination(), id -> new Destination());
            this.deadline = at + message.timeLeftMs();
            this.aimAt = deadline - type.deadlineMs() + type.latencyTargetMs();
        }

        MessageSnapshot snapshot(Map<Call, Long> calls) {
            Message left = new Message(message.id(), message.messageClass(), message.tenant(), message.key(),
                    deadline - clock, message.destination());
            return new MessageSnapshot(left, notBefore - clock, waves, refused, ended, unheard, openCalls,
                    attempts.stream().map(a -> a.snapshot(calls)).toList());
        }

        @Override
        public Optional<String> orderKey() {
            return type.inOrder() ? message.key() : Optional.empty();
        }

        @Override
        public int callsOut() {
            return out + openCalls;
        }

        boolean isOutAt(Target target) {
            return attempts.stream().anyMatch(a -> a.out && a.target.filter(t -> t == target).isPresent());
        }

        /** Worth when delivered at that time. */
        double worthAt(double time) {
            return time > deadline ? 0 : type.worthWhenLate(Math.max(0, time - aimAt), settings.decay());
        }

        double rank() {
            double worth = worthAt(clock);
            return pressing && attempts.isEmpty() ? Double.POSITIVE_INFINITY
                    : worth - worthAt(clock + destination.horizon) + RANK_WORTH * worth;
        }
    }

    /** One attempt of a message; one of an earlier life has no call, and its endpoint may be gone. */
    private final class Attempt {
        final Optional<Call> call;
        final Optional<Target> target;
        final double sentAt;
        boolean out;
        boolean mayHaveRun;

        Attempt(Call call) {
            this.call = Optional.of(call);
            this.target = Optional.of(call.target);
            this.sentAt = call.sentAt;
            this.out = true;
        }

        Attempt(Optional<Target> target, EarlierAttempt earlier) {
            this.call = Optional.empty();
            this.target = target;
            this.sentAt = earlier.sentAt();
            this.mayHaveRun = earlier.mayHaveRun();
        }

        /** One that another process made: if it is out, it holds a slot with the others of its call. */
        Attempt(Delivery d, AttemptSnapshot m, double takenAt, Map<Long, Call> calls) {
            this.target = Optional.ofNullable(targets.get(m.endpoint()));
            this.sentAt = takenAt + m.sentIn();
            this.mayHaveRun = m.mayHaveRun();
            this.out = m.out();
            // Of no turn of this process: no message joins it any more.
            this.call = target.filter(t -> out)
                    .map(t -> calls.computeIfAbsent(m.call(), c -> new Call(t, sentAt, -1, 0)));
            call.ifPresent(c -> {
                d.out++;
                c.items++;
                c.itemsOut++;
            });
        }

        AttemptSnapshot snapshot(Map<Call, Long> calls) {
            return new AttemptSnapshot(target.map(t -> t.entry.id()).orElse(-1L), sentAt - clock, mayHaveRun,
                    out, call.filter(c -> out).map(c -> calls.computeIfAbsent(c, x -> (long) calls.size()))
                            .orElse(-1L));
        }

    }

    /** Messages that travel as one: one slot, one fate. */
    private final class Call {
        final Target target;
        final double sentAt;
        final long sentTurn;
        final double idledMs;
        int items;
        int itemsOut;
        boolean observed;
        boolean late;

        Call(Target target) {
            this(target, clock, turn, connections.take(target));
            target.usedAt = clock;
        }

        Call(Target target, double sentAt, long sentTurn, double idledMs) {
            this.target = target;
            this.sentAt = sentAt;
            this.sentTurn = sentTurn;
            this.idledMs = idledMs;
            slotsUsed++;
            target.out++;
            target.destination.out++;
        }

        void itemEnded(AttemptEnd end) {
            target.limit.told(end.retryAfterMs());
            if (!observed && end.outcome() != Outcome.CANCELLED && end.outcome() != Outcome.NOT_SENT) {
                observed = true;
                target.observe(this, end);
            }
            target.usedAt = clock;
            itemLeft();
        }

        void itemLeft() {
            itemsOut--;
            if (itemsOut == 0) {
                slotsUsed--;
                target.out--;
                target.destination.out--;
            }
        }

        void overdue() {
            if (!late && !observed && itemsOut > 0) {
                late = true;
                target.overdue(this);
            }
        }
    }

    /** A destination: its endpoints and, where they share one, its limit. */
    private final class Destination {
        final List<Target> targets = new ArrayList<>();
        final Limit shared = new Limit(this);
        final Rate demand = new Rate(() -> clock, CARRIED_MS, CARRIED_LEAST_MS);
        int out;
        /** Its messages in the queue. */
        int waiting;
        /** Of use within {@link #dispatch} only: something may go there yet, in this turn; see the method. */
        boolean open;
        double horizon;
        int backlog;
        int troubled;

        /**
         * Where most of what an earlier life left was refused or repeated, trials come first: after a restart
         * in an outage all would go at once to what may just be coming back cold. What was never called for
         * goes once ahead of the pace, in the first half of its time, not all of it at one moment.
         */
        void messageRecovered(Delivery d) {
            boolean untried = d.attempts.isEmpty();
            backlog++;
            troubled += d.attempts.size() > 1 || !untried && !d.attempts.get(0).mayHaveRun ? 1 : 0;
            timers.add(clock, () -> {
                if (troubled >= SHUT_ENDS && 2 * troubled > backlog) {
                    targets.forEach(target -> target.down("had trouble before the restart"));
                }
            });
            if (untried) {
                timers.add(clock + random.nextDouble() * d.message.timeLeftMs() / 2, () -> press(d));
            }
        }

        private void press(Delivery d) {
            d.pressing = !d.ended && d.attempts.isEmpty();
            if (d.pressing && keys.mayGo(d)) {
                targets.forEach(t -> t.limit.nextAt = Math.min(t.limit.nextAt, clock));
            } else if (d.pressing) {
                timers.add(clock + BACKOFF_MS, () -> press(d));
            }
        }

        boolean isOpen() {
            return targets.stream().anyMatch(Target::isOpen);
        }

        /** Messages a millisecond, as the paces stand; without end where one of them is unbounded. */
        double pace() {
            return targets.stream().filter(Target::takes)
                    .mapToDouble(t -> t.limit.rate * t.limit.messagesACall()).sum() / targets.size();
        }

        /** Whether what waits already and is worth as much outlasts a message, though the paces may grow. */
        boolean hasNoTimeFor(Delivery d) {
            long ahead = queue.stream().filter(o -> o.destination == this && o.type.worth() >= d.type.worth())
                    .count();
            double through = (1 - Math.pow(1 + PACE_PROBE, -ahead)) / PACE_PROBE / pace();
            return pace() > 0 && targets.stream().allMatch(t -> t.state == State.UP)
                    && opensAt() + through > d.deadline;
        }

        /** When the gates of its endpoints open, as far as time alone opens them. */
        DoubleStream openings() {
            return targets.stream().filter(Target::takes)
                    .mapToDouble(t -> Math.max(t.limit.waitUntil, t.opensAt()));
        }

        /** When the first of them opens, or now where none is known. */
        double opensAt() {
            return Math.max(clock, openings().min().orElse(clock));
        }

    }

    /** The pace and told wait of what shares one limit. Guards against refusals and broken waits. */
    private final class Limit {
        final Rate sends = new Rate(() -> clock, CARRIED_MS, CARRIED_LEAST_MS);
        final RecentEvents lastSecond = new RecentEvents(() -> clock, 1000);
        final Destination destination;
        int pressed;
        int inRow;
        double listedRate;
        double rate = Double.POSITIVE_INFINITY;
        double nextAt = Double.NEGATIVE_INFINITY;
        double waitUntil = Double.NEGATIVE_INFINITY;
        double edge;
        double rateLastGood;
        double cutAt = Double.NEGATIVE_INFINITY;

        Limit(Destination destination) {
            this.destination = destination;
        }

        LimitSnapshot snapshot() {
            return new LimitSnapshot(pressed, lastSecond.count(), rate, edge, nextAt - clock,
                    waitUntil - clock, cutAt - clock, sends.snapshot());
        }

        void restore(LimitSnapshot m, double takenAt) {
            pressed = m.pressed();
            lastSecond.restore(m.lastSecond(), takenAt);
            rate = m.rate();
            edge = m.edge();
            nextAt = takenAt + m.nextIn();
            waitUntil = takenAt + m.waitIn();
            cutAt = takenAt + m.cutIn();
            sends.restore(m.sends());
        }

        void sent() {
            if (edge == 0 || lastSecond.latestAt() < clock - IDLE_MS) {
                // Many senders may begin at one moment: where a rate is listed, each with its even part.
                rate = listedRate == 0 ? Double.POSITIVE_INFINITY : Math.max(floor(), evenRate());
                edge = rate;
            }
            sends.count();
            lastSecond.add();
            if (rate < Double.POSITIVE_INFINITY) {
                nextAt = Math.max(nextAt, clock - PACE_BURST_MS) + 1 / rate;
            }
        }

        /** Each message of a call may be told its own wait, in turns of its own. */
        void told(double waitMs) {
            waitUntil = waitMs > 0 ? Math.max(waitUntil, clock + waitMs + CLOCK_MARGIN_MS) : waitUntil;
        }

        /**
         * Refusals of calls sent before the last cut are old news. Waits of all senders end at one moment:
         * where a pace is slower than the wait it begins at random after it, lest they all come at once.
         */
        void refused(Call call) {
            if (call.sentAt < cutAt) {
                return;
            }
            edge = rate == Double.POSITIVE_INFINITY ? lastSecond.countUntilLatest() / 1000.0
                    : Math.min(rate, PACE_OVER_SENT * sends.perMs());
            rate = Math.max(floor(), edge * PACE_CUT);
            pressed = Math.min(pressed + 1, PACE_PAUSES);
            inRow++;
            cutAt = clock;
            nextAt = clock + 1 / rate;
            if (nextAt > waitUntil) {
                nextAt = Math.max(clock, waitUntil) + (0.5 + random.nextDouble()) / rate;
            }
        }

        /** After an outage, whose refusals tell nothing of a listed limit. */
        void restore() {
            rate = listedRate > 0 ? Math.max(rate, Math.max(rateLastGood, evenRate())) : rate;
            nextAt = listedRate > 0 ? clock : nextAt;
        }

        void delivered() {
            pressed = Math.max(pressed - 1, 0);
            inRow = 0;
            boolean quick = rate < PACE_NEAR * edge || clock > cutAt + PACE_MEMORY_MS;
            double grown = rate * (1 + (quick ? PACE_GROWTH : PACE_PROBE));
            // Until it is refused a pace soon follows this sender's own messages, however few its calls.
            double trusted = clock > cutAt + IDLE_MS ? DEMAND_SHARE * callsNeeded() : 0;
            rate = Math.max(floor(), Math.max(grown, Math.min(2 * rate, trusted)));
            rateLastGood = rate;
        }

        private double floor() {
            double own = Math.max(PACE_LEAST_SHARE * callsNeeded(), LISTED_SHARE * evenRate());
            double least = listedRate > 0 ? 0 : 1 / (PACE_PAUSE_MS * Math.pow(PACE_PAUSE_GROWTH, pressed));
            return Math.max(least, own / Math.pow(PACE_PAUSE_GROWTH, Math.max(0, inRow - FLOOR_REFUSALS)));
        }

        /** Endpoints that share this limit. */
        int routes() {
            return this == destination.shared ? destination.targets.size() : 1;
        }

        double evenRate() {
            return listedRate / settings.senders();
        }

        /** Calls a millisecond that this sender's messages need here: the routes share them. */
        private double callsNeeded() {
            return destination.demand.perMs() / messagesACall();
        }

        private double messagesACall() {
            return (double) destination.targets.get(0).batch * destination.targets.size() / routes();
        }
    }

    private enum State { UP, DOWN, WARMING }

    /**
     * An endpoint and its health. Guards against dead, silent, failing and shut endpoints alike: when down,
     * single trials replace the backlog; when it answers again, a ramp keeps within what it can take cold.
     */
    private final class Target {
        final Endpoint entry;
        final Destination destination;
        final Limit limit;
        final int batch;
        final double fee;
        boolean serving;
        boolean leftOut;
        State state = State.UP;
        Call latest;
        final LatencyEstimate latency = new LatencyEstimate(FIRST_LATENCY_MS);
        double bad;
        int silentCalls;
        int fruitless;
        double fruitlessSince;
        double lastGood = Double.NEGATIVE_INFINITY;
        final Rate carried = new Rate(() -> clock, CARRIED_MS, CARRIED_LEAST_MS);
        double warmSince;
        double downAt;
        boolean silentOnly;
        /** It is down for one failed connect alone. */
        boolean connectOnly;
        double nextAt = Double.NEGATIVE_INFINITY;
        double usedAt = Double.NEGATIVE_INFINITY;
        int out;

        Target(Endpoint entry, Destination destination) {
            Kind kind = settings.kinds().get(Math.min(entry.kind(), settings.kinds().size() - 1));
            this.entry = entry;
            this.destination = destination;
            this.limit = kind.separateRoutes() ? new Limit(destination) : destination.shared;
            this.batch = kind.batch();
            boolean charged = kind.separateRoutes() && entry.zone() < settings.zoneFees().size();
            this.fee = charged ? settings.zoneFees().get(entry.zone()) : 0;
        }

        /**
         * What sending there costs in time: the usual answer with its calls out, the last fruitless ends and
         * the fee. A trial that is due goes first, lest it stay down for ever; unsafe messages avoid it.
         */
        double cost(Delivery d) {
            if (state == State.DOWN) {
                return (d.type.effect() == Effect.UNSAFE ? 1 : -1) * Double.POSITIVE_INFINITY;
            }
            double freeShare = 1 - (double) slotsUsed / settings.slots();
            return latency.mean() * (1 + out) + fruitless * SHUT_MS + fee * FEE_MS * freeShare;
        }

        EndpointSnapshot snapshot() {
            return new EndpointSnapshot(entry, state.name(), latency.mean(), latency.deviation(), bad,
                    silentCalls, fruitless, fruitlessSince - clock, lastGood - clock, warmSince - clock,
                    nextAt - clock, carried.snapshot(), destination.demand.snapshot(), limit.snapshot());
        }

        void restore(EndpointSnapshot m, double takenAt) {
            state = State.valueOf(m.state());
            latency.set(m.latency(), m.deviation());
            bad = m.bad();
            silentCalls = m.silentCalls();
            fruitless = m.fruitless();
            fruitlessSince = takenAt + m.fruitlessIn();
            lastGood = takenAt + m.lastGoodIn();
            warmSince = takenAt + m.warmIn();
            nextAt = takenAt + m.nextIn();
            carried.restore(m.carried());
            destination.demand.restore(m.demand());
            limit.restore(m.limit(), takenAt);
        }

        /** By the list and by the operators, whatever its health. */
        boolean takes() {
            return serving && !leftOut;
        }

        /** It is restarted while it is left out: it comes back cold, with a trial that goes first. */
        void maintained(boolean out) {
            leftOut = out;
            actions.closeIdle(entry.id());
            if (!out) {
                bad = 0;
                fruitless = 0;
                silentCalls = 0;
                state = State.DOWN;
            }
        }

        /** Whether any message may go there now, as far as the endpoint, its limit and the slots decide. */
        boolean isOpen() {
            // Fewer slots than stay free, lest a slow or silent destination holds them all.
            boolean slot = slotsUsed < settings.slots() && (state != State.DOWN || out == 0)
                    && destination.out < Math.max(1, settings.slots() - slotsUsed - 1);
            return takes() && limit.waitUntil <= clock && (mayJoin() || slot && opensAt() <= clock);
        }

        boolean mayJoin() {
            return latest != null && latest.sentTurn == turn && latest.items < batch && state != State.DOWN;
        }

        Call joinOrStart() {
            if (!mayJoin()) {
                latest = new Call(this);
                limit.sent();
                nextAt = state == State.UP ? nextAt : clock + pauseAfterCall();
            }
            latest.items++;
            latest.itemsOut++;
            return latest;
        }

        /** When its health and pace let the next call go; trials at a listed rate go by the budget alone. */
        double opensAt() {
            return state == State.DOWN && limit.listedRate > 0 ? nextAt : Math.max(limit.nextAt, nextAt);
        }

        /** How long a usual answer may take here. */
        double patience() {
            return latency.bound(SILENT_DEVIATIONS);
        }

        /** How long a call may be out: an unsafe one is not to be cut off, so its time-out counts. */
        double expectedEnd(MessageClass type) {
            return type.effect() == Effect.UNSAFE ? timeout(type) : patience();
        }

        double timeout(MessageClass type) {
            double base = Math.max(type.latencyTargetMs() * TIMEOUT_AIMS, latency.bound(TIMEOUT_DEVIATIONS));
            double patience = type.effect() == Effect.UNSAFE ? type.deadlineMs() * UNSAFE_PATIENCE : 0;
            return Math.max(base, patience);
        }

        /** While down or warming: until the growing budget has room for one more call. */
        double pauseAfterCall() {
            ColdStart cold = settings.coldStart();
            double gain = state == State.DOWN ? 0 : budget(1 - cold.startCapacity()) / cold.warmMs();
            double chance = limit.listedRate == 0 ? 0
                    : RAMP_CHANCE / cold.overloadMs() / settings.senders() / limit.routes();
            double rate = Math.max(1 / (TRIAL_MOST * cold.warmMs()),
                    budget(cold.startCapacity()) + gain * (clock - warmSince) + chance);
            double pause = limit.listedRate == 0 ? 1 / rate : 2 / (rate + Math.sqrt(rate * rate + 2 * gain));
            double trialPause = Math.min(pause, TRIAL_LEAST_MS * settings.senders());
            return state == State.DOWN ? Math.max(TRIAL_LEAST_MS, trialPause) : pause;
        }

        /** This sender's part of the rule's budget: as it shared before, or evenly of what is listed. */
        private double budget(double capacity) {
            double asked = DEMAND_SHARE * destination.demand.perMs() / destination.targets.size();
            double even = LISTED_SHARE * limit.evenRate() / limit.routes();
            return RAMP_SAFETY * settings.coldStart().overloadMultiple() * capacity
                    * Math.max(even, Math.max(carried.perMs(), asked));
        }

        void observe(Call call, AttemptEnd end) {
            switch (end.outcome()) {
                case DELIVERED -> good(call, end);
                case FULL -> {
                    limit.refused(call);
                    turnedAway(call, end);
                }
                case NO_CONNECTION -> {
                    // The calls of one moment count once.
                    if (state != State.UP || call.sentAt >= nextAt) {
                        turnedAway(call, end);
                        double longest = latency.mean() * Math.pow(2, Math.min(fruitless, CONNECT_BACKOFFS));
                        nextAt = Math.max(nextAt, clock + random.nextDouble() * longest);
                    }
                }
                case UNREACHABLE -> {
                    boolean wasDown = state == State.DOWN;
                    bad(call, UNREACHABLE_WEIGHT, "refuses connections");
                    connectOnly = !wasDown && fruitless == 1;
                }
                case ERROR -> bad(call, BAD_WEIGHT, "loses calls");
                default -> {
                    connections.lost(call);
                    bad(call, BAD_WEIGHT, "loses calls");
                }
            }
            if (state == State.WARMING && clock - warmSince >= settings.coldStart().warmMs()) {
                up("is warm");
            }
        }

        private void turnedAway(Call call, AttemptEnd end) {
            if (noneGood(call) || end.retryAfterMs() >= SHUT_MS) {
                down("is shut");
            }
        }

        private void good(Call call, AttemptEnd end) {
            connections.held(call);
            bad *= GOOD_FACTOR;
            boolean once = connectOnly && fruitless == 1;
            silentCalls = 0;
            fruitless = 0;
            lastGood = clock;
            latency.add(end.tookMs());
            if (state == State.UP) {
                carried.count();
            } else if (state == State.DOWN && silentOnly && call.sentAt < downAt) {
                up("was slow, not silent");
            } else if (state == State.DOWN && once) {
                // In an outage the trial would have failed too: the network's failure, or a full table's.
                up("failed one connect only");
            } else if (state == State.DOWN) {
                warmSince = clock;
                state = State.WARMING;
                latency.restart(end.tookMs());
                nextAt = clock + pauseAfterCall();
                limit.restore();
                actions.log("endpoint " + entry.id() + " answers again, warming");
            }
            limit.delivered();
        }

        /** Calls that were out together are one sign: a second one is that of a call which began after it. */
        private boolean noneGood(Call call) {
            boolean quiet = fruitless > 0 && call.sentAt >= fruitlessSince && clock - lastGood >= CARRIED_MS;
            if (fruitless++ == 0) {
                fruitlessSince = clock;
            }
            return quiet || fruitless >= SHUT_ENDS && clock - fruitlessSince >= SHUT_MS;
        }

        private void bad(Call call, double weight, String symptom) {
            bad += (1 - bad) * weight;
            if (noneGood(call) || bad >= DOWN_AT) {
                down(symptom);
            }
        }

        void overdue(Call call) {
            connections.lost(call);
            if (lastGood < call.sentAt && ++silentCalls >= SILENT_CALLS) {
                boolean wasDown = state == State.DOWN;
                down("is silent");
                silentOnly = !wasDown;
            }
        }

        private void up(String symptom) {
            state = State.UP;
            nextAt = clock;
            carried.resume();
            actions.log("endpoint " + entry.id() + " " + symptom);
        }

        private void down(String symptom) {
            silentOnly = false;
            connectOnly = false;
            if (state != State.DOWN) {
                state = State.DOWN;
                downAt = clock;
                nextAt = Math.max(clock, limit.waitUntil) + random.nextDouble() * pauseAfterCall();
                actions.log("endpoint " + entry.id() + " " + symptom + ", trials only");
            }
        }
    }

    /**
     * How long a connection may idle before it is not trusted. Guards against connections that are dropped
     * unseen: after losses on idle ones at two destinations, connections that idled nearly so long are closed
     * before the next call, until a delivery over one that idled as long comes in, whatever drops them.
     */
    private final class Connections {
        private Optional<Call> suspect = Optional.empty();
        private double lostAt = Double.NEGATIVE_INFINITY;
        private boolean sure;

        /** How long the connection that a call now takes has idled: 0 for one in use, or a new one. */
        double take(Target target) {
            double idle = target.out > 0 ? 0 : clock - target.usedAt;
            if (clock > lostAt + TRUST_MEMORY_MS) {
                suspect = Optional.empty();
                sure = false;
            }
            if (idle < IDLE_LEAST_MS || idle >= settings.keepAliveMs()) {
                return 0;
            }
            if (sure && suspect.filter(s -> idle > s.idledMs * TRUST_CUT).isPresent()) {
                actions.closeIdle(target.entry.id());
                return 0;
            }
            return idle;
        }

        void lost(Call call) {
            if (call.idledMs > 0) {
                sure |= suspect.filter(s -> s.target.destination != call.target.destination).isPresent();
                suspect = suspect.filter(s -> s.idledMs < call.idledMs).or(() -> Optional.of(call));
                lostAt = clock;
            }
        }

        void held(Call call) {
            suspect = suspect.filter(s -> s != call && (call.late || call.idledMs < s.idledMs));
            sure &= suspect.isPresent();
        }
    }
}
