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

/** The calls of a sender to one endpoint, and all that is told of them. */
final class EndpointClient extends PermissiveEndpointCallbacks {
    /** How a call ended. */
    record End(String id, Outcome outcome, boolean gone, double waitMs) {
        /** Whether the sender may send the message again, whatever its class. */
        boolean neverRan() {
            return outcome != Outcome.DELIVERED && !outcome.mayHaveRun() && !gone;
        }
    }

    private static final long ENDPOINT = 1;
    private static final int BATCH = 3;

    private final EventLoop loop;
    private final Endpoints endpoints;
    private final BlockingQueue<End> ends = new LinkedBlockingQueue<>();
    private final List<Double> waits = new CopyOnWriteArrayList<>();
    private volatile int written;
    /** Used on the loop. */
    private Runnable beforeNextStart = () -> { };
    private Runnable whenNextEnds = () -> { };

    EndpointClient(EventLoop loop, InetSocketAddress address) {
        this.loop = loop;
        this.endpoints = new Endpoints(loop, 1000, 15_000, 1, 4, this);
        inLoop(() -> {
            endpoints.at(ENDPOINT, address, true, 0, BATCH);
            return null;
        });
    }

    /** Runs this on the loop, which reads nothing meanwhile. */
    <T> T inLoop(Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }

    /** Runs this on the loop after what it has queued by now, such as a dial, and before it reads again. */
    void nextInLoop(Runnable task) {
        loop.execute(task);
    }

    /** Runs this once, on the loop that has just read, when the next call is about to look for a connection or to dial. */
    void beforeNextStart(Runnable task) {
        beforeNextStart = task;
    }

    /** Runs this once, on the loop, when the next call has ended. */
    void whenNextEnds(Runnable task) {
        whenNextEnds = task;
    }

    /** Returns once the loop has read, and done what followed from it. */
    void readAll() {
        for (int turn = 0; turn < 3; turn++) {
            inLoop(() -> null);
        }
    }

    /** Starts one exchange with these messages; on the loop. */
    void start(List<String> ids, double timeoutMs) {
        for (String id : ids) {
            AcceptedMessage held =
                    new AcceptedMessage(0, id, "order", "t", Optional.empty(), Optional.empty(), 7, 0, new byte[5]);
            endpoints.call(held, 0, ENDPOINT, timeoutMs);
        }
        endpoints.flush();
    }

    /** Drops the connections that rest; on the loop. */
    void dropIdle() {
        endpoints.closeIdle(ENDPOINT);
    }

    void stop() {
        inLoop(() -> {
            endpoints.keepNone();
            return null;
        });
    }

    /** So many ends, or fewer if they do not come in time. */
    List<End> ends(int many, long limitMs) throws InterruptedException {
        List<End> told = new ArrayList<>();
        long end = System.nanoTime() + limitMs * 1_000_000;
        while (told.size() < many) {
            End next = ends.poll(end - System.nanoTime(), TimeUnit.NANOSECONDS);
            if (next == null) {
                break;
            }
            told.add(next);
        }
        return told;
    }

    /** Ends that nobody has asked for. */
    List<End> furtherEnds() {
        return new ArrayList<>(ends);
    }

    /** Messages that were written whole so far. */
    int written() {
        return written;
    }

    /** Waits that were told with whole answers so far. */
    List<Double> waits() {
        return waits;
    }

    @Override
    public boolean mayBeginAttempt(Endpoints.Call call) {
        Runnable task = beforeNextStart;
        beforeNextStart = () -> { };
        task.run();
        return true;
    }

    @Override
    public void ended(Endpoints.Call call, Outcome outcome, boolean gone, double waitMs, boolean open) {
        ends.add(new End(call.held.id, outcome, gone, waitMs));
        Runnable task = whenNextEnds;
        whenNextEnds = () -> { };
        task.run();
    }

    @Override
    public void retryAfterReceived(long endpoint, double waitMs) {
        waits.add(waitMs);
    }

    @Override
    public void written(int messages) {
        written += messages;
    }
}
