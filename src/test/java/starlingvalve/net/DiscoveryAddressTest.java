package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Which address of discovery's agent holds, after reloads in either process of an upgrade. */
class DiscoveryAddressTest {
    private static final InetSocketAddress ENVIRONMENT = new InetSocketAddress("127.0.0.1", 1);
    private static final InetSocketAddress FIRST = new InetSocketAddress("127.0.0.1", 2);
    private static final InetSocketAddress SECOND = new InetSocketAddress("127.0.0.1", 3);

    private static DiscoveryAddress startedAt(long readAtMs) {
        return new DiscoveryAddress(ENVIRONMENT, Optional.of(new DiscoveryAddress.Reading(FIRST, readAtMs)));
    }

    @Test
    void addressOfStartHoldsUntilReload() {
        DiscoveryAddress address = startedAt(10);
        assertEquals(ENVIRONMENT, address.current());
        assertEquals(Optional.empty(), address.reload(), "a start is no reload, which the other process would adopt");
        address.reloaded(new DiscoveryAddress.Reading(SECOND, 11));
        assertEquals(SECOND, address.current());
    }

    /** A reload that the other process reports late must not undo a newer one of this process. */
    @Test
    void olderReloadDoesNotReplaceNewerOne() {
        DiscoveryAddress address = startedAt(10);
        assertTrue(address.reloaded(new DiscoveryAddress.Reading(SECOND, 12)));
        assertFalse(address.reloaded(new DiscoveryAddress.Reading(FIRST, 11)));
        assertEquals(SECOND, address.current());
    }

    /** A process started after a reload may have the former address in its environment, but reads the new file. */
    @Test
    void fileReadAfterReloadOfOtherProcessHolds() {
        DiscoveryAddress address = startedAt(10);
        address.reloaded(new DiscoveryAddress.Reading(SECOND, 9));
        assertEquals(FIRST, address.current());
    }

    @Test
    void readingSurvivesItsLine() {
        DiscoveryAddress.Reading reading = new DiscoveryAddress.Reading(SECOND, 12);
        ObjectNode line = reading.writeTo(HandoverConnection.line(HandoverConnection.RELOADED));
        assertEquals(Optional.of(reading), DiscoveryAddress.Reading.readFrom(line));
        assertEquals(Optional.empty(), DiscoveryAddress.Reading.readFrom(line.put("address", "somewhere")));
        assertEquals(Optional.empty(), DiscoveryAddress.Reading.readFrom(HandoverConnection.line("state")));
    }
}
