package starlingvalve.net;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Measures how long this machine keeps a thread waiting that has something to do: a thread that sleeps again and again
 * notes how much later it woke than it asked to. What a test sees late by less may have happened in time.
 */
final class StallMeter implements AutoCloseable {
    private static final long SLEEP_MS = 5;
    /** Shorter stalls are not kept. */
    private static final long LEAST_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private record Stall(long from, long to) {
    }

    private final List<Stall> stalls = new ArrayList<>();
    private final Thread thread = new Thread(this::measure, "stall-meter");

    StallMeter() {
        thread.setDaemon(true);
        thread.start();
    }

    private void measure() {
        try {
            while (true) {
                long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SLEEP_MS);
                Thread.sleep(SLEEP_MS);
                long woke = System.nanoTime();
                if (woke - due > LEAST_NANOS) {
                    add(new Stall(due, woke));
                }
            }
        } catch (InterruptedException closed) {
            // The play is over.
        }
    }

    private synchronized void add(Stall stall) {
        stalls.add(stall);
    }

    /** The time within a span in which the machine stood still. */
    synchronized long nanosWithin(long from, long to) {
        return stalls.stream().mapToLong(stall -> Math.max(0, Math.min(to, stall.to) - Math.max(from, stall.from)))
                .sum();
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
