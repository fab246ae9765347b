package starlingvalve.net;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.function.Consumer;

/** Runs a listener of a connect or bind future on the event loop. */
final class EventLoopListeners {
    private EventLoopListeners() {
    }

    /**
     * Passes the completed future to a listener on the event loop: in the thread that completes it if that is the loop,
     * else as a task. If not even a socket could be created, because the machine has run out of file descriptors, the
     * future is completed by another thread.
     */
    static void whenDone(EventLoop loop, ChannelFuture future, Consumer<ChannelFuture> listener) {
        future.addListener((ChannelFuture completed) -> {
            if (loop.inEventLoop()) {
                listener.accept(completed);
            } else {
                loop.execute(() -> listener.accept(completed));
            }
        });
    }
}
