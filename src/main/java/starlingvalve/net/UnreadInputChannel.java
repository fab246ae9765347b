package starlingvalve.net;

import java.io.IOException;
import java.nio.ByteBuffer;

/** A connection that can tell, outside a read of the event loop, whether something has come over it. */
class UnreadInputChannel extends TcpChannel {
    /** Reads that signals break off one after another; beyond them the connection counts as unusable. */
    private static final int MOST_INTERRUPTIONS = 16;

    /**
     * Whether bytes, or the end of the stream, wait in the socket that the event loop has not read yet. A byte is
     * taken out for that, so the connection is of no more use if so.
     */
    final boolean hasUnreadInput() {
        try {
            ByteBuffer into = ByteBuffer.allocate(1);
            int count = javaChannel().read(into);
            for (int i = 0; i < MOST_INTERRUPTIONS && count < END_OF_STREAM; i++) {
                count = javaChannel().read(into);
            }
            return count != 0;
        } catch (IOException e) {
            return true;
        }
    }
}
