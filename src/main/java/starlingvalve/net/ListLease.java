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
 * Decides whether calls may be sent according to the current list of endpoints: only while this sender holds a lease on
 * the list. Each check that discovery's agent answers renews the lease. A heartbeat sends checks also while no call
 * waits, since changes that the agent knew before an outage must be known here during the outage. While the agent is
 * silent no changes can be received, and calls are sent according to the last list; checks continue on new
 * connections, so that the agent's return is noticed at once.
 *
 * <p>A watch can't replace the checks: its connection may be broken without being closed, and a request that was sent
 * during an outage is lost.
 */
final class ListLease {
    /**
     * Limit on checks in flight at once. The time limit of a check is this many times the shortest interval of checks.
     */
    static final int MAX_CHECKS = 4;
    /** Limit on unanswered checks that are remembered; this many suffice to detect that some are lost. */
    private static final int MAX_PENDING = 2 * MAX_CHECKS;
    /** How long discovery may wait before it answers a check. */
    private static final long CHECK_WAIT_MS = 1;

    /** A request to discovery that the agent answers at once if it is reachable. */
    final class Check {
        private final long sentNanos = nanoClock.getAsLong();
        private final boolean onNewConnection;
        private boolean failedLocally;

        private Check(boolean onNewConnection) {
            this.onNewConnection = onNewConnection;
        }

        /** Called when the check is answered: the list was the newest at the time the check was sent. */
        void answered() {
            if (pending.contains(this)) {
                boolean lost = pending.getFirst() != this;
                while (pending.removeFirst() != this) {
                    // Requests are answered in their order, so the earlier ones will not be answered any more.
                }
                if (lost) {
                    onRequestsLost.accept(sentNanos);
                }
            }
            answeredOnce = true;
            unansweredSince = OptionalLong.empty();
            confirmedAt = OptionalLong.of(Math.max(confirmedAt.orElse(sentNanos), sentNanos));
            runWaitingTasks();
        }

        /**
         * Called when the check has ended without an answer.
         *
         * @param locally whether the reason is that this machine could not make the connection
         */
        void failed(boolean locally) {
            failedLocally = locally;
            unanswered();
        }

        /** Called when the check has failed, or was not answered within the time that a reachable agent may take. */
        private void unanswered() {
            boolean inconclusive = failedLocally
                    && isWithin(nanoClock.getAsLong(), unansweredSince, ListLeasePolicy.LOCAL_FAILURE_MS);
            if (onNewConnection && !inconclusive) {
                silentAt = OptionalLong.of(Math.max(silentAt.orElse(sentNanos), sentNanos));
            }
            runWaitingTasks();
        }
    }

    private final EventLoop loop;
    private final LongSupplier nanoClock;
    private final ListLeasePolicy policy;
    private final EndpointList list;
    private final List<Discovery.Source> connections;
    /** The connections on which a check is in flight. */
    private final List<Discovery.Source> busyConnections = new ArrayList<>();
    /** Tasks that run once calls may be sent. */
    private final List<Runnable> waitingTasks = new ArrayList<>();
    /** Unanswered checks that were sent after the last answered one, in the order of sending. */
    private final Deque<Check> pending = new ArrayDeque<>();
    private LongConsumer onRequestsLost = sentBefore -> { };
    /** Whether a check has been answered since the start. */
    private boolean answeredOnce;
    /** The time of sending of the last sent check that was answered. */
    private OptionalLong confirmedAt = OptionalLong.empty();
    /** The time of sending of the first check on a new connection since the last answer. */
    private OptionalLong unansweredSince = OptionalLong.empty();
    /**
     * The time of sending of the last sent check on a new connection that stayed unanswered although a reachable agent
     * would have answered it.
     */
    private OptionalLong silentAt = OptionalLong.empty();
    /** The time of sending of the last sent check. */
    private OptionalLong lastCheckAt = OptionalLong.empty();
    /** Whether a run of the waiting tasks is scheduled. */
    private boolean runScheduled;
    private Optional<Future<?>> heartbeat = Optional.empty();

    /** Each of the {@code connections} carries one check at a time. */
    ListLease(EventLoop loop, LongSupplier nanoClock, ListLeasePolicy policy, EndpointList list,
            List<Discovery.Source> connections) {
        this.loop = loop;
        this.nanoClock = nanoClock;
        this.policy = policy;
        this.list = list;
        this.connections = List.copyOf(connections);
    }

    /**
     * Sets the task that is called when requests to discovery are found to be lost. Its argument is a time: all
     * requests that were sent before it may be lost.
     */
    void onRequestsLost(LongConsumer task) {
        onRequestsLost = task;
    }

    /** Starts the heartbeat, which renews the lease, if leases expire at all. */
    void start() {
        if (policy.expires()) {
            heartbeat = Optional.of(loop.scheduleWithFixedDelay(() -> checkIfDue(nanoClock.getAsLong()),
                    policy.leaseMs(), policy.leaseMs(), TimeUnit.MILLISECONDS));
        }
    }

    /** Stops the heartbeat; further checks are sent only on demand, by {@link #isValid}. */
    void stop() {
        heartbeat.ifPresent(timer -> timer.cancel(false));
    }

