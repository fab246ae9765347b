package starlingvalve.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ServerChannel;
import java.util.concurrent.TimeUnit;

/**
 * Makes a listening socket accept again soon after a failed accept. This handler comes before that of Netty, which
 * would pause for a second. A short pause is needed, since pending connections stay in the backlog and the selector
 * would report them again at once.
 */
final class AcceptRetry extends ChannelInboundHandlerAdapter {
    /** Time without accepting after a failure. */
    static final long RETRY_MS = 10;

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        EventLog.shared().add("accept-failed", "cause", String.valueOf(cause.getMessage()));
        pause((ServerChannel) ctx.channel());
    }

    /** Stops accepting for {@link #RETRY_MS}. */
    static void pause(ServerChannel listener) {
        listener.config().setAutoRead(false);
        listener.eventLoop().schedule(() -> listener.config().setAutoRead(true), RETRY_MS, TimeUnit.MILLISECONDS);
    }
}
