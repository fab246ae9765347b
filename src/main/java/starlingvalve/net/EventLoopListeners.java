package starlingvalve.net;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.function.Consumer;

/** Runs a listener of a connect or bind future on the event loop. */
final class EventLoopListeners {
    private EventLoopListeners() {
    }

    /**
     * Passes the completed future to a listener on the event loop: at once if the event loop completes the future, else
     * as a task. Another thread completes it if not even a socket could be created, because the machine has run out of
     * file descriptors.
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
