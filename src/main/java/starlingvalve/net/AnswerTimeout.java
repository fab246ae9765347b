package starlingvalve.net;

import io.netty.channel.ChannelFuture;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Limits the time in which a peer takes off an answer, so that the whole of it can be written. */
final class AnswerTimeout {
    private static final long LIMIT_MS = 2000;

    private AnswerTimeout() {
    }

    /** Runs a task, which closes the connection, unless the answer is written in time. */
    static void start(ChannelFuture answerWritten, Runnable expired) {
        if (!answerWritten.isDone()) {
            Future<?> timer =
                    answerWritten.channel().eventLoop().schedule(expired, LIMIT_MS, TimeUnit.MILLISECONDS);
            answerWritten.addListener(written -> timer.cancel(false));
        }
    }
}
