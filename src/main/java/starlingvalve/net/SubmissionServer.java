package starlingvalve.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressivePromise;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GenericProgressiveFutureListener;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import starlingvalve.InvalidInputException;

/**
 * The client side: checks what is handed in, and answers it. A message is journalled before its 202 is
 * written, and told to the module once that is out; what can't be taken is refused, and bad input is
 * answered without harm to anything else.
 */
final class SubmissionServer {
    private static final int LONGEST_BODY = 64 * 1024;
    /** A connection between requests is closed after so long. */
    private static final int IDLE_S = 10;
    /** A request must be whole so soon after the connection came up, or after its first byte. */
    private static final long REQUEST_MS = 2000;
    /** From the begin of a drain: connections between requests are closed from then on, so often. */
    static final long SWEEP_AFTER_MS = 1000;
    private static final long SWEEP_MS = 500;

    /** What a request asks to be delivered. */
    record Submission(String id, String messageClass, String tenant, Optional<String> key,
                      Optional<String> thread, long destination, long budgetMs, byte[] body) {
    }

    /** What became of a submission. */
    enum Decision {
        /** It is taken on, or was before and has run: nobody hands it in again. */
        ACCEPTED(HttpResponseStatus.ACCEPTED),
        /** Handing it in again is harmless. */
        REFUSED(HttpResponseStatus.SERVICE_UNAVAILABLE),
        /** It was taken on before, and given up. */
        FAILED(HttpResponseStatus.GONE);

        private final HttpResponseStatus status;

        Decision(HttpResponseStatus status) {
            this.status = status;
        }
    }

    /** The answer to a submission: why, and for how long to stay away, 0 if nothing is known. */
    record Verdict(Decision decision, String reason, double waitMs, Consumer<Boolean> answered) {
        /** Taken; to be told whether the client may have heard so, or never will. */
        static Verdict accepted(Consumer<Boolean> answered) {
            return new Verdict(Decision.ACCEPTED, "", 0, answered);
        }

        static Verdict refused(String reason) {
            return refused(reason, 0);
        }

        static Verdict refused(String reason, double waitMs) {
            return new Verdict(Decision.REFUSED, reason, waitMs, heard -> { });
        }

        /** A message that has ended is handed in again: what became of it. */
        static Verdict finished(FinishedMessage message) {
            return switch (message.result()) {
                case DELIVERED -> accepted(heard -> { });
                case REFUSED -> refused("it was handed back", message.waitMs());
                case FAILED -> new Verdict(Decision.FAILED, "it was given up", 0, heard -> { });
            };
        }

        boolean accepted() {
            return decision == Decision.ACCEPTED;
        }
    }

    /** The sender's side of a request. */
    interface SubmissionHandler {
        /** Whether messages can be taken now. */
        boolean ready();

        /** Whether the module knows this class; the path names it too. */
        boolean knowsClass(String name);

        boolean knowsTenant(String name);

        boolean needsKey(String messageClass);

        /** Journals a message, or refuses it; a message that is held already is kept. One verdict follows. */
        void take(Submission submission, Consumer<Verdict> then);

        /** A request was answered with an error, and nothing of it taken. */
        default void rejected(HttpResponseStatus status, String reason) {
        }

        /**
         * A client's connection has ended, other than behind an answer that says so or between requests by the client.
         *
         * @param underRequest whether a part of a request had come over it that was not answered
         * @param cause what the system said, or nothing
         */
        default void closed(CloseReason reason, boolean underRequest, String cause) {
        }

        /** A connection could not be accepted. */
        default void acceptFailed(Exception cause) {
        }
    }

    /** Why a client's connection is closed, other than behind an answer that says so. */
    enum CloseReason {
        /** It was idle for too long. */
        IDLE,
        /** Newer clients need its descriptor. */
        MAKES_ROOM,
        /** There is no descriptor for it. */
        NO_ROOM,
        /** Clients are sent away. */
        SENT_AWAY,
        /** Its request was not whole in time. */
        REQUEST_NOT_WHOLE,
        /** The connection broke, or what came over it can't be read. */
        BROKEN,
        /** The client ended it in the middle of a request. */
        PEER
    }

