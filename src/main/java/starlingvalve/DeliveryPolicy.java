package starlingvalve;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * Decides when, where and how often a sender's messages are sent. The sender reports events by calling the methods
 * of this interface, and the policy answers with {@link Actions}; the nested types are the values that both exchange.
 *
 * <p>Contract. One instance serves one sender and is called from one thread at a time. It has no clock: each
 * event carries the caller's time in milliseconds, which never goes back. The events between two calls of {@link
 * #endTurn} form a turn and share one time. New sends are decided in {@code endTurn} only, so that those of
 * one turn to one endpoint can share a call. {@link Actions} may be called during any event, in the order in
 * which they are to be carried out; an action must not call back into the instance. Equal settings, seed and events
 * give equal actions.
 *
 * <p>Misuse (an unknown message or attempt, a repeated id, a clock that goes back) throws {@link
 * IllegalArgumentException} or {@link IllegalStateException}. Events that may arrive late in normal operation (a
 * withdrawal of an ended message, a wake-up that is no longer needed, a second end of one attempt) are ignored.
 */
public interface DeliveryPolicy {
    /** Creates an instance without any state; equal settings, seeds and events give equal actions. */
    static DeliveryPolicy create(Settings settings, long seed, Actions actions) {
        return new DeliveryScheduler(settings, seed, actions);
    }

    /**
     * The list of endpoints has changed. The entries are the whole new list, or only those that differ from the
     * previous one.
     */
    void endpoints(double now, boolean whole, List<Endpoint> entries);

    /**
     * Asked before a message is accepted. Empty if it may be accepted, and {@link #messageAccepted} follows. Otherwise
     * the message is rejected at admission and not kept here; the value is the time in milliseconds after which its
     * client may submit it again.
     */
    OptionalDouble admissionRetryAfter(double now, Message message);

    /**
     * The sender has accepted a message. Exactly one of a delivery, {@link Actions#refuse} or {@link Actions#fail}
     * ends it before its deadline.
     */
    void messageAccepted(double now, Message message);

    /**
     * A message that was accepted before a restart is read back from the journal, with the attempts made until then
     * in the order in which they were sent; further attempts continue their numbering. An attempt that was in flight at
     * the restart may have run. None of the earlier attempts holds a slot, and no end follows for them. Messages are
     * reported in the order in which they were accepted.
     */
    void messageRecovered(double now, Message message, List<EarlierAttempt> attempts);

    /**
     * The sender will stop at the given time: from now on only calls that can be expected to end before it are started.
     */
    void shutdownScheduled(double now, double shutdownAt);

    /**
     * An attempt has ended; this is reported exactly once for each {@link Actions#send}. A delivery ends the message
     * without a further answer from the policy.
     */
    void attemptEnded(double now, AttemptEnd end);

    /**
     * The response to an attempt carries a {@code Retry-After}, which counts from now. Reported once when the head of
     * the response is read, and again when the response is complete.
     */
    void retryAfterReceived(double now, long endpoint, double retryAfterMs);

    /**
     * Whether an attempt may still be sent, asked just before its first byte is written. Since it was decided, a
     * {@code Retry-After} may have arrived, its endpoint may have begun to drain, or the time in which the message may
     * be repeated may have passed. An attempt that may not be sent ends as {@link Outcome#NOT_SENT}.
     */
    boolean mayBeginAttempt(double now, long message, int attempt);

    /**
     * A call that was still in flight when an attempt in it ended ({@link AttemptEnd#callInFlight}) has ended too:
     * the attempt can no longer run at the endpoint.
     */
    void callEnded(double now, long message);

    /**
     * A message that was accepted and then refused or failed before a restart, and whose end is not acknowledged yet.
     * Reported in the order of acceptance, together with {@link #messageRecovered}; {@link #endAcknowledged} follows.
     */
    void endedUnacknowledged(double now, Message message);

    /** The final answer of a message has been acknowledged. Ignored for a message that is not known. */
    void endAcknowledged(double now, long message);

    /**
     * Operators put an endpoint in maintenance, whatever the list says, or end its maintenance; it is treated as cold
     * afterwards. The endpoint need not be listed yet. Repeating the current state changes nothing.
     */
    void setMaintenance(double now, long endpoint, boolean inMaintenance);

    /** Whether an endpoint is excluded now: in maintenance, or ejected because it counts as down. */
    boolean isExcluded(long endpoint);

