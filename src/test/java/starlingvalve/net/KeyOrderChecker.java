package starlingvalve.net;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Checks the order of messages with the same ordering key, by what clients, endpoints and the platform observed: no
 * call carries a message while a message of its key that was accepted earlier has not ended. All times are {@link
 * System#nanoTime}.
 */
final class KeyOrderChecker {
    private static final class Message {
        final String id;
        final List<Long> callNanos = new ArrayList<>();
        boolean accepted;
        OptionalLong endNanos = OptionalLong.empty();

        Message(String id) {
            this.id = id;
        }

        /** Whether messages of the key that were submitted later may not be sent at this time. */
        boolean blocksAt(long atNanos) {
            return accepted && (endNanos.isEmpty() || endNanos.getAsLong() > atNanos);
        }
    }

    /** The messages of each key, in the order of their submission. */
    private final Map<String, List<Message>> messagesByKey = new LinkedHashMap<>();
    private final Map<String, Message> messagesById = new LinkedHashMap<>();

    /**
     * Records the submission of a message. A client submits it only when the submission of the previous message of the
     * key was answered or can get no answer any more.
     */
    synchronized void submitted(String key, String id) {
        Message message = new Message(id);
        messagesById.put(id, message);
        messagesByKey.computeIfAbsent(key, unused -> new ArrayList<>()).add(message);
    }

    /** Records that the client has received the 202 for the message. */
    synchronized void accepted(String id) {
        messagesById.get(id).accepted = true;
    }

    /** Records that a call with the message has arrived completely at an endpoint. Unknown ids are ignored. */
    synchronized void called(String id, long atNanos) {
        if (messagesById.containsKey(id)) {
            messagesById.get(id).callNanos.add(atNanos);
        }
    }

    /**
     * Records that the answer which delivers the message, or the one which acknowledges the notice of its end, is about
     * to be written. Only the first end counts; unknown ids are ignored.
     */
    synchronized void ended(String id, long atNanos) {
        Message message = messagesById.get(id);
        if (message != null && message.endNanos.isEmpty()) {
            message.endNanos = OptionalLong.of(atNanos);
        }
    }

    /** Describes each call that overtook an earlier message, one line each. */
    synchronized List<String> violations() {
        List<String> violations = new ArrayList<>();
        for (List<Message> messagesOfKey : messagesByKey.values()) {
            for (int later = 1; later < messagesOfKey.size(); later++) {
                for (int earlier = 0; earlier < later; earlier++) {
                    addOvertakingCalls(messagesOfKey.get(earlier), messagesOfKey.get(later), violations);
                }
            }
        }
        return violations;
    }

    private static void addOvertakingCalls(Message earlier, Message later, List<String> violations) {
        for (long calledNanos : later.callNanos) {
            if (earlier.blocksAt(calledNanos)) {
                String end = earlier.endNanos.isEmpty() ? "never ended"
                        : "ended " + TimeUnit.NANOSECONDS.toMillis(earlier.endNanos.getAsLong() - calledNanos)
                                + " ms later";
                violations.add("order: " + later.id + " was sent before " + earlier.id + ", which " + end);
            }
        }
    }
}
