package starlingvalve.net;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The figures that operators read. Counts start at 0 with the process; gauges are asked for as they stand. */
final class Stats {
    /** How a message ended: delivered, refused or handed back, or failed. */
    enum End { SERVED, REFUSED, FAILED }

    /** What stands now. */
    record Gauges(int inFlight, int endpointsKnown, int endpointsExcluded) {
    }

    private static final String PREFIX = "svc.";

    private final Map<String, long[]> ends = new LinkedHashMap<>();
    private long attempts;

    Stats(List<String> classes) {
        classes.forEach(name -> ends.put(name, new long[End.values().length]));
    }

    /** A message of this class has ended; of a class that the settings don't know nothing is told. */
    void ended(String messageClass, End end) {
        long[] counts = ends.get(messageClass);
        if (counts != null) {
            counts[end.ordinal()]++;
        }
    }

    /** So many messages were written whole to an endpoint. */
    void attempts(int messages) {
        attempts += messages;
    }

    /** A line a figure, each with its kind: c counts, g is a gauge. */
    String text(Gauges now) {
        StringBuilder text = new StringBuilder();
        for (End end : End.values()) {
            ends.forEach((name, counts) -> line(text, end.name().toLowerCase(Locale.ROOT) + "." + name,
                    counts[end.ordinal()], 'c'));
        }
        line(text, "attempts", attempts, 'c');
        line(text, "in_flight", now.inFlight(), 'g');
        line(text, "endpoints_known", now.endpointsKnown(), 'g');
        line(text, "endpoints_excluded", now.endpointsExcluded(), 'g');
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value, char kind) {
        text.append(PREFIX).append(name).append(':').append(value).append('|').append(kind).append('\n');
    }
}
