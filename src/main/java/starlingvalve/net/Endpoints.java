package starlingvalve.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import starlingvalve.DeliveryPolicy.Outcome;
import starlingvalve.net.AttemptOutcomes.Interruption;

/**
 * Sends calls to endpoints and pools the connections to them. A connection carries one exchange (request and answer)
 * at a time and is then reused, the most recently idle one first. A turn is a group of events that are handled together
 * before anything is sent; the calls of one turn to one endpoint share an exchange, up to the batch size of its kind.
 * Each call ends exactly once, and {@link Callbacks#ended} never runs during {@link #call}, {@link #flush} or
 * {@link #cancel}. All methods are called on the event loop.
 */
final class Endpoints {
    /** Idle connections are closed after this share of the time after which the endpoint closes them itself. */
    private static final double KEEP_ALIVE_SHARE = 0.8;
    private static final long SWEEP_INTERVAL_MS = 500;
    /** Weight of the newest gap between two exchanges in the moving average of these gaps. */
    private static final double GAP_WEIGHT = 0.25;
    /** If bytes of an answer were read within this time, more of it is assumed to have arrived. */
    private static final long MAX_READ_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    /** A time-out is put off for at most this time while such an answer is read. */
    private static final long MAX_READ_EXTENSION_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    /** Longest body of a request, and of an answer that is read: the protocol's limit for both. */
    private static final int MAX_BODY_BYTES = 64 * 1024;

    /** Decisions and events that the owner of the calls provides and receives; called on the event loop. */
    interface Callbacks {
        /** Whether a call may still be sent, by all that is known now. */
        boolean mayBeginAttempt(Call call);

        /** Runs a task once the list of endpoints is current enough to send calls by it: immediately if it is now. */
        default void runWhenListIsCurrent(Runnable task) {
            task.run();
        }

        /** Called right before the first byte of a call is written; returns whether the call may be written. */
        boolean callStarting(Call call);

        /**
         * Called once for each call, when it has ended.
         *
         * @param messageEnded whether the answer says that the message has ended, whatever else is known of it
         * @param retryAfterMs the Retry-After of the answer in milliseconds; 0 if there is none, or if the call
         *     delivered its message
         * @param exchangeOpen whether the exchange of the call is still in flight for other calls
         */
        void ended(Call call, Outcome outcome, boolean messageEnded, double retryAfterMs, boolean exchangeOpen);

        /**
         * An answer carries a Retry-After, which counts from now on; called when its head is read, and again once the
         * answer is complete.
         */
        void retryAfterReceived(long endpoint, double retryAfterMs);

        /** Called when a request has been written completely; {@code messages}: how many messages it carries. */
        void written(int messages);

        /**
         * An answer says that the message of a call has ended, after {@link #ended} reported another end of that call:
         * the call had timed out or been cancelled while other calls still waited for the exchange.
         *
         * @param delivered whether this call delivered the message
         */
        void messageEndedAfterCall(Call call, boolean delivered);

        /** The exchange of a call has ended; only for a call that ended while its exchange was open. */
        void exchangeEnded(Call call);

        /**
         * A connection to an endpoint has closed.
         *
         * @param underRequest whether it carried a request that was not answered
         * @param cause the message of the I/O error; empty if there was none
         */
        default void connectionClosed(long endpoint, CloseReason reason, boolean underRequest, String cause,
                ConnectionUse use) {
        }
    }

    /**
     * How a connection was used until it closed.
     *
     * @param exchanges number of requests that it carried
     * @param surplusBytes number of received bytes that belong to no answer
     * @param quietMs time from the last complete answer to the close; negative if there was no answer
     */
    record ConnectionUse(int exchanges, long surplusBytes, long quietMs) {
    }

    /** Why a connection to an endpoint closed. The names are written to the event log. */
    enum CloseReason {
        /** The endpoint or the network closed it. */
        PEER,
        /** It was idle for longer than allowed. */
        IDLE,
        /** The limit of idle connections is reached, or none may be idle to this endpoint. */
        NOT_KEPT,
        /** The endpoint announced the close in its answer. */
        NOT_KEPT_ALIVE,
        /** Bytes or the end of the stream arrived before a request was sent, or it had been idle for too long. */
        UNUSABLE,
        /** Bytes arrived that belong to no answer. */
        STRAY_INPUT,
        /** The answer can't be parsed, is too long, or is no proof of an outcome. */
        UNREADABLE_ANSWER,
        /** The answers of all endpoints that are being read take too much memory. */
        ANSWERS_TOO_LONG,
        /** No call waits for its answer any more. */
        NOT_AWAITED,
        /** The request could not be written. */
        WRITE_FAILED,
        /** Idle connections to the endpoint were closed: it moved, drains, left the list, or is not trusted. */
        GIVEN_UP
    }

