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
 * One line on standard error for each event in the life of a message or connection that is not the ordinary one: a
 * refusal, an attempt that did not deliver, a retry, a notice, a connection that is closed under a request. Each line
 * is {@code event=NAME key=value ...}, with the message's id. A message that is delivered by its first attempt leaves
 * no line.
 *
 * <p>The event loop never waits for standard error: a thread of its own writes what is queued. Lines beyond the rate
 * limit, or beyond the queue, are left out and counted.
 */
final class EventLog {
    /** Lines that may come at once. */
    static final int BURST = 500;
    /** Lines in a second, in the long run. */
    static final int LINES_PER_SECOND = 100;
    private static final int QUEUE_LENGTH = 1024;
    /** So long lines are collected for one write; a kill may cost those. */
    private static final long COLLECT_MS = 10;
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final LongSupplier nanos;
    private final Consumer<String> out;
    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_LENGTH);
    private double tokens = BURST;
    private long refilledAt;
    private long leftOut;

    /** With a clock and a destination of its own, for tests. */
    EventLog(LongSupplier nanos, Consumer<String> out) {
        this.nanos = nanos;
        this.out = out;
        this.refilledAt = nanos.getAsLong();
    }

    /** The one log of this process; its writer runs from the first use on. */
    static EventLog ofThisProcess() {
        return OfThisProcess.LOG;
    }

    private static final class OfThisProcess {
        private static final EventLog LOG = new EventLog(System::nanoTime, System.err::print);

        static {
            Thread writer = new Thread(LOG::writeForever, "event-log");
            writer.setDaemon(true);
            writer.start();
        }
    }

    /** Adds a line; the fields are names and values in turn. */
    synchronized void add(String event, Object... fields) {
        if (!takeToken()) {
            leftOut++;
            return;
        }
        if (leftOut > 0 && queue.offer(line("lines-left-out", "count", leftOut))) {
            leftOut = 0;
        }
        if (!queue.offer(line(event, fields))) {
            leftOut++;
        }
    }

    /** Writes what is queued, before the process ends. */
    void flush() {
        List<String> lines = new ArrayList<>();
        queue.drainTo(lines);
        if (!lines.isEmpty()) {
            out.accept(String.join("", lines));
        }
    }

    private boolean takeToken() {
        long now = nanos.getAsLong();
        tokens = Math.min(BURST, tokens + (double) (now - refilledAt) * LINES_PER_SECOND / NANOS_PER_SECOND);
        refilledAt = now;
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

    /** A value is one word, whatever a peer has sent. */
    private static String value(Object value) {
        String text = String.valueOf(value);
        return text.chars().allMatch(c -> c > ' ' && c != '"' && c < 127) && !text.isEmpty() ? text
                : '"' + text.replaceAll("[^ -~]", "?").replace('"', '\'') + '"';
    }

    private void writeForever() {
        try {
            while (true) {
                String first = queue.take();
                Thread.sleep(COLLECT_MS);
                List<String> lines = new ArrayList<>(List.of(first));
                queue.drainTo(lines);
                out.accept(String.join("", lines));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
