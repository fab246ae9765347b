package starlingvalve;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;
import starlingvalve.DeliveryPolicy.Outcome;

/**
 * The order of messages that share a key: one at a time, as they were taken. A key rests after an end that leaves open
 * whether the attempt still runs.
 */
final class KeyOrder {
    /** A message, as far as its order is concerned. */
    interface Item {
        /** The key by which it is kept in order, if it is. */
        Optional<String> orderKey();

        /** Its calls that may still run. */
        int callsOut();
    }

    private static final class Line {
        final Deque<Item> waiting = new ArrayDeque<>();
        double restUntil = Double.NEGATIVE_INFINITY;
        int out;
    }

    private final double restMs;
    private final DoubleSupplier clock;
    private final Timers timers;
    private final Map<String, Line> lines = new LinkedHashMap<>();

    /** Keys rest for so long, by this clock. */
    KeyOrder(double restMs, DoubleSupplier clock, Timers timers) {
        this.restMs = restMs;
        this.clock = clock;
        this.timers = timers;
    }

    private Optional<Line> line(Item item) {
        return item.orderKey().map(lines::get);
    }

    /** A message was taken, behind all of its key that were taken before. */
    void taken(Item item) {
        item.orderKey().ifPresent(key -> lines.computeIfAbsent(key, k -> new Line()).waiting.add(item));
    }

    /** The key of a message rests from now on: something of it may still run. */
    void rest(Item item) {
        line(item).ifPresent(line -> {
            line.restUntil = clock.getAsDouble() + restMs;
            timers.add(line.restUntil, () -> drop(item));
        });
    }

    /** Whether it is the turn of a message, and nothing else of its key may still run. */
    boolean mayGo(Item item) {
        return line(item).map(line -> line.waiting.peek() == item && line.out == item.callsOut()
                && line.restUntil <= clock.getAsDouble()).orElse(true);
    }

    /** The keys that rest, each with the time until it goes on. */
    Map<String, Double> rests() {
        double now = clock.getAsDouble();
        return lines.entrySet().stream().filter(entry -> entry.getValue().restUntil > now)
                .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue().restUntil - now));
    }

    /** A key rests until this time, as another instance has told. */
    void restore(String key, double restUntil) {
        lines.computeIfAbsent(key, k -> new Line()).restUntil = restUntil;
        timers.add(restUntil, () -> { });
    }

    /** A call of a message begins, or is out: also of one that is over, which its key waits for all the same. */
    void attemptSent(Item item) {
        item.orderKey().ifPresent(key -> lines.computeIfAbsent(key, k -> new Line()).out++);
    }

    /** A call of a message has ended in this way. */
    void attemptEnded(Item item, Outcome outcome) {
        line(item).ifPresent(line -> line.out--);
        if (outcome.mayHaveRun() && outcome != Outcome.ERROR) {
            rest(item);
        }
        drop(item);
    }

    /** A message is over: the next of its key may go. */
    void ended(Item item) {
        line(item).ifPresent(line -> line.waiting.remove(item));
        drop(item);
    }

    /** A message is not known any more, nor are its calls. */
    void forget(Item item) {
        line(item).filter(line -> line.waiting.remove(item))
                .ifPresent(line -> line.out = Math.max(0, line.out - item.callsOut()));
        drop(item);
    }

    private void drop(Item item) {
        line(item).filter(line -> line.waiting.isEmpty() && line.out == 0 && line.restUntil <= clock.getAsDouble())
                .ifPresent(line -> item.orderKey().ifPresent(lines::remove));
    }
}
