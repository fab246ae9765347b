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
 * Keeps messages with the same ordering key in order: one at a time, in the order of acceptance. A key is quarantined
 * after an attempt whose end leaves open whether it still runs.
 */
final class KeyOrder {
    /** A message, as far as its order is concerned. */
    interface Item {
        /** The ordering key; empty for a message that is not kept in order. */
        Optional<String> orderKey();

        /** Number of its calls that may still run. */
        int callsInFlight();
    }

    private static final class KeyQueue {
        final Deque<Item> waiting = new ArrayDeque<>();
        double quarantinedUntil = Double.NEGATIVE_INFINITY;
        int callsInFlight;
    }

    private final double quarantineMs;
    private final DoubleSupplier clock;
    private final Timers timers;
    private final Map<String, KeyQueue> queues = new LinkedHashMap<>();

    /** Quarantines last {@code quarantineMs} on the given clock. */
    KeyOrder(double quarantineMs, DoubleSupplier clock, Timers timers) {
        this.quarantineMs = quarantineMs;
        this.clock = clock;
        this.timers = timers;
    }

    private Optional<KeyQueue> queueOf(Item item) {
        return item.orderKey().map(queues::get);
    }

    /** Adds an accepted message behind all earlier ones of its key. */
    void accepted(Item item) {
        item.orderKey().ifPresent(key -> queues.computeIfAbsent(key, k -> new KeyQueue()).waiting.add(item));
    }

    /** Quarantines the key of a message from now on, because an attempt of it may still run. */
    void quarantine(Item item) {
        queueOf(item).ifPresent(queue -> {
            queue.quarantinedUntil = clock.getAsDouble() + quarantineMs;
            timers.add(queue.quarantinedUntil, () -> removeIfUnused(item));
        });
    }

    /** Whether a message is the first of its key and no other call of the key may still run. */
    boolean allows(Item item) {
        return queueOf(item).map(queue -> queue.waiting.peek() == item && queue.callsInFlight == item.callsInFlight()
                && queue.quarantinedUntil <= clock.getAsDouble()).orElse(true);
    }

    /** The quarantined keys, each with the time in milliseconds until its quarantine ends. */
    Map<String, Double> quarantines() {
        double now = clock.getAsDouble();
        return queues.entrySet().stream().filter(entry -> entry.getValue().quarantinedUntil > now)
                .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue().quarantinedUntil - now));
    }

    /** Restores the quarantine of a key from the snapshot of another instance. */
    void restoreQuarantine(String key, double quarantinedUntil) {
        queues.computeIfAbsent(key, k -> new KeyQueue()).quarantinedUntil = quarantinedUntil;
        timers.add(quarantinedUntil, () -> { });
    }

    /** Counts a call of a message that starts, or is in flight; the key waits for it even if the message has ended. */
    void callStarted(Item item) {
        item.orderKey().ifPresent(key -> queues.computeIfAbsent(key, k -> new KeyQueue()).callsInFlight++);
    }

    /** Notes that a call of a message has ended, and quarantines its key if the call may still run at the endpoint. */
    void callEnded(Item item, Outcome outcome) {
        queueOf(item).ifPresent(queue -> queue.callsInFlight--);
        if (outcome.mayHaveRun() && outcome != Outcome.ERROR) {
            quarantine(item);
        }
        removeIfUnused(item);
    }

    /** Removes a message that has ended, so that the next one of its key may be sent. */
    void messageEnded(Item item) {
        queueOf(item).ifPresent(queue -> queue.waiting.remove(item));
        removeIfUnused(item);
    }

    /** Removes a message together with its calls, as if it had never been known. */
    void forget(Item item) {
        queueOf(item).filter(queue -> queue.waiting.remove(item))
                .ifPresent(queue -> queue.callsInFlight = Math.max(0, queue.callsInFlight - item.callsInFlight()));
        removeIfUnused(item);
    }

    private void removeIfUnused(Item item) {
        queueOf(item).filter(queue -> queue.waiting.isEmpty() && queue.callsInFlight == 0
                && queue.quarantinedUntil <= clock.getAsDouble())
                .ifPresent(queue -> item.orderKey().ifPresent(queues::remove));
    }
}
