package starlingvalve.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
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
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import starlingvalve.InvalidInputException;

/**
 * The HTTP server for clients: validates their submissions, passes them to a {@link SubmissionHandler} and answers
 * them. A message is journalled before its 202 is written, and passed to the delivery policy once that answer is
 * written. A message that can't be accepted is refused with a 503; invalid input is answered with a 4xx and affects
 * nothing else.
 */
final class SubmissionServer {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    /** A connection between requests is closed after this time. */
    private static final int IDLE_TIMEOUT_S = 10;
    /** Time for a complete request to arrive, from the start of the connection or from the request's first byte. */
    private static final long REQUEST_TIMEOUT_MS = 2000;
    /**
     * Connections between requests are closed this long after a drain has begun or a successor listens, and then every
     * {@link #IDLE_CLOSE_PERIOD_MS}.
     */
    static final long IDLE_CLOSE_DELAY_MS = 1000;
    private static final long IDLE_CLOSE_PERIOD_MS = 500;

    /** A message that a client asks to deliver; forwarded to the successor process as JSON during a handover. */
    record Submission(String id, String messageClass, String tenant, Optional<String> key,
                      Optional<String> thread, long destination, long budgetMs, byte[] body) {
    }

    /** The outcome of a submission. */
    enum Decision {
        /** The message is accepted, or was accepted earlier and is delivered: the client doesn't submit it again. */
        ACCEPTED(HttpResponseStatus.ACCEPTED),
        /** The message is not accepted, or was returned unprocessed: submitting it again is harmless. */
        REFUSED(HttpResponseStatus.SERVICE_UNAVAILABLE),
        /** The message was accepted earlier, and its delivery was given up. */
        FAILED(HttpResponseStatus.GONE);

        private final HttpResponseStatus status;

        Decision(HttpResponseStatus status) {
            this.status = status;
        }
    }

    /**
     * The answer to a submission.
     *
     * @param reason why the message is not accepted; empty if it is
     * @param waitMs time for which the client should not submit again, sent as {@code Retry-After}; 0 if unknown
     * @param answerListener called once the answer of an accepted message is written, or can't be: with whether the
     *     client may have received it
     */
    record Verdict(Decision decision, String reason, double waitMs, Consumer<Boolean> answerListener) {
        /**
         * The verdict on an accepted message.
         *
         * @param answerListener called with whether the client may have received the answer; with false if it never
         *     will
         */
        static Verdict accepted(Consumer<Boolean> answerListener) {
            return new Verdict(Decision.ACCEPTED, "", 0, answerListener);
        }

        /** The verdict on a refused message; when to submit it again is unknown. */
        static Verdict refused(String reason) {
            return refused(reason, 0);
        }

        /** The verdict on a refused message, to be submitted again after {@code waitMs} at the earliest. */
        static Verdict refused(String reason, double waitMs) {
            return new Verdict(Decision.REFUSED, reason, waitMs, mayBeReceived -> { });
        }

        /** The verdict on a message that is submitted again after it has ended: its result. */
        static Verdict finished(FinishedMessage message) {
            return switch (message.result()) {
                case DELIVERED -> accepted(mayBeReceived -> { });
                case REFUSED -> refused("it was handed back", message.waitMs());
                case FAILED -> new Verdict(Decision.FAILED, "it was given up", 0, mayBeReceived -> { });
            };
        }

        /** Whether the message is accepted. */
        boolean accepted() {
            return decision == Decision.ACCEPTED;
        }
    }

    /** Decides on submissions, and is notified of errors on clients' connections. */
    interface SubmissionHandler {
        /** Whether messages can be accepted now. */
        boolean ready();

        /** Whether this message class is configured; it is the first element of a request's path, too. */
        boolean knowsClass(String name);

        /** Whether messages of this tenant may be accepted. */
        boolean knowsTenant(String name);

        /** Whether a message of this class must have an idempotency key. */
        boolean needsKey(String messageClass);

        /**
         * Journals a message or rejects it; if a message with its id is open already, that one is kept. Calls
         * {@code callback} once, with the verdict.
         */
        void submit(Submission submission, Consumer<Verdict> callback);

