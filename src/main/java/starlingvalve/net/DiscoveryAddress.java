package starlingvalve.net;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.Optional;
import starlingvalve.InvalidInputException;

/**
 * Decides which address of discovery's agent is in effect. The address given at the start holds until the
 * configuration is reloaded; from then on the newest reading of a configuration file holds. During an upgrade the two
 * processes of a sender exchange their readings, so that both use the same address whichever of them got the signal.
 */
final class DiscoveryAddress {
    private static final String ADDRESS = "address";
    private static final String READ_AT = "readAtMs";

    /**
     * The address found by one reading of a configuration file.
     *
     * @param address the address of discovery's agent
     * @param readAtMs when the reading began, by {@link TimeSource#monotonicMs}, which all processes of a boot share
     */
    record Reading(InetSocketAddress address, long readAtMs) {
        /** Adds this reading to a line for the other process. */
        ObjectNode writeTo(ObjectNode line) {
            return line.put(ADDRESS, Endpoints.hostPort(address)).put(READ_AT, readAtMs);
        }

        /** Reads the reading in a line of the other process; nothing if the line has none, as from an older version. */
        static Optional<Reading> readFrom(JsonNode line) {
            try {
                return line.has(ADDRESS) && line.path(READ_AT).isIntegralNumber()
                        ? Optional.of(new Reading(Config.address(line.path(ADDRESS).asText()),
                                line.path(READ_AT).asLong()))
                        : Optional.empty();
            } catch (InvalidInputException e) {
                Log.line("the other process's address of discovery can't be read: " + e.getMessage());
                return Optional.empty();
            }
        }
    }

    private InetSocketAddress current;
    private Optional<Reading> newest;
    private boolean reloaded;

    /**
     * Starts with the address of the start.
     *
     * @param initial the address in effect, which an environment variable may have set
     * @param atStart the reading of the configuration file at the start, if the file has an address
     */
    DiscoveryAddress(InetSocketAddress initial, Optional<Reading> atStart) {
        this.current = initial;
        this.newest = atStart;
    }

    InetSocketAddress current() {
        return current;
    }

    /** Returns the newest reading once the configuration has been reloaded, by this process or another one. */
    Optional<Reading> reload() {
        return reloaded ? newest : Optional.empty();
    }

    /** Whether the configuration file had this address when it was last read. */
    boolean isNewest(InetSocketAddress address) {
        return newest.filter(reading -> reading.address().equals(address)).isPresent();
    }

    /** Records a reload, and returns whether its reading is the newest one, so that it holds from now on. */
    boolean reloaded(Reading reading) {
        boolean isNewest = newest.isEmpty() || newest.get().readAtMs() <= reading.readAtMs();
        if (isNewest) {
            newest = Optional.of(reading);
        }
        reloaded = true;
        current = newest.get().address();
        return isNewest;
    }
}
