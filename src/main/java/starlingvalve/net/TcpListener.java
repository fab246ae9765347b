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
 * A listening socket that goes on accepting through failures. It runs on an event loop of its own: the JDK repeats an
 * accept that the system reports as aborted for as long as that lasts, which must hold up nothing else.
 */
final class TcpListener extends NioServerSocketChannel {
    /** What is done with connections; called on the listener's event loop. */
    interface Admission {
        /** Admits everything. */
        Admission ALL = new Admission() {
            @Override
            public boolean admit(Channel accepted) {
                return true;
            }

            @Override
            public void acceptFailed(Exception cause) {
                // Nobody asks.
            }
        };

        /** Whether there is room for one more connection; one without is closed unread. */
        boolean admit(Channel accepted);

        /** Accepting begins to fail. */
        void acceptFailed(Exception cause);
    }

    private final Admission admission;
    private boolean failing;
    /** The listener closes once all that waits is accepted. */
    private boolean closing;

    TcpListener(Admission admission) {
        this.admission = admission;
    }

    /**
     * Accepts one connection. One that is not admitted is closed before the selector knows it: only so is its
     * descriptor free again at once.
     */
    @Override
    protected int doReadMessages(List<Object> accepted) {
        try {
            SocketChannel socket = javaChannel().accept();
            failing = false;
            if (socket == null) {
                return 0;
            }
            add(socket, accepted);
            return 1;
        } catch (IOException e) {
            acceptFailed(e);
            return 0;
        }
    }

    private void add(SocketChannel socket, List<Object> accepted) throws IOException {
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
     * Accepts every connection that has come, then closes. As long as the selector knows the socket, closing it
     * takes effect only with the next select, and what connects until then is reset. So the selector forgets it
     * first, and one more select later nothing lies between the last accept and the close.
     */
    void acceptPendingAndClose() {
        EventLoop acceptor = eventLoop();
        acceptor.execute(() -> {
            if (closing || !isOpen()) {
                return;
            }
            closing = true;
            acceptAll();
            deregister().addListener(deregistered ->
                    AfterPendingReads.next(acceptor, () -> acceptRestAndClose(acceptor)));
        });
    }

    private void acceptRestAndClose(EventLoop acceptor) {
        acceptAll();
        if (failing) {
            acceptor.schedule(() -> acceptRestAndClose(acceptor), AcceptRetry.RETRY_MS, TimeUnit.MILLISECONDS);
        } else {
            close();
        }
    }

    /** Takes what waits to be accepted, which closing would reset. */
    private void acceptAll() {
        List<Object> accepted = new ArrayList<>();
        while (doReadMessages(accepted) > 0) {
            // Each call takes one.
        }
        accepted.forEach(pipeline()::fireChannelRead);
    }
}
