package starlingvalve.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;

/**
 * A TCP connection that outlasts reads and writes which fail for a moment. The JDK tells a read that a signal broke off
 * by a count below that of the end of the stream, and the network library takes every negative count for that end.
 */
class TcpChannel extends NioSocketChannel {
    /** What a read returns at the end of the stream; below it no bytes were read for another reason. */
    static final int END_OF_STREAM = -1;

    TcpChannel() {
    }

    /** One that was accepted. */
    TcpChannel(Channel listener, SocketChannel accepted) {
        super(listener, accepted);
    }

    /** Without bytes the event loop comes back as long as the socket is readable. */
    @Override
    protected int doReadBytes(ByteBuf into) throws Exception {
        try {
            return countOf(super.doReadBytes(into));
        } catch (IOException e) {
            if (!TransientErrors.isTransient(e)) {
                throw e;
            }
            return 0;
        }
    }

    /** What is left is written once the socket is writable, which it may be at once. */
    @Override
    protected void doWrite(ChannelOutboundBuffer out) throws Exception {
        try {
            super.doWrite(out);
        } catch (IOException e) {
            if (!TransientErrors.isTransient(e)) {
                throw e;
            }
            incompleteWrite(true);
        }
    }

    /** The bytes of a read as the network library has to know them: none where a signal broke it off. */
    static int countOf(int read) {
        return read < END_OF_STREAM ? 0 : read;
    }
}
