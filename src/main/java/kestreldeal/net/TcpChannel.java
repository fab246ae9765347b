package kestreldeal.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A TCP connection on which a read that a signal broke off is repeated. The JDK tells such a read by a count below that
 * of the end of the stream, and the network library takes every negative count for that end.
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
        return countOf(super.doReadBytes(into));
    }

    /** The bytes of a read as the network library has to know them: none where a signal broke it off. */
    static int countOf(int read) {
        return read < END_OF_STREAM ? 0 : read;
    }
}
