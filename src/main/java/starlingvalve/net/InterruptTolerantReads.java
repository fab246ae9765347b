package starlingvalve.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import java.io.IOException;
import java.nio.channels.ScatteringByteChannel;

/**
 * Allocates read buffers for channels whose class can't be extended: a read that fails with a transient error counts as
 * a read of 0 bytes, as in {@link TcpChannel}.
 */
final class InterruptTolerantReads implements RecvByteBufAllocator {
    private final RecvByteBufAllocator sizes = new AdaptiveRecvByteBufAllocator();

    @Override
    public Handle newHandle() {
        return new DelegatingHandle(sizes.newHandle()) {
            @Override
            public ByteBuf allocate(ByteBufAllocator allocator) {
                return new Buffer(allocator, delegate().guess());
            }
        };
    }

    private static final class Buffer extends UnpooledHeapByteBuf {
        Buffer(ByteBufAllocator allocator, int capacity) {
            super(allocator, capacity, Integer.MAX_VALUE);
        }

        @Override
        public int setBytes(int index, ScatteringByteChannel in, int length) throws IOException {
            try {
                return TcpChannel.bytesRead(super.setBytes(index, in, length));
            } catch (IOException e) {
                if (!TransientErrors.isTransient(e)) {
                    throw e;
                }
                return 0;
            }
        }
    }
}
