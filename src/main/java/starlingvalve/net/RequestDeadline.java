package starlingvalve.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Ends a connection whose request does not become whole in time: silent, slow or cut off half way. The time
 * runs from when the connection came up, and then from the first byte of each request.
 */
class RequestDeadline extends ChannelInboundHandlerAdapter {
    private final long limitMs;
    private Future<?> timer;

    RequestDeadline(long limitMs) {
        this.limitMs = limitMs;
    }

    /** A request's bytes have begun to come, or more of them. */
    void bytes(ChannelHandlerContext ctx) {
        // For those who keep account of which connections are between requests.
    }

    /** The connection is about to be closed, as its request did not become whole in time. */
    void expired(ChannelHandlerContext ctx) {
        // For those who say why they close.
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        begin(ctx);
        ctx.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) {
        begin(ctx);
        bytes(ctx);
        ctx.fireChannelRead(bytes);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        requestComplete();
        ctx.fireChannelInactive();
    }

    private void begin(ChannelHandlerContext ctx) {
        if (timer == null) {
            Future<?>[] mine = new Future<?>[1];
            mine[0] = AfterPendingReads.in(ctx.executor(), limitMs, TimeUnit.MILLISECONDS, () -> {
                if (timer == mine[0]) {
                    expired(ctx);
                    ctx.close();
                }
            });
            timer = mine[0];
        }
    }

    /** The request that was awaited has come in full. */
    void requestComplete() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
