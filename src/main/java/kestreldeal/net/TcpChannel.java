package kestreldeal.net;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/** A TCP connection of the sender, made or accepted. */
class TcpChannel extends NioSocketChannel {
    TcpChannel() {
    }

    /** One that was accepted. */
    TcpChannel(Channel listener, SocketChannel accepted) {
        super(listener, accepted);
    }
}
