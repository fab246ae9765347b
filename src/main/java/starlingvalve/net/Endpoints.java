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
import io.netty.handler.codec.http.HttpClientCodec;
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
 * Calls to endpoints and the connections that they go over: one exchange each, kept for the next, the newest
 * idle one first. The calls of one turn to one endpoint share an exchange, as far as its kind allows. Each
 * call gets one end, never during {@link #call}, {@link #flush} or {@link #cancel}.
 */
final class Endpoints {
    /** Idle connections are dropped at this share of the time after which an endpoint drops them. */
    private static final double IDLE_SHARE = 0.8;
    private static final long SWEEP_MS = 500;
    /** Weight of a new gap between exchanges in the usual one. */
    private static final double GAP_WEIGHT = 0.25;
    /** Bytes that came so shortly ago are taken for a part of an answer of which more has come. */
    private static final long READ_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    /** A time-out waits for the rest of such an answer for so long at most. */
    private static final long READ_ON_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    /** Longest body of a request, and of an answer that is read: the protocol's bound for both. */
    private static final int LONGEST_BODY = 64 * 1024;

    interface Callbacks {
        /** Whether a call may still go out, by all that is known now. */
        boolean mayBeginAttempt(Call call);

        /** Runs a task once calls may go out by the list of endpoints: at once if they may now. */
        default void whenListIsCurrent(Runnable task) {
            task.run();
        }

        /** Its first byte is about to be written: whether it may be. */
        boolean begins(Call call);

        /**
         * Told of the end of each call. {@code gone}: the message is over, whatever else is true; {@code open}:
         * its exchange is still out for other calls.
         */
        void ended(Call call, Outcome outcome, boolean gone, double waitMs, boolean open);

        /** An answer tells a wait, which runs from now on; told with its head, and again once it is whole. */
        void retryAfterReceived(long endpoint, double waitMs);

        /** So many messages were written whole to an endpoint. */
        void written(int messages);

        /**
         * The answer tells that the message of a call is over, after another end of that call was told: it had left its
         * exchange, which others still waited for. {@code delivered}: by this call.
         */
        void overAfterEnd(Call call, boolean delivered);

        /** The exchange of a call that ended while it was open is over. */
        void closed(Call call);

        /**
         * A connection to an endpoint has ended; {@code underRequest}: with a request on it that was not answered.
         * {@code cause}: what the system said, or nothing.
         */
        default void connectionClosed(long endpoint, CloseReason reason, boolean underRequest, String cause,
                ConnectionUse use) {
        }
    }

    /**
     * What a connection was used for until its end.
     *
     * @param exchanges how many calls it carried
     * @param surplusBytes how many bytes came over it that belong to no answer
     * @param quietMs how long before its end the last answer came; negative if there was none
     */
    record ConnectionUse(int exchanges, long surplusBytes, long quietMs) {
    }

    /** Why a connection to an endpoint ended. */
    enum CloseReason {
        /** The endpoint, or the network, ended it. */
        PEER,
        /** It was idle for too long. */
        IDLE,
        /** No more connections may idle, or none to this endpoint. */
        NOT_KEPT,
        /** The endpoint announced its close. */
        NOT_KEPT_ALIVE,
        /** Bytes or its end had come before it was asked anything. */
        UNUSABLE,
        /** Bytes came that belong to no answer. */
        STRAY_INPUT,
        /** The answer can't be read. */
        UNREADABLE_ANSWER,
        /** Nobody waits for its answer any more. */
        NOT_AWAITED,
        /** The request could not be written. */
        WRITE_FAILED,
        /** Idle connections to the endpoint were given up: it moved, drains, is gone, or is not trusted. */
        GIVEN_UP
    }

    private final EventLoop loop;
    private final LongSupplier nanos;
    private final Endpoints.Callbacks ends;
    private final InputBarrier inputBarrier;
    private final Bootstrap bootstrap;
    private final long idleNanos;
    /** The same at kinds with small connection tables: all senders together may idle as long as one elsewhere. */
    private final long crowdedNanos;
    /** Kinds of endpoint that were seen to turn a new connection away, as their table was full. */
    private final Set<Integer> crowded = new HashSet<>();
    private int mostIdle;
    private final Map<Long, Peer> peers = new HashMap<>();
    /** What this turn has asked for so far. */
    private final List<Exchange> gathered = new ArrayList<>();
    private int idle;

    Endpoints(EventLoop loop, double dialMs, double keepAliveMs, int senders, int mostIdle, Endpoints.Callbacks ends) {
        this(loop, System::nanoTime, dialMs, keepAliveMs, senders, mostIdle, ends);
    }

    /** With a clock of its own for how long connections idle. */
    Endpoints(EventLoop loop, LongSupplier nanos, double dialMs, double keepAliveMs, int senders, int mostIdle,
            Endpoints.Callbacks ends) {
        this(loop, nanos, UnreadInputChannel::new, dialMs, keepAliveMs, senders, mostIdle, ends);
    }

    /** With channels of its own, for tests. */
    Endpoints(EventLoop loop, LongSupplier nanos, ChannelFactory<UnreadInputChannel> channels, double dialMs,
            double keepAliveMs, int senders, int mostIdle, Endpoints.Callbacks ends) {
        this.loop = loop;
        this.nanos = nanos;
        this.ends = ends;
        this.inputBarrier = new InputBarrier(loop, System::nanoTime);
        this.idleNanos = (long) (keepAliveMs * IDLE_SHARE * 1e6);
        this.crowdedNanos = idleNanos / Math.max(1, senders);
        this.mostIdle = mostIdle;
        this.bootstrap = new Bootstrap().group(loop).channelFactory(channels)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(dialMs))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        new Connection().addTo(channel.pipeline());
                    }
                });
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * An endpoint of this kind is at this address from now on, and takes so many messages in one exchange;
     * connections to another address are of no more use.
     */
    void at(long endpoint, InetSocketAddress address, boolean serving, int kind, int batch) {
        Peer peer = peers.computeIfAbsent(endpoint, Peer::new);
        if (!serving || !address.equals(peer.address)) {
            closeIdle(endpoint);
        }
        peer.address = address;
        peer.kind = kind;
        peer.batch = batch;
    }

    /** Starts a call, with the next {@link #flush}; its end is told once, within the time-out or soon after. */
    Call call(AcceptedMessage held, int attempt, long endpoint, double timeoutMs) {
        Peer peer = peers.get(endpoint);
        Call call = new Call(held, attempt, timeoutMs);
        if (peer.gathering == null || !peer.gathering.hasRoom(call)) {
            peer.gathering = new Exchange(peer);
            gathered.add(peer.gathering);
        }
        peer.gathering.add(call);
        return call;
    }

    /** The turn is over: what it asked for goes out, unless something that has arrived by now forbids it. */
    void flush() {
        for (Exchange exchange : gathered) {
            exchange.peer.gathering = null;
            startOnceAllIsRead(exchange);
        }
        gathered.clear();
    }

    private void startOnceAllIsRead(Exchange exchange) {
        inputBarrier.whenRead(() -> ends.whenListIsCurrent(exchange::start));
    }

    /** Stops waiting for a call; its connection is closed when nothing else is waited for on it. */
    void cancel(Call call) {
        call.leave(Interruption.CANCELLED);
    }

    /** Ends a call of which nothing is written yet, as not sent: its connection is still coming up. */
    void callOffUnsent(Call call) {
        if (call.exchange.connection == null) {
            call.leave(Interruption.WITHHELD);
        }
    }

    /** No call starts here any more: no connection is kept. */
    void keepNone() {
        mostIdle = 0;
        peers.keySet().forEach(this::closeIdle);
    }

    void closeIdle(long endpoint) {
        Peer peer = peers.get(endpoint);
        if (peer != null) {
            new ArrayList<>(peer.idle).forEach(connection -> connection.close(CloseReason.GIVEN_UP));
        }
    }

    /** Idle connections that are kept. */
    int kept() {
        return idle;
    }

    /** Closes what an endpoint would soon close itself: a call that crosses its close would be lost. */
    private void sweep() {
        long now = nanos.getAsLong();
        for (Peer peer : peers.values()) {
            List<Connection> old = peer.idle.stream().filter(c -> now - c.idleSince > peer.idleNanos()).toList();
            old.forEach(connection -> connection.close(CloseReason.IDLE));
        }
    }

    private final class Peer {
        final long endpoint;
        InetSocketAddress address;
        int kind;
        int batch;
        /** What this turn sends here, as long as it has room. */
        Exchange gathering;
        final Deque<Connection> idle = new ArrayDeque<>();
        /** Exchanges that wait for an idle connection to have been quiet for long enough. */
        private int awaitingQuiet;
        /** How long it usually is from the end of an exchange to the next one, as far as seen. */
        private double usualGapNanos;
        private OptionalLong endedAt = OptionalLong.empty();

        Peer(long endpoint) {
            this.endpoint = endpoint;
        }

        /** How long a connection may idle here. */
        long idleNanos() {
            return crowded.contains(kind) ? crowdedNanos : idleNanos;
        }

        void exchangeBegins() {
            endedAt.ifPresent(at -> usualGapNanos += GAP_WEIGHT * (nanos.getAsLong() - at - usualGapNanos));
        }

        void exchangeEnds() {
            endedAt = OptionalLong.of(nanos.getAsLong());
        }

        /** Whether a connection may idle at all: in a full table not for a call that usually comes too late for it. */
        boolean mayIdle() {
            return usualGapNanos <= idleNanos() || !crowded.contains(kind);
        }

        /** The newest idle connection that may carry another exchange now; nothing if there is none. */
        Optional<Connection> takeQuiet() {
            Iterator<Connection> newestFirst = idle.descendingIterator();
            while (newestFirst.hasNext()) {
                Connection connection = newestFirst.next();
                if (connection.quiet.remainingNanos() > 0) {
                    continue;
                }
                newestFirst.remove();
                Endpoints.this.idle--;
                if (connection.isUsable() && nanos.getAsLong() - connection.idleSince <= idleNanos()) {
                    return Optional.of(connection);
                }
                connection.close(CloseReason.UNUSABLE);
            }
            return Optional.empty();
        }

        /** Whether an idle connection will soon be quiet, and no other exchange waits for it; the task runs then. */
        boolean awaitQuiet(Runnable task) {
            if (idle.size() <= awaitingQuiet) {
                return false;
            }
            awaitingQuiet++;
            loop.schedule(() -> {
                awaitingQuiet--;
                task.run();
            }, idle.getLast().quiet.remainingNanos(), TimeUnit.NANOSECONDS);
            return true;
        }
    }

    /** One attempt of a message on its way. */
    final class Call {
        final AcceptedMessage held;
        final int attempt;
        final long startedNanos = System.nanoTime();
        private final double timeoutMs;
        private final Future<?> timer;
        private Exchange exchange;
        /** Its end is found. */
        private boolean done;
        /** It is recorded that its first byte may be out. */
        private boolean begun;
        /** Nobody waits for more of it: it has timed out or is cancelled. */
        private boolean left;
        /** Its end was told while its exchange was out. */
        private boolean toldOpen;
        /** Set with its end. */
        private AttemptReport report;

        private Call(AcceptedMessage held, int attempt, double timeoutMs) {
            this.held = held;
            this.attempt = attempt;
            this.timeoutMs = timeoutMs;
            this.timer = AfterPendingReads.in(loop, (long) Math.ceil(timeoutMs * 1000), TimeUnit.MICROSECONDS,
                    this::timedOut);
        }

        /** Why it ended, once it has. */
        AttemptReport report() {
            return report;
        }

        /** How much longer it waits for its end. */
        private long leftMs() {
            return Math.max(1, (long) (timeoutMs - (System.nanoTime() - startedNanos) / 1e6));
        }

        private boolean begins() {
            begun = begun || ends.begins(this);
            return begun;
        }

        /** An answer that is just being read, in however many reads, is read on for a moment. */
        private void timedOut() {
            long now = System.nanoTime();
            boolean mayReadOn = now - startedNanos < timeoutMs * 1e6 + READ_ON_NANOS;
            if (!left && mayReadOn && now - exchange.readAtNanos < READ_GAP_NANOS) {
                AfterPendingReads.next(loop, this::timedOut);
            } else {
                leave(exchange.isBegun() ? Interruption.TIMED_OUT : Interruption.WITHHELD);
            }
        }

        /** Nobody waits for it any more; the last of its exchange takes the connection with it. */
        private void leave(Interruption cause) {
            timer.cancel(false);
            if (left) {
                return;
            }
            left = true;
            boolean last = ++exchange.leftCalls == exchange.calls.size();
            // What is cancelled is over: its last byte must not go out any more, not even for the others' sake.
            boolean closes = last || cause == Interruption.CANCELLED && exchange.isPartlyWritten();
            toldOpen = !done && !closes && exchange.connection != null;
            Outcome outcome = AttemptOutcomes.interrupted(cause, exchange.requestMayArrive(!closes));
            end(new AttemptOutcomes.Result(outcome, false), 0, Optional.of(cause));
            if (closes) {
                exchange.close(CloseReason.NOT_AWAITED);
            }
        }

        /**
         * An answer tells how it ended. What the answer says of its message binds, whether or not anybody still waits:
         * a message that is over must not be sent again.
         */
        private void answered(AttemptOutcomes.Result result, double waitMs) {
            if (result.endsMessage() && !held.endRead) {
                held.endRead = true;
                if (done) {
                    boolean delivered = result.outcome() == Outcome.DELIVERED;
                    loop.execute(() -> ends.overAfterEnd(this, delivered));
                }
            }
            end(result, waitMs, Optional.empty());
        }

        private void end(AttemptOutcomes.Result result, double waitMs, Optional<Interruption> interruption) {
            if (done) {
                return;
            }
            done = true;
            report = new AttemptReport(interruption, exchange.scanner.status(), exchange.calls.size(),
                    exchange.leftCalls);
            // Never at once: an end may be found while the module is being called.
            boolean open = toldOpen;
            double told = result.outcome() == Outcome.DELIVERED ? 0 : waitMs;
            loop.execute(() -> ends.ended(this, result.outcome(), result.over(), told, open));
        }
    }

    /** Calls that travel as one: one request, one answer. */
    private final class Exchange {
        private final Peer peer;
        private final List<Call> calls = new ArrayList<>();
        private final ResponseScanner scanner = new ResponseScanner();
        private final ByteBuf body = Unpooled.buffer(0, LONGEST_BODY);
        private int bytes;
        private int leftCalls;
        /** A connection that is coming up for it. */
        private ChannelFuture dial;
        private Connection connection;
        /** The last byte of the request is out: from here on it may have run. */
        private boolean flushed;
        /** Bytes came that can't be part of its answer, so nothing proves what became of it. */
        private boolean corrupted;
        private int status;
        private AttemptOutcomes.Refusal refusal = AttemptOutcomes.Refusal.MESSAGE;
        /** The answer tells where it ends, so one that is cut short is known. */
        private boolean delimited;
        private boolean keepAlive;
        private double waitMs;
        /** All of the answer has come. */
        private boolean complete;
        /** The whole answer proves what it says. */
        private boolean proven;
        /** What came behind the answer. */
        private final SurplusInput surplus = new SurplusInput();
        /** When bytes of it came last. */
        private long readAtNanos = System.nanoTime() - READ_GAP_NANOS;

        private Exchange(Peer peer) {
            this.peer = peer;
        }

        private boolean hasRoom(Call call) {
            return calls.size() < peer.batch && bytes + EndpointRequests.batchSize(call.held) <= LONGEST_BODY;
        }

        private void add(Call call) {
            call.exchange = this;
            calls.add(call);
            bytes += EndpointRequests.batchSize(call.held);
        }

        private void start() {
            leaveUnless(ends::mayBeginAttempt);
            if (nobodyWaits()) {
                return;
            }
            Optional<Connection> kept = peer.takeQuiet();
            if (kept.isPresent()) {
                peer.exchangeBegins();
                write(kept.get());
            } else if (!peer.awaitQuiet(() -> startOnceAllIsRead(this))) {
                peer.exchangeBegins();
                dial = bootstrap.connect(peer.address);
                Connects.whenDone(loop, dial, this::connected);
            }
        }

        /** Whether the endpoint has anything to do with it yet: it goes over a connection, or one is coming up for it. */
        private boolean isBegun() {
            return connection != null || dial != null;
        }

        /** What was given up before its first byte is not sent any more. */
        private boolean nobodyWaits() {
            calls.removeIf(call -> call.left);
            leftCalls = 0;
            return calls.isEmpty();
        }

        private void connected(ChannelFuture f) {
            if (nobodyWaits()) {
                if (f.isSuccess()) {
                    f.channel().close();
                }
            } else if (!f.isSuccess()) {
                interrupted(Interruption.CONNECT_FAILED);
            } else {
                connected(f.channel().pipeline().get(Connection.class));
            }
        }

        /** While it came up the list may have changed, and what forbids the call may have arrived. */
        private void connected(Connection fresh) {
            fresh.peer = peer;
            ends.whenListIsCurrent(() -> inputBarrier.whenRead(() -> startOn(fresh)));
        }

        /** One that speaks before it is asked is of no use: what it says later can't be told from an answer. */
        private void startOn(Connection on) {
            if (on.isUsable()) {
                leaveUnless(ends::mayBeginAttempt);
                write(on);
            } else {
                on.close(CloseReason.UNUSABLE);
                interrupted(Interruption.CONNECT_FAILED);
            }
        }

        private void leaveUnless(Predicate<Call> goesOn) {
            calls.stream().filter(call -> !call.left && !goesOn.test(call))
                    .forEach(call -> call.leave(Interruption.WITHHELD));
        }

        private void write(Connection on) {
            leaveUnless(call -> !call.held.endRead && call.begins());
            if (nobodyWaits()) {
                on.rest();
            } else if (inputBarrier.isRecent()) {
                writeRequest(on);
            } else {
                // Recording the calls took so long that what forbids them may have arrived meanwhile.
                inputBarrier.whenRead(() -> startOn(on));
            }
        }

        private void writeRequest(Connection on) {
            connection = on;
            on.begin(this);
            on.channel.writeAndFlush(request()).addListener(f -> {
                flushed |= f.isSuccess();
                if (flushed) {
                    ends.written(calls.size());
                } else {
                    lost();
                    close(CloseReason.WRITE_FAILED);
                }
            });
        }

        private FullHttpRequest request() {
            long longestMs = calls.stream().mapToLong(Call::leftMs).max().orElseThrow();
            return calls.size() == 1 ? EndpointRequests.single(peer.address, calls.get(0).held, longestMs)
                    : EndpointRequests.batch(peer.address, calls.stream().map(call -> call.held).toList(), longestMs);
        }

        /** Whether the last byte of the request has gone out, or may yet, as its connection stays open. */
        private boolean requestMayArrive(boolean staysOpen) {
            return flushed || corrupted || staysOpen && connection != null;
        }

        private boolean isPartlyWritten() {
            return connection != null && connection.exchange == this && !flushed;
        }

        /** The connection is gone. */
        private void lost() {
            if (complete) {
                conclude();
            } else {
                interrupted(Interruption.CONNECTION_LOST);
            }
            over();
        }

        private void interrupted(Interruption cause) {
            Outcome outcome = AttemptOutcomes.interrupted(cause, requestMayArrive(false));
            AttemptOutcomes.Result result = new AttemptOutcomes.Result(outcome, false);
            calls.forEach(call -> call.timer.cancel(false));
            calls.forEach(call -> call.end(result, waitMs, Optional.of(cause)));
        }

        /** Nobody waits for it. A connection that has gone on to another exchange is left alone. */
        private void close(CloseReason reason) {
            if (connection != null && connection.exchange == this) {
                connection.close(reason);
                over();
            } else if (connection == null && dial != null && !dial.isDone()) {
                // It would hold its descriptor until the dial times out, though its slot is free.
                dial.channel().close();
            }
        }

        private void over() {
            for (Call call : calls) {
                if (call.toldOpen) {
                    call.toldOpen = false;
                    loop.execute(() -> ends.closed(call));
                }
            }
        }

        /** More bytes of the answer have come; a first line with 200 counts, whatever becomes of the rest. */
        private void received(ByteBuf input) {
            readAtNanos = System.nanoTime();
            scanner.scan(input);
            if (calls.size() == 1 && scanner.status() == HttpResponseStatus.OK.code()) {
                calls.get(0).answered(AttemptOutcomes.firstLineDelivered(), 0);
            }
        }

        /**
         * The head of the answer has come. The time-outs run on: only a whole answer proves that nothing ran, and
         * a body that never ends must not hold the connection for good.
         */
        private void head(HttpResponse response) {
            status = response.status().code();
            delimited = isDelimited(response);
            keepAlive = HttpUtil.isKeepAlive(response);
            waitMs = waitMs(response);
            refusal = AttemptOutcomes.Refusal.of(response.headers().contains("X-No-Slot"), !connection.used, keepAlive);
            if (status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                    && refusal == AttemptOutcomes.Refusal.CONNECTION) {
                // Its table is full: what idles there keeps the other senders out, and they can't tell this one.
                crowded.add(peer.kind);
            }
            connection.used = true;
            tellWait();
        }

        /** A wait is heeded once its head is read, and runs from the last byte on, which may come much later. */
        private void tellWait() {
            if (waitMs > 0) {
                loop.execute(() -> ends.retryAfterReceived(peer.endpoint, waitMs));
            }
        }

        /** Takes more of the body, where it matters; false if that is too long. */
        private boolean body(ByteBuf part) {
            boolean fits = part.readableBytes() <= body.maxWritableBytes();
            if (fits && calls.size() > 1) {
                body.writeBytes(part);
            }
            return fits || calls.size() == 1;
        }

        /** Whether one answer was read whole, whatever came behind it. */
        private boolean isReadWhole() {
            return complete && delimited && !corrupted && scanner.isSingleAnswer(surplus.statusLines())
                    && scanner.status() == status;
        }

        /** Whether the answer proves what it says by its status. */
        private boolean isProof() {
            return isReadWhole() && surplus.holdsNoOtherStatus(status);
        }

        /** Whether an answer to several messages proves what it says of each: the ids in it tell whose answer it is. */
        private boolean isProof(BatchAnswer answer) {
            List<String> ids = calls.stream().map(call -> call.held.id).toList();
            return isReadWhole() && (surplus.isEmpty() ? answer.namesAny(ids) : answer.isWhole(ids));
        }

        /** Whether its connection can carry another exchange. */
        private boolean leavesConnectionUsable() {
            return keepAlive && surplus.isEmpty() && proven;
        }


        /** The answer is whole: what it says counts for all its messages, also for those that have left. */
        private void conclude() {
            boolean reports = status == HttpResponseStatus.OK.code() && calls.size() > 1;
            calls.forEach(call -> call.timer.cancel(false));
            BatchAnswer answer = new BatchAnswer(body.toString(StandardCharsets.ISO_8859_1));
            proven = reports ? isProof(answer) : isProof();
            if (reports && proven) {
                calls.forEach(call -> call.answered(AttemptOutcomes.reported(answer.word(call.held.id)), waitMs));
            } else {
                AttemptOutcomes.Result all = AttemptOutcomes.answered(scanner.status(), proven, refusal, calls.size());
                calls.forEach(call -> call.answered(all, waitMs));
            }
            tellWait();
            over();
        }
    }

    /** A length counts for nothing beside a transfer coding, whose end only chunks can tell. */
    private static boolean isDelimited(HttpResponse response) {
        return response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                ? HttpUtil.isTransferEncodingChunked(response) : HttpUtil.isContentLengthSet(response);
    }

    /** The told wait, in seconds on the wire; an unreadable one counts as none. */
    private static double waitMs(HttpResponse response) {
        try {
            double seconds = Double.parseDouble(response.headers().get(HttpHeaderNames.RETRY_AFTER, "0"));
            return Double.isFinite(seconds) ? Math.max(0, seconds * 1000) : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    static String hostPort(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    /**
     * A connection to an endpoint; it carries one exchange at a time. Its HTTP codec lives as long as an exchange, so
     * no bytes are kept from one to the next: whatever comes outside an answer makes the connection unusable.
     */
    private final class Connection extends SimpleChannelInboundHandler<Object> {
        private static final String CODEC = "codec";
        private static final String NAME = "connection";

        private Channel channel;
        private Peer peer;
        private Exchange exchange;
        private long idleSince;
        private final QuietPeriod quiet = new QuietPeriod();
        /** It has brought an answer. */
        private boolean used;
        private boolean interim;
        private int exchanges;
        private long surplusBytes;
        /** Why this side closed it, if it did. */
        private CloseReason closedFor = CloseReason.PEER;
        /** What the system said of its end, if anything. */
        private String cause = "";

        /** The handlers of a new connection: what comes is looked at before and after the codec. */
        private void addTo(ChannelPipeline pipeline) {
            channel = pipeline.channel();
            pipeline.addLast(new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext ctx, Object input) {
                    received(ctx, (ByteBuf) input);
                }
            });
            pipeline.addLast(NAME, this);
        }

        private void begin(Exchange next) {
            exchange = next;
            exchanges++;
            interim = false;
            channel.pipeline().addBefore(NAME, CODEC, new HttpClientCodec());
        }

        private void received(ChannelHandlerContext ctx, ByteBuf input) {
            if (exchange == null || !exchange.flushed) {
                surplusBytes += input.readableBytes();
                input.release();
                strayInput();
            } else if (exchange.complete) {
                exchange.scanner.scan(input);
                surplus(input);
                input.release();
            } else {
                exchange.received(input);
                ctx.fireChannelRead(input);
            }
        }

        /** Bytes have come behind the whole answer. */
        private void surplus(ByteBuf input) {
            surplusBytes += input.readableBytes();
            exchange.surplus.add(input);
        }

        /** Nothing was asked, or not yet in full: what came can't be told from an answer. */
        private void strayInput() {
            if (exchange != null) {
                exchange.corrupted = true;
            }
            close(CloseReason.STRAY_INPUT);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Object part) {
            if (!(part instanceof HttpObject object)) {
                // The codec hands on what is left behind the end of the answer.
                surplus((ByteBuf) part);
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
                    exchange.head(response);
                }
            }
            if (interim) {
                return;
            }
            if (part instanceof HttpContent content && !exchange.body(content.content())) {
                close(CloseReason.UNREADABLE_ANSWER);
            } else if (part instanceof LastHttpContent) {
                exchange.complete = true;
                channel.pipeline().remove(CODEC);
            }
        }

        /** All that has come so far is read: an answer that is whole by now counts, and what is behind it ends its connection. */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (exchange != null && exchange.complete) {
                Exchange ended = exchange;
                exchange = null;
                if (!FaultIsolation.run(ended::conclude)) {
                    ended.interrupted(Interruption.CONNECTION_LOST);
                    ended.over();
                }
                peer.exchangeEnds();
                quiet.begin();
                if (ended.leavesConnectionUsable()) {
                    rest();
                } else {
                    close(reasonToClose(ended));
                }
            }
            ctx.fireChannelReadComplete();
        }

        private static CloseReason reasonToClose(Exchange ended) {
            if (!ended.keepAlive) {
                return CloseReason.NOT_KEPT_ALIVE;
            }
            return ended.surplus.isEmpty() ? CloseReason.UNREADABLE_ANSWER : CloseReason.STRAY_INPUT;
        }

        /** Is kept for the next exchange, if there is room. */
        void rest() {
            if (idle < mostIdle && channel.isActive() && peer.mayIdle()) {
                idleSince = nanos.getAsLong();
                peer.idle.addLast(this);
                idle++;
                if (crowded.contains(peer.kind)) {
                    loop.schedule(this::closeUnused, crowdedNanos, TimeUnit.NANOSECONDS);
                }
            } else {
                close(CloseReason.NOT_KEPT);
            }
        }

        private void closeUnused() {
            if (exchange == null && nanos.getAsLong() - idleSince >= crowdedNanos) {
                close(CloseReason.IDLE);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (peer != null && peer.idle.remove(this)) {
                idle--;
            }
            if (peer != null) {
                ends.connectionClosed(peer.endpoint, closedFor, exchange != null, cause, use());
            }
            if (exchange != null) {
                Exchange broken = exchange;
                exchange = null;
                broken.lost();
            }
        }

        private ConnectionUse use() {
            return new ConnectionUse(exchanges, surplusBytes, used ? quiet.elapsedMs() : -1);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable fault) {
            cause = String.valueOf(fault.getMessage());
            if (!(fault instanceof IOException)) {
                Log.line("fault in a connection to an endpoint, which is closed: " + fault);
            }
            ctx.close();
        }

        /** Whether it can carry another exchange: nothing has come over it since the last, not even its end. */
        boolean isUsable() {
            return channel.isActive() && !((UnreadInputChannel) channel).hasUnreadInput();
        }

        void close(CloseReason reason) {
            if (peer != null && peer.idle.remove(this)) {
                idle--;
            }
            if (closedFor == CloseReason.PEER) {
                closedFor = reason;
            }
            channel.close();
        }
    }
}
