package starlingvalve.net;

import java.io.IOException;
import java.nio.ByteBuffer;

/** A connection that can be checked for received input between the reads of the event loop. */
class UnreadInputChannel extends TcpChannel {
    /** Reads in a row that may be interrupted by signals; after more of them the connection counts as unusable. */
    private static final int MAX_INTERRUPTIONS = 16;

    /**
     * Whether the socket holds bytes, or the end of the stream, that the event loop has not read yet. The check reads a
     * byte, so the connection can't be used any more if this returns true.
     */
    final boolean hasUnreadInput() {
        try {
            ByteBuffer buffer = ByteBuffer.allocate(1);
            int count = javaChannel().read(buffer);
            for (int i = 0; i < MAX_INTERRUPTIONS && count < END_OF_STREAM; i++) {
                count = javaChannel().read(buffer);
            }
            return count != 0;
        } catch (IOException e) {
            return true;
        }
    }
}
