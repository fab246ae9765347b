package starlingvalve.net;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** The body of an answer to several messages: one line for each, with its id and one word for its outcome. */
final class BatchAnswer {
    /** The word of an id that no line names, or that two lines name. */
    private static final String UNKNOWN = "";

    private static final String LINE_END = "\n";

    private final Map<String, String> words = new HashMap<>();
    private final boolean lastLineComplete;

    BatchAnswer(String body) {
        lastLineComplete = body.endsWith(LINE_END);
        for (String line : body.split("\r?\n")) {
            String[] parts = line.trim().split(" ");
            if (parts.length == 2) {
                words.merge(parts[0], parts[1], (first, second) -> UNKNOWN);
            }
        }
    }

    /** Whether each of these messages has an unambiguous word, and the last line is complete. */
    boolean isWhole(Collection<String> ids) {
        return lastLineComplete && ids.stream().noneMatch(id -> word(id).isEmpty());
    }

    /** Whether it names any of these messages; an answer that names none belongs to another request. */
    boolean namesAny(Collection<String> ids) {
        return ids.stream().anyMatch(words::containsKey);
    }

    /** The word for a message; empty if the answer has none, or more than one. */
    String word(String id) {
        return words.getOrDefault(id, UNKNOWN);
    }
}
