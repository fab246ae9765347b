package starlingvalve.net;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.function.Consumer;

/** What follows a connect, or a bind. */
final class EventLoopListeners {
    private EventLoopListeners() {
    }

    /**
     * Tells on the event loop how it has ended. Where not even a socket could be made, as the descriptors of the
     * machine are used up, the future is completed by a thread that is none of the loop's.
     */
    static void whenDone(EventLoop loop, ChannelFuture connect, Consumer<ChannelFuture> then) {
        connect.addListener((ChannelFuture done) -> {
            if (loop.inEventLoop()) {
                then.accept(done);
            } else {
                loop.execute(() -> then.accept(done));
            }
        });
    }
}
