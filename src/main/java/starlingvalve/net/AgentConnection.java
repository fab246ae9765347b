package starlingvalve.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The platform's agent, over one kept connection that carries one request at a time. It may go silent
 * without a sign, so each request has a time limit, after which its connection is given up. Bytes that come while
 * no answer is awaited can't be told from a later answer, so they end their connection; for what comes straight behind an
 * answer the next request waits a moment.
 */
final class AgentConnection implements Discovery.Source {
    /** Part of a request's time limit; a SYN that is lost is repeated only after 1 s. */
    static final int CONNECT_MS = 500;
    private static final int MAX_RESPONSE_BYTES = 4 << 20;
    private static final String CODEC = "codec";
    private static final String AGGREGATOR = "aggregator";
    private static final String RESPONSE_HANDLER = "response";

    private final EventLoop loop;
    private final EventLog events = EventLog.shared();
    private InetSocketAddress address;
    private final Bootstrap bootstrap;
    private Channel channel;
    /** Of {@link #channel}. */
    private final QuietPeriod quiet = new QuietPeriod();
    private Request current;
    private boolean failedHere;

    private final class Request {
        private final Consumer<Optional<FullHttpResponse>> then;
        private Future<?> timer;
        /** It goes over the connection as it stands. */
        private boolean sent;
        /** Its last byte is written: from here on an answer may come. */
        private boolean flushed;

        Request(Consumer<Optional<FullHttpResponse>> then) {
            this.then = then;
        }

        /** Answers once; what comes later is nobody's. */
        void complete(Optional<FullHttpResponse> answer) {
            if (current == this) {
                current = null;
                timer.cancel(false);
                then.accept(answer);
            }
        }
    }

    AgentConnection(EventLoop loop, InetSocketAddress address) {
        this(loop, address, UnreadInputChannel::new);
    }

    /** With channels of its own, for tests. */
    AgentConnection(EventLoop loop, InetSocketAddress address, ChannelFactory<UnreadInputChannel> channels) {
        this.loop = loop;
        this.address = address;
        this.bootstrap = new Bootstrap().group(loop).channelFactory(channels)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel fresh) {
                        fresh.pipeline().addLast(new UnaskedInputGuard());
                        fresh.pipeline().addLast(RESPONSE_HANDLER, new ResponseHandler());
                    }
                });
    }

    @Override
    public void ask(FullHttpRequest request, long limitMs, Consumer<Optional<FullHttpResponse>> then) {
        request.headers().set(HttpHeaderNames.HOST, Endpoints.hostPort(address))
                .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        Request mine = new Request(then);
        current = mine;
        failedHere = false;
        mine.timer = AfterPendingReads.schedule(loop, limitMs, TimeUnit.MILLISECONDS, () -> fail(mine));
        long quietNanos = quiet.remainingNanos();
        if (isConnected() && quietNanos > 0) {
            loop.schedule(() -> start(mine, request), quietNanos, TimeUnit.NANOSECONDS);
        } else {
            start(mine, request);
        }
    }

    private void start(Request mine, FullHttpRequest request) {
        if (current != mine) {
            request.release();
            return;
        }
        if (isConnected()) {
            send(mine, request);
            return;
        }
        disconnect();
        EventLoopListeners.whenDone(loop, bootstrap.connect(address), done -> connected(mine, request, done));
    }

    private void connected(Request mine, FullHttpRequest request, ChannelFuture done) {
        failedHere = current == mine && !done.isSuccess() && isFailureHere(done.cause());
        if (current == mine && done.isSuccess() && isUsable(done.channel())) {
            channel = done.channel();
            send(mine, request);
            return;
        }
        request.release();
        if (done.isSuccess()) {
            done.channel().close();
        }
        mine.complete(Optional.empty());
    }

    /** A peer that refuses, is unreachable or does not answer is another matter. */
    private static boolean isFailureHere(Throwable cause) {
        return !(cause instanceof ConnectException || cause instanceof NoRouteToHostException);
    }

    @Override
    public boolean failedHere() {
        return failedHere;
    }

    /** Whether nothing has come over it that nobody asked for, not even its end. */
    private static boolean isUsable(Channel connection) {
        return connection.isActive() && !((UnreadInputChannel) connection).hasUnreadInput();
    }

    /** With a codec of its own, so that no bytes are kept from one answer to the next. */
    private void send(Request mine, FullHttpRequest request) {
        mine.sent = true;
        channel.pipeline().addBefore(RESPONSE_HANDLER, CODEC, new HttpClientCodec());
        channel.pipeline().addBefore(RESPONSE_HANDLER, AGGREGATOR, new HttpObjectAggregator(MAX_RESPONSE_BYTES));
        channel.writeAndFlush(request).addListener(written -> mine.flushed = written.isSuccess());
    }

    @Override
    public void moved(InetSocketAddress to) {
        address = to;
        giveUp();
        disconnect();
    }

    @Override
    public void disconnect() {
        if (channel != null) {
            channel.close();
            channel = null;
        }
    }

    @Override
    public void giveUp() {
        if (current != null) {
            fail(current);
        }
    }

    @Override
    public boolean isConnected() {
        return channel != null && isUsable(channel);
    }

    private void fail(Request request) {
        if (current != request) {
            return;
        }
        disconnect();
        request.complete(Optional.empty());
    }

    private boolean awaitsAnswer(Channel on) {
        return on == channel && current != null && current.flushed;
    }

    /** Ends a connection over which bytes come that no request has asked for, or not in full yet. */
    private final class UnaskedInputGuard extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object input) {
            if (awaitsAnswer(ctx.channel())) {
                ctx.fireChannelRead(input);
            } else {
                logSurplus("unasked", quiet.elapsedMs());
                ReferenceCountUtil.release(input);
                ctx.close();
            }
        }
    }

    private void logSurplus(String where, long quietMs) {
        events.add("agent-surplus", "where", where, "quiet_ms", quietMs);
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<Object> {
        /** The answer, until all that came with it is read. */
        private Optional<FullHttpResponse> answer = Optional.empty();
        /** Bytes came behind the answer. */
        private boolean surplus;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Object part) {
            if (answer.isPresent() || !(part instanceof FullHttpResponse response)) {
                surplus = true;
            } else if (response.decoderResult().isFailure()) {
                ctx.close();
            } else {
                answer = Optional.of(response.retain());
                ctx.pipeline().remove(CODEC);
                ctx.pipeline().remove(AGGREGATOR);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            answer.ifPresent(response -> {
                answer = Optional.empty();
                deliver(ctx, response);
                response.release();
            });
            ctx.fireChannelReadComplete();
        }

        private void deliver(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (!awaitsAnswer(ctx.channel())) {
                ctx.close();
                return;
            }
            if (surplus) {
                logSurplus("behind-answer", 0);
            }
            if (surplus || !HttpUtil.isKeepAlive(response)) {
                disconnect();
            }
            quiet.begin();
            current.complete(Optional.of(response));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            answer.ifPresent(FullHttpResponse::release);
            answer = Optional.empty();
            if (ctx.channel() == channel) {
                channel = null;
                if (current != null && current.sent) {
                    current.complete(Optional.empty());
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
