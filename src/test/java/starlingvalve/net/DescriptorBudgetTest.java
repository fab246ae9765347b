package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import org.junit.jupiter.api.Test;

/** The division of the descriptors, under limits that the platform grants and under odd ones. */
class DescriptorBudgetTest {
    private static final int LEAST_GRANTED = 256;
    private static final int MOST_GRANTED = 1024;
    private static final int USUAL_AT_START = 20;
    private static final int USUAL_CALLS = 10;

    private static DescriptorBudget divide(int limit) {
        return DescriptorBudget.divide(limit, USUAL_AT_START, USUAL_CALLS);
    }

    private static int total(DescriptorBudget budget, int calls) {
        return budget.reserved() + budget.clients() + calls + budget.idleEndpoints();
    }

    @Test
    void everyGrantedLimitHoldsAllSharesAndTheRequestsThatClientsMayHaveOpen() {
        for (int limit = LEAST_GRANTED; limit <= MOST_GRANTED; limit++) {
            DescriptorBudget budget = divide(limit);
            assertTrue(total(budget, USUAL_CALLS) <= limit, budget.toString());
            assertTrue(budget.clients() * 3 >= limit, "a third is the clients': " + budget);
            assertTrue(budget.idleEndpoints() > USUAL_CALLS, "a connection may wait for its next call: " + budget);
        }
    }

    @Test
    void whatIsNotReservedIsUsedToTheLast() {
        for (int limit = LEAST_GRANTED; limit <= MOST_GRANTED; limit++) {
            assertEquals(limit, total(divide(limit), USUAL_CALLS));
        }
    }

    @Test
    void callsComeBeforeClientsAndIdleConnections() {
        int calls = 120;
        DescriptorBudget budget = DescriptorBudget.divide(LEAST_GRANTED, USUAL_AT_START, calls);
        assertEquals(LEAST_GRANTED, total(budget, calls));
        assertEquals(1, budget.idleEndpoints());
    }

    @Test
    void underALimitThatIsTooLowOneOfEachIsLeft() {
        for (int limit : new int[] {Integer.MIN_VALUE, -1, 0, 1, 64, divide(LEAST_GRANTED).reserved()}) {
            DescriptorBudget budget = divide(limit);
            assertEquals(1, budget.clients(), budget.toString());
            assertEquals(1, budget.idleEndpoints(), budget.toString());
        }
        DescriptorBudget noRoomForCalls = DescriptorBudget.divide(LEAST_GRANTED, USUAL_AT_START, Integer.MAX_VALUE);
        assertEquals(1, noRoomForCalls.clients());
        assertEquals(1, noRoomForCalls.idleEndpoints());
    }

    @Test
    void noLimitAtAllOverflowsNothing() {
        DescriptorBudget budget = divide(Integer.MAX_VALUE);
        assertTrue(budget.clients() > Integer.MAX_VALUE / 3, budget.toString());
        assertTrue(budget.idleEndpoints() > Integer.MAX_VALUE / 3, budget.toString());
    }

    @Test
    void moreIsReservedForAProcessThatStartsWithMore() {
        DescriptorBudget few = DescriptorBudget.divide(LEAST_GRANTED, 0, USUAL_CALLS);
        DescriptorBudget many = DescriptorBudget.divide(LEAST_GRANTED, 60, USUAL_CALLS);
        assertTrue(many.reserved() > few.reserved(), few + ", " + many);
        assertEquals(LEAST_GRANTED, total(many, USUAL_CALLS));
    }

    @Test
    void whatIsOpenNowIsCounted() throws IOException {
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
        assertTrue(after >= before + opened.length / 2, "other tests' sockets may close meanwhile: " + after);
    }
}