        /**
         * Called when a request is answered with a client error, or refused before it was complete; nothing of it was
         * accepted.
         */
        default void rejected(HttpResponseStatus status, String reason) {
        }

        /**
         * Called when a client's connection is closed, other than after an answer with {@code Connection: close}, or by
         * the client between requests.
         *
         * @param unansweredRequest whether at least a part of a request was received that was not answered
         * @param cause the system's error message, or empty
         */
        default void connectionClosed(CloseReason reason, boolean unansweredRequest, String cause) {
        }

        /** Called for the first of several failures in a row to accept a connection. */
        default void acceptFailed(Exception cause) {
        }
    }

    /** Why a client's connection is closed, other than after an answer with {@code Connection: close}. */
    enum CloseReason {
        /** The connection was idle for too long. */
        IDLE,
        /** A newer connection needs its file descriptor. */
        MAKES_ROOM,
        /** There is no file descriptor for the connection, so it is not admitted. */
        NO_ROOM,
        /** Clients are drained, or the successor listens. */
        SENT_AWAY,
        /** Its request did not arrive completely in time. */
        REQUEST_NOT_WHOLE,
        /** The client did not take off its answer in time. */
        ANSWER_NOT_READ,
        /** The connection failed, or its input can't be read. */
        BROKEN,
        /** The client closed the connection before its request was answered. */
        PEER
    }

    /** The cause of a close without an error message of the system. */
    private static final String NO_CAUSE = "";

    private final EventLoop loop;
    private final SubmissionHandler handler;
    private final SubmissionReader submissionReader;
    private final int maxClients;
    private final ClientAdmission admission;
    private final InputMemory inputMemory;
    /** Complete submissions that are not decided on yet, by connection, in the order in which they were read. */
    private final Map<Channel, Runnable> undecided = new LinkedHashMap<>();
    /** Connections between requests, the one that is idle longest first. */
    private final Set<Channel> idle = new LinkedHashSet<>();
    private final ServerBootstrap bootstrap;
    private Optional<TcpListener> listener = Optional.empty();
    private final Set<Channel> clients = new LinkedHashSet<>();
    private boolean closing;
    private boolean draining;
    private boolean successorListens;
    private boolean idleCloseScheduled;
    /** Whether reading from all connections has stopped. */
    private boolean readingStopped;

    /** For tests: accepts connections on the event loop that also serves them. */
    SubmissionServer(EventLoop loop, int maxClients, SubmissionHandler handler) {
        this(loop, loop, maxClients, InputMemory.ofHeap(InputMemory.REQUESTS_HEAP_DIVISOR), handler);
    }

    /** For tests: with another limit on the bytes of incomplete requests. */
    SubmissionServer(EventLoop loop, int maxClients, InputMemory inputMemory, SubmissionHandler handler) {
        this(loop, loop, maxClients, inputMemory, handler);
    }

