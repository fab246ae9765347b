package starlingvalve.net;

import io.netty.channel.Channel;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * How many connections of clients there may be. The listener's thread counts them in and the event loop's counts them
 * out, so a connection that is accepted and not yet known to the event loop has its place.
 */
final class ClientAdmission {
    private final int mostClients;
    private final AtomicInteger open = new AtomicInteger();
    /** Connections between requests, each of which can make room for a newer one. */
    private volatile int idle;

    ClientAdmission(int mostClients) {
        this.mostClients = mostClients;
    }

    /**
     * Counts a connection in, if it can be had beside the others. Beyond the bound each needs an idle one that makes
     * room; that one holds its descriptor a little longer, so there may be only a few such.
     */
    boolean admit(Channel client) {
        int makingRoom = Math.min(idle, DescriptorBudget.ACCEPT_BURST);
        if (open.incrementAndGet() > mostClients + makingRoom) {
            open.decrementAndGet();
            return false;
        }
        client.closeFuture().addListener(closed -> open.decrementAndGet());
        return true;
    }

    /** So many connections are between requests now. */
    void idle(int connections) {
        idle = connections;
    }

    /** Connections that are admitted and open. */
    int open() {
        return open.get();
    }
}