    /** Whether calls may be sent now. Sends the next check if it is due, unless an answered one is recent enough. */
    boolean isValid() {
        long now = nanoClock.getAsLong();
        if (answeredOnce && !policy.expires() || isWithin(now, confirmedAt, policy.leaseMs())) {
            return true;
        }
        checkIfDue(now);
        return isSilent(now);
    }

    /** Runs a task as soon as calls may be sent, never before the current task ends. */
    void runWhenValid(Runnable task) {
        waitingTasks.add(task);
        runWaitingTasksLater(0);
    }

    /** Uses another address of discovery from now on; the checks to the old address no longer count. */
    void changeAddress(InetSocketAddress newAddress) {
        connections.forEach(connection -> connection.changeAddress(newAddress));
        confirmedAt = OptionalLong.empty();
        unansweredSince = OptionalLong.empty();
        silentAt = OptionalLong.empty();
        lastCheckAt = OptionalLong.empty();
        pending.clear();
    }

    /**
     * Whether the agent counts as silent: it has not answered within the time that it may take, and a check sent
     * recently shows that it still does not answer.
     */
    private boolean isSilent(long now) {
        return unansweredSince.isPresent() && !isWithin(now, unansweredSince, policy.answerTimeoutMs())
                && !awaitsFirstAnswer(now) && isWithin(now, silentAt, policy.silenceMs());
    }

    /** Whether the first answer is still awaited and is not overdue for a process that has just started. */
    private boolean awaitsFirstAnswer(long now) {
        return !answeredOnce
                && (unansweredSince.isEmpty() || isWithin(now, unansweredSince, policy.startupAnswerTimeoutMs()));
    }

    private static boolean isWithin(long now, OptionalLong since, long ms) {
        return since.isPresent() && now - since.getAsLong() < TimeUnit.MILLISECONDS.toNanos(ms);
    }

    /** Sends a check if one is due and a connection is free. */
    private void checkIfDue(long now) {
        // The first answer contains the full list, which may take longer.
        long pauseMs = awaitsFirstAnswer(now) ? policy.startupAnswerTimeoutMs() / 2 : policy.checkIntervalMs();
        boolean openConnectionIsSilent = lastCheckAt.isPresent() && unansweredSince.isEmpty()
                && !isWithin(now, lastCheckAt, policy.answerTimeoutMs());
        if (openConnectionIsSilent || !isWithin(now, lastCheckAt, pauseMs)) {
            connections.stream().filter(connection -> !busyConnections.contains(connection)).findFirst()
                    .ifPresent(this::check);
        }
    }

    private void check(Discovery.Source connection) {
        EndpointList.Query query = list.query();
        Check check = startCheck(!connection.isConnected());
        busyConnections.add(connection);
        connection.sendRequest(
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, query.path(CHECK_WAIT_MS)),
                MAX_CHECKS * policy.checkIntervalMs(), answer -> {
                    busyConnections.remove(connection);
                    checkEnded(check, query, answer, connection);
                });
    }

    private void checkEnded(Check check, EndpointList.Query query, Optional<FullHttpResponse> answer,
            Discovery.Source connection) {
        boolean answered = list.apply(query, answer) != EndpointList.Result.UNUSABLE;
        boolean locally = connection.failedLocally();
        if (!answered || connection != connections.get(0)) {
            // Only one connection stays open: of several, all might be broken unnoticed by the time they are needed.
            connection.disconnect();
        }
        if (answered) {
            check.answered();
        } else {
            check.failed(locally);
        }
    }

    /** Creates the check for a request that is about to be sent, and starts its time limit. */
    Check startCheck(boolean onNewConnection) {
        Check check = new Check(onNewConnection);
        lastCheckAt = OptionalLong.of(check.sentNanos);
        pending.addLast(check);
        if (pending.size() > MAX_PENDING) {
            pending.removeFirst();
        }
        if (onNewConnection && unansweredSince.isEmpty()) {
            unansweredSince = lastCheckAt;
        }
        AfterPendingReads.schedule(loop, policy.answerTimeoutMs(), TimeUnit.MILLISECONDS, () -> {
            if (!isAnswered(check)) {
                check.unanswered();
            }
        });
        return check;
    }

    /** Whether this check, or one that was sent later, is answered. */
    private boolean isAnswered(Check check) {
        return confirmedAt.isPresent() && confirmedAt.getAsLong() >= check.sentNanos;
    }

    /** Runs the waiting tasks if calls may be sent; otherwise schedules the next attempt. */
    private void runWaitingTasks() {
        if (waitingTasks.isEmpty()) {
            return;
        }
        if (isValid()) {
            List<Runnable> readyTasks = new ArrayList<>(waitingTasks);
            waitingTasks.clear();
            readyTasks.forEach(loop::execute);
        } else {
            runWaitingTasksLater(policy.answerTimeoutMs() / 2);
        }
    }

    private void runWaitingTasksLater(long delayMs) {
        if (!runScheduled) {
            runScheduled = true;
            loop.schedule(() -> {
                runScheduled = false;
                runWaitingTasks();
            }, delayMs, TimeUnit.MILLISECONDS);
        }
    }
}
