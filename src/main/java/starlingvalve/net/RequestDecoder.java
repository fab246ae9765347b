package starlingvalve.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes the requests of one connection, one at a time: bytes after a complete request are held undecoded until its
 * answer is written, and reading is paused while any are held. So a peer that sends many requests and takes off no
 * answer makes this process hold one answer and one read, however much it sends. While {@linkplain #readAhead reading
 * ahead} it holds two reads at most.
 *
 * <p>After {@link #discardInput} all input is dropped. This is for an answer that is given before its request has
 * arrived completely: what follows is the rest of that request, and none of it may be decoded as another one.
 */
final class RequestDecoder extends HttpRequestDecoder implements InputMemory.Holder {
    private static final int MAX_FIRST_LINE_BYTES = 4096;
    private static final int MAX_HEADERS_BYTES = 8192;
    /** Reading ahead is paused once so many bytes are held. */
    private static final int MAX_READ_AHEAD_BYTES = ReadBuffers.SMALL_BYTES;
    /** Longest head of a request. */
    static final int MAX_HEAD_BYTES = MAX_FIRST_LINE_BYTES + MAX_HEADERS_BYTES;

    private enum State {
        /** Input is decoded. */
        DECODING,
        /** A request is complete, and its answer is not written yet. */
        HOLDING,
        /** The last answer of the connection is given, and all input is dropped. */
        DISCARDING
    }

    private final InputMemory memory;
    private ChannelHandlerContext context;
    private State state = State.DECODING;
    private HttpMethod method = HttpMethod.GET;
    /** Number of bytes received since the last complete request. */
    private long receivedBytes;
    /** Whether input is read although some is held. */
    private boolean readingAhead;
    /** Whether this process reads no more requests. */
    private boolean stopped;

    /** {@code memory} limits what this connection and others hold of incomplete requests. */
    RequestDecoder(InputMemory memory) {
        super(new HttpDecoderConfig().setMaxInitialLineLength(MAX_FIRST_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADERS_BYTES).setHeadersFactory(new BoundedHeaders.Factory())
                .setTrailersFactory(new BoundedHeaders.Factory()));
        this.memory = memory;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object input) throws Exception {
        receivedBytes += ((ByteBuf) input).readableBytes();
        super.channelRead(ctx, input);
        memory.update(this, receivedBytes);
        updateReading();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        super.channelInactive(ctx);
        memory.release(this);
    }

    /** While input is held, the superclass must not ask for more, as it does after a read without a message. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        if (state == State.HOLDING) {
            ctx.fireChannelReadComplete();
        } else {
            super.channelReadComplete(ctx);
        }
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf input, List<Object> out) throws Exception {
        if (state == State.DISCARDING) {
            input.skipBytes(input.readableBytes());
            receivedBytes = 0;
        } else if (state == State.DECODING) {
            super.decode(ctx, input, out);
            out.forEach(part -> decoded(part, input.readableBytes()));
        }
    }

    /** Called with each part of a request; {@code remainingBytes} of input follow it. */
    private void decoded(Object part, int remainingBytes) {
        if (part instanceof HttpRequest request) {
            method = request.method();
        }
        if (part instanceof LastHttpContent) {
            state = State.HOLDING;
            memory.release(this);
            receivedBytes = remainingBytes;
        }
    }

    /** Whether a request is being received, and no earlier one waits for its answer. */
    @Override
    public boolean canBeGivenUp() {
        return state == State.DECODING && context.channel().isActive();
    }

    @Override
    public void giveUp() {
        refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many unfinished requests");
    }

    /**
     * Ends the request that is being received: the handlers after this one get the event to answer it, and all further
     * input is dropped.
     */
    void refuse(HttpResponseStatus status, String reason) {
        discardInput();
        context.fireUserEventTriggered(new RequestRefused(status, reason));
    }

    /** Called when the answer to the last request is written: decodes the next request. */
    void requestAnswered() {
        if (state != State.HOLDING) {
            return;
        }
        if (hasHeldInput()) {
            // One request of a connection in each pass of the event loop, so that no peer keeps the others waiting.
            AfterPendingReads.execute(context.executor(), this::decodeHeldInput);
        } else {
            state = State.DECODING;
        }
    }

    private void decodeHeldInput() {
        if (state == State.HOLDING && !stopped) {
            state = State.DECODING;
            // From the head of the pipeline, as input that has just arrived: the request's time starts now.
            context.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER).fireChannelReadComplete();
        }
    }

    /** Drops the input that is held, and all that follows. */
    void discardInput() {
        state = State.DISCARDING;
        internalBuffer().skipBytes(actualReadableBytes());
        receivedBytes = 0;
        memory.release(this);
        updateReading();
    }

    /**
     * Starts or ends reading on behind a complete request, up to a limit, which shows whether the peer has closed the
     * connection.
     */
    void readAhead(boolean on) {
        readingAhead = on;
        updateReading();
    }

    /** Reads and decodes no further input. */
    void stop() {
        stopped = true;
        updateReading();
    }

    private void updateReading() {
        int maxHeldBytes = readingAhead ? MAX_READ_AHEAD_BYTES : 1;
        boolean paused = stopped || state == State.HOLDING && actualReadableBytes() >= maxHeldBytes;
        if (context.channel().config().isAutoRead() == paused) {
            context.channel().config().setAutoRead(!paused);
        }
    }

    /** Whether a request awaits its answer, so that no further one is decoded. */
    boolean isHolding() {
        return state == State.HOLDING;
    }

    /** Whether input follows the last complete request. */
    boolean hasHeldInput() {
        return actualReadableBytes() > 0;
    }

    /** Whether the last request asks for the head of its answer alone. */
    boolean isHeadRequest() {
        return method.equals(HttpMethod.HEAD);
    }
}