    private final EventLoop loop;
    private final LongSupplier nanos;
    private final Callbacks callbacks;
    private final InputBarrier inputBarrier;
    /** Limits the bodies of all answers that are being read. */
    private final InputMemory answerMemory;
    private final Bootstrap bootstrap;
    private final long maxIdleNanos;
    /**
     * The longest idle time at endpoints of the {@link #crowdedKinds}: the connections of all senders together may be
     * idle for as long there as those of one sender elsewhere.
     */
    private final long crowdedIdleNanos;
    /** Kinds of endpoint that have refused a new connection because their connection table was full. */
    private final Set<Integer> crowdedKinds = new HashSet<>();
    private int maxIdleConnections;
    private final Map<Long, Peer> peers = new HashMap<>();
    /** Exchanges of the calls that were requested in this turn so far; {@link #flush} starts them. */
    private final List<Exchange> pendingExchanges = new ArrayList<>();
    private int idleCount;

    /**
     * Creates the pool, without connections.
     *
     * @param keepAliveMs time after which an endpoint closes an idle connection
     * @param senders number of senders that share the endpoints
     */
    Endpoints(EventLoop loop, double dialTimeoutMs, double keepAliveMs, int senders, int maxIdleConnections,
            Callbacks callbacks) {
        this(loop, System::nanoTime, dialTimeoutMs, keepAliveMs, senders, maxIdleConnections, callbacks);
    }

    /** Creates the pool with a given clock for idle times and time-outs, for tests. */
    Endpoints(EventLoop loop, LongSupplier nanos, double dialTimeoutMs, double keepAliveMs, int senders,
            int maxIdleConnections, Callbacks callbacks) {
        this(loop, nanos, UnreadInputChannel::new, dialTimeoutMs, keepAliveMs, senders, maxIdleConnections, callbacks);
    }

    /** Creates the pool with a given channel factory, for tests. */
    Endpoints(EventLoop loop, LongSupplier nanos, ChannelFactory<UnreadInputChannel> channels, double dialTimeoutMs,
            double keepAliveMs, int senders, int maxIdleConnections, Callbacks callbacks) {
        this(loop, nanos, channels, dialTimeoutMs, keepAliveMs, senders, maxIdleConnections,
                InputMemory.ofHeap(InputMemory.ENDPOINT_ANSWERS_HEAP_DIVISOR), callbacks);
    }

