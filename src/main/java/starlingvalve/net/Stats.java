package starlingvalve.net;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The metrics that operators read. Counters start at 0 with the process; gauges are passed in when they are read. */
final class Stats {
    /** Final outcome of a message: delivered, rejected at admission or returned, or failed. */
    enum End { SERVED, REFUSED, FAILED }

    /** Current values: messages accepted and not ended, endpoints listed, and endpoints excluded of these. */
    record Gauges(int inFlight, int endpointsKnown, int endpointsExcluded) {
    }

    private static final String PREFIX = "svc.";

    private final Map<String, long[]> endCounts = new LinkedHashMap<>();
    private long attempts;

    /** Creates counters for the configured message classes. */
    Stats(List<String> classes) {
        classes.forEach(name -> endCounts.put(name, new long[End.values().length]));
    }

    /** Counts a message that has ended; messages of classes that are not configured are not counted. */
    void ended(String messageClass, End end) {
        long[] counts = endCounts.get(messageClass);
        if (counts != null) {
            counts[end.ordinal()]++;
        }
    }

    /** Counts attempts: the given number of messages was completely written to an endpoint. */
    void attempts(int messages) {
        attempts += messages;
    }

    /** All metrics, one per line as {@code name:value|type}; the type is c for a counter and g for a gauge. */
    String text(Gauges gauges) {
        StringBuilder text = new StringBuilder();
        for (End end : End.values()) {
            endCounts.forEach((name, counts) -> line(text, end.name().toLowerCase(Locale.ROOT) + "." + name,
                    counts[end.ordinal()], 'c'));
        }
        line(text, "attempts", attempts, 'c');
        line(text, "in_flight", gauges.inFlight(), 'g');
        line(text, "endpoints_known", gauges.endpointsKnown(), 'g');
        line(text, "endpoints_excluded", gauges.endpointsExcluded(), 'g');
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value, char type) {
        text.append(PREFIX).append(name).append(':').append(value).append('|').append(type).append('\n');
    }
}
