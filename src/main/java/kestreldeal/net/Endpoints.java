package kestreldeal.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import kestreldeal.Relay.Outcome;

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
    /** Longest body of an exchange, and longest answer that is read: the protocol's bound for both. */
    private static final int LONGEST_BODY = 64 * 1024;

    interface Ends {
        /** Whether a call that waited for its connection may still go out. */
        boolean mayStart(Call call);

        /** Its first byte is about to be written: whether it may be. */
        boolean begins(Call call);

        /**
         * Told of the end of each call. {@code gone}: the message is over, whatever else is true; {@code open}:
         * its exchange is still out for other calls.
         */
        void ended(Call call, Outcome outcome, boolean gone, double waitMs, boolean open);

        /** An answer that told a wait is whole only now, so the wait runs from now on. */
        void waitTold(long endpoint, double waitMs);

        /** So many messages were written whole to an endpoint. */
        void written(int messages);

        /** The exchange of a call that ended while it was open is over. */
        void closed(Call call);
    }

    private final EventLoop loop;
    private final LongSupplier nanos;
    private final Ends ends;
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

    Endpoints(EventLoop loop, double dialMs, double keepAliveMs, int senders, int mostIdle, Ends ends) {
        this(loop, System::nanoTime, dialMs, keepAliveMs, senders, mostIdle, ends);
    }

    /** With a clock of its own for how long connections idle. */
    Endpoints(EventLoop loop, LongSupplier nanos, double dialMs, double keepAliveMs, int senders, int mostIdle,
            Ends ends) {
        this.loop = loop;
        this.nanos = nanos;
        this.ends = ends;
        this.idleNanos = (long) (keepAliveMs * IDLE_SHARE * 1e6);
        this.crowdedNanos = idleNanos / Math.max(1, senders);
        this.mostIdle = mostIdle;
        this.bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(dialMs))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new Connection());
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
    Call call(Held held, int attempt, long endpoint, double timeoutMs) {
        Peer peer = peers.get(endpoint);
        Call call = new Call(held, attempt, timeoutMs);
        if (peer.gathering == null || !peer.gathering.hasRoom(call)) {
            peer.gathering = new Exchange(peer);
            gathered.add(peer.gathering);
        }
        peer.gathering.add(call);
        return call;
    }

    /** The turn is over: what it asked for goes out. */
    void flush() {
        for (Exchange exchange : gathered) {
            exchange.peer.gathering = null;
            exchange.start();
        }
        gathered.clear();
    }

    /** Stops waiting for a call; its connection is closed when nothing else is waited for on it. */
    void cancel(Call call) {
        call.leave(Outcome.CANCELLED);
    }

    /** Ends a call of which nothing is written yet, as not sent: its connection is still coming up. */
    void callOffUnsent(Call call) {
        if (call.exchange.connection == null) {
            call.leave(Outcome.NOT_SENT);
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
            new ArrayList<>(peer.idle).forEach(Connection::close);
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
            old.forEach(Connection::close);
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

        Connection newestIdle() {
            while (!idle.isEmpty()) {
                Connection newest = idle.removeLast();
                Endpoints.this.idle--;
                if (newest.isOpen() && nanos.getAsLong() - newest.idleSince <= idleNanos()) {
                    return newest;
                }
                newest.close();
            }
            return null;
        }
    }

    /** One attempt of a message on its way. */
    final class Call {
        final Held held;
        final int attempt;
        final long startedNanos = System.nanoTime();
        private final double timeoutMs;
        private final Future<?> timer;
        private Exchange exchange;
        /** Its end is found. */
        private boolean done;
        /** Nobody waits for more of it: it has timed out or is cancelled. */
        private boolean left;
        /** Its end was told while its exchange was out. */
        private boolean toldOpen;

        private Call(Held held, int attempt, double timeoutMs) {
            this.held = held;
            this.attempt = attempt;
            this.timeoutMs = timeoutMs;
            this.timer = Due.in(loop, (long) Math.ceil(timeoutMs * 1000), TimeUnit.MICROSECONDS, this::timedOut);
        }

        private void timedOut() {
            leave(exchange.flushed ? Outcome.TIMED_OUT : Outcome.UNREACHABLE);
        }

        private void leave(Outcome outcome) {
            timer.cancel(false);
            if (left) {
                return;
            }
            left = true;
            boolean last = ++exchange.leftCalls == exchange.calls.size();
            toldOpen = !done && !last && exchange.connection != null;
            end(outcome);
            if (last) {
                exchange.close();
            }
        }

        private void end(Outcome outcome) {
            end(outcome, false, 0);
        }

        private void end(Outcome outcome, boolean gone, double waitMs) {
            if (done) {
                return;
            }
            done = true;
            // Never at once: an end may be found while the module is being called.
            boolean open = toldOpen;
            loop.execute(() -> ends.ended(this, outcome, gone, waitMs, open));
        }

        /** How it ended, by the protocol's word for it. */
        private void end(String word, double waitMs) {
            switch (word) {
                case "accepted" -> end(Outcome.DELIVERED);
                case "deferred" -> end(Outcome.FULL, false, waitMs);
                case "expired" -> end(Outcome.NOT_SENT, true, waitMs);
                case "no_more" -> end(Outcome.NOT_SENT, false, waitMs);
                default -> end(Outcome.ERROR, false, waitMs);
            }
        }

        private byte[] headLine() {
            return (held.id + " " + held.key.orElse("-") + " " + held.body.length + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    /** Calls that travel as one: one request, one answer. */
    private final class Exchange {
        private static final String LINE_END = "\r\n";

        private final Peer peer;
        private final List<Call> calls = new ArrayList<>();
        private int bytes;
        private int leftCalls;
        private Connection connection;
        /** The last byte is out: from here on it may have run. */
        private boolean flushed;
        private double waitMs;

        private Exchange(Peer peer) {
            this.peer = peer;
        }

        private boolean hasRoom(Call call) {
            return calls.size() < peer.batch && bytes + size(call) <= LONGEST_BODY;
        }

        private int size(Call call) {
            return call.headLine().length + call.held.body.length + LINE_END.length();
        }

        private void add(Call call) {
            call.exchange = this;
            calls.add(call);
            bytes += size(call);
        }

        private void start() {
            if (nobodyWaits()) {
                return;
            }
            peer.exchangeBegins();
            Connection kept = peer.newestIdle();
            if (kept != null) {
                write(kept);
            } else {
                bootstrap.connect(peer.address).addListener((ChannelFuture f) -> connected(f));
            }
        }

        /** What was given up before its first byte is not sent any more. */
        private boolean nobodyWaits() {
            calls.removeIf(call -> call.left);
            leftCalls = 0;
            return calls.isEmpty();
        }

        private void connected(ChannelFuture f) {
            if (nobodyWaits()) {
                f.channel().close();
            } else if (!f.isSuccess()) {
                calls.forEach(call -> call.timer.cancel(false));
                calls.forEach(call -> call.end(Outcome.UNREACHABLE));
            } else {
                Connection fresh = f.channel().pipeline().get(Connection.class);
                fresh.peer = peer;
                leaveUnless(ends::mayStart);
                write(fresh);
            }
        }

        private void leaveUnless(Predicate<Call> goesOn) {
            calls.stream().filter(call -> !call.left && !goesOn.test(call))
                    .forEach(call -> call.leave(Outcome.NOT_SENT));
        }

        private void write(Connection on) {
            leaveUnless(ends::begins);
            if (nobodyWaits()) {
                on.rest();
                return;
            }
            connection = on;
            on.exchange = this;
            on.channel.writeAndFlush(calls.size() == 1 ? single(calls.get(0)) : several()).addListener(f -> {
                flushed |= f.isSuccess();
                if (flushed) {
                    ends.written(calls.size());
                }
                if (!f.isSuccess()) {
                    lost();
                    close();
                }
            });
        }

        private FullHttpRequest single(Call call) {
            FullHttpRequest request = request("/v1/messages", Unpooled.wrappedBuffer(call.held.body));
            request.headers().set("X-Call-Id", call.held.id)
                    .set("X-Budget-Ms", Math.max(1, (long) call.timeoutMs));
            call.held.key.ifPresent(key -> request.headers().set("Idempotency-Key", key));
            return request;
        }

        private FullHttpRequest several() {
            ByteBuf body = Unpooled.buffer(bytes);
            double longest = 1;
            for (Call call : calls) {
                body.writeBytes(call.headLine()).writeBytes(call.held.body);
                body.writeCharSequence(LINE_END, StandardCharsets.ISO_8859_1);
                longest = Math.max(longest, call.timeoutMs);
            }
            FullHttpRequest request = request("/v1/messages:batch", body);
            request.headers().set("X-Budget-Ms", (long) longest);
            return request;
        }

        private FullHttpRequest request(String path, ByteBuf body) {
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path, body);
            request.headers().set(HttpHeaderNames.HOST, hostPort(peer.address))
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            return request;
        }

        /** The connection is gone: whether it may have run hangs on the last byte. */
        private void lost() {
            calls.forEach(call -> call.timer.cancel(false));
            calls.forEach(call -> call.end(flushed ? Outcome.BROKEN : Outcome.UNREACHABLE));
            over();
        }

        /** A connection that has gone on to another exchange is left alone. */
        private void close() {
            if (connection != null && connection.exchange == this) {
                connection.close();
                over();
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

        /**
         * What an answer's first line and headers say, by the protocol's table. The time-outs run on, lest a
         * body that never ends hold the connection for good. How several messages fared stands in the body.
         */
        private void answered(HttpResponse response) {
            int code = response.status().code();
            boolean one = calls.size() == 1;
            waitMs = waitMs(response);
            if (code == 503 && !connection.used && !HttpUtil.isKeepAlive(response)) {
                // Its table is full: what idles there keeps the other senders out, and they can't tell this one.
                crowded.add(peer.kind);
            }
            connection.used = true;
            if (code == 200 && !one) {
                return;
            }
            Outcome outcome = switch (code) {
                case 200 -> Outcome.DELIVERED;
                case 429 -> Outcome.FULL;
                case 503 -> response.headers().contains("X-No-Slot") ? Outcome.NOT_SENT : Outcome.FULL;
                case 504, 410 -> Outcome.NOT_SENT;
                case 400, 413 -> one ? Outcome.ERROR : Outcome.NOT_SENT;
                default -> Outcome.ERROR;
            };
            calls.forEach(call -> call.end(outcome, code == 410, waitMs));
        }

        /**
         * The answer is whole; a message of which it says nothing readable may have run. So may all that are left
         * once one has left: a call has one fate at its destination, and what is over there is not counted on.
         */
        private void whole(ByteBuf answer) {
            calls.forEach(call -> call.timer.cancel(false));
            Map<String, String> words = new HashMap<>();
            for (String line : answer.toString(StandardCharsets.ISO_8859_1).split("\r?\n")) {
                String[] parts = line.trim().split(" ");
                if (parts.length == 2) {
                    words.put(parts[0], parts[1]);
                }
            }
            if (calls.size() > 1 && leftCalls > 0) {
                words.clear();
            }
            calls.forEach(call -> call.end(words.getOrDefault(call.held.id, ""), waitMs));
            if (waitMs > 0) {
                // Told with the headers, but it runs from the last byte on, which may come much later.
                loop.execute(() -> ends.waitTold(peer.endpoint, waitMs));
            }
            over();
        }
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

    /** A connection to an endpoint; it carries one exchange at a time. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final ByteBuf answer = Unpooled.buffer(0, LONGEST_BODY);
        private Channel channel;
        private Peer peer;
        private Exchange exchange;
        private long idleSince;
        private boolean keep;
        /** It has brought an answer. */
        private boolean used;
        private boolean interim;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            if (exchange == null || part.decoderResult().isFailure()) {
                // Nothing was asked, or what came is not HTTP: the connection can't be trusted any more.
                ctx.close();
                return;
            }
            if (part instanceof HttpResponse response) {
                interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
                if (!interim) {
                    // An answer that overtakes its request leaves the connection in the middle of it.
                    keep = HttpUtil.isKeepAlive(response) && exchange.flushed;
                    exchange.answered(response);
                }
            }
            if (part instanceof HttpContent content && !interim && exchange.calls.size() > 1) {
                if (content.content().readableBytes() > answer.maxWritableBytes()) {
                    ctx.close();
                    return;
                }
                answer.writeBytes(content.content());
            }
            if (part instanceof LastHttpContent && !interim) {
                exchange.whole(answer);
                exchange = null;
                peer.exchangeEnds();
                answer.clear();
                if (keep) {
                    rest();
                } else {
                    ctx.close();
                }
            }
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
                channel.close();
            }
        }

        private void closeUnused() {
            if (exchange == null && nanos.getAsLong() - idleSince >= crowdedNanos) {
                close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (peer != null && peer.idle.remove(this)) {
                idle--;
            }
            if (exchange != null) {
                exchange.lost();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        boolean isOpen() {
            return channel.isActive();
        }

        void close() {
            if (peer != null && peer.idle.remove(this)) {
                idle--;
            }
            channel.close();
        }
    }
}