    /** Stands for a close that the system gave no reason for. */
    private static final String NO_CAUSE = "";

    private final EventLoop loop;
    private final SubmissionHandler desk;
    private final SubmissionReader submissions;
    private final int mostClients;
    private final ClientAdmission admission;
    /** Connections between requests, the longest idle first. */
    private final Set<Channel> idle = new LinkedHashSet<>();
    private final ServerBootstrap bootstrap;
    private Optional<TcpListener> listener = Optional.empty();
    private final Set<Channel> clients = new LinkedHashSet<>();
    private boolean closing;
    private boolean draining;
    private boolean left;
    private boolean sweepDue;
    /** Nothing that clients send is read any more. */
    private boolean readsNoMore;

    /** Accepts on the loop that also serves the connections, for tests. */
    SubmissionServer(EventLoop loop, int mostClients, SubmissionHandler desk) {
        this(loop, loop, mostClients, desk);
    }

    /** {@code acceptor} accepts connections and does nothing else; {@code loop} serves them. */
    SubmissionServer(EventLoop acceptor, EventLoop loop, int mostClients, SubmissionHandler desk) {
        this.loop = loop;
        this.desk = desk;
        this.submissions = new SubmissionReader(desk);
        this.mostClients = mostClients;
        this.admission = new ClientAdmission(mostClients);
        bootstrap = new ServerBootstrap().group(acceptor, loop)
                .channelFactory(() -> new TcpListener(new Admission()))
                .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                .option(ChannelOption.SO_BACKLOG, 512)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(pipeline());
    }

