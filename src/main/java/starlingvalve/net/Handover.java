package starlingvalve.net;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The predecessor's side of an upgrade: waits for a successor process, sends it the state of this process, and forwards
 * later events to it. Until the successor reports that it owns the journal, the local action of each forwarded event is
 * kept, and runs here if the successor fails.
 */
final class Handover {
    /** What the sender does in each step of a handover. */
    interface Callbacks {
        /** Whether this process is able to hand over now. */
        boolean canHandOver();

        /**
         * Stops making decisions. The callback receives the state once it is complete and the journal and its lock are
         * released, or nothing if the state can't be collected; then this process remains the owner.
         */
        void freeze(Consumer<Optional<ObjectNode>> callback);

        /**
         * The successor failed before it owned the journal: takes the journal back and resumes making decisions. On an
         * exception it is called again later.
         */
        void unfreeze() throws IOException;

        /** The successor owns the journal; events that still occur in this process are forwarded to it. */
        void handedOver();

        /** A successor, which need not be taking over yet, reports a reload of the configuration. */
        void configurationReloaded(JsonNode line);

        /** The successor cancels an attempt whose call is in flight in this process. */
        void cancel(long message, int attempt);
    }

    private enum Phase {
        /** This process owns the journal and makes decisions. */
        OWNING,
        /** No decisions are made any more, and the state is being collected. */
        FREEZING,
        /** The state has been sent to the successor, which may own the journal from now on. */
        LEAVING,
        /** The successor does not become the owner, and this process is taking the journal back. */
        RETURNING,
        /** The successor owns the journal. */
        LEFT
    }

    /** Shortest time from a failed handover to the next one, since each of them stops all decisions for a moment. */
    private static final long HANDOVER_RETRY_MS = 500;
    private static final long LISTEN_RETRY_MS = 500;
    /** Interval between attempts to take the journal back. */
    private static final long RESUME_RETRY_MS = 20;

    private final EventLoop acceptor;
    private final EventLoop loop;
    private final Callbacks callbacks;
    private long nextHandoverNanos = System.nanoTime();
    private Phase phase = Phase.OWNING;
    private Path path;
    private Optional<Channel> listener = Optional.empty();
    private boolean processEnding;
    /** Connection to the successor, or null. */
    private HandoverConnection connection;
    private long requestCount;
    /** Callbacks of requests to the successor, by request number. */
    private final Map<Long, Consumer<JsonNode>> unanswered = new HashMap<>();
    /** Local actions of the events that were forwarded while the successor was not yet the owner. */
    private final List<Runnable> localActions = new ArrayList<>();

    /** Accepts connections on the loop that also serves them; for tests. */
    Handover(EventLoop loop, Callbacks callbacks) {
        this(loop, loop, callbacks);
    }

    /** {@code acceptor} only accepts connections; {@code loop} serves them. */
    Handover(EventLoop acceptor, EventLoop loop, Callbacks callbacks) {
        this.acceptor = acceptor;
        this.loop = loop;
        this.callbacks = callbacks;
    }

    /** Starts to listen for a successor. A socket file that an earlier process left at this path is deleted. */
    void listen(Path socketPath) {
        path = socketPath;
        listen();
    }

