package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import org.junit.jupiter.api.Test;

/** Checks the division of the descriptors with limits that the platform grants, and with extreme ones. */
class DescriptorBudgetTest {
    private static final int MIN_GRANTED_LIMIT = 256;
    private static final int MAX_GRANTED_LIMIT = 1024;
    private static final int USUAL_OPEN_AT_START = 20;
    private static final int USUAL_CALLS = 10;

    private static DescriptorBudget divide(int limit) {
        return DescriptorBudget.divide(limit, USUAL_OPEN_AT_START, USUAL_CALLS);
    }

    private static int total(DescriptorBudget budget, int calls) {
        return budget.reserved() + budget.clients() + calls + budget.idleEndpoints();
    }

    @Test
    void everyGrantedLimitSufficesForAllSharesAndAllOpenRequestsOfClients() {
        for (int limit = MIN_GRANTED_LIMIT; limit <= MAX_GRANTED_LIMIT; limit++) {
            DescriptorBudget budget = divide(limit);
            assertTrue(total(budget, USUAL_CALLS) <= limit, budget.toString());
            assertTrue(budget.clients() * 3 >= limit, "clients get at least a third: " + budget);
            assertTrue(budget.idleEndpoints() > USUAL_CALLS,
                    "idle connections have room beyond all usual calls: " + budget);
        }
    }

    @Test
    void allUnreservedDescriptorsAreUsed() {
        for (int limit = MIN_GRANTED_LIMIT; limit <= MAX_GRANTED_LIMIT; limit++) {
            assertEquals(limit, total(divide(limit), USUAL_CALLS));
        }
    }

    @Test
    void callsTakePrecedenceOverClientsAndIdleConnections() {
        int calls = 120;
        DescriptorBudget budget = DescriptorBudget.divide(MIN_GRANTED_LIMIT, USUAL_OPEN_AT_START, calls);
        assertEquals(MIN_GRANTED_LIMIT, total(budget, calls));
        assertEquals(1, budget.idleEndpoints());
    }

    @Test
    void tooLowLimitLeavesOneClientAndOneIdleConnection() {
        for (int limit : new int[] {Integer.MIN_VALUE, -1, 0, 1, 64, divide(MIN_GRANTED_LIMIT).reserved()}) {
            DescriptorBudget budget = divide(limit);
            assertEquals(1, budget.clients(), budget.toString());
            assertEquals(1, budget.idleEndpoints(), budget.toString());
        }
        DescriptorBudget noRoomForCalls =
                DescriptorBudget.divide(MIN_GRANTED_LIMIT, USUAL_OPEN_AT_START, Integer.MAX_VALUE);
        assertEquals(1, noRoomForCalls.clients());
        assertEquals(1, noRoomForCalls.idleEndpoints());
    }

    @Test
    void largestLimitDoesNotOverflow() {
        DescriptorBudget budget = divide(Integer.MAX_VALUE);
        assertTrue(budget.clients() > Integer.MAX_VALUE / 3, budget.toString());
        assertTrue(budget.idleEndpoints() > Integer.MAX_VALUE / 3, budget.toString());
    }

    @Test
    void processWithMoreOpenFilesAtStartReservesMore() {
        DescriptorBudget few = DescriptorBudget.divide(MIN_GRANTED_LIMIT, 0, USUAL_CALLS);
        DescriptorBudget many = DescriptorBudget.divide(MIN_GRANTED_LIMIT, 60, USUAL_CALLS);
        assertTrue(many.reserved() > few.reserved(), few + ", " + many);
        assertEquals(MIN_GRANTED_LIMIT, total(many, USUAL_CALLS));
    }

    @Test
    void openDescriptorsAreCounted() throws IOException {
        int before = DescriptorBudget.openDescriptors();
        ServerSocket[] opened = new ServerSocket[50];
        for (int i = 0; i < opened.length; i++) {
            opened[i] = new ServerSocket(0);
        }
        int after = DescriptorBudget.openDescriptors();
        for (ServerSocket socket : opened) {
            socket.close();
        }
        assertTrue(before > 0);
        assertTrue(after >= before + opened.length / 2, "sockets of other tests may close in the meantime: " + after);
    }
}
