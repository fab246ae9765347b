package starlingvalve.net;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import starlingvalve.DeliveryPolicy.Outcome;

/** Makes a sender's calls to one endpoint, and records what is reported about them. */
final class EndpointClient extends PermissiveEndpointCallbacks {
    /** How the attempt of one message ended. */
    record End(String id, Outcome outcome, boolean messageEnded, double retryAfterMs) {
        /** Whether the sender may send the message again, regardless of its class. */
        boolean neverRan() {
            return outcome != Outcome.DELIVERED && !outcome.mayHaveRun() && !messageEnded;
        }
    }

    private static final long ENDPOINT = 1;
    private static final int MAX_BATCH = 3;

    private final EventLoop loop;
    private final Endpoints endpoints;
    private final BlockingQueue<End> ends = new LinkedBlockingQueue<>();
    private final List<Double> retryAfters = new CopyOnWriteArrayList<>();
    private volatile int writtenMessages;
    /** Used on the event loop only. */
    private Runnable beforeNextStart = () -> { };
    private Runnable afterNextEnd = () -> { };

    EndpointClient(EventLoop loop, InetSocketAddress address) {
        this.loop = loop;
        this.endpoints = new Endpoints(loop, 1000, 15_000, 1, 4, this);
        inLoop(() -> {
            endpoints.updateEndpoint(ENDPOINT, address, true, 0, MAX_BATCH);
            return null;
        });
    }

    /** Runs a task on the event loop, which reads nothing in the meantime, and waits for it. */
    <T> T inLoop(Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }

    /** Runs a task on the event loop after the tasks queued so far, such as a connect, and before it reads again. */
    void executeInLoop(Runnable task) {
        loop.execute(task);
    }

    /**
     * Runs a task once on the event loop, which has just read its input, before the next call selects or opens a
     * connection.
     */
    void beforeNextStart(Runnable task) {
        beforeNextStart = task;
    }

    /** Runs a task once on the event loop, after the next call has ended. */
    void afterNextEnd(Runnable task) {
        afterNextEnd = task;
    }

    /** Waits until the event loop has read its input and handled it. */
    void readAll() {
        for (int pass = 0; pass < 3; pass++) {
            inLoop(() -> null);
        }
    }

    /** Starts one exchange with these messages; to be called on the event loop. */
    void start(List<String> ids, double timeoutMs) {
        for (String id : ids) {
            AcceptedMessage message =
                    new AcceptedMessage(0, id, "order", "t", Optional.empty(), Optional.empty(), 7, 0, new byte[5]);
            endpoints.call(message, 0, ENDPOINT, timeoutMs);
        }
        endpoints.flush();
    }

    /** Closes the idle connections; to be called on the event loop. */
    void closeIdle() {
        endpoints.closeIdle(ENDPOINT);
    }

    /** Closes the idle connections, and keeps no connection open after its call from now on. */
    void stop() {
        inLoop(() -> {
            endpoints.disableConnectionReuse();
            return null;
        });
    }

    /** Waits for this number of ends; returns fewer if the time-out passes. */
    List<End> ends(int count, long timeoutMs) throws InterruptedException {
        List<End> received = new ArrayList<>();
        long endNanos = System.nanoTime() + timeoutMs * 1_000_000;
        while (received.size() < count) {
            End next = ends.poll(endNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
            if (next == null) {
                break;
            }
            received.add(next);
        }
        return received;
    }

    /** The ends that {@link #ends} has not returned. */
    List<End> remainingEnds() {
        return new ArrayList<>(ends);
    }

    /** Number of messages that were completely written so far. */
    int writtenMessages() {
        return writtenMessages;
    }

    /** The retry-after values received so far, in milliseconds. */
    List<Double> retryAfters() {
        return retryAfters;
    }

    @Override
    public boolean mayBeginAttempt(Endpoints.Call call) {
        Runnable task = beforeNextStart;
        beforeNextStart = () -> { };
        task.run();
        return true;
    }

    @Override
    public void ended(Endpoints.Call call, Outcome outcome, boolean messageEnded, double waitMs, boolean open) {
        ends.add(new End(call.message.id, outcome, messageEnded, waitMs));
        Runnable task = afterNextEnd;
        afterNextEnd = () -> { };
        task.run();
    }

    @Override
    public void retryAfterReceived(long endpoint, double waitMs) {
        retryAfters.add(waitMs);
    }

    @Override
    public void written(int messages) {
        writtenMessages += messages;
    }
}