    /** The ids of the messages that are known here and have not ended. */
    Set<Long> openMessages();

    /**
     * Another process is about to take over, and for the expected pause no decisions are made. Waiting messages whose
     * deadline would pass in that time get their final answer now.
     */
    void handoverStarting(double now, double pauseMs);

    /** The state of this instance that the journal does not hold, for the process that takes over from this one. */
    Snapshot snapshot(double now);

    /**
     * Continues from the state that another instance had at {@code takenAt}, which is not after {@code now}. This is
     * the first event after the list of endpoints and those in maintenance have been reported. Attempts that were in
     * flight hold their slots, and their ends are reported here.
     */
    void restore(double now, double takenAt, Snapshot snapshot);

    /**
     * No further answer is needed for this message: its client has disconnected, or a response that arrived after the
     * end of its attempt shows that the message has ended.
     */
    void messageWithdrawn(double now, long message);

    /**
     * A response shows that this message is delivered, and a notice that confirms its end is on its way. Nothing more
     * is sent for the message, and further messages of its key wait until {@link #endAcknowledged}. If an attempt of
     * it is in flight, the end of that attempt follows.
     */
    void endConfirmationPending(double now, long message);

    /** A wake-up requested by {@link Actions#wakeAt}; early and outdated ones do no harm. */
    void wake(double now);

    /** All events of this turn have been reported: the sends of queued messages are decided now. */
    void endTurn(double now);

    /** The actions that the policy requests from the sender. */
    interface Actions {
        /**
         * Whether calls may be started now; they may not while the list of endpoints may be out of date. If they may
         * not, a turn follows as soon as they may. Asked before the first {@link #send} of a turn.
         */
        default boolean mayStartCalls() {
            return true;
        }

        /**
         * Starts the next attempt of a message; attempts are numbered 0, 1, 2 and so on within the message. The
         * time-out counts from now. Sends of one turn to one endpoint may share a call, up to {@link Kind#batch}.
         */
        void send(long message, long endpoint, double timeoutMs);

        /** Cancels an attempt that is redundant; its end is still reported. */
        void cancel(long message, int attempt);

        /** Closes this sender's idle connections to an endpoint; the next call to it opens a new one. */
        void closeIdle(long endpoint);

        /**
         * Ends a message: it is returned to the client, and submitting it again is harmless. The client should wait
         * for the given time before it does.
         *
         * @return whether the end is acknowledged, and the message thereby complete, at once; else {@link
         *     DeliveryPolicy#endAcknowledged} follows
         */
        boolean refuse(long message, double retryAfterMs);

        /**
         * Ends a message: it is given up, and may or may not have taken effect.
         *
         * @return whether the end is acknowledged at once, as with {@link #refuse}
         */
        boolean fail(long message);

        /** Requests a call of {@link DeliveryPolicy#wake} in a turn at this time or soon after. */
        void wakeAt(double time);

        /** Logs a line for the operators. */
        void log(String text);
    }

    /** The effect of running a message more than once. */
    enum Effect {
        /** Repeating the message is harmless. */
        SAFE,
        /** The destination drops repeats of the message's key for a time, at all its endpoints or within one zone. */
        KEYED,
        /** The message must not run twice. */
        UNSAFE
    }

    /**
     * The state of an instance, as one process passes it to the next. All times are in milliseconds and relative to the
     * moment of the snapshot, so that they mean the same on another clock. Components whose names end in {@code In} are
     * points in time, negative if they have passed.
     *
     * @param keyRests for each key in quarantine, the time until its quarantine ends
     * @param firstSends first sends in the last period of the throttles
     * @param copies hedged attempts in that period
     * @param retries retry rounds in that period
     */
    record Snapshot(List<EndpointSnapshot> endpoints, List<MessageSnapshot> messages, Map<String, Double> keyRests,
                  int firstSends, int copies, int retries) {
    }

    /** A rate: the number of events, weighted by age, and the time over which they were counted. */
    record RateSnapshot(double events, double over) {
    }