    private void listen() {
        try {
            Files.deleteIfExists(path);
        } catch (IOException e) {
            Log.line("can't delete the handover socket of an earlier process: " + e.getMessage());
        }
        ChannelFuture bound = new ServerBootstrap().group(acceptor, loop).channel(NioServerDomainSocketChannel.class)
                .handler(new AcceptRetry())
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new ReadBuffers(ReadBuffers.LARGE_BYTES))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        HandoverConnection[] created = new HandoverConnection[1];
                        created[0] = new HandoverConnection(channel, node -> received(created[0], node),
                                () -> connectionClosed(created[0]));
                    }
                })
                .bind(UnixDomainSocketAddress.of(path));
        EventLoopListeners.whenDone(loop, bound, this::listenerBound);
    }

    private void listenerBound(ChannelFuture bound) {
        if (!bound.isSuccess()) {
            Log.line("can't listen for a successor yet: " + bound.cause().getMessage());
            loop.schedule(this::retryListen, LISTEN_RETRY_MS, TimeUnit.MILLISECONDS);
        } else if (processEnding || phase != Phase.OWNING) {
            bound.channel().close();
        } else {
            listener = Optional.of(bound.channel());
        }
    }

    private void retryListen() {
        if (!processEnding && phase == Phase.OWNING) {
            listen();
        }
    }

    /** Stops listening because this process ends. */
    void close() {
        processEnding = true;
        closeListener();
    }

    /** Closes the listener, which also deletes the file at its path. */
    private void closeListener() {
        listener.ifPresent(Channel::close);
        listener = Optional.empty();
    }

    /** Whether events of this process are forwarded to the successor. */
    boolean isForwarding() {
        return phase == Phase.LEAVING || phase == Phase.RETURNING || phase == Phase.LEFT;
    }

    /** Whether the handover is complete: the successor owns the journal. */
    boolean isHandedOver() {
        return phase == Phase.LEFT;
    }

    /** Returns the number of requests that the successor has not answered. */
    int unanswered() {
        return unanswered.size();
    }

    /** Forwards an event to the successor. If the successor fails before it owns the journal, the action runs. */
    void forward(ObjectNode line, Runnable localAction) {
        if (phase == Phase.LEAVING || phase == Phase.RETURNING) {
            localActions.add(localAction);
        }
        if (connection != null) {
            connection.send(line);
        }
    }

    /**
     * Sends a request to the successor. The callback receives its reply, or a missing node if the successor has ended.
     * If the successor fails before it owns the journal, the local action runs instead of the callback.
     */
    void forwardRequest(ObjectNode line, Consumer<JsonNode> callback, Runnable localAction) {
        if (connection == null && phase == Phase.LEFT) {
            callback.accept(HandoverConnection.JSON.missingNode());
            return;
        }
        unanswered.put(++requestCount, callback);
        forward(line.put("n", requestCount), localAction);
    }

    private void received(HandoverConnection from, JsonNode node) {
        String kind = node.path("do").asText();
        if (kind.equals("handover")) {
            beginHandover(from);
        } else if (kind.equals(HandoverConnection.RELOADED)) {
            callbacks.configurationReloaded(node);
        } else if (from != connection) {
            from.close();
        } else if (kind.equals("own") && phase == Phase.LEAVING) {
            phase = Phase.LEFT;
            localActions.clear();
            callbacks.handedOver();
        } else if (kind.equals("declined")) {
            returnOwnership();
        } else if (kind.equals("cancel")) {
            callbacks.cancel(node.path("message").asLong(), node.path("attempt").asInt());
        } else if (kind.equals("reply")) {
            Consumer<JsonNode> callback = unanswered.remove(node.path("n").asLong());
            if (callback != null) {
                callback.accept(node);
            }
        }
    }

    private void beginHandover(HandoverConnection from) {
        if (phase != Phase.OWNING || System.nanoTime() - nextHandoverNanos < 0 || !callbacks.canHandOver()) {
            from.close();
            return;
        }
        Log.line("a new version asks to take over");
        phase = Phase.FREEZING;
        connection = from;
        callbacks.freeze(state -> state.ifPresentOrElse(this::sendState, this::cancelHandover));
    }

    private void sendState(ObjectNode state) {
        phase = Phase.LEAVING;
        // Closed before the state is sent: closing deletes the file at the path, where the successor will listen.
        closeListener();
        if (connection == null) {
            returnOwnership();
        } else {
            connection.send(state);
        }
    }

    /** Remains the owner because the state could not be collected; the successor may ask again. */
    private void cancelHandover() {
        Log.line("the state can't be collected for a handover; this process remains the owner");
        phase = Phase.OWNING;
        nextHandoverNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HANDOVER_RETRY_MS);
        closeConnection();
    }

    /** Closes the connection; then the successor asks again, or starts alone if no other process has the lock. */
    private void closeConnection() {
        if (connection != null) {
            HandoverConnection closing = connection;
            connection = null;
            closing.close();
        }
    }

    private void connectionClosed(HandoverConnection closed) {
        if (closed != connection) {
            return;
        }
        connection = null;
        if (phase == Phase.LEAVING) {
            returnOwnership();
        } else if (phase == Phase.LEFT) {
            List<Consumer<JsonNode>> pending = new ArrayList<>(unanswered.values());
            unanswered.clear();
            pending.forEach(
                    callback -> FaultIsolation.run(() -> callback.accept(HandoverConnection.JSON.missingNode())));
        }
    }

    /** Starts to take the journal back from a successor that does not become its owner. */
    private void returnOwnership() {
        if (phase == Phase.LEAVING) {
            phase = Phase.RETURNING;
            resumeOwnership();
        }
    }

    /** Takes the journal back, with retries, and runs the local actions of all events that were forwarded. */
    private void resumeOwnership() {
        try {
            callbacks.unfreeze();
        } catch (IOException e) {
            // The successor may still be ending, and hold the lock until then.
            loop.schedule(this::resumeOwnership, RESUME_RETRY_MS, TimeUnit.MILLISECONDS);
            return;
        }
        Log.line("the new version failed before it owned; this one goes on");
        phase = Phase.OWNING;
        closeConnection();
        nextHandoverNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HANDOVER_RETRY_MS);
        listen();
        unanswered.clear();
        List<Runnable> pendingActions = new ArrayList<>(localActions);
        localActions.clear();
        pendingActions.forEach(FaultIsolation::run);
    }
}
