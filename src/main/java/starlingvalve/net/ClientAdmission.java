package starlingvalve.net;

import io.netty.channel.Channel;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits the number of connections of clients. A connection counts from when the listener's thread accepts it until its
 * event loop has closed it, so one that is accepted but not yet registered with its event loop counts, too.
 */
final class ClientAdmission {
    private final int maxClients;
    private final AtomicInteger open = new AtomicInteger();
    /** Number of connections between requests; each can be closed to make room for a newer one. */
    private volatile int idleConnections;

    ClientAdmission(int maxClients) {
        this.maxClients = maxClients;
    }

    /**
     * Admits and counts a connection; returns false if it is not admitted. For each connection admitted beyond the
     * limit, an idle one has to be closed. A closed connection holds its file descriptor a little longer, so at most
     * {@link DescriptorBudget#ACCEPT_BURST} connections are admitted beyond the limit.
     */
    boolean admit(Channel client) {
        int replaceable = Math.min(idleConnections, DescriptorBudget.ACCEPT_BURST);
        if (open.incrementAndGet() > maxClients + replaceable) {
            open.decrementAndGet();
            return false;
        }
        client.closeFuture().addListener(closed -> open.decrementAndGet());
        return true;
    }

    /** Sets the number of connections between requests. */
    void updateIdle(int connections) {
        idleConnections = connections;
    }

    /** The number of connections that are admitted and open. */
    int open() {
        return open.get();
    }
}
