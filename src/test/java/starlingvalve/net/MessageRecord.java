package starlingvalve.net;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * What clients, endpoints and the platform saw of one message, in the order in which they saw it, and which rules it
 * breaks. It is judged by this record alone.
 */
final class MessageRecord {
    /** A call that comes so soon after the end was told may have been under way. */
    static final long GRACE_NANOS = 250_000_000;

    private static final String NEVER_ENDED = "taken on and never ended";

    /** What is seen of a message. */
    enum Kind {
        /** Its client has read that it is taken on. */
        TAKEN,
        /** A call with it has arrived whole at an endpoint. */
        CALLED,
        /** The answer to the last such call proves that it never ran. */
        NEVER_RAN,
        /** An answer that accepts it is written whole, and the sender still waits for it: it knows of the end. */
        ACCEPTED,
        /** The same, so late that the sender may have given the call up: it may or may not know of the end. */
        ACCEPTED_LATE,
        /** The platform has answered a notice of its end. */
        NOTICED,
        /** The process was killed, and what it had only read is forgotten. */
        KILLED
    }

    /** One thing that was seen. */
    record Event(long atNanos, Kind kind) {
    }

    private final String id;
    private final boolean mayRunOnce;
    private final List<Event> events = new ArrayList<>();

    MessageRecord(String id, boolean mayRunOnce) {
        this.id = id;
        this.mayRunOnce = mayRunOnce;
    }

    synchronized void add(long atNanos, Kind kind) {
        events.add(new Event(atNanos, kind));
    }

    /** Whether its client was told that it is taken on, and nobody of its end so far. */
    boolean isOpen() {
        return violations().contains(NEVER_ENDED);
    }

    /** The rules that it breaks, each in words. */
    synchronized List<String> violations() {
        List<String> found = new ArrayList<>();
        boolean taken = false;
        boolean ended = false;
        boolean mayHaveRun = false;
        Optional<Long> noticedAt = Optional.empty();
        Optional<Long> toldAt = Optional.empty();
        for (Event event : events) {
            switch (event.kind()) {
                case TAKEN -> taken = true;
                case CALLED -> {
                    if (isOver(noticedAt, event)) {
                        found.add("called after its notice was heard");
                    }
                    if (isOver(toldAt, event)) {
                        found.add("called after an answer had accepted it");
                    }
                    if (mayRunOnce && mayHaveRun) {
                        found.add("called again though it may have run");
                    }
                    mayHaveRun = true;
                }
                case NEVER_RAN -> mayHaveRun = false;
                case ACCEPTED -> {
                    ended = true;
                    toldAt = toldAt.isPresent() ? toldAt : Optional.of(event.atNanos());
                }
                case ACCEPTED_LATE -> ended = true;
                case NOTICED -> {
                    ended = true;
                    noticedAt = noticedAt.isPresent() ? noticedAt : Optional.of(event.atNanos());
                }
                // What was told long before a kill has been read, and recorded.
                default -> toldAt = toldAt.filter(at -> event.atNanos() - at > GRACE_NANOS);
            }
        }
        if (taken && !ended) {
            found.add(NEVER_ENDED);
        }
        return found;
    }

    private static boolean isOver(Optional<Long> endAt, Event event) {
        return endAt.filter(at -> event.atNanos() - at > GRACE_NANOS).isPresent();
    }

    @Override
    public synchronized String toString() {
        long begun = events.isEmpty() ? 0 : events.get(0).atNanos();
        return id + (mayRunOnce ? " (once)" : "") + ": " + events.stream()
                .map(event -> event.kind() + "@" + (event.atNanos() - begun) / 1_000_000 + "ms").toList();
    }
}
