package starlingvalve.net;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongBiFunction;
import java.util.stream.Collectors;

/**
 * The rule on draining servers, judged from what the stand-ins of a play saw: no call begins later than the grace after
 * the sender counts as told that its server drains or is gone. All times are nanoseconds of one clock.
 */
final class DrainRecord {
    /** The grace of the settings, and the protocol's slack. */
    static final long GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(250 + 50);
    /** After SIGHUP what discovery has to tell counts as told so much later. */
    static final long MOVE_NANOS = TimeUnit.SECONDS.toNanos(4);

    private record Span(long from, long to) {
        boolean contains(long at) {
            return from <= at && at < to;
        }
    }

    private record Event(long at, String what) {
    }

    private record Call(String server, long at) {
    }

    private final Map<String, Long> withdrawn = new HashMap<>();
    private final List<Span> outages = new ArrayList<>();
    private final List<Span> moves = new ArrayList<>();
    private final List<Call> calls = new ArrayList<>();
    private final List<Event> timeline = new ArrayList<>();

    /** The list has this server as draining, or no longer, for the first time. */
    synchronized void withdrawn(String server, long at) {
        withdrawn.putIfAbsent(server, at);
    }

    /** Discovery was out of reach. */
    synchronized void outage(long from, long to) {
        outages.add(new Span(from, to));
    }

    /** The sender was told by SIGHUP that discovery has another address. */
    synchronized void moved(long at) {
        moves.add(new Span(at, at + MOVE_NANOS));
    }

    /** The sender has begun a call. */
    synchronized void called(String server, long at) {
        calls.add(new Call(server, at));
    }

    /** Something that helps to understand a violation has happened. */
    synchronized void note(long at, String what) {
        timeline.add(new Event(at, what));
    }

    /** What was noted, and each drain that was not kept, a line each with its wall-clock time. */
    synchronized String timeline() {
        long now = System.nanoTime();
        Instant wallClock = Instant.now();
        return timeline.stream().distinct().sorted(Comparator.comparingLong(Event::at))
                .map(event -> wallClock.minusNanos(now - event.at).truncatedTo(ChronoUnit.MILLIS) + " " + event.what)
                .collect(Collectors.joining("\n"));
    }

    synchronized int calls() {
        return calls.size();
    }

    synchronized int withdrawals() {
        return withdrawn.size();
    }

    /** When the sender counts as told: what changes in an outage at its end, and behind a SIGHUP 4 s after that. */
    private long toldAt(long changedAt) {
        long told = changedAt;
        for (Span outage : outages) {
            told = outage.contains(changedAt) ? Math.max(told, outage.to) : told;
        }
        for (Span move : moves) {
            told = move.contains(told) ? move.to : told;
        }
        return told;
    }

    /** A line for each call that broke the rule; {@code stalls} tells how long the machine stood still in a span. */
    synchronized List<String> violations(ToLongBiFunction<Long, Long> stalls) {
        List<String> violations = new ArrayList<>();
        for (Call call : calls) {
            Long changedAt = withdrawn.get(call.server);
            if (changedAt == null) {
                continue;
            }
            long told = toldAt(changedAt);
            long late = call.at - told - GRACE_NANOS;
            if (late > 0 && late > stalls.applyAsLong(told, call.at)) {
                violations.add("called " + call.server + " " + TimeUnit.NANOSECONDS.toMillis(call.at - told)
                        + " ms after the drain was told");
                timeline.add(new Event(changedAt, call.server + " drains"));
                timeline.add(new Event(told, "the drain of " + call.server + " counts as told"));
                timeline.add(new Event(call.at, call.server + " is called"));
            }
        }
        return violations;
    }
}
