package starlingvalve.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/**
 * Fixture for tests of a {@link SubmissionServer} alone over loopback sockets with small buffers, which can look at
 * the server's side of each connection.
 */
abstract class SubmissionServerFixture {
    /** Size of each socket's buffers, so that little data that nobody reads fills them. */
    static final int SOCKET_BUFFER_BYTES = 8 * 1024;
    static final int MAX_CLIENTS = 200;

    final RecordingSubmissionHandler handler = new RecordingSubmissionHandler();
    /** The server's side of all connections, in the order of accepting. */
    final List<Channel> accepted = new CopyOnWriteArrayList<>();
    /** Largest number of bytes that the server held of answers that were not written to a socket. */
    volatile long maxUnwrittenBytes;
    EventLoop loop;
    SubmissionServer server;
    private final List<Socket> clients = new ArrayList<>();
    private EventLoopGroup group;
    private InetSocketAddress address;

    SubmissionServer createServer() {
        return new SubmissionServer(loop, MAX_CLIENTS, handler);
    }

    @BeforeEach
    void listen() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = group.next();
        server = createServer();
        address = (InetSocketAddress) new ServerBootstrap().group(loop)
                .channelFactory(() -> new TcpListener(TcpListener.Admission.ALL))
                .childOption(ChannelOption.SO_SNDBUF, SOCKET_BUFFER_BYTES)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new UnwrittenBytesMeter(), server.pipeline());
                        accepted.add(channel);
                    }
                })
                .bind(InetAddress.getLoopbackAddress(), 0).syncUninterruptibly().channel().localAddress();
    }

    @AfterEach
    void close() throws Exception {
        for (Socket client : clients) {
            client.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Connects a client. */
    Socket connect() throws IOException {
        Socket client = new Socket();
        client.setReceiveBufferSize(SOCKET_BUFFER_BYTES);
        client.connect(address);
        clients.add(client);
        return client;
    }

    /** Number of bytes of answers that the server has not written to this connection's socket yet. */
    long unwrittenBytes(Channel channel) {
        return loop.submit(() -> pendingBytes(channel)).syncUninterruptibly().getNow();
    }

    private static long pendingBytes(Channel channel) {
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        return pending == null ? 0 : pending.totalPendingWriteBytes();
    }

    /** Measures {@link #maxUnwrittenBytes}. */
    private final class UnwrittenBytesMeter extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            ctx.write(message, promise);
            maxUnwrittenBytes = Math.max(maxUnwrittenBytes, pendingBytes(ctx.channel()));
        }
    }
}
