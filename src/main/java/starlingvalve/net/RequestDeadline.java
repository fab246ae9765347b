package starlingvalve.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection whose request does not arrive completely in time, as the client is silent, slow or stops halfway.
 * The time runs from the start of the connection, and for later requests from the first byte of each, or from when the
 * request before it is answered.
 */
class RequestDeadline extends ChannelInboundHandlerAdapter {
    private final long limitMs;
    private final RequestDecoder decoder;
    private Future<?> timer;

    /** {@code decoder} decodes the requests of the connection. */
    RequestDeadline(long limitMs, RequestDecoder decoder) {
        this.limitMs = limitMs;
        this.decoder = decoder;
    }

    /** Called for each read with bytes of a request. */
    void bytesReceived(ChannelHandlerContext ctx) {
        // For subclasses that track which connections are between requests.
    }

    /** Called before the connection is closed because its request did not arrive completely in time. */
    void expired(ChannelHandlerContext ctx) {
        // For subclasses that report why they close a connection.
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        startTimer(ctx);
        ctx.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) {
        if (!decoder.isHolding()) {
            startTimer(ctx);
        }
        bytesReceived(ctx);
        ctx.fireChannelRead(bytes);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        requestComplete();
        ctx.fireChannelInactive();
    }

    private void startTimer(ChannelHandlerContext ctx) {
        if (timer == null) {
            // The task compares its own timer with the current one, as it may run even after it was cancelled.
            Future<?>[] started = new Future<?>[1];
            started[0] = AfterPendingReads.schedule(ctx.executor(), limitMs, TimeUnit.MILLISECONDS, () -> {
                if (timer == started[0]) {
                    expired(ctx);
                    ctx.close();
                }
            });
            timer = started[0];
        }
    }

    /** Stops the timer, as the awaited request has arrived completely. */
    void requestComplete() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