    /** What each connection goes through. */
    ChannelInitializer<Channel> pipeline() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new IdleStateHandler(0, 0, IDLE_S), new Between(),
                        new HttpServerCodec(), new Bodies(), new Client());
            }
        };
    }

    /** Begins to listen, also beside another process of this sender. */
    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = bootstrap.bind(address);
        // Where no socket could be made, the channel of the failed future is none of these.
        if (bound.channel() instanceof TcpListener made) {
            listener = Optional.of(made);
        }
        return bound;
    }

    /** Called on the acceptor's thread; the desk is the loop's. */
    private final class Admission implements TcpListener.Admission {
        @Override
        public boolean admit(Channel accepted) {
            boolean admitted = admission.admit(accepted);
            if (!admitted) {
                loop.execute(() -> desk.closed(CloseReason.NO_ROOM, false, NO_CAUSE));
            }
            return admitted;
        }

        @Override
        public void acceptFailed(Exception cause) {
            loop.execute(() -> desk.acceptFailed(cause));
        }
    }

    /** Whether a part of a request has come over it that is not answered. */
    private boolean isUnderRequest(Channel client) {
        return clients.contains(client) && !idle.contains(client);
    }

    private void nowIdle(Channel client) {
        idle.add(client);
        admission.idle(idle.size());
    }

    private void notIdle(Channel client) {
        idle.remove(client);
        admission.idle(idle.size());
    }

    /** Takes no new connection for now; {@link #listen} begins again. */
    void listenNoMore() {
        listener.ifPresent(TcpListener::acceptAllAndClose);
    }

    /** A new process listens at the address: this one ends its connections, each with its next answer. */
    void leave() {
        listener.ifPresent(TcpListener::acceptAllAndClose);
        left = true;
        sweepLater(SWEEP_AFTER_MS);
    }

    /**
     * Takes no new connection, and ends each that stands with the answer to its next request. None is closed
     * between requests: one that is on its way to it would be ended without an answer.
     */
    void close() {
        closing = true;
        listener.ifPresent(TcpListener::acceptAllAndClose);
    }

    /**
     * The process may be gone at any moment: a request that was read could go unanswered, one that was not read is
     * sent once more by its client.
     */
    void readNoMore() {
        readsNoMore = true;
        clients.forEach(client -> client.config().setAutoRead(false));
    }

    /**
     * Sends clients away, or takes them again. Each answer then ends its connection; those between requests
     * are closed only after a time, since new ones come until the front has heard.
     */
    void drain(boolean on) {
        draining = on;
        sweepLater(SWEEP_AFTER_MS);
    }

    private void sweepLater(long ms) {
        if ((draining || left) && !sweepDue) {
            sweepDue = true;
            loop.schedule(this::sweep, ms, TimeUnit.MILLISECONDS);
        }
    }

    private void sweep() {
        sweepDue = false;
        if (draining || left) {
            new ArrayList<>(idle).forEach(client -> close(client, CloseReason.SENT_AWAY));
            sweepLater(SWEEP_MS);
        }
    }

    /** Where it listens. */
    InetSocketAddress address() {
        return listener.orElseThrow().localAddress();
    }

    /** Connections that clients have open. */
    int clients() {
        return clients.size();
    }

    /** Whether no client has a connection, and none can come any more. */
    boolean hasEnded() {
        return clients.isEmpty() && admission.open() == 0 && listener.filter(TcpListener::isOpen).isEmpty();
    }

    /** Makes room for a connection that has just become idle itself; if no other one is, it is the one closed. */
    private void closeLongestIdle() {
        Channel victim = idle.iterator().next();
        close(victim, CloseReason.MAKES_ROOM);
        // Its end is told only after this burst of connections, each of which needs another victim.
        notIdle(victim);
    }

    private void close(Channel client, CloseReason reason) {
        close(client, reason, NO_CAUSE);
    }

    private void close(Channel client, CloseReason reason, String cause) {
        if (!MessageRules.mayClose(reason, isUnderRequest(client))) {
            return;
        }
        client.pipeline().get(Client.class).closes(client, reason, cause);
        client.close();
    }

    /** A connection with part of a request is not between requests. */
    private final class Between extends RequestDeadline {
        Between() {
            super(REQUEST_MS);
        }

        @Override
        void bytes(ChannelHandlerContext ctx) {
            notIdle(ctx.channel());
        }

        @Override
        void expired(ChannelHandlerContext ctx) {
            ctx.pipeline().get(Client.class).closes(ctx.channel(), CloseReason.REQUEST_NOT_WHOLE, NO_CAUSE);
        }
    }

    /** Collects bodies; a longer one is answered 413, and what the client still sends is read and dropped. */
    private static final class Bodies extends HttpObjectAggregator {
        Bodies() {
            super(LONGEST_BODY);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            FullHttpResponse answer = answer(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over 64 KiB");
            answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            ctx.pipeline().get(Client.class).ended = true;
            // Closing at once would reset the connection under a client that still sends, before it reads.
            ctx.writeAndFlush(answer).addListener(f -> ctx.executor().schedule(() -> ctx.close(), 1,
                    TimeUnit.SECONDS));
        }
    }

    private final class Client extends SimpleChannelInboundHandler<FullHttpRequest> {
        /** Its last answer is written: what it still sends is no request. */
        private boolean ended;
        /** Why it is closed is told. */
        private boolean closeTold;

        /** Tells once why this connection ends. */
        private void closes(Channel client, CloseReason reason, String cause) {
            if (!closeTold && !ended) {
                closeTold = true;
                desk.closed(reason, isUnderRequest(client), cause);
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            nowIdle(ctx.channel());
            clients.add(ctx.channel());
            if (readsNoMore) {
                ctx.channel().config().setAutoRead(false);
            }
            if (clients.size() > mostClients) {
                closeLongestIdle();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (!idle.contains(ctx.channel())) {
                closes(ctx.channel(), CloseReason.PEER, NO_CAUSE);
            }
            clients.remove(ctx.channel());
            notIdle(ctx.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (ended) {
                return;
            }
            ctx.pipeline().get(Between.class).whole();
            notIdle(ctx.channel());
            String path = request.uri().split("\\?", 2)[0];
            if (request.decoderResult().isFailure()) {
                end(ctx, request, HttpResponseStatus.BAD_REQUEST, "not HTTP", true);
            } else if (path.equals("/healthz")) {
                end(ctx, request, desk.ready() && !draining ? HttpResponseStatus.OK
                        : HttpResponseStatus.SERVICE_UNAVAILABLE, "", false);
            } else if (!desk.knowsClass(path.split("/", 3).length > 1 ? path.split("/", 3)[1] : "")) {
                end(ctx, request, HttpResponseStatus.NOT_FOUND, "no such path", false);
            } else if (!request.method().equals(HttpMethod.POST)) {
                end(ctx, request, HttpResponseStatus.METHOD_NOT_ALLOWED, "messages are handed in by POST",
                        false);
            } else {
                handIn(ctx, request, path);
            }
        }

        private void handIn(ChannelHandlerContext ctx, FullHttpRequest request, String path) {
            Submission submission;
            try {
                submission = submissions.read(request, path.split("/", 3)[1]);
            } catch (InvalidInputException bad) {
                end(ctx, request, HttpResponseStatus.BAD_REQUEST, bad.getMessage(), false);
                return;
            }
            boolean close = !HttpUtil.isKeepAlive(request);
            desk.take(submission, verdict -> {
                if (verdict.accepted()) {
                    ChannelProgressivePromise written = ctx.newProgressivePromise();
                    written.addListener(new ResponseWriteListener(verdict.answered()));
                    end(ctx, close, answer(HttpResponseStatus.ACCEPTED, ""), written);
                } else {
                    FullHttpResponse refusal = answer(verdict.decision().status, verdict.reason());
                    if (verdict.waitMs() > 0) {
                        refusal.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(verdict.waitMs()));
                    }
                    end(ctx, close, refusal);
                }
            });
        }

        private ChannelFuture end(ChannelHandlerContext ctx, FullHttpRequest request,
                HttpResponseStatus status, String text, boolean close) {
            if (status.codeClass() == HttpStatusClass.CLIENT_ERROR) {
                desk.rejected(status, text);
            }
            return end(ctx, close || !HttpUtil.isKeepAlive(request), answer(status, text));
        }

        private ChannelFuture end(ChannelHandlerContext ctx, boolean close, FullHttpResponse answer) {
            return end(ctx, close, answer, ctx.newPromise());
        }

        private ChannelFuture end(ChannelHandlerContext ctx, boolean close, FullHttpResponse answer,
                ChannelPromise promise) {
            boolean last = close || closing || draining || left;
            if (last) {
                ended = true;
                answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            } else if (ctx.channel().isActive()) {
                // One that went while its verdict was out would stand here for good, and make no room.
                nowIdle(ctx.channel());
            }
            ChannelFuture written = ctx.writeAndFlush(answer, promise);
            return last ? written.addListener(ChannelFutureListener.CLOSE) : written;
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof IdleStateEvent) {
                close(ctx.channel(), CloseReason.IDLE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            close(ctx.channel(), CloseReason.BROKEN, String.valueOf(cause.getMessage()));
        }
    }

    /** Finds out whether a client may have heard an answer: one of which a part went out, it may have. */
    private static final class ResponseWriteListener
            implements GenericProgressiveFutureListener<ChannelProgressiveFuture> {
        private final Consumer<Boolean> heard;
        private boolean begun;

        ResponseWriteListener(Consumer<Boolean> heard) {
            this.heard = heard;
        }

        @Override
        public void operationProgressed(ChannelProgressiveFuture write, long progress, long total) {
            begun |= progress > 0;
        }

        @Override
        public void operationComplete(ChannelProgressiveFuture write) {
            heard.accept(begun || write.isSuccess());
        }
    }

    /** As the protocol has it: with decimals. */
    private static String seconds(double ms) {
        return Double.toString(Math.ceil(ms) / 1000);
    }

    private static FullHttpResponse answer(HttpResponseStatus status, String text) {
        FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
        return answer;
    }
}
