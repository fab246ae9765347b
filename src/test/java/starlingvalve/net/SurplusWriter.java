package starlingvalve.net;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Writes answers, some of them with surplus bytes: a second copy of the answer or noise. The surplus is part of the
 * same write, or follows a few milliseconds later if no request has arrived on the connection by then.
 */
final class SurplusWriter {
    private static final List<String> NOISE = List.of("\r\n", "noise", "HTTP/1.1 200 O", "\0\1\2",
            "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
    private static final int MAX_PAUSE_MS = 4;
    /** Surplus that would be written later than this does not directly follow the answer, and is not written. */
    private static final long MAX_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(8);

    private final Random random;
    private final int percent;
    private final AtomicInteger surplusWritten = new AtomicInteger();

    /** {@code percent} of the answers get surplus bytes. */
    SurplusWriter(Random random, int percent) {
        this.random = random;
        this.percent = percent;
    }

    /** Number of answers that were written with surplus bytes. */
    int surplusAnswers() {
        return surplusWritten.get();
    }

    /** Writes an answer, perhaps with surplus bytes. */
    void write(Socket socket, String answer) throws IOException {
        if (draw(100) >= percent) {
            StubServer.write(socket, answer);
            return;
        }
        String surplus = draw(2) == 0 ? answer : NOISE.get(draw(NOISE.size()));
        if (draw(2) == 0) {
            surplusWritten.incrementAndGet();
            StubServer.write(socket, answer + surplus);
            return;
        }
        long answerNanos = System.nanoTime();
        StubServer.write(socket, answer);
        writeLater(socket, surplus, answerNanos);
    }

    private void writeLater(Socket socket, String surplus, long answerNanos) throws IOException {
        try {
            TimeUnit.MICROSECONDS.sleep(draw(MAX_PAUSE_MS * 1000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        boolean noRequest = socket.getInputStream().available() == 0;
        if (noRequest && System.nanoTime() - answerNanos < MAX_DELAY_NANOS) {
            surplusWritten.incrementAndGet();
            StubServer.write(socket, surplus);
        }
    }

    private int draw(int bound) {
        synchronized (random) {
            return random.nextInt(bound);
        }
    }
}
