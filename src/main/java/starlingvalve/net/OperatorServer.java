package starlingvalve.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * HTTP/1.1 server for operators, with one request per connection. It maps paths and methods to commands, which
 * {@link OperatorCommands} carries out. A client that doesn't complete its request is disconnected after a time limit
 * and delays no other client.
 */
final class OperatorServer {
    /** Limit on open connections; a further one closes the oldest. */
    static final int MAX_CONNECTIONS = 16;
    /** Time within which a request must be complete. */
    private static final long REQUEST_TIMEOUT_MS = 2500;
    /** Limit on a request's body, which is ignored; a request with a longer one is refused. */
    private static final int MAX_BODY_BYTES = 4096;
    private static final Pattern ENDPOINT_PATH = Pattern.compile("/endpoints/([^/]+)/(maint|ready)");

    /** Result of a command: a 2xx status means success, any other one failure; the text is for human readers. */
    record Answer(HttpResponseStatus status, String text) {
        static final Answer SUCCESS = new Answer(HttpResponseStatus.OK, "ok\n");

        /** A failure with a reason, which is sent as one line. */
        static Answer error(HttpResponseStatus status, String reason) {
            return new Answer(status, reason + "\n");
        }
    }

    /**
     * The commands of operators, carried out by the sender. A command that changes something is answered once the
     * change is in effect and will survive a restart.
     */
    interface OperatorCommands {
        /** Whether this process can serve, whether it is drained or not. */
        boolean isServing();

        /** The current metrics, as text. */
        String statsText();

        /** Puts an endpoint in maintenance, or back in service. */
        void setMaintenance(String endpoint, boolean inMaintenance, Consumer<Answer> callback);

        /** Starts or stops draining: while drained, the sender closes the connections of its clients. */
        void drain(boolean on, Consumer<Answer> callback);
    }

    /** Has room for a head and a body of each connection. */
    private final InputMemory inputMemory =
            new InputMemory((long) MAX_CONNECTIONS * (MAX_BODY_BYTES + RequestDecoder.MAX_HEAD_BYTES));
    private final EventLoop acceptor;
    private final EventLoop loop;
    private final OperatorCommands commands;
    /** Open connections, the oldest first. */
    private final Set<Channel> connections = new LinkedHashSet<>();

    /** Creates a server that accepts connections on the loop that also serves them, for tests. */
    OperatorServer(EventLoop loop, OperatorCommands commands) {
        this(loop, loop, commands);
    }

    /** Creates a server whose {@code acceptor} only accepts connections, and whose {@code loop} serves them. */
    OperatorServer(EventLoop acceptor, EventLoop loop, OperatorCommands commands) {
        this.acceptor = acceptor;
        this.loop = loop;
        this.commands = commands;
    }

    /** Binds to the address and returns the bound one. It blocks until then, so it must not be called on the loop. */
    InetSocketAddress listen(InetSocketAddress address) throws IOException {
        return (InetSocketAddress) new ServerBootstrap().group(acceptor, loop)
                .channelFactory(() -> new TcpListener(TcpListener.Admission.ALL))
                .option(ChannelOption.SO_BACKLOG, 64)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new ReadBuffers(ReadBuffers.SMALL_BYTES))
                .childHandler(pipeline())
                .bind(address).syncUninterruptibly().channel().localAddress();
    }

    /** Sets up the pipeline of each accepted connection. */
    ChannelInitializer<Channel> pipeline() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                RequestDecoder decoder = new RequestDecoder(inputMemory);
                channel.pipeline().addLast(new RequestDeadline(REQUEST_TIMEOUT_MS, decoder), decoder,
                        new ResponseEncoder(decoder), new RequestAssembler(decoder, MAX_BODY_BYTES),
                        new RequestHandler(decoder));
            }
        };
    }

    /** Answers the first request of a connection, and closes it; no further request is decoded. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final RequestDecoder decoder;

        RequestHandler(RequestDecoder decoder) {
            this.decoder = decoder;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(ctx.channel());
            if (connections.size() > MAX_CONNECTIONS) {
                Channel oldest = connections.iterator().next();
                connections.remove(oldest);
                oldest.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(ctx.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            ctx.pipeline().get(RequestDeadline.class).requestComplete();
            execute(request, answer -> LingeringClose.afterCompleteRequest(decoder, write(ctx, answer)));
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof RequestRefused refusal) {
                ctx.pipeline().get(RequestDeadline.class).requestComplete();
                LingeringClose.after(decoder, write(ctx, Answer.error(refusal.status(), refusal.reason())));
            }
        }

        private static ChannelFuture write(ChannelHandlerContext ctx, Answer answer) {
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, answer.status(),
                    Unpooled.copiedBuffer(answer.text(), StandardCharsets.UTF_8));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                    .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN)
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            ChannelFuture written = ctx.writeAndFlush(response);
            AnswerTimeout.start(written, ctx::close);
            return written;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            OutOfMemoryExit.exitIfExhausted(cause);
            ctx.close();
        }
    }

    /** Finds the command of a request and carries it out. */
    private void execute(FullHttpRequest request, Consumer<Answer> callback) {
        String path = request.uri().split("\\?", 2)[0];
        Matcher matcher = ENDPOINT_PATH.matcher(path);
        boolean changesState = matcher.matches() || path.equals("/healthcheck/fail") || path.equals("/healthcheck/ok");
        if (!changesState && !path.equals("/healthcheck") && !path.equals("/stats")) {
            callback.accept(Answer.error(HttpResponseStatus.NOT_FOUND, "no such call"));
        } else if (!request.method().equals(changesState ? HttpMethod.POST : HttpMethod.GET)) {
            callback.accept(Answer.error(HttpResponseStatus.METHOD_NOT_ALLOWED,
                    path + " is called by " + (changesState ? "POST" : "GET")));
        } else if (path.equals("/healthcheck")) {
            callback.accept(commands.isServing() ? Answer.SUCCESS
                    : Answer.error(HttpResponseStatus.SERVICE_UNAVAILABLE, "does not serve"));
        } else if (path.equals("/stats")) {
            callback.accept(new Answer(HttpResponseStatus.OK, commands.statsText()));
        } else if (matcher.matches()) {
            decodeId(matcher.group(1)).ifPresentOrElse(
                    id -> commands.setMaintenance(id, matcher.group(2).equals("maint"), callback),
                    () -> callback.accept(Answer.error(HttpResponseStatus.BAD_REQUEST, "the id can't be read")));
        } else {
            commands.drain(path.equals("/healthcheck/fail"), callback);
        }
    }

    /** Decodes the endpoint id in a path; empty if it is not validly percent-encoded. */
    private static Optional<String> decodeId(String encoded) {
        try {
            return Optional.of(QueryStringDecoder.decodeComponent(encoded));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
