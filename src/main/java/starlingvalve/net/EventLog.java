package starlingvalve.net;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Writes one line on standard error for each unusual event of a message or a connection: a message rejected at
 * admission, an attempt that did not deliver, a retry, a notice, a connection closed while a request was in progress.
 * A line is a time stamp and {@code event=NAME key=value ...}, with the id of the message. A message that is delivered
 * by its first attempt gets no line.
 *
 * <p>The event loop never waits for standard error: lines are queued, and a separate thread writes them. Lines that
 * exceed the rate limit or don't fit in the queue are dropped, and the number of dropped lines is logged.
 */
final class EventLog {
    /** Largest number of lines in a burst. */
    static final int MAX_BURST = 500;
    /** Largest number of lines per second in the long run. */
    static final int LINES_PER_SECOND = 100;
    /** Longest value of a field; a longer one is cut off. */
    static final int MAX_VALUE_LENGTH = 1024;
    private static final int QUEUE_LENGTH = 1024;
    /** Time for which lines are collected for one write; a kill of the process may lose these lines. */
    private static final long COLLECT_MS = 10;
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final LongSupplier nanoClock;
    private final Consumer<String> output;
    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_LENGTH);
    private double tokens = MAX_BURST;
    private long refilledNanos;
    private long droppedLines;

    /** Creates a log without a writer thread; tests pass their own clock and output. */
    EventLog(LongSupplier nanoClock, Consumer<String> output) {
        this.nanoClock = nanoClock;
        this.output = output;
        this.refilledNanos = nanoClock.getAsLong();
    }

    /** The log of this process; its writer thread starts with the first use. */
    static EventLog shared() {
        return SharedInstance.LOG;
    }

    private static final class SharedInstance {
        private static final EventLog LOG = new EventLog(System::nanoTime, System.err::print);

        static {
            Thread writer = new Thread(LOG::writeLoop, "event-log");
            writer.setDaemon(true);
            writer.start();
        }
    }

    /** Queues the line of an event, or drops and counts it; {@code fields} are alternating names and values. */
    synchronized void add(String event, Object... fields) {
        if (!takeToken()) {
            droppedLines++;
            return;
        }
        if (droppedLines > 0 && queue.offer(line("lines-left-out", "count", droppedLines))) {
            droppedLines = 0;
        }
        if (!queue.offer(line(event, fields))) {
            droppedLines++;
        }
    }

    /** Writes all queued lines on the calling thread, as is needed before the process ends. */
    void flush() {
        List<String> lines = new ArrayList<>();
        queue.drainTo(lines);
        if (!lines.isEmpty()) {
            output.accept(String.join("", lines));
        }
    }

    /** Takes a token of the token bucket that limits the rate; returns false if it has none. */
    private boolean takeToken() {
        long now = nanoClock.getAsLong();
        tokens = Math.min(MAX_BURST, tokens + (double) (now - refilledNanos) * LINES_PER_SECOND / NANOS_PER_SECOND);
        refilledNanos = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    private static String line(String event, Object... fields) {
        StringBuilder line = new StringBuilder(128).append(Instant.now().truncatedTo(ChronoUnit.MILLIS))
                .append(" event=").append(event);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line.append(' ').append(fields[i]).append('=').append(value(fields[i + 1]));
        }
        return line.append('\n').toString();
    }

    /**
     * Cuts off a long value, quotes one that is not a plain word, and replaces its special characters: a peer may have
     * sent it.
     */
    private static String value(Object value) {
        String full = String.valueOf(value);
        String text = full.substring(0, Math.min(full.length(), MAX_VALUE_LENGTH));
        return text.chars().allMatch(c -> c > ' ' && c != '"' && c < 127) && !text.isEmpty() ? text
                : '"' + text.replaceAll("[^ -~]", "?").replace('"', '\'') + '"';
    }

    private void writeLoop() {
        try {
            while (true) {
                String first = queue.take();
                Thread.sleep(COLLECT_MS);
                List<String> lines = new ArrayList<>(List.of(first));
                queue.drainTo(lines);
                output.accept(String.join("", lines));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
