package starlingvalve;

import java.util.Optional;
import java.util.function.DoubleSupplier;

/**
 * Decides how long a connection may be idle and still be used. Guards against connections that are dropped silently:
 * after losses on idle ones at two destinations, connections that were idle nearly as long are closed before the next
 * call, whatever drops them, until a connection idle for as long delivers a call. Times are in milliseconds.
 */
final class IdleConnectionTrust {
    /** A call, as far as its connection is concerned. */
    interface Call {
        /** How long its connection was idle before the call; 0 if it was not. */
        double idleMs();

        /** Whether it was reported as lost because no answer came, although one may still come. */
        boolean isOverdue();

        /** The number of the destination. */
        long destination();
    }

    /** A connection that is unused for this long counts as idle. */
    private static final double CONNECTION_IDLE_MS = 100;
    /** Share of a lost connection's idle time beyond which others are not trusted. */
    private static final double TRUSTED_IDLE_SHARE = 0.25;
    /** How long a loss counts. */
    private static final double LOSS_MEMORY_MS = 30_000;

    private final double keepAliveMs;
    private final DoubleSupplier clock;
    /** The lost call with the shortest idle time. */
    private Optional<Call> suspect = Optional.empty();
    private double lastLossAt = Double.NEGATIVE_INFINITY;
    private boolean confirmed;

    /** Connections are closed once they have been idle for {@code keepAliveMs}. */
    IdleConnectionTrust(double keepAliveMs, DoubleSupplier clock) {
        this.keepAliveMs = keepAliveMs;
        this.clock = clock;
    }

    /**
     * Returns the idle time of the connection that a new call uses: 0 if it is new, or not idle.
     *
     * @param idleMs the time since the last use of an idle connection to the endpoint
     * @param closeIdle closes the endpoint's idle connections, if they are not trusted
     */
    double idleMsForCall(double idleMs, Runnable closeIdle) {
        if (clock.getAsDouble() > lastLossAt + LOSS_MEMORY_MS) {
            suspect = Optional.empty();
            confirmed = false;
        }
        if (idleMs < CONNECTION_IDLE_MS || idleMs >= keepAliveMs) {
            return 0;
        }
        if (confirmed && suspect.filter(s -> idleMs > s.idleMs() * TRUSTED_IDLE_SHARE).isPresent()) {
            closeIdle.run();
            return 0;
        }
        return idleMs;
    }

    void callLost(Call call) {
        if (call.idleMs() > 0) {
            confirmed |= suspect.filter(s -> s.destination() != call.destination()).isPresent();
            suspect = suspect.filter(s -> s.idleMs() < call.idleMs()).or(() -> Optional.of(call));
            lastLossAt = clock.getAsDouble();
        }
    }

    void callDelivered(Call call) {
        suspect = suspect.filter(s -> s != call && (call.isOverdue() || call.idleMs() < s.idleMs()));
        confirmed &= suspect.isPresent();
    }
}
