package starlingvalve.net;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** The body of an answer to several messages: a line for each, with its id and the word for how it ended. */
final class BatchAnswer {
    /** Stands for no word, and for an id that two lines name. */
    private static final String UNKNOWN = "";

    private static final String LINE_END = "\n";

    private final Map<String, String> words = new HashMap<>();
    private final boolean lastLineEnds;

    BatchAnswer(String body) {
        lastLineEnds = body.endsWith(LINE_END);
        for (String line : body.split("\r?\n")) {
            String[] parts = line.trim().split(" ");
            if (parts.length == 2) {
                words.merge(parts[0], parts[1], (first, second) -> UNKNOWN);
            }
        }
    }

    /** Whether it has a clear word for each of these messages, and ends with a whole line. */
    boolean isWhole(Collection<String> ids) {
        return lastLineEnds && ids.stream().noneMatch(id -> word(id).isEmpty());
    }

    /** Whether it names any of these messages: one that names none is the answer to another call. */
    boolean namesAny(Collection<String> ids) {
        return ids.stream().anyMatch(words::containsKey);
    }

    /** The word for a message, empty if the answer has none or no clear one. */
    String word(String id) {
        return words.getOrDefault(id, UNKNOWN);
    }
}
