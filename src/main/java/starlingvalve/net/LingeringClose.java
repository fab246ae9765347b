package starlingvalve.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection behind an answer while the peer may still be sending. Closed at once, the connection would be
 * reset by the unread input, and the answer could be lost. So only the own side is shut down at first, and what arrives
 * is dropped until the peer closes, or for {@link #LINGER_MS}.
 */
final class LingeringClose {
    /** Longest time from the answer to the close. */
    static final long LINGER_MS = 1000;

    private LingeringClose() {
    }

    /**
     * Closes the connection behind an answer to a complete request: at once if no input follows that request.
     */
    static void afterCompleteRequest(RequestDecoder decoder, ChannelFuture answerWritten) {
        if (decoder.hasHeldInput()) {
            after(decoder, answerWritten);
        } else {
            answerWritten.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Drops all further input, and closes the connection once the answer is written and the peer has closed. */
    static void after(RequestDecoder decoder, ChannelFuture answerWritten) {
        Channel channel = answerWritten.channel();
        decoder.discardInput();
        answerWritten.addListener(written -> {
            if (channel instanceof DuplexChannel duplex) {
                duplex.shutdownOutput();
            }
        });
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
    }
}
