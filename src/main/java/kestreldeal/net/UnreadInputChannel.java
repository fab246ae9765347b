package kestreldeal.net;

import java.io.IOException;
import java.nio.ByteBuffer;

/** A connection that can tell, outside a read of the event loop, whether something has come over it. */
class UnreadInputChannel extends TcpChannel {
    /**
     * Whether bytes, or the end of the stream, wait in the socket that the event loop has not read yet. A byte is
     * taken out for that, so the connection is of no more use if so.
     */
    final boolean hasUnreadInput() {
        try {
            return javaChannel().read(ByteBuffer.allocate(1)) != 0;
        } catch (IOException e) {
            return true;
        }
    }
}
