package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import starlingvalve.net.MessageRecord.Kind;

/** The judge of the soak: records that break each rule, and records that only look like it. */
class MessageRecordTest {
    private static final long LONG_NANOS = 2 * MessageRecord.GRACE_NANOS;

    private static List<String> judged(boolean mayRunOnce, Kind... kinds) {
        MessageRecord record = new MessageRecord("id", mayRunOnce);
        for (int i = 0; i < kinds.length; i++) {
            record.add(i * LONG_NANOS, kinds[i]);
        }
        return record.violations();
    }

    @Test
    void eachRuleIsSeenToBreak() {
        assertEquals(List.of("taken on and never ended"), judged(false, Kind.TAKEN, Kind.CALLED));
        assertEquals(List.of("called after an answer had accepted it"),
                judged(false, Kind.TAKEN, Kind.CALLED, Kind.ACCEPTED, Kind.CALLED));
        assertEquals(List.of("called after its notice was heard"),
                judged(false, Kind.TAKEN, Kind.NOTICED, Kind.KILLED, Kind.CALLED));
        assertEquals(List.of("called after an answer had accepted it"),
                judged(false, Kind.TAKEN, Kind.CALLED, Kind.ACCEPTED, Kind.KILLED, Kind.CALLED), "a kill long after");
        assertEquals(List.of("called again though it may have run"),
                judged(true, Kind.TAKEN, Kind.CALLED, Kind.ACCEPTED_LATE, Kind.CALLED));
        assertEquals(List.of("called again though it may have run"),
                judged(true, Kind.TAKEN, Kind.CALLED, Kind.KILLED, Kind.CALLED, Kind.NOTICED));
    }

    @Test
    void whatOnlyLooksLikeIsNone() {
        assertEquals(List.of(), judged(false, Kind.CALLED), "its client never heard");
        assertEquals(List.of(), judged(false, Kind.TAKEN, Kind.CALLED, Kind.CALLED, Kind.ACCEPTED), "a safe repeat");
        assertEquals(List.of(), judged(true, Kind.TAKEN, Kind.CALLED, Kind.NEVER_RAN, Kind.CALLED, Kind.ACCEPTED));
        MessageRecord killed = new MessageRecord("id", false);
        killed.add(0, Kind.TAKEN);
        killed.add(1, Kind.ACCEPTED);
        killed.add(2, Kind.KILLED);
        killed.add(LONG_NANOS, Kind.CALLED);
        assertEquals(List.of(), killed.violations(), "a kill may come before the answer is read");
        assertEquals(List.of(), judged(false, Kind.TAKEN, Kind.CALLED, Kind.ACCEPTED_LATE), "it is delivered");
        assertEquals(List.of(), judged(false, Kind.TAKEN, Kind.CALLED, Kind.ACCEPTED_LATE, Kind.CALLED),
                "nobody may have read that");
        MessageRecord copy = new MessageRecord("id", false);
        copy.add(0, Kind.TAKEN);
        copy.add(1, Kind.ACCEPTED);
        copy.add(1 + MessageRecord.GRACE_NANOS, Kind.CALLED);
        assertEquals(List.of(), copy.violations(), "it was under way");
    }
}
