package starlingvalve.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;

/**
 * A TCP connection that stays open if a read or write fails with a transient error. For a read that a signal
 * interrupted, the JDK returns a count below {@link #END_OF_STREAM}, but Netty treats every negative count as the end
 * of the stream.
 */
class TcpChannel extends NioSocketChannel {
    /** The count of a read at the end of the stream; a lower count means that no bytes were read for another reason. */
    static final int END_OF_STREAM = -1;

    TcpChannel() {
    }

    /** A connection that a listener accepted. */
    TcpChannel(Channel listener, SocketChannel accepted) {
        super(listener, accepted);
    }

    /** Returns 0 on a transient error; the event loop reads again while the socket is readable. */
    @Override
    protected int doReadBytes(ByteBuf buffer) throws Exception {
        try {
            return bytesRead(super.doReadBytes(buffer));
        } catch (IOException e) {
            if (!TransientErrors.isTransient(e)) {
                throw e;
            }
            return 0;
        }
    }

    /** After a transient error the rest is written once the socket is writable, which may be at once. */
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

    /** The count of a read as Netty expects it: 0 if a signal interrupted the read. */
    static int bytesRead(int read) {
        return read < END_OF_STREAM ? 0 : read;
    }
}
