package starlingvalve.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
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
 * A persistent connection to the platform's agent, which carries one request at a time. The agent may stop responding
 * without closing the connection, so each request has a time limit; when it passes, the connection is closed. Bytes
 * that arrive while no answer is awaited could be mistaken for the answer to a later request, so the connection is
 * closed. To detect such bytes right after an answer, the next request is delayed by a {@link QuietPeriod}.
 */
final class AgentConnection implements Discovery.Source {
    /** Connect time-out, included in a request's time limit. The kernel repeats a lost SYN only after 1 s. */
    static final int CONNECT_MS = 500;
    /**
     * Reads of an answer that are kept as they are; with a further one all are copied into one buffer, so that little
     * input never keeps many read buffers.
     */
    private static final int MAX_KEPT_READS = 16;
    private static final String CODEC = "codec";
    private static final String AGGREGATOR = "aggregator";
    private static final String RESPONSE_HANDLER = "response";

    private final EventLoop loop;
    private final int maxAnswerBytes;
    private final InputMemory memory;
    private final EventLog events = EventLog.shared();
    private InetSocketAddress address;
    private final Bootstrap bootstrap;
    private Channel channel;
    /** The quiet period after the last answer on {@link #channel}. */
    private final QuietPeriod quietPeriod = new QuietPeriod();
    /** The request that is not ended yet, or null. */
    private Request current;
    private boolean failedLocally;

    /** A request that ends with an answer or without one. */
    private final class Request implements InputMemory.Holder {
        private final Consumer<Optional<FullHttpResponse>> callback;
        private Future<?> timer;
        /** Whether the request is assigned to the current connection, whose end therefore ends the request too. */
        private boolean sent;
        /** Whether the last byte of the request is written, so that an answer may arrive. */
        private boolean flushed;
        private long answerBytes;

        Request(Consumer<Optional<FullHttpResponse>> callback) {
            this.callback = callback;
        }

        /** Counts received bytes of the answer, which may end this request or another one as unanswered. */
        void received(int bytes) {
            answerBytes += bytes;
            memory.update(this, answerBytes);
        }

        @Override
        public boolean canBeGivenUp() {
            return current == this;
        }

        @Override
        public void giveUp() {
            Log.line("an answer of the agent is given up, as all together hold too much memory");
            fail(this);
        }

        /** Passes the result to the callback, at most once; later results are ignored. */
        void complete(Optional<FullHttpResponse> answer) {
            if (current == this) {
                current = null;
                memory.release(this);
                timer.cancel(false);
                callback.accept(answer);
            }
        }
    }

    /** For tests: with a limit of its own, for lists. */
    AgentConnection(EventLoop loop, InetSocketAddress address) {
        this(loop, address, UnreadInputChannel::new);
    }

    /** For tests, which provide their own channels. */
    AgentConnection(EventLoop loop, InetSocketAddress address, ChannelFactory<UnreadInputChannel> channels) {
        this(loop, address, channels, EndpointList.MAX_ANSWER_BYTES,
                InputMemory.ofHeap(InputMemory.LISTS_HEAP_DIVISOR));
    }

