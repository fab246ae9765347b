package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The judge of a key's order, with records that break the rule and such that only look like it. */
class KeyOrderRecordTest {
    private final KeyOrderRecord record = new KeyOrderRecord();

    @BeforeEach
    void handInTwo() {
        record.handedIn("key", "first");
        record.handedIn("key", "second");
    }

    @Test
    void aCallBeforeTheEarlierMessageIsOverBreaksTheOrder() {
        record.taken("first");
        record.called("second", 10);
        record.over("first", 11);
        assertEquals(List.of("order: second was called for before first, which is over 0 ms later"),
                record.violations());
    }

    @Test
    void aMessageThatIsNeverOverHoldsItsKey() {
        record.taken("first");
        record.called("second", 10);
        assertEquals(List.of("order: second was called for before first, which is never over"), record.violations());
    }

    @Test
    void aCallInTheMomentOfTheEndKeepsTheOrder() {
        record.taken("first");
        record.over("first", 10);
        record.called("second", 10);
        assertEquals(List.of(), record.violations());
    }

    @Test
    void aMessageThatNobodyHeardOfHoldsNothing() {
        record.called("second", 10);
        assertEquals(List.of(), record.violations());
    }

    @Test
    void anotherKeyIsFree() {
        record.taken("first");
        record.handedIn("other key", "third");
        record.called("third", 10);
        assertEquals(List.of(), record.violations());
    }
}
