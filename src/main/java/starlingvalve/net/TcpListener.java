package starlingvalve.net;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A listening socket that continues to accept after failures. It runs on an event loop of its own: the JDK repeats an
 * accept for as long as the system reports it as aborted, and nothing else may be blocked meanwhile.
 */
final class TcpListener extends NioServerSocketChannel {
    /** Decides which connections are admitted; called on the listener's event loop. */
    interface Admission {
        /** Admits every connection, and ignores failures. */
        Admission ALL = new Admission() {
            @Override
            public boolean admit(Channel accepted) {
                return true;
            }

            @Override
            public void acceptFailed(Exception cause) {
                // Not reported.
            }
        };

        /** Whether this connection is admitted; if not, it is closed without being read. */
        boolean admit(Channel accepted);

        /** Called for the first of several failures to accept in a row. */
        void acceptFailed(Exception cause);
    }

    private final Admission admission;
    /** Whether the latest accept failed. */
    private boolean failing;
    /** Whether the listener closes once all connections in the backlog are accepted. */
    private boolean closing;

    TcpListener(Admission admission) {
        this.admission = admission;
    }

    /**
     * Accepts one connection. A connection that is not admitted is closed before it is registered with the selector:
     * otherwise its file descriptor would not be free at once.
     */
    @Override
    protected int doReadMessages(List<Object> accepted) {
        try {
            SocketChannel socket = javaChannel().accept();
            failing = false;
            if (socket == null) {
                return 0;
            }
            addIfAdmitted(socket, accepted);
            return 1;
        } catch (IOException e) {
            acceptFailed(e);
            return 0;
        }
    }

    private void addIfAdmitted(SocketChannel socket, List<Object> accepted) throws IOException {
        TcpChannel channel;
        try {
            channel = new TcpChannel(this, socket);
        } catch (RuntimeException e) {
            socket.close();
            throw new IOException(e);
        }
        if (admission.admit(channel)) {
            accepted.add(channel);
        } else {
            channel.unsafe().closeForcibly();
        }
    }

    private void acceptFailed(IOException cause) {
        if (!failing) {
            failing = true;
            admission.acceptFailed(cause);
        }
        if (!closing) {
            AcceptRetry.pause(this);
        }
    }

    /**
     * Accepts the connections in the backlog, then closes the listener. While a socket is registered with the selector,
     * its close takes effect only at the next select, and clients that connect until then are reset. So the socket is
     * deregistered first; after one more select, the close takes effect right after the last accept.
     */
    void acceptPendingAndClose() {
        EventLoop acceptor = eventLoop();
        acceptor.execute(() -> {
            if (closing || !isOpen()) {
                return;
            }
            closing = true;
            acceptPending();
            deregister().addListener(deregistered ->
                    AfterPendingReads.execute(acceptor, () -> acceptRestAndClose(acceptor)));
        });
    }

    private void acceptRestAndClose(EventLoop acceptor) {
        acceptPending();
        if (failing) {
            acceptor.schedule(() -> acceptRestAndClose(acceptor), AcceptRetry.RETRY_MS, TimeUnit.MILLISECONDS);
        } else {
            close();
        }
    }

    /** Accepts the connections in the backlog, which would be reset by closing the listener. */
    private void acceptPending() {
        List<Object> accepted = new ArrayList<>();
        while (doReadMessages(accepted) > 0) {
            // Each call accepts one connection.
        }
        accepted.forEach(pipeline()::fireChannelRead);
    }
}
