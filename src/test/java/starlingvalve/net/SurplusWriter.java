package starlingvalve.net;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Writes answers, some of which bring more than belongs to them: a second copy or noise, in the same write or a moment
 * later, where nothing else is waiting on the connection.
 */
final class SurplusWriter {
    private static final List<String> NOISE = List.of("\r\n", "noise", "HTTP/1.1 200 O", "\0\1\2",
            "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
    private static final int LONGEST_PAUSE_MS = 4;
    /** What is written later than that is not straight behind the answer: then there is none. */
    private static final long STRAIGHT_BEHIND_NANOS = TimeUnit.MILLISECONDS.toNanos(8);

    private final Random random;
    private final int percent;
    private final AtomicInteger surplusWritten = new AtomicInteger();

    /** So many of a hundred answers bring more. */
    SurplusWriter(Random random, int percent) {
        this.random = random;
        this.percent = percent;
    }

    /** How many answers have brought more. */
    int surplusAnswers() {
        return surplusWritten.get();
    }

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
        long answeredAt = System.nanoTime();
        StubServer.write(socket, answer);
        writeLater(socket, surplus, answeredAt);
    }

    private void writeLater(Socket socket, String surplus, long answeredAt) throws IOException {
        try {
            TimeUnit.MICROSECONDS.sleep(draw(LONGEST_PAUSE_MS * 1000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        boolean nothingWaits = socket.getInputStream().available() == 0;
        if (nothingWaits && System.nanoTime() - answeredAt < STRAIGHT_BEHIND_NANOS) {
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
