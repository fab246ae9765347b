package starlingvalve.net;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * Whether calls may go out by the list of endpoints as it stands: only while this sender holds a lease on it. A check
 * that discovery's agent answers renews the lease. A heartbeat makes checks also while nobody wants to call: what was
 * told by then has to be known in an outage that follows. While the agent is silent nothing can be told, and calls go
 * by the last list; the checks go on, on new connections, so that the agent's return is noticed at once.
 *
 * <p>A watch can't do this: it may have fallen silent without a sign, and a request that was made in an outage is lost.
 */
final class ListLease {
    /** Checks that may be out at once; each is waited for until so many later ones could have been made. */
    static final int MAX_CHECKS = 4;
    /** So many checks without an answer are enough to see that some are lost. */
    private static final int MOST_PENDING = 2 * MAX_CHECKS;
    /** How long discovery may wait before it answers a check. */
    private static final long CHECK_WAIT_MS = 1;

    /** A request to discovery that a reachable agent answers at once. */
    final class Check {
        private final long sentNanos = nanos.getAsLong();
        private final boolean onNewConnection;
        private boolean failedLocally;

        private Check(boolean onNewConnection) {
            this.onNewConnection = onNewConnection;
        }

        /** What it asked for was the newest when it was sent. */
        void answered() {
            if (pending.contains(this)) {
                boolean lost = pending.getFirst() != this;
                while (pending.removeFirst() != this) {
                    // Requests are answered in their order, so those before it never will be.
                }
                if (lost) {
                    onRequestsLost.accept(sentNanos);
                }
            }
            answeredOnce = true;
            unansweredSince = OptionalLong.empty();
            confirmedAt = OptionalLong.of(Math.max(confirmedAt.orElse(sentNanos), sentNanos));
            settle();
        }

        /** There will be no answer; {@code here}: since this machine could not make the connection. */
        void failed(boolean here) {
            failedLocally = here;
            unanswered();
        }

        /** It has failed, or was not answered for as long as a reachable agent may take. */
        private void unanswered() {
            boolean provesNothing = failedLocally
                    && isWithin(nanos.getAsLong(), unansweredSince, ListLeasePolicy.FAILURE_HERE_MS);
            if (onNewConnection && !provesNothing) {
                silentAt = OptionalLong.of(Math.max(silentAt.orElse(sentNanos), sentNanos));
            }
            settle();
        }
    }

    private final EventLoop loop;
    private final LongSupplier nanos;
    private final ListLeasePolicy policy;
    private final EndpointList list;
    private final List<Discovery.Source> connections;
    /** Those of them that carry a check. */
    private final List<Discovery.Source> busy = new ArrayList<>();
    private final List<Runnable> waiting = new ArrayList<>();
    /** Checks without an answer since the last one that had one, in the order in which they were sent. */
    private final Deque<Check> pending = new ArrayDeque<>();
    private LongConsumer onRequestsLost = sentBefore -> { };
    private boolean answeredOnce;
    /** When the latest sent of the answered checks was sent. */
    private OptionalLong confirmedAt = OptionalLong.empty();
    /** When the first check on a new connection was sent after the last answer. */
    private OptionalLong unansweredSince = OptionalLong.empty();
    /** When the latest sent was sent of those checks on new connections that a reachable agent would have answered. */
    private OptionalLong silentAt = OptionalLong.empty();
    private OptionalLong lastCheckAt = OptionalLong.empty();
    private boolean settling;
    private Optional<Future<?>> heartbeat = Optional.empty();

    /** {@code connections} carry one check at a time each. */
    ListLease(EventLoop loop, LongSupplier nanos, ListLeasePolicy policy, EndpointList list,
            List<Discovery.Source> connections) {
        this.loop = loop;
        this.nanos = nanos;
        this.policy = policy;
        this.list = list;
        this.connections = List.copyOf(connections);
    }

    /** Called when requests to discovery are found to be lost: all that were sent before this time may be. */
    void onRequestsLost(LongConsumer task) {
        onRequestsLost = task;
    }

    /** Keeps the lease from now on, where it expires at all. */
    void start() {
        if (policy.expires()) {
            heartbeat = Optional.of(loop.scheduleWithFixedDelay(() -> checkIfDue(nanos.getAsLong()), policy.leaseMs(),
                    policy.leaseMs(), TimeUnit.MILLISECONDS));
        }
    }

    /** Makes no more checks by itself. */
    void stop() {
        heartbeat.ifPresent(timer -> timer.cancel(false));
    }

