package starlingvalve.net;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * The rule on the order of a key, judged from what clients, endpoints and the platform saw: no message is called for
 * while one of its key that was taken on before it is not over. All times are {@link System#nanoTime}.
 */
final class KeyOrderRecord {
    private static final class Message {
        final String id;
        final List<Long> calls = new ArrayList<>();
        boolean taken;
        OptionalLong overAt = OptionalLong.empty();

        Message(String id) {
            this.id = id;
        }

        boolean isOpenAt(long nanos) {
            return taken && (overAt.isEmpty() || overAt.getAsLong() > nanos);
        }
    }

    /** The messages of each key, in the order in which they were handed in. */
    private final Map<String, List<Message>> keys = new LinkedHashMap<>();
    private final Map<String, Message> messages = new LinkedHashMap<>();

    /** A message of a key is handed in; the one before it has had its answer, or will have none. */
    synchronized void handedIn(String key, String id) {
        Message message = new Message(id);
        messages.put(id, message);
        keys.computeIfAbsent(key, k -> new ArrayList<>()).add(message);
    }

    /** Its client has read that it is taken on. */
    synchronized void taken(String id) {
        messages.get(id).taken = true;
    }

    /** A call with it has arrived whole at an endpoint. */
    synchronized void called(String id, long atNanos) {
        if (messages.containsKey(id)) {
            messages.get(id).calls.add(atNanos);
        }
    }

    /** The answer that accepts it, or the one to a notice of its end, is about to be written. */
    synchronized void over(String id, long atNanos) {
        Message message = messages.get(id);
        if (message != null && message.overAt.isEmpty()) {
            message.overAt = OptionalLong.of(atNanos);
        }
    }

    /** A line for each call that overtook another message. */
    synchronized List<String> violations() {
        List<String> found = new ArrayList<>();
        for (List<Message> ofKey : keys.values()) {
            for (int later = 1; later < ofKey.size(); later++) {
                for (int earlier = 0; earlier < later; earlier++) {
                    addOvertaking(ofKey.get(earlier), ofKey.get(later), found);
                }
            }
        }
        return found;
    }

    private static void addOvertaking(Message earlier, Message later, List<String> found) {
        for (long call : later.calls) {
            if (earlier.isOpenAt(call)) {
                String over = earlier.overAt.isEmpty() ? "never over"
                        : "over " + TimeUnit.NANOSECONDS.toMillis(earlier.overAt.getAsLong() - call) + " ms later";
                found.add("order: " + later.id + " was called for before " + earlier.id + ", which is " + over);
            }
        }
    }
}
