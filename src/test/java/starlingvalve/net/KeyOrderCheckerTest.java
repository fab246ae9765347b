package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks which calls {@link KeyOrderChecker} reports as out of order and which it excuses. */
class KeyOrderCheckerTest {
    private final KeyOrderChecker checker = new KeyOrderChecker();

    @BeforeEach
    void submitTwo() {
        checker.submitted("key", "first");
        checker.submitted("key", "second");
    }

    @Test
    void callBeforeEndOfEarlierMessageIsViolation() {
        checker.accepted("first");
        checker.called("second", 10);
        checker.ended("first", 11);
        assertEquals(List.of("order: second was sent before first, which ended 0 ms later"),
                checker.violations());
    }

    @Test
    void messageThatNeverEndsBlocksItsKey() {
        checker.accepted("first");
        checker.called("second", 10);
        assertEquals(List.of("order: second was sent before first, which never ended"), checker.violations());
    }

    @Test
    void callAtTheMomentOfTheEndIsInOrder() {
        checker.accepted("first");
        checker.ended("first", 10);
        checker.called("second", 10);
        assertEquals(List.of(), checker.violations());
    }

    @Test
    void unacceptedMessageBlocksNothing() {
        checker.called("second", 10);
        assertEquals(List.of(), checker.violations());
    }

    @Test
    void otherKeysAreNotBlocked() {
        checker.accepted("first");
        checker.submitted("other key", "third");
        checker.called("third", 10);
        assertEquals(List.of(), checker.violations());
    }
}
