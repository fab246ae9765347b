package starlingvalve.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import java.io.IOException;
import java.nio.channels.ScatteringByteChannel;

/**
 * Allocates the read buffers of connections: on the heap, up to a size. Direct memory would be freed only by the
 * garbage collector, which does not run because little of it is left. A read that fails with a transient error counts
 * as a read of 0 bytes, as in {@link TcpChannel}.
 */
final class ReadBuffers implements RecvByteBufAllocator {
    /** For connections on which many peers may send; a pass of the event loop reads up to 16 buffers of each. */
    static final int SMALL_BYTES = 8 * 1024;
    /** For the few connections on which long lists or states arrive. */
    static final int LARGE_BYTES = 64 * 1024;
    private static final int MIN_BYTES = 64;
    private static final int INITIAL_BYTES = 2048;

    private final RecvByteBufAllocator sizes;

    ReadBuffers(int maxBytes) {
        sizes = new AdaptiveRecvByteBufAllocator(MIN_BYTES, INITIAL_BYTES, maxBytes);
    }

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
