package starlingvalve.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes the requests of one connection, one at a time: bytes after a complete request are held undecoded until its
 * answer is written, and reading is paused while any are held. So a peer that sends many requests and takes off no
 * answer makes this process hold one answer and one read, however much it sends.
 *
 * <p>After {@link #discardInput} all input is dropped. This is for an answer that is given before its request has
 * arrived completely: what follows is the rest of that request, and none of it may be decoded as another one.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private enum State {
        /** Input is decoded. */
        DECODING,
        /** A request is complete, and its answer is not written yet. */
        HOLDING,
        /** The last answer of the connection is given, and all input is dropped. */
        DISCARDING
    }

    private ChannelHandlerContext context;
    private State state = State.DECODING;
    private HttpMethod method = HttpMethod.GET;
    /** Whether this process reads no more requests. */
    private boolean stopped;

    RequestDecoder() {
        super(new HttpDecoderConfig().setHeadersFactory(new BoundedHeaders.Factory())
                .setTrailersFactory(new BoundedHeaders.Factory()));
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object input) throws Exception {
        super.channelRead(ctx, input);
        updateReading();
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
        } else if (state == State.DECODING) {
            super.decode(ctx, input, out);
            out.forEach(this::decoded);
        }
    }

    private void decoded(Object part) {
        if (part instanceof HttpRequest request) {
            method = request.method();
        }
        if (part instanceof LastHttpContent) {
            state = State.HOLDING;
        }
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
        updateReading();
    }

    /** Reads and decodes no further input. */
    void stop() {
        stopped = true;
        updateReading();
    }

    private void updateReading() {
        boolean paused = stopped || state == State.HOLDING && hasHeldInput();
        if (context.channel().config().isAutoRead() == paused) {
            context.channel().config().setAutoRead(!paused);
        }
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