    /** {@code acceptor} accepts connections and does nothing else; {@code loop} serves them. */
    SubmissionServer(EventLoop acceptor, EventLoop loop, int maxClients, InputMemory inputMemory,
            SubmissionHandler handler) {
        this.loop = loop;
        this.inputMemory = inputMemory;
        this.handler = handler;
        this.submissionReader = new SubmissionReader(handler);
        this.maxClients = maxClients;
        this.admission = new ClientAdmission(maxClients);
        bootstrap = new ServerBootstrap().group(acceptor, loop)
                .channelFactory(() -> new TcpListener(new CountingAdmission()))
                .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                .option(ChannelOption.SO_BACKLOG, 512)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new ReadBuffers(ReadBuffers.SMALL_BYTES))
                .childHandler(pipeline());
    }

    /** Sets up the pipeline of an accepted connection. */
    ChannelInitializer<Channel> pipeline() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                RequestDecoder decoder = new RequestDecoder(inputMemory);
                channel.pipeline().addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_S),
                        new ClientRequestDeadline(decoder), decoder, new ResponseEncoder(decoder),
                        new RequestAssembler(decoder, MAX_BODY_BYTES), new ClientHandler(decoder));
            }
        };
    }

    /** Listens at an address, where another process of this sender may be listening, too. */
    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bindFuture = bootstrap.bind(address);
        // If no socket could be created, the failed future has a channel of another type.
        if (bindFuture.channel() instanceof TcpListener created) {
            listener = Optional.of(created);
        }
        return bindFuture;
    }

    /** Called on the acceptor's event loop; the handler is called on the loop that serves connections. */
    private final class CountingAdmission implements TcpListener.Admission {
        @Override
        public boolean admit(Channel accepted) {
            boolean admitted = admission.admit(accepted);
            if (!admitted) {
                loop.execute(() -> handler.connectionClosed(CloseReason.NO_ROOM, false, NO_CAUSE));
            }
            return admitted;
        }

        @Override
        public void acceptFailed(Exception cause) {
            loop.execute(() -> handler.acceptFailed(cause));
        }
    }

    /** Whether at least a part of a request was received from this client that is not answered. */
    private boolean hasUnansweredRequest(Channel client) {
        return clients.contains(client) && !idle.contains(client);
    }

    private void addIdle(Channel client) {
        idle.add(client);
        admission.updateIdle(idle.size());
    }

    private void removeIdle(Channel client) {
        idle.remove(client);
        admission.updateIdle(idle.size());
    }

    /** Stops accepting connections; {@link #listen} starts again. */
    void stopListening() {
        listener.ifPresent(TcpListener::acceptPendingAndClose);
    }

    /**
     * Stops accepting, as the successor listens at the address. Each connection is closed with its next answer; those
     * between requests are closed after {@link #IDLE_CLOSE_DELAY_MS}.
     */
    void closeForSuccessor() {
        listener.ifPresent(TcpListener::acceptPendingAndClose);
        successorListens = true;
        scheduleIdleClose(IDLE_CLOSE_DELAY_MS);
    }

    /**
     * Stops accepting, and closes each connection with its next answer. None is closed between requests: a request
     * that is on its way would stay unanswered.
     */
    void close() {
        closing = true;
        listener.ifPresent(TcpListener::acceptPendingAndClose);
    }

    /**
     * Reads no more requests, as the process may end at any moment: a request that was read might stay unanswered,
     * while one that was not read is sent again by its client. Those that were read are decided on now.
     */
    void stopReading() {
        readingStopped = true;
        List.copyOf(undecided.keySet()).forEach(this::decide);
        clients.forEach(client -> client.pipeline().get(RequestDecoder.class).stop());
    }

    /**
     * Decides on a submission once the input behind it is read. If that shows that its client has closed the
     * connection, the submission has no effect: the client has stopped waiting, and may hand the message in elsewhere.
     */
    private void decideUnlessClosed(Channel client, Runnable decision) {
        undecided.put(client, decision);
        client.pipeline().get(RequestDecoder.class).readAhead(true);
        EventLoop clientLoop = client.eventLoop();
        // Not from within the read phase, at whose end a task would run before the next one.
        clientLoop.execute(() -> AfterPendingReads.execute(clientLoop, () -> decide(client)));
    }

    private void decide(Channel client) {
        Runnable decision = undecided.remove(client);
        if (decision != null && client.isActive()) {
            client.pipeline().get(RequestDecoder.class).readAhead(false);
            try {
                decision.run();
            } catch (RuntimeException e) {
                client.pipeline().fireExceptionCaught(e);
            }
        }
    }

    /**
     * Starts or ends a drain of clients. During a drain each answer closes its connection. Connections between requests
     * are closed repeatedly, first after {@link #IDLE_CLOSE_DELAY_MS}: clients keep connecting until the front end
     * that routes them has noticed the drain.
     */
    void drain(boolean on) {
        draining = on;
        scheduleIdleClose(IDLE_CLOSE_DELAY_MS);
    }

    private void scheduleIdleClose(long ms) {
        if ((draining || successorListens) && !idleCloseScheduled) {
            idleCloseScheduled = true;
            loop.schedule(this::closeIdle, ms, TimeUnit.MILLISECONDS);
        }
    }

    private void closeIdle() {
        idleCloseScheduled = false;
        if (draining || successorListens) {
            new ArrayList<>(idle).forEach(client -> close(client, CloseReason.SENT_AWAY));
            scheduleIdleClose(IDLE_CLOSE_PERIOD_MS);
        }
    }

    /** The address at which the server listens. */
    InetSocketAddress address() {
        return listener.orElseThrow().localAddress();
    }

    /** The number of open connections of clients. */
    int clients() {
        return clients.size();
    }

    /** Whether no connection is open and the listener is closed. */
    boolean isTerminated() {
        return clients.isEmpty() && admission.open() == 0 && listener.filter(TcpListener::isOpen).isEmpty();
    }

    /**
     * Makes room for a new connection, which counts as idle itself: if no other connection is idle, the new one is
     * closed.
     */
    private void closeLongestIdle() {
        Channel longestIdle = idle.iterator().next();
        close(longestIdle, CloseReason.MAKES_ROOM);
        // channelInactive is called only after this burst of new connections, each of which must close another one.
        removeIdle(longestIdle);
    }

    private void close(Channel client, CloseReason reason) {
        close(client, reason, NO_CAUSE);
    }

    private void close(Channel client, CloseReason reason, String cause) {
        if (!MessageRules.mayClose(reason, hasUnansweredRequest(client))) {
            return;
        }
        client.pipeline().get(ClientHandler.class).reportClose(client, reason, cause);
        client.close();
    }

    /** Limits the time for a request to arrive; a connection is not idle once bytes of a request are received. */
    private final class ClientRequestDeadline extends RequestDeadline {
        ClientRequestDeadline(RequestDecoder decoder) {
            super(REQUEST_TIMEOUT_MS, decoder);
        }

        @Override
        void bytesReceived(ChannelHandlerContext ctx) {
            removeIdle(ctx.channel());
        }

        @Override
        void expired(ChannelHandlerContext ctx) {
            ctx.pipeline().get(ClientHandler.class).reportClose(ctx.channel(), CloseReason.REQUEST_NOT_WHOLE, NO_CAUSE);
        }
    }

    /** Handles the requests of one client's connection. */
    private final class ClientHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final RequestDecoder decoder;
        /** Whether the last answer of this connection is sent, so that further input is ignored. */
        private boolean lastResponseSent;
        /** Whether the submission handler was notified of the close. */
        private boolean closeReported;

        ClientHandler(RequestDecoder decoder) {
            this.decoder = decoder;
        }

        /** Notifies the submission handler, once, why this connection is closed. */
        private void reportClose(Channel client, CloseReason reason, String cause) {
            if (!closeReported && !lastResponseSent) {
                closeReported = true;
                handler.connectionClosed(reason, hasUnansweredRequest(client), cause);
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            addIdle(ctx.channel());
            clients.add(ctx.channel());
            if (readingStopped) {
                decoder.stop();
            }
            if (clients.size() > maxClients) {
                closeLongestIdle();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (!idle.contains(ctx.channel())) {
                reportClose(ctx.channel(), CloseReason.PEER, NO_CAUSE);
            }
            clients.remove(ctx.channel());
            undecided.remove(ctx.channel());
            removeIdle(ctx.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (lastResponseSent) {
                return;
            }
            ctx.pipeline().get(ClientRequestDeadline.class).requestComplete();
            removeIdle(ctx.channel());
            String path = request.uri().split("\\?", 2)[0];
            if (path.equals("/healthz")) {
                respond(ctx, request, handler.ready() && !draining ? HttpResponseStatus.OK
                        : HttpResponseStatus.SERVICE_UNAVAILABLE, "");
            } else if (!handler.knowsClass(path.split("/", 3).length > 1 ? path.split("/", 3)[1] : "")) {
                respond(ctx, request, HttpResponseStatus.NOT_FOUND, "no such path");
            } else if (!request.method().equals(HttpMethod.POST)) {
                respond(ctx, request, HttpResponseStatus.METHOD_NOT_ALLOWED, "messages are handed in by POST");
            } else {
                submit(ctx, request, path);
            }
        }

        private void submit(ChannelHandlerContext ctx, FullHttpRequest request, String path) {
            Submission submission;
            try {
                submission = submissionReader.read(request, path.split("/", 3)[1]);
            } catch (InvalidInputException invalid) {
                respond(ctx, request, HttpResponseStatus.BAD_REQUEST, invalid.getMessage());
                return;
            }
            boolean close = !HttpUtil.isKeepAlive(request);
            decideUnlessClosed(ctx.channel(), () -> submit(ctx, submission, close));
        }

        private void submit(ChannelHandlerContext ctx, Submission submission, boolean close) {
            handler.submit(submission, verdict -> {
                if (verdict.accepted()) {
                    ChannelProgressivePromise written = ctx.newProgressivePromise();
                    written.addListener(new ResponseWriteListener(verdict.answerListener()));
                    respond(ctx, close, response(HttpResponseStatus.ACCEPTED, ""), written);
                } else {
                    FullHttpResponse refusal = response(verdict.decision().status, verdict.reason());
                    if (verdict.waitMs() > 0) {
                        refusal.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(verdict.waitMs()));
                    }
                    respond(ctx, close, refusal);
                }
            });
        }

        private void respond(ChannelHandlerContext ctx, FullHttpRequest request, HttpResponseStatus status,
                String text) {
            if (status.codeClass() == HttpStatusClass.CLIENT_ERROR) {
                handler.rejected(status, text);
            }
            respond(ctx, !HttpUtil.isKeepAlive(request), response(status, text));
        }

        private void respond(ChannelHandlerContext ctx, boolean close, FullHttpResponse response) {
            respond(ctx, close, response, ctx.newPromise());
        }

        private void respond(ChannelHandlerContext ctx, boolean close, FullHttpResponse response,
                ChannelPromise promise) {
            boolean lastResponse = close || closing || draining || successorListens;
            if (lastResponse) {
                lastResponseSent = true;
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            } else if (ctx.channel().isActive() && !decoder.hasHeldInput()) {
                // A connection that closed before its verdict came would stay among the idle ones forever, and
                // closing it would make no room.
                addIdle(ctx.channel());
            }
            ChannelFuture written = ctx.writeAndFlush(response, promise);
            AnswerTimeout.start(written, () -> close(ctx.channel(), CloseReason.ANSWER_NOT_READ));
            if (lastResponse) {
                LingeringClose.afterCompleteRequest(decoder, written);
            } else {
                written.addListener(sent -> decoder.requestAnswered());
            }
        }

        /** Answers a request that is not complete, and closes the connection behind the answer. */
        private void refuse(ChannelHandlerContext ctx, RequestRefused refusal) {
            if (lastResponseSent) {
                return;
            }
            lastResponseSent = true;
            ctx.pipeline().get(ClientRequestDeadline.class).requestComplete();
            removeIdle(ctx.channel());
            handler.rejected(refusal.status(), refusal.reason());
            FullHttpResponse response = response(refusal.status(), refusal.reason());
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            LingeringClose.after(decoder, ctx.writeAndFlush(response));
        }


        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof IdleStateEvent) {
                close(ctx.channel(), CloseReason.IDLE);
            } else if (event instanceof RequestRefused refusal) {
                refuse(ctx, refusal);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            OutOfMemoryExit.exitIfExhausted(cause);
            close(ctx.channel(), CloseReason.BROKEN, String.valueOf(cause.getMessage()));
        }
    }

    /** Reports whether a client may have received an answer; it may have if a part of the answer was written. */
    private static final class ResponseWriteListener
            implements GenericProgressiveFutureListener<ChannelProgressiveFuture> {
        private final Consumer<Boolean> onDone;
        private boolean partlyWritten;

        ResponseWriteListener(Consumer<Boolean> onDone) {
            this.onDone = onDone;
        }

        @Override
        public void operationProgressed(ChannelProgressiveFuture write, long progress, long total) {
            partlyWritten |= progress > 0;
        }

        @Override
        public void operationComplete(ChannelProgressiveFuture write) {
            onDone.accept(partlyWritten || write.isSuccess());
        }
    }

    /** The value of {@code Retry-After}, which in this protocol is in seconds with decimals. */
    private static String seconds(double ms) {
        return Double.toString(Math.ceil(ms) / 1000);
    }

    private static FullHttpResponse response(HttpResponseStatus status, String text) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        return response;
    }
}