    /** Creates the pool with a given limit on the bodies of all answers that are being read, for tests. */
    Endpoints(EventLoop loop, LongSupplier nanos, ChannelFactory<UnreadInputChannel> channels, double dialTimeoutMs,
            double keepAliveMs, int senders, int maxIdleConnections, InputMemory answerMemory, Callbacks callbacks) {
        this.loop = loop;
        this.answerMemory = answerMemory;
        this.nanos = nanos;
        this.callbacks = callbacks;
        this.inputBarrier = new InputBarrier(loop, System::nanoTime);
        this.maxIdleNanos = (long) (keepAliveMs * KEEP_ALIVE_SHARE * 1e6);
        this.crowdedIdleNanos = maxIdleNanos / Math.max(1, senders);
        this.maxIdleConnections = maxIdleConnections;
        this.bootstrap = new Bootstrap().group(loop).channelFactory(channels)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new ReadBuffers(ReadBuffers.SMALL_BYTES))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(dialTimeoutMs))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        new Connection().addTo(channel.pipeline());
                    }
                });
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Sets the address and kind of an endpoint, and how many messages it accepts in one exchange. Its idle connections
     * are closed if the address changes or the endpoint stops serving.
     */
    void updateEndpoint(long endpoint, InetSocketAddress address, boolean serving, int kind, int batch) {
        Peer peer = peers.computeIfAbsent(endpoint, Peer::new);
        if (!serving || !address.equals(peer.address)) {
            closeIdle(endpoint);
        }
        peer.address = address;
        peer.kind = kind;
        peer.batch = batch;
    }

    /**
     * Creates a call that the next {@link #flush} starts; {@link Callbacks#ended} reports its end once, within the
     * time-out or soon after.
     */
    Call call(AcceptedMessage message, int attempt, long endpoint, double timeoutMs) {
        Peer peer = peers.get(endpoint);
        Call call = new Call(message, attempt, timeoutMs);
        if (peer.pendingExchange == null || !peer.pendingExchange.hasRoom(call)) {
            peer.pendingExchange = new Exchange(peer);
            pendingExchanges.add(peer.pendingExchange);
        }
        peer.pendingExchange.add(call);
        return call;
    }

    /** Ends the turn: starts its exchanges once pending input is read, without the calls that this input forbids. */
    void flush() {
        for (Exchange exchange : pendingExchanges) {
            exchange.peer.pendingExchange = null;
            startAfterPendingInput(exchange);
        }
        pendingExchanges.clear();
    }

    private void startAfterPendingInput(Exchange exchange) {
        inputBarrier.runAfterPendingInput(() -> callbacks.runWhenListIsCurrent(exchange::start));
    }

    /** Stops waiting for a call; its connection is closed when no other call waits on it. */
    void cancel(Call call) {
        call.abandon(Interruption.CANCELLED);
    }

    /** Ends a call as not sent if its exchange has no connection yet, so that nothing of it is written. */
    void cancelUnsent(Call call) {
        if (call.exchange.connection == null) {
            call.abandon(Interruption.WITHHELD);
        }
    }

    /** Closes idle connections and keeps none from now on, as this process starts no more calls. */
    void disableConnectionReuse() {
        maxIdleConnections = 0;
        peers.keySet().forEach(this::closeIdle);
    }

    /** Closes the idle connections to an endpoint. */
    void closeIdle(long endpoint) {
        Peer peer = peers.get(endpoint);
        if (peer != null) {
            new ArrayList<>(peer.idleConnections).forEach(connection -> connection.close(CloseReason.GIVEN_UP));
        }
    }

    /** Number of idle connections. */
    int idleConnections() {
        return idleCount;
    }

    /** Closes connections that the endpoint would soon close: a request that arrives after that close is lost. */
    private void sweep() {
        long now = nanos.getAsLong();
        for (Peer peer : peers.values()) {
            List<Connection> expired = peer.idleConnections.stream()
                    .filter(c -> now - c.idleSinceNanos > peer.maxIdleNanos()).toList();
            expired.forEach(connection -> connection.close(CloseReason.IDLE));
        }
    }

    /** One endpoint: its address, its idle connections and the usual gap between its exchanges. */
    private final class Peer {
        final long endpoint;
        InetSocketAddress address;
        int kind;
        int batch;
        /** The exchange of this turn that further calls may still join. */
        Exchange pendingExchange;
        final Deque<Connection> idleConnections = new ArrayDeque<>();
        /** Number of exchanges that wait for the {@link QuietPeriod} of an idle connection to end. */
        private int exchangesAwaitingQuiet;
        /** Moving average of the time from the end of an exchange to the start of the next one. */
        private double averageGapNanos;
        private OptionalLong lastEndNanos = OptionalLong.empty();

        Peer(long endpoint) {
            this.endpoint = endpoint;
        }

        /** How long a connection to this endpoint may be idle. */
        long maxIdleNanos() {
            return crowdedKinds.contains(kind) ? crowdedIdleNanos : maxIdleNanos;
        }

        void recordExchangeStart() {
            lastEndNanos.ifPresent(end -> averageGapNanos += GAP_WEIGHT * (nanos.getAsLong() - end - averageGapNanos));
        }

        void recordExchangeEnd() {
            lastEndNanos = OptionalLong.of(nanos.getAsLong());
        }

        /**
         * Whether a connection may be idle at all. Where connection tables are full it may not if the next exchange
         * usually starts only after the idle time has passed.
         */
        boolean mayIdle() {
            return averageGapNanos <= maxIdleNanos() || !crowdedKinds.contains(kind);
        }

        /** Takes the newest idle connection that can carry another exchange now; empty if there is none. */
        Optional<Connection> takeReusable() {
            Iterator<Connection> newestFirst = idleConnections.descendingIterator();
            while (newestFirst.hasNext()) {
                Connection connection = newestFirst.next();
                if (connection.quiet.remainingNanos() > 0) {
                    continue;
                }
                newestFirst.remove();
                Endpoints.this.idleCount--;
                if (connection.isUsable() && nanos.getAsLong() - connection.idleSinceNanos <= maxIdleNanos()) {
                    return Optional.of(connection);
                }
                connection.close(CloseReason.UNUSABLE);
            }
            return Optional.empty();
        }

        /**
         * Runs a task when the quiet period of an idle connection ends; returns false, and never runs it, if each idle
         * connection has an exchange waiting for it already.
         */
        boolean runWhenQuiet(Runnable task) {
            if (idleConnections.size() <= exchangesAwaitingQuiet) {
                return false;
            }
            exchangesAwaitingQuiet++;
            loop.schedule(() -> {
                exchangesAwaitingQuiet--;
                task.run();
            }, idleConnections.getLast().quiet.remainingNanos(), TimeUnit.NANOSECONDS);
            return true;
        }
    }

    /** One attempt to deliver a message: its part in an exchange. */
    final class Call {
        final AcceptedMessage message;
        final int attempt;
        final long startedNanos = nanos.getAsLong();
        private final double timeoutMs;
        private final Future<?> timer;
        private Exchange exchange;
        /** Its outcome is decided, and has been or will be reported. */
        private boolean outcomeDecided;
        /** {@link Callbacks#callStarting} has recorded that its first byte may have been sent. */
        private boolean begun;
        /** No longer waited for: it has timed out, is cancelled, or was withheld. */
        private boolean abandoned;
        /** Its end was reported while its exchange was in flight; {@link Callbacks#exchangeEnded} is yet to follow. */
        private boolean endedWhileOpen;
        /** Set when the outcome is decided. */
        private AttemptReport report;

        private Call(AcceptedMessage message, int attempt, double timeoutMs) {
            this.message = message;
            this.attempt = attempt;
            this.timeoutMs = timeoutMs;
            this.timer = AfterPendingReads.schedule(loop, (long) Math.ceil(timeoutMs * 1000), TimeUnit.MICROSECONDS,
                    this::timedOut);
        }

        /** Why it ended; null before. */
        AttemptReport report() {
            return report;
        }

        /** The time until its time-out, at least 1 ms. */
        private long remainingMs() {
            return Math.max(1, (long) (timeoutMs - (nanos.getAsLong() - startedNanos) / 1e6));
        }

        /** Whether its first byte may be written; asks {@link Callbacks#callStarting} until it has allowed that. */
        private boolean mayBegin() {
            begun = begun || callbacks.callStarting(this);
            return begun;
        }

        /**
         * Times the call out, unless its answer is being read: then it waits for the next read, at most
         * {@link #MAX_READ_EXTENSION_NANOS} past the time-out.
         */
        private void timedOut() {
            long now = nanos.getAsLong();
            boolean mayExtend = now - startedNanos < timeoutMs * 1e6 + MAX_READ_EXTENSION_NANOS;
            if (!abandoned && mayExtend && now - exchange.lastReadNanos < MAX_READ_GAP_NANOS) {
                AfterPendingReads.execute(loop, this::timedOut);
            } else {
                abandon(exchange.isStarted() ? Interruption.TIMED_OUT : Interruption.WITHHELD);
            }
        }

        /** Ends the call without an answer; the last call of an exchange to be abandoned closes the connection. */
        private void abandon(Interruption cause) {
            timer.cancel(false);
            if (abandoned) {
                return;
            }
            abandoned = true;
            boolean last = ++exchange.abandonedCalls == exchange.calls.size();
            // The last byte of a cancelled message must not be sent, even though the other calls then fail too.
            boolean closes = last || cause == Interruption.CANCELLED && exchange.isPartlyWritten();
            endedWhileOpen = !outcomeDecided && !closes && exchange.connection != null;
            Outcome outcome = AttemptOutcomes.interrupted(cause, exchange.requestMayArrive(!closes));
            end(new AttemptOutcomes.Result(outcome, false), 0, Optional.of(cause));
            if (closes) {
                exchange.close(CloseReason.NOT_AWAITED);
            }
        }

        /**
         * Ends the call by an answer. If the answer ends the message, that counts even if the call was abandoned
         * before: a message that has ended must not be sent again.
         */
        private void answered(AttemptOutcomes.Result result, double retryAfterMs) {
            if (result.endsMessage() && !message.endReceived) {
                message.endReceived = true;
                if (outcomeDecided) {
                    boolean delivered = result.outcome() == Outcome.DELIVERED;
                    loop.execute(() -> callbacks.messageEndedAfterCall(this, delivered));
                }
            }
            end(result, retryAfterMs, Optional.empty());
        }

        private void end(AttemptOutcomes.Result result, double retryAfterMs, Optional<Interruption> interruption) {
            if (outcomeDecided) {
                return;
            }
            outcomeDecided = true;
            report = new AttemptReport(interruption, exchange.scanner.status(), exchange.calls.size(),
                    exchange.abandonedCalls);
            // Deferred, as the outcome may be decided while the delivery policy is being called.
            boolean exchangeOpen = endedWhileOpen;
            double reportedRetryAfterMs = result.outcome() == Outcome.DELIVERED ? 0 : retryAfterMs;
            loop.execute(() -> callbacks.ended(this, result.outcome(), result.messageEnded(), reportedRetryAfterMs,
                    exchangeOpen));
        }
    }

    /** One request and its answer, shared by one or more calls. */
    private final class Exchange implements InputMemory.Holder {
        private final Peer peer;
        private final List<Call> calls = new ArrayList<>();
        private final ResponseScanner scanner = new ResponseScanner();
        private final ByteBuf body = Unpooled.buffer(0, MAX_BODY_BYTES);
        private int bodyBytes;
        private int abandonedCalls;
        /** The connect that was started for it, if any. */
        private ChannelFuture connectFuture;
        private Connection connection;
        /** The last byte of the request is written: from here on its messages may have run. */
        private boolean flushed;
        /** Bytes arrived that can't be part of its answer, so that nothing proves the outcome of the request. */
        private boolean corrupted;
        private int status;
        private AttemptOutcomes.Refusal refusal = AttemptOutcomes.Refusal.MESSAGE;
        /** The head of the answer determines where its body ends, so that a truncated answer is detected. */
        private boolean delimited;
        private boolean keepAlive;
        private double retryAfterMs;
        /** The whole answer is read. */
        private boolean complete;
        /** The answer is complete and unambiguous, so that its status counts. */
        private boolean proven;
        /** Bytes that arrived after the answer. */
        private final SurplusInput surplus = new SurplusInput();
        /** When bytes of the answer were read last. */
        private long lastReadNanos = nanos.getAsLong() - MAX_READ_GAP_NANOS;

        private Exchange(Peer peer) {
            this.peer = peer;
        }

        private boolean hasRoom(Call call) {
            return calls.size() < peer.batch && bodyBytes + EndpointRequests.batchSize(call.message) <= MAX_BODY_BYTES;
        }

        private void add(Call call) {
            call.exchange = this;
            calls.add(call);
            bodyBytes += EndpointRequests.batchSize(call.message);
        }

        /** Writes the request to an idle connection, waits for one to become reusable, or opens a new one. */
        private void start() {
            abandonUnless(callbacks::mayBeginAttempt);
            if (dropAbandonedCalls()) {
                return;
            }
            Optional<Connection> reusable = peer.takeReusable();
            if (reusable.isPresent()) {
                peer.recordExchangeStart();
                write(reusable.get());
            } else if (!peer.runWhenQuiet(() -> startAfterPendingInput(this))) {
                peer.recordExchangeStart();
                connectFuture = bootstrap.connect(peer.address);
                EventLoopListeners.whenDone(loop, connectFuture, this::connected);
            }
        }

        /** Whether it has a connection, or a connect was started for it. */
        private boolean isStarted() {
            return connection != null || connectFuture != null;
        }

        /** Removes calls that were abandoned before their first byte was written; returns whether none is left. */
        private boolean dropAbandonedCalls() {
            calls.removeIf(call -> call.abandoned);
            abandonedCalls = 0;
            return calls.isEmpty();
        }

        /** The connect has succeeded or failed. */
        private void connected(ChannelFuture future) {
            if (dropAbandonedCalls()) {
                if (future.isSuccess()) {
                    future.channel().close();
                }
            } else if (!future.isSuccess()) {
                interruptAll(Interruption.CONNECT_FAILED);
            } else {
                connected(future.channel().pipeline().get(Connection.class));
            }
        }

        /**
         * Starts on a new connection, once the list of endpoints is current and pending input is read: either may
         * forbid calls by now.
         */
        private void connected(Connection newConnection) {
            newConnection.peer = peer;
            callbacks.runWhenListIsCurrent(() -> inputBarrier.runAfterPendingInput(() -> startOn(newConnection)));
        }

        /**
         * Writes the request to a connection, or closes the connection if input arrived on it before any request: such
         * input can't be told from an answer.
         */
        private void startOn(Connection target) {
            if (target.isUsable()) {
                abandonUnless(callbacks::mayBeginAttempt);
                write(target);
            } else {
                target.close(CloseReason.UNUSABLE);
                interruptAll(Interruption.CONNECT_FAILED);
            }
        }

        /** Abandons each call that does not meet a condition, as withheld. */
        private void abandonUnless(Predicate<Call> condition) {
            calls.stream().filter(call -> !call.abandoned && !condition.test(call))
                    .forEach(call -> call.abandon(Interruption.WITHHELD));
        }

        /** Writes the request, without the calls that may not be sent any more. */
        private void write(Connection target) {
            abandonUnless(call -> !call.message.endReceived && call.mayBegin());
            if (dropAbandonedCalls()) {
                target.keepIdle();
            } else if (inputBarrier.isInputRecent()) {
                writeRequest(target);
            } else {
                // Recording the calls took so long that input which forbids them may have arrived meanwhile.
                inputBarrier.runAfterPendingInput(() -> startOn(target));
            }
        }

        private void writeRequest(Connection target) {
            connection = target;
            target.startExchange(this);
            target.channel.writeAndFlush(request()).addListener(future -> {
                flushed |= future.isSuccess();
                if (flushed) {
                    callbacks.written(calls.size());
                } else {
                    connectionLost();
                    close(CloseReason.WRITE_FAILED);
                }
            });
        }

        private FullHttpRequest request() {
            long longestRemainingMs = calls.stream().mapToLong(Call::remainingMs).max().orElseThrow();
            return calls.size() == 1 ? EndpointRequests.single(peer.address, calls.get(0).message, longestRemainingMs)
                    : EndpointRequests.batch(peer.address, calls.stream().map(call -> call.message).toList(),
                            longestRemainingMs);
        }

        /** Whether the last byte of the request was written, or may yet be because its connection stays open. */
        private boolean requestMayArrive(boolean staysOpen) {
            return flushed || corrupted || staysOpen && connection != null;
        }

        private boolean isPartlyWritten() {
            return connection != null && connection.exchange == this && !flushed;
        }

        /** The connection has closed: the answer counts if it is complete, otherwise all calls end as interrupted. */
        private void connectionLost() {
            answerMemory.release(this);
            if (complete) {
                conclude();
            } else {
                interruptAll(Interruption.CONNECTION_LOST);
            }
            notifyClosed();
        }

        /** Ends all calls without a complete answer. */
        private void interruptAll(Interruption cause) {
            Outcome outcome = AttemptOutcomes.interrupted(cause, requestMayArrive(false));
            AttemptOutcomes.Result result = new AttemptOutcomes.Result(outcome, false);
            calls.forEach(call -> call.timer.cancel(false));
            calls.forEach(call -> call.end(result, retryAfterMs, Optional.of(cause)));
        }

        /** Closes its connection, unless that carries another exchange by now, or aborts its pending connect. */
        private void close(CloseReason reason) {
            if (connection != null && connection.exchange == this) {
                connection.close(reason);
                notifyClosed();
            } else if (connection == null && connectFuture != null && !connectFuture.isDone()) {
                // The socket would hold a file descriptor until the connect times out, although its slot is free.
                connectFuture.channel().close();
            }
        }

        /** Reports the end of the exchange for each call that ended while it was open. */
        private void notifyClosed() {
            for (Call call : calls) {
                if (call.endedWhileOpen) {
                    call.endedWhileOpen = false;
                    loop.execute(() -> callbacks.exchangeEnded(call));
                }
            }
        }

        /**
         * Scans further bytes of the answer. For a single message a status line with 200 counts as delivered, whatever
         * follows it.
         */
        private void received(ByteBuf input) {
            lastReadNanos = nanos.getAsLong();
            scanner.scan(input);
            if (calls.size() == 1 && scanner.status() == HttpResponseStatus.OK.code()) {
                calls.get(0).answered(AttemptOutcomes.firstLineDelivered(), 0);
            }
        }

        /**
         * The head of the answer is read. The time-outs keep running: only a complete answer proves that the messages
         * did not run, and a body that never ends must not occupy the connection forever.
         */
        private void readHead(HttpResponse response) {
            status = response.status().code();
            delimited = isDelimited(response);
            keepAlive = HttpUtil.isKeepAlive(response);
            retryAfterMs = retryAfterMs(response);
            refusal = AttemptOutcomes.Refusal.of(response.headers().contains("X-No-Slot"), !connection.hasAnswered,
                    keepAlive);
            if (status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                    && refusal == AttemptOutcomes.Refusal.CONNECTION) {
                // The connection table is full: other senders can't connect because of idle connections of this one.
                crowdedKinds.add(peer.kind);
            }
            connection.hasAnswered = true;
            reportRetryAfter();
        }

        /**
         * Reports the Retry-After of the answer. It takes effect once the head is read, but its time counts from the
         * last byte of the answer, which may arrive much later; so it is reported at both.
         */
        private void reportRetryAfter() {
            if (retryAfterMs > 0) {
                loop.execute(() -> callbacks.retryAfterReceived(peer.endpoint, retryAfterMs));
            }
        }

        /** Collects the body of an answer to several messages; returns false if it is too long. */
        private boolean readBody(ByteBuf part) {
            boolean fits = part.readableBytes() <= body.maxWritableBytes();
            if (fits && calls.size() > 1) {
                body.writeBytes(part);
                answerMemory.update(this, body.readableBytes());
            }
            return fits || calls.size() == 1;
        }

        @Override
        public boolean canBeGivenUp() {
            return !complete;
        }

        /** Closes the connection, so that nothing is known of the outcome of its calls. */
        @Override
        public void giveUp() {
            close(CloseReason.ANSWERS_TOO_LONG);
        }

        /** Whether exactly one answer was read, and completely; bytes that follow it are ignored here. */
        private boolean isReadWhole() {
            return complete && delimited && !corrupted && scanner.isSingleAnswer(surplus.statusLines())
                    && scanner.status() == status;
        }

        /** Whether the status of the answer is proof of the outcome. */
        private boolean provesOutcome() {
            return isReadWhole() && surplus.holdsNoOtherStatus(status);
        }

        /**
         * Whether an answer to several messages is proof of the outcome of each: the ids in it show that it belongs to
         * this request.
         */
        private boolean provesOutcome(BatchAnswer answer) {
            List<String> ids = calls.stream().map(call -> call.message.id).toList();
            return isReadWhole() && (surplus.isEmpty() ? answer.namesAny(ids) : answer.isWhole(ids));
        }

        /** Whether the connection can carry another exchange after this one. */
        private boolean leavesConnectionUsable() {
            return keepAlive && surplus.isEmpty() && proven;
        }

        /** Ends all calls by the complete answer, which also counts for the messages of abandoned calls. */
        private void conclude() {
            answerMemory.release(this);
            boolean isBatchReport = status == HttpResponseStatus.OK.code() && calls.size() > 1;
            calls.forEach(call -> call.timer.cancel(false));
            BatchAnswer answer = new BatchAnswer(body.toString(StandardCharsets.ISO_8859_1));
            proven = isBatchReport ? provesOutcome(answer) : provesOutcome();
            if (isBatchReport && proven) {
                calls.forEach(
                        call -> call.answered(AttemptOutcomes.reported(answer.word(call.message.id)), retryAfterMs));
            } else {
                AttemptOutcomes.Result result =
                        AttemptOutcomes.answered(scanner.status(), proven, refusal, calls.size());
                calls.forEach(call -> call.answered(result, retryAfterMs));
            }
            reportRetryAfter();
            notifyClosed();
        }
    }

    /**
     * Whether the head determines where the body ends. With a Transfer-Encoding, Content-Length does not count: only
     * chunked coding marks the end then.
     */
    private static boolean isDelimited(HttpResponse response) {
        return response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                ? HttpUtil.isTransferEncodingChunked(response) : HttpUtil.isContentLengthSet(response);
    }

    /** The Retry-After header, which is in seconds, in milliseconds; 0 if it is missing or can't be parsed. */
    private static double retryAfterMs(HttpResponse response) {
        try {
            double seconds = Double.parseDouble(response.headers().get(HttpHeaderNames.RETRY_AFTER, "0"));
            return Double.isFinite(seconds) ? Math.max(0, seconds * 1000) : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** An address in the form that the Host header uses. */
    static String hostPort(InetSocketAddress address) {
        String host = address.getHostString();
        boolean isIpv6 = host.contains(":");
        return (isIpv6 ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    /**
     * A connection to an endpoint; it carries one exchange at a time. Each exchange has an HTTP codec of its own, so
     * that no bytes are carried over to the next one: input outside an answer makes the connection unusable.
     */
    private final class Connection extends SimpleChannelInboundHandler<Object> {
        private static final String CODEC_NAME = "codec";
        private static final String HANDLER_NAME = "connection";

        private Channel channel;
        private Peer peer;
        private Exchange exchange;
        private long idleSinceNanos;
        private final QuietPeriod quiet = new QuietPeriod();
        /** The head of an answer has been read from it. */
        private boolean hasAnswered;
        /** The part of the answer that is being read belongs to an interim (1xx) answer. */
        private boolean interim;
        private int exchanges;
        private long surplusBytes;
        /** Why this side closed it; {@link CloseReason#PEER} if it did not. */
        private CloseReason closeReason = CloseReason.PEER;
        /** Message of the I/O error that ended it; empty if there was none. */
        private String cause = "";

        /** Adds the handlers of a new connection, which look at the input before and after the codec. */
        private void addTo(ChannelPipeline pipeline) {
            channel = pipeline.channel();
            pipeline.addLast(new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext ctx, Object input) {
                    received(ctx, (ByteBuf) input);
                }
            });
            pipeline.addLast(HANDLER_NAME, this);
        }

        private void startExchange(Exchange next) {
            exchange = next;
            exchanges++;
            interim = false;
            channel.pipeline().addBefore(HANDLER_NAME, CODEC_NAME, BoundedHeaders.clientCodec());
        }

        /** Handles raw input: scans the bytes of an answer and passes them to the codec; other bytes are surplus. */
        private void received(ChannelHandlerContext ctx, ByteBuf input) {
            if (exchange == null || !exchange.flushed) {
                surplusBytes += input.readableBytes();
                input.release();
                rejectStrayInput();
            } else if (exchange.complete) {
                exchange.scanner.scan(input);
                addSurplus(input);
                input.release();
            } else {
                exchange.received(input);
                ctx.fireChannelRead(input);
            }
        }

        /** Records bytes that arrived after the complete answer. */
        private void addSurplus(ByteBuf input) {
            surplusBytes += input.readableBytes();
            exchange.surplus.add(input);
        }

        /** Closes the connection: bytes that arrive before a request is fully written can't be told from an answer. */
        private void rejectStrayInput() {
            if (exchange != null) {
                exchange.corrupted = true;
            }
            close(CloseReason.STRAY_INPUT);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Object part) {
            if (!(part instanceof HttpObject object)) {
                // When it is removed, the codec passes on bytes that follow the end of the answer.
                addSurplus((ByteBuf) part);
            } else if (exchange == null || object.decoderResult().isFailure()) {
                close(CloseReason.UNREADABLE_ANSWER);
            } else {
                answerPart(object);
            }
        }

        private void answerPart(HttpObject part) {
            if (part instanceof HttpResponse response) {
                interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
                if (!interim) {
                    exchange.readHead(response);
                }
            }
            if (interim) {
                return;
            }
            if (part instanceof HttpContent content && !exchange.readBody(content.content())) {
                close(CloseReason.UNREADABLE_ANSWER);
            } else if (part instanceof LastHttpContent) {
                exchange.complete = true;
                channel.pipeline().remove(CODEC_NAME);
            }
        }

        /**
         * All input that has arrived so far is read: concludes the exchange if its answer is complete, and closes the
         * connection if bytes follow it.
         */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (exchange != null && exchange.complete) {
                Exchange finished = exchange;
                exchange = null;
                if (!FaultIsolation.run(finished::conclude)) {
                    finished.interruptAll(Interruption.CONNECTION_LOST);
                    finished.notifyClosed();
                }
                peer.recordExchangeEnd();
                quiet.begin();
                if (finished.leavesConnectionUsable()) {
                    keepIdle();
                } else {
                    close(reasonToClose(finished));
                }
            }
            ctx.fireChannelReadComplete();
        }

        private static CloseReason reasonToClose(Exchange finished) {
            if (!finished.keepAlive) {
                return CloseReason.NOT_KEPT_ALIVE;
            }
            return finished.surplus.isEmpty() ? CloseReason.UNREADABLE_ANSWER : CloseReason.STRAY_INPUT;
        }

        /** Keeps the connection idle for the next exchange, or closes it if it may not be idle. */
        void keepIdle() {
            if (idleCount < maxIdleConnections && channel.isActive() && peer.mayIdle()) {
                idleSinceNanos = nanos.getAsLong();
                peer.idleConnections.addLast(this);
                idleCount++;
                if (crowdedKinds.contains(peer.kind)) {
                    loop.schedule(this::closeUnused, crowdedIdleNanos, TimeUnit.NANOSECONDS);
                }
            } else {
                close(CloseReason.NOT_KEPT);
            }
        }

        /** Closes the connection if it was idle for the idle time of crowded kinds. */
        private void closeUnused() {
            if (exchange == null && nanos.getAsLong() - idleSinceNanos >= crowdedIdleNanos) {
                close(CloseReason.IDLE);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (peer != null && peer.idleConnections.remove(this)) {
                idleCount--;
            }
            if (peer != null) {
                callbacks.connectionClosed(peer.endpoint, closeReason, exchange != null, cause, use());
            }
            if (exchange != null) {
                Exchange lostExchange = exchange;
                exchange = null;
                lostExchange.connectionLost();
            }
        }

        private ConnectionUse use() {
            return new ConnectionUse(exchanges, surplusBytes, hasAnswered ? quiet.elapsedMs() : -1);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable fault) {
            OutOfMemoryExit.exitIfExhausted(fault);
            cause = String.valueOf(fault.getMessage());
            if (!(fault instanceof IOException)) {
                Log.line("fault in a connection to an endpoint, which is closed: " + fault);
            }
            ctx.close();
        }

        /** Whether it can carry another exchange: it is open, and its socket holds no unread input or end of stream. */
        boolean isUsable() {
            return channel.isActive() && !((UnreadInputChannel) channel).hasUnreadInput();
        }

        /** Closes the connection; only the first reason counts. */
        void close(CloseReason reason) {
            if (peer != null && peer.idleConnections.remove(this)) {
                idleCount--;
            }
            if (closeReason == CloseReason.PEER) {
                closeReason = reason;
            }
            channel.close();
        }
    }
}