    /** Whether calls may go out now; where not, or not for long any more, discovery is being asked. */
    boolean isValid() {
        long now = nanos.getAsLong();
        if (answeredOnce && !policy.expires() || isWithin(now, confirmedAt, policy.leaseMs())) {
            return true;
        }
        checkIfDue(now);
        return isSilent(now);
    }

    /** Runs a task once calls may go out, always after the present one. */
    void runWhenValid(Runnable task) {
        waiting.add(task);
        settleLater(0);
    }

    /** Discovery is at another address: what is known of the old one's silence means nothing. */
    void changeAddress(InetSocketAddress to) {
        connections.forEach(connection -> connection.changeAddress(to));
        confirmedAt = OptionalLong.empty();
        unansweredSince = OptionalLong.empty();
        silentAt = OptionalLong.empty();
        lastCheckAt = OptionalLong.empty();
        pending.clear();
    }

    /** The agent has answered nothing for as long as it may take, and did not until just now. */
    private boolean isSilent(long now) {
        return unansweredSince.isPresent() && !isWithin(now, unansweredSince, policy.patienceMs())
                && !mayStillStart(now) && isWithin(now, silentAt, policy.silenceMs());
    }

    /** Whether the first answer is awaited still, and is not late for a process that has just started. */
    private boolean mayStillStart(long now) {
        return !answeredOnce && (unansweredSince.isEmpty() || isWithin(now, unansweredSince, policy.startPatienceMs()));
    }

    private static boolean isWithin(long now, OptionalLong since, long ms) {
        return since.isPresent() && now - since.getAsLong() < TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private void checkIfDue(long now) {
        // The first answer is the whole list, which may take its time.
        long pauseMs = mayStillStart(now) ? policy.startPatienceMs() / 2 : policy.checkMs();
        boolean keptIsSilent = lastCheckAt.isPresent() && unansweredSince.isEmpty()
                && !isWithin(now, lastCheckAt, policy.patienceMs());
        if (keptIsSilent || !isWithin(now, lastCheckAt, pauseMs)) {
            connections.stream().filter(connection -> !busy.contains(connection)).findFirst().ifPresent(this::check);
        }
    }

    private void check(Discovery.Source connection) {
        EndpointList.Query query = list.query();
        Check check = begin(!connection.isConnected());
        busy.add(connection);
        connection.sendRequest(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, query.path(CHECK_WAIT_MS)),
                MAX_CHECKS * policy.checkMs(), answer -> {
                    busy.remove(connection);
                    ended(check, query, answer, connection);
                });
    }

    private void ended(Check check, EndpointList.Query query, Optional<FullHttpResponse> answer,
            Discovery.Source connection) {
        boolean answered = list.take(query, answer) != EndpointList.Result.UNUSABLE;
        boolean here = connection.failedLocally();
        if (!answered || connection != connections.get(0)) {
            // One is kept: of several, all might have died without a sign when they are needed.
            connection.disconnect();
        }
        if (answered) {
            check.answered();
        } else {
            check.failed(here);
        }
    }

    /** A request is about to be sent that a reachable agent answers at once. */
    Check begin(boolean onNewConnection) {
        Check check = new Check(onNewConnection);
        lastCheckAt = OptionalLong.of(check.sentNanos);
        pending.addLast(check);
        if (pending.size() > MOST_PENDING) {
            pending.removeFirst();
        }
        if (onNewConnection && unansweredSince.isEmpty()) {
            unansweredSince = lastCheckAt;
        }
        AfterPendingReads.in(loop, policy.patienceMs(), TimeUnit.MILLISECONDS, () -> {
            if (!isAnswered(check)) {
                check.unanswered();
            }
        });
        return check;
    }

    /** An answer to a check that was sent later will do. */
    private boolean isAnswered(Check check) {
        return confirmedAt.isPresent() && confirmedAt.getAsLong() >= check.sentNanos;
    }

    /** Lets go on what waits, or sees to it that this is looked at again. */
    private void settle() {
        if (waiting.isEmpty()) {
            return;
        }
        if (isValid()) {
            List<Runnable> ready = new ArrayList<>(waiting);
            waiting.clear();
            ready.forEach(loop::execute);
        } else {
            settleLater(policy.patienceMs() / 2);
        }
    }

    private void settleLater(long delayMs) {
        if (!settling) {
            settling = true;
            loop.schedule(() -> {
                settling = false;
                settle();
            }, delayMs, TimeUnit.MILLISECONDS);
        }
    }
}
