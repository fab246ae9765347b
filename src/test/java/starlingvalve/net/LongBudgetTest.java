package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** A client that names the longest time there is takes nothing from the messages of others. */
class LongBudgetTest extends SenderFixture {
    private static final long BUDGET_MS = 2000;

    private void handIn(String id, long budgetMs) throws Exception {
        String request = message(id, "plain", "hello").replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + budgetMs);
        assertEquals("HTTP/1.1 202 Accepted", ask(client(), request).line());
    }

    @Test
    void aMessageThatTheModuleWasNotToldOfIsEndedThoughAnotherHasTheLongestTime() throws Exception {
        start();
        handIn("long", Long.MAX_VALUE);
        awaitNothingHeld();
        beforeEvent = (event, arguments) -> {
            if (event.equals("messageAccepted")) {
                throw new IllegalStateException("a fault of the test's");
            }
        };
        handIn("forgotten", BUDGET_MS);
        StubServer.await("the notice", () -> !notices.isEmpty());
    }
}
