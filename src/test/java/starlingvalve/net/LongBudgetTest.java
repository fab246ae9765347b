package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Checks that a message with the largest possible budget does not keep other messages from ending in time. */
class LongBudgetTest extends SenderFixture {
    private static final long BUDGET_MS = 2000;

    private void submitWithBudget(String id, long budgetMs) throws Exception {
        String request = message(id, "plain", "hello").replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + budgetMs);
        assertEquals("HTTP/1.1 202 Accepted", exchange(client(), request).line());
    }

    /** The delivery policy never learns of the second message, so only the deadline watchdog can end it. */
    @Test
    void messageUnknownToThePolicyIsEndedDespiteAnotherWithTheLargestBudget() throws Exception {
        start();
        submitWithBudget("long", Long.MAX_VALUE);
        awaitEmptyJournal();
        beforeEvent = (event, arguments) -> {
            if (event.equals("messageAccepted")) {
                throw new IllegalStateException("injected by the test");
            }
        };
        submitWithBudget("forgotten", BUDGET_MS);
        StubServer.await("the notice arrives", () -> !notices.isEmpty());
    }
}
