package starlingvalve.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ServerChannel;
import java.util.concurrent.TimeUnit;

/**
 * Lets a listening socket go on soon behind a failed accept. It stands before the handler of the network library, which
 * would stop for a second. What waits to be accepted stays in the backlog, so the selector would report it again at once.
 */
final class AcceptRetry extends ChannelInboundHandlerAdapter {
    static final long RETRY_MS = 10;

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        EventLog.shared().add("accept-failed", "cause", String.valueOf(cause.getMessage()));
        pause((ServerChannel) ctx.channel());
    }

    /** Accepts nothing for a moment. */
    static void pause(ServerChannel listener) {
        listener.config().setAutoRead(false);
        listener.eventLoop().schedule(() -> listener.config().setAutoRead(true), RETRY_MS, TimeUnit.MILLISECONDS);
    }
}