    /**
     * Creates the connection, which is opened with the first request.
     *
     * @param maxAnswerBytes length of the longest answer that is read; a longer one closes the connection
     * @param memory limits what this connection and others hold of answers
     */
    AgentConnection(EventLoop loop, InetSocketAddress address, ChannelFactory<UnreadInputChannel> channels,
            int maxAnswerBytes, InputMemory memory) {
        this.loop = loop;
        this.maxAnswerBytes = maxAnswerBytes;
        this.memory = memory;
        this.address = address;
        this.bootstrap = new Bootstrap().group(loop).channelFactory(channels)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new ReadBuffers(ReadBuffers.LARGE_BYTES))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel newChannel) {
                        newChannel.pipeline().addLast(new UnsolicitedInputGuard());
                        newChannel.pipeline().addLast(RESPONSE_HANDLER, new ResponseHandler());
                    }
                });
    }

    @Override
    public void sendRequest(FullHttpRequest request, long limitMs, Consumer<Optional<FullHttpResponse>> callback) {
        request.headers().set(HttpHeaderNames.HOST, Endpoints.hostPort(address))
                .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        Request pending = new Request(callback);
        current = pending;
        failedLocally = false;
        pending.timer = AfterPendingReads.schedule(loop, limitMs, TimeUnit.MILLISECONDS, () -> fail(pending));
        long quietPeriodNanos = quietPeriod.remainingNanos();
        if (isConnected() && quietPeriodNanos > 0) {
            loop.schedule(() -> start(pending, request), quietPeriodNanos, TimeUnit.NANOSECONDS);
        } else {
            start(pending, request);
        }
    }

    private void start(Request pending, FullHttpRequest request) {
        if (current != pending) {
            request.release();
            return;
        }
        if (isConnected()) {
            send(pending, request);
            return;
        }
        disconnect();
        EventLoopListeners.whenDone(loop, bootstrap.connect(address), connect -> connected(pending, request, connect));
    }

    private void connected(Request pending, FullHttpRequest request, ChannelFuture connect) {
        failedLocally = current == pending && !connect.isSuccess() && isLocalFailure(connect.cause());
        if (current == pending && connect.isSuccess() && isUsable(connect.channel())) {
            channel = connect.channel();
            send(pending, request);
            return;
        }
        request.release();
        if (connect.isSuccess()) {
            connect.channel().close();
        }
        pending.complete(Optional.empty());
    }

    /** Whether connecting failed on this machine; false if the peer refuses, is unreachable or does not answer. */
    private static boolean isLocalFailure(Throwable cause) {
        return !(cause instanceof ConnectException || cause instanceof NoRouteToHostException);
    }

    @Override
    public boolean failedLocally() {
        return failedLocally;
    }

    /** Whether the connection is open and has no unread input, not even an end of stream. */
    private static boolean isUsable(Channel connection) {
        return connection.isActive() && !((UnreadInputChannel) connection).hasUnreadInput();
    }

    /** Sends the request with a new codec, so that the codec keeps no bytes from one answer to the next. */
    private void send(Request pending, FullHttpRequest request) {
        pending.sent = true;
        HttpObjectAggregator aggregator = new HttpObjectAggregator(maxAnswerBytes);
        aggregator.setMaxCumulationBufferComponents(MAX_KEPT_READS);
        channel.pipeline().addBefore(RESPONSE_HANDLER, CODEC, BoundedHeaders.clientCodec());
        channel.pipeline().addBefore(RESPONSE_HANDLER, AGGREGATOR, aggregator);
        channel.writeAndFlush(request).addListener(written -> pending.flushed = written.isSuccess());
    }

    @Override
    public void changeAddress(InetSocketAddress newAddress) {
        address = newAddress;
        cancelRequest();
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
    public void cancelRequest() {
        if (current != null) {
            fail(current);
        }
    }

    @Override
    public boolean isConnected() {
        return channel != null && isUsable(channel);
    }

    /** Closes the connection and ends the request as unanswered, if it has not ended yet. */
    private void fail(Request request) {
        if (current != request) {
            return;
        }
        disconnect();
        request.complete(Optional.empty());
    }

    private boolean awaitsAnswer(Channel receiver) {
        return receiver == channel && current != null && current.flushed;
    }

    /** Closes a connection on which bytes arrive while no request is in flight or before it is fully written. */
    private final class UnsolicitedInputGuard extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object input) {
            if (awaitsAnswer(ctx.channel())) {
                current.received(((ByteBuf) input).readableBytes());
                ctx.fireChannelRead(input);
            } else {
                logSurplus("unasked", quietPeriod.elapsedMs());
                ReferenceCountUtil.release(input);
                ctx.close();
            }
        }
    }

    /** Logs bytes that belong to no request. */
    private void logSurplus(String where, long quietMs) {
        events.add("agent-surplus", "where", where, "quiet_ms", quietMs);
    }

    /** Passes the answer to the request in flight, and closes the connection if it can carry no further request. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<Object> {
        /** The answer, kept until the bytes that arrived with it are read. */
        private Optional<FullHttpResponse> answer = Optional.empty();
        /** Whether bytes arrived after the answer. */
        private boolean surplus;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Object message) {
            if (answer.isPresent() || !(message instanceof FullHttpResponse response)) {
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
            quietPeriod.begin();
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
            OutOfMemoryExit.exitIfExhausted(cause);
            ctx.close();
        }
    }
}