    /**
     * The send rate and {@code Retry-After} of endpoints that share a limit; repeated with each of these endpoints.
     *
     * @param pressed recent refusals that have not been offset by deliveries
     * @param lastSecond calls in the last second
     * @param rate the rate at which calls may be sent, in calls a millisecond
     * @param edge the rate at which the last refusal came
     * @param nextIn when the rate allows the next call
     * @param waitIn when the {@code Retry-After} ends
     * @param cutIn when the rate was last lowered
     * @param sends the rate of actual sends
     */
    record LimitSnapshot(int pressed, int lastSecond, double rate, double edge, double nextIn, double waitIn,
                       double cutIn, RateSnapshot sends) {
    }

    /**
     * An endpoint, whether or not it is still listed, and its health.
     *
     * @param state the name of the health state: up, down or warming
     * @param latency the mean time of an answer
     * @param deviation the deviation from that mean
     * @param bad the evidence that the endpoint is unhealthy, from 0 to 1
     * @param silentCalls overdue calls since the last answer
     * @param fruitless ends of calls in a row without a delivery
     * @param fruitlessIn when the first of these came
     * @param lastGoodIn when the last delivery came
     * @param warmIn when slow start began
     * @param nextIn when the health allows the next call
     * @param carried the rate of deliveries by the endpoint
     * @param demand the rate of messages for its destination
     */
    record EndpointSnapshot(Endpoint entry, String state, double latency, double deviation, double bad,
                          int silentCalls, int fruitless, double fruitlessIn, double lastGoodIn, double warmIn,
                          double nextIn, RateSnapshot carried, RateSnapshot demand, LimitSnapshot limit) {
    }

    /**
     * An attempt. Those in flight ({@code out}) that have the same {@code call} number share a call. The endpoint is -1
     * if it was not known.
     *
     * @param sentIn when it was sent
     */
    record AttemptSnapshot(long endpoint, double sentIn, boolean mayHaveRun, boolean out, long call) {
    }

    /**
     * A message with the time left until its deadline, and its attempts.
     *
     * @param notBeforeIn when its next round may start
     * @param waves the number of its retry rounds
     * @param refused whether the attempt that ended last was refused
     * @param unheard whether it has ended and its end is not acknowledged
     * @param openCalls calls still in flight in which an attempt of it has ended
     */
    record MessageSnapshot(Message message, double notBeforeIn, int waves, boolean refused, boolean ended,
                         boolean unheard, int openCalls, List<AttemptSnapshot> attempts) {
        /** The same state with another class number, for a process that numbers the classes differently. */
        public MessageSnapshot withClass(int messageClass) {
            Message renumbered = new Message(message.id(), messageClass, message.tenant(), message.key(),
                    message.timeLeftMs(), message.destination());
            return new MessageSnapshot(renumbered, notBeforeIn, waves, refused, ended, unheard, openCalls, attempts);
        }
    }

    /** How an attempt ended. */
    enum Outcome {
        /** The message was delivered. */
        DELIVERED(false),
        /** The endpoint answered with an error; the message may have run. */
        ERROR(true),
        /** Refused without being processed: rate limit exceeded, queue full, or endpoint unavailable. */
        FULL(false),
        /** Refused without being processed: the endpoint has no room for another connection, whatever its limit. */
        NO_CONNECTION(false),
        /** No answer in time; the message may have run or still be running. */
        TIMED_OUT(true),
        /** No connection was established. */
        UNREACHABLE(false),
        /** The connection broke while the attempt was in flight; the message may have run. */
        BROKEN(true),
        /** The attempt was cancelled; the message may have run. */
        CANCELLED(true),
        /** The attempt was never sent: no slot was free, or the message had ended. */
        NOT_SENT(false);

        private final boolean mayHaveRun;

        Outcome(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }

        /** Whether an attempt with this outcome may have taken effect although no delivery is confirmed. */
        public boolean mayHaveRun() {
            return mayHaveRun;
        }

        /** Whether the endpoint answered that it doesn't accept the message now. */
        public boolean isRefusal() {
            return this == FULL || this == NO_CONNECTION;
        }
    }

    /**
     * One entry of the list of endpoints. A message may be sent only to endpoints of its destination.
     *
     * @param serving false while the endpoint drains
     * @param listedRate calls a second that the endpoint accepts from all senders, or 0 if none is listed
     */
    record Endpoint(long id, long destination, int kind, int zone, boolean serving, double listedRate) {
        /** A listed rate that is negative or not a number counts as none. */
        public Endpoint {
            listedRate = listedRate > 0 ? listedRate : 0;
        }
    }

