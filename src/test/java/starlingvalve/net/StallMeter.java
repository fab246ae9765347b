package starlingvalve.net;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Measures for how long this machine delays runnable threads: a thread sleeps repeatedly and records how much later
 * than requested it wakes up. An event that a test observes late by less than such a delay may have happened in time.
 */
final class StallMeter implements AutoCloseable {
    private static final long SLEEP_MS = 5;
    /** Shorter stalls are not recorded. */
    private static final long MIN_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

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
                if (woke - due > MIN_STALL_NANOS) {
                    add(new Stall(due, woke));
                }
            }
        } catch (InterruptedException closed) {
            // Closed at the end of the test.
        }
    }

    private synchronized void add(Stall stall) {
        stalls.add(stall);
    }

    /** The total time of stalls within a time span, in nanoseconds. */
    synchronized long nanosWithin(long from, long to) {
        return stalls.stream().mapToLong(stall -> Math.max(0, Math.min(to, stall.to) - Math.max(from, stall.from)))
                .sum();
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
