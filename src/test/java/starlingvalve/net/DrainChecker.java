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
 * Checks the rule on draining servers, by what the stub servers and the stub agent of a soak observed: no call begins
 * later than the grace period after the sender counts as notified that the server is draining or no longer listed. All
 * times are nanoseconds of one clock.
 */
final class DrainChecker {
    /** The configured grace period of 250 ms, plus the 50 ms of slack that the protocol allows. */
    static final long GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(250 + 50);
    /** After SIGHUP the sender counts as notified of changes only when this time has passed. */
    static final long MOVE_DELAY_NANOS = TimeUnit.SECONDS.toNanos(4);

    private record Span(long fromNanos, long toNanos) {
        boolean contains(long atNanos) {
            return fromNanos <= atNanos && atNanos < toNanos;
        }
    }

    private record Event(long atNanos, String description) {
    }

    private record Call(String server, long atNanos) {
    }

    private final Map<String, Long> withdrawn = new HashMap<>();
    private final List<Span> outages = new ArrayList<>();
    private final List<Span> moves = new ArrayList<>();
    private final List<Call> calls = new ArrayList<>();
    private final List<Event> timeline = new ArrayList<>();

    /**
     * Records the time from which discovery lists a server as draining, or no longer lists it. Only the first time of
     * each server counts.
     */
    synchronized void withdrawn(String server, long atNanos) {
        withdrawn.putIfAbsent(server, atNanos);
    }

    /** Records a period in which discovery could not be reached. */
    synchronized void outage(long fromNanos, long toNanos) {
        outages.add(new Span(fromNanos, toNanos));
    }

    /** Records the SIGHUP by which the sender learns that discovery has another address. */
    synchronized void moved(long atNanos) {
        moves.add(new Span(atNanos, atNanos + MOVE_DELAY_NANOS));
    }

    /** Records a call of the sender to a server. */
    synchronized void called(String server, long atNanos) {
        calls.add(new Call(server, atNanos));
    }

    /** Adds an event that helps to explain violations to the timeline. */
    synchronized void note(long atNanos, String description) {
        timeline.add(new Event(atNanos, description));
    }

    /** The noted events, and those of each violation found so far, one line each with its wall-clock time. */
    synchronized String timeline() {
        long nowNanos = System.nanoTime();
        Instant wallClock = Instant.now();
        return timeline.stream().distinct().sorted(Comparator.comparingLong(Event::atNanos))
                .map(event -> wallClock.minusNanos(nowNanos - event.atNanos).truncatedTo(ChronoUnit.MILLIS) + " "
                        + event.description)
                .collect(Collectors.joining("\n"));
    }

    synchronized int calls() {
        return calls.size();
    }

    synchronized int withdrawals() {
        return withdrawn.size();
    }

    /**
     * The time at which the sender counts as notified of a change: the change itself; for a change during an outage of
     * discovery, the end of the outage; and within 4 s after a SIGHUP, the end of those 4 s.
     */
    private long notifiedNanos(long changedNanos) {
        long notifiedNanos = changedNanos;
        for (Span outage : outages) {
            notifiedNanos = outage.contains(changedNanos) ? Math.max(notifiedNanos, outage.toNanos) : notifiedNanos;
        }
        for (Span move : moves) {
            notifiedNanos = move.contains(notifiedNanos) ? move.toNanos : notifiedNanos;
        }
        return notifiedNanos;
    }

    /**
     * Describes each call that broke the rule, one line each.
     *
     * @param stalledNanos the time for which the machine stalled within a period; a call that is late
     *     by no more than that is excused
     */
    synchronized List<String> violations(ToLongBiFunction<Long, Long> stalledNanos) {
        List<String> violations = new ArrayList<>();
        for (Call call : calls) {
            Long changedNanos = withdrawn.get(call.server);
            if (changedNanos == null) {
                continue;
            }
            long notifiedNanos = notifiedNanos(changedNanos);
            long lateNanos = call.atNanos - notifiedNanos - GRACE_NANOS;
            if (lateNanos > 0 && lateNanos > stalledNanos.applyAsLong(notifiedNanos, call.atNanos)) {
                violations.add("called " + call.server + " "
                        + TimeUnit.NANOSECONDS.toMillis(call.atNanos - notifiedNanos)
                        + " ms after the notification of its drain");
                timeline.add(new Event(changedNanos, call.server + " drains"));
                timeline.add(new Event(notifiedNanos,
                        "notification of the drain of " + call.server + " counts as received"));
                timeline.add(new Event(call.atNanos, call.server + " is called"));
            }
        }
        return violations;
    }
}
