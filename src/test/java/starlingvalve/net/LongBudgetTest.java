package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Guards against a message with the largest possible budget keeping other messages from being ended in time. */
class LongBudgetTest extends SenderFixture {
    private static final long BUDGET_MS = 2000;

    private void handIn(String id, long budgetMs) throws Exception {
        String request = message(id, "plain", "hello").replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + budgetMs);
        assertEquals("HTTP/1.1 202 Accepted", exchange(client(), request).line());
    }

    /** The delivery policy never learns of the second message, so only the deadline watchdog can end it. */
    @Test
    void messageUnknownToThePolicyIsEndedDespiteAnotherWithTheLargestBudget() throws Exception {
        start();
        handIn("long", Long.MAX_VALUE);
        awaitEmptyJournal();
        beforeEvent = (event, arguments) -> {
            if (event.equals("messageAccepted")) {
                throw new IllegalStateException("injected by the test");
            }
        };
        handIn("forgotten", BUDGET_MS);
        StubServer.await("the notice", () -> !notices.isEmpty());
    }
}