    /**
     * A message as it was accepted.
     *
     * @param key the ordering key, for classes whose messages are sent in order
     * @param timeLeftMs the time left until the message's deadline
     */
    record Message(long id, int messageClass, int tenant, Optional<String> key, double timeLeftMs,
            long destination) {
    }

    /** An attempt made before a restart; {@code sentAt} is on the clock of this process, mostly before its start. */
    record EarlierAttempt(long endpoint, double sentAt, boolean mayHaveRun) {
    }

    /**
     * The end of one attempt.
     *
     * @param tookMs the time from the send to the end
     * @param messageEnded whether the message needs no further answer
     * @param retryAfterMs the {@code Retry-After} of a destination that refused the message, or 0
     * @param callInFlight whether the call is still in flight for other messages; if so, {@link
     *     DeliveryPolicy#callEnded} follows
     */
    record AttemptEnd(long message, int attempt, Outcome outcome, double tookMs, boolean messageEnded,
            double retryAfterMs, boolean callInFlight) {
    }

    /** How the worth of a message falls once its latency target has passed. */
    enum Decay {
        /** Linearly, down to the late worth at the deadline. */
        LINEAR,
        /** By half with each further period of the target's length, but not below the late worth. */
        HALVING
    }

    /**
     * A class of messages.
     *
     * @param latencyTargetMs the time within which a message keeps its full worth
     * @param worth the value of a message that is delivered within the target
     * @param lateWorth the share of the worth that is left at the end of {@link Decay}
     * @param sameZone whether repeats of a key are dropped within one zone only
     * @param dedupWindowMs how long after the first attempt repeats of a key are dropped
     * @param inOrder whether messages of one key are sent in the order in which they were accepted
     */
    record MessageClass(double latencyTargetMs, double deadlineMs, double worth, double lateWorth, Effect effect,
                        boolean sameZone, double dedupWindowMs, boolean inOrder) {
        /** The worth of a message delivered {@code lateMs} after its latency target and before its deadline. */
        double worthWhenLate(double lateMs, Decay decay) {
            double share = decay == Decay.HALVING ? Math.max(lateWorth, Math.pow(0.5, lateMs / latencyTargetMs))
                    : 1 - (1 - lateWorth) * lateMs / Math.max(1, deadlineMs - latencyTargetMs);
            return worth * share;
        }
    }

    /**
     * A kind of destination.
     *
     * @param separateRoutes whether each endpoint has a limit of its own; else all endpoints share one
     * @param batch the most messages that one call carries
     */
    record Kind(boolean separateRoutes, int batch) {
    }

    /**
     * The slow start that a destination needs when it returns from an outage. While it is cold, more calls within
     * {@code overloadMs} than {@code overloadMultiple} times what its capacity then allows overload it.
     *
     * @param startCapacity the share of its full capacity that the destination has when it returns
     * @param warmMs the time in which its capacity grows from there to the full one
     */
    record ColdStart(double startCapacity, double warmMs, double overloadMultiple, double overloadMs) {
    }

    /**
     * All settings of a deployment and a sender.
     *
     * @param ratesListed whether the rates in the list of endpoints are meaningful
     * @param zoneFees the fee of a call to a separate route, by zone
     * @param senders the number of senders in the deployment
     * @param slots the most calls that this sender has in flight
     * @param hedging whether a further attempt may start while one of the message is in flight
     * @param cancels whether redundant attempts are cancelled
     * @param keyQuarantineMs how long a key is not dispatched after an attempt of it that may still be running
     * @param keepAliveMs the time after which an idle connection is closed
     */
    record Settings(List<MessageClass> classes, List<Kind> kinds, boolean ratesListed, Decay decay,
                    List<Double> zoneFees, int senders, int slots, int maxAttempts, boolean hedging,
                    boolean cancels, double keyQuarantineMs, double keepAliveMs, ColdStart coldStart) {
        /** Rejects values that are impossible in any deployment. */
        public Settings {
            if (classes.isEmpty() || kinds.isEmpty()) {
                throw new IllegalArgumentException("settings need at least one class and one kind");
            }
            if (slots < 1 || maxAttempts < 1 || senders < 1) {
                throw new IllegalArgumentException("slots, attempts and senders must be at least 1");
            }
            classes = List.copyOf(classes);
            kinds = List.copyOf(kinds);
            zoneFees = List.copyOf(zoneFees);
        }
    }
}
