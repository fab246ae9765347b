package starlingvalve;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * The decision module's interface: what a sender tells it, what it tells the sender, and the values that
 * pass.
 *
 * <p>Contract. One instance serves one sender and is called from one thread at a time. It has no clock: each
 * event carries the caller's time in milliseconds, which never goes back. Events between two calls of {@link
 * #endTurn} form a turn and share one time; new sends are decided in {@code endTurn} only, so that those of
 * one turn to one endpoint can share a call. {@link Actions} may be called during any event, in the order in
 * which they are meant; an action must not call back into the instance. Equal settings, seed and events give
 * equal actions.
 *
 * <p>Misuse (an unknown message or attempt, a repeated id, a clock that goes back) throws {@link
 * IllegalArgumentException} or {@link IllegalStateException}; what may arrive late by nature (a withdrawal of
 * an ended message, a wake that is no longer needed, a second end of one attempt) is ignored.
 */
public interface DeliveryPolicy {
    /** A new instance, with no state; equal settings, seeds and events give equal actions. */
    static DeliveryPolicy create(Settings settings, long seed, Actions actions) {
        return new DeliveryScheduler(settings, seed, actions);
    }

    /**
     * The list of endpoints changed: the whole list, or only the entries that differ from the list before.
     */
    void endpoints(double now, boolean whole, List<Endpoint> entries);

    /**
     * Asked before a message is taken: if it is not to be, after how long its client may come again. One that is
     * turned away is not known here; {@link #messageAccepted} follows for one that is not.
     */
    OptionalDouble admissionRetryAfter(double now, Message message);

    /**
     * The sender has taken a message; exactly one of delivered, refused or failed ends it before its time is
     * up.
     */
    void messageAccepted(double now, Message message);

    /**
     * A message that an earlier life of this sender took comes back from its journal, with the attempts made
     * then, in their order; further ones are numbered on from these. One that was out when that life ended
     * may have run; none of them holds a slot or gets an end any more. Messages come in the order taken.
     */
    void messageRecovered(double now, Message message, List<EarlierAttempt> attempts);

    /**
     * The sender will stop at this time: no call starts any more that can't be expected to end before it.
     */
    void shutdownScheduled(double now, double end);

    /**
     * An attempt has ended; each {@link Actions#send} gets exactly one. A delivered end finishes the message
     * without a further answer from the module.
     */
    void attemptEnded(double now, AttemptEnd end);

    /** The answer of an attempt tells a wait, which runs from now on; told with its head and once it is whole. */
    void retryAfterReceived(double now, long endpoint, double retryAfterMs);

    /**
     * Whether an attempt may go out now, asked just before its first byte: a wait told since its decision, a drain, or
     * the end of the time in which it may be repeated, may stand against it. One that may not ends as not sent.
     */
    boolean mayBeginAttempt(double now, long message, int attempt);

    /**
     * The call of an attempt that had ended while it was open is over now: nothing of it can still run there.
     */
    void callEnded(double now, long message);

    /**
     * A message that an earlier life of this sender took and answered by refusing or failing it, which nobody
     * has heard yet. It comes in the order taken, as with {@link #messageRecovered}; {@link #endAcknowledged} follows.
     */
    void endedUnacknowledged(double now, Message message);

    /** The final answer of a message has been heard, so it is over; of what is not known, nothing hangs on it. */
    void endAcknowledged(double now, long message);

    /**
     * Operators leave an endpoint out, whatever the list says, or put it back: it comes back cold. The list need
     * not have named it yet; saying the same again changes nothing.
     */
    void setMaintenance(double now, long endpoint, boolean out);

    /** Whether an endpoint is avoided now: left out by operators, or taken for down. */
    boolean isExcluded(long endpoint);

    /** The messages that it has been told of and has not ended. */
    Set<Long> openMessages();

    /**
     * Another process is about to take over, and nobody decides anything for so long, as far as can be expected. What waits
     * and would run out of time meanwhile gets its final answer now.
     */
    void handoverStarting(double now, double pauseMs);

    /** All that this instance knows and a journal does not hold, for the process that takes over from this one. */
    Snapshot snapshot(double now);

    /**
     * Goes on where another instance was at the given time, which is not after now; comes first, once the list
     * and what operators leave out are told. Attempts that were out hold their slots, and get their ends.
     */
    void restore(double now, double takenAt, Snapshot snapshot);

    /**
     * Nobody waits for this message any more; no answer is owed. Its client has left, or an answer that came after the
     * end of its attempt tells that it is over.
     */
    void messageWithdrawn(double now, long message);

    /**
     * An answer tells that this message is delivered, and a notice is on its way that confirms its end: nothing is sent
     * for it any more, and its key waits until {@link #endAcknowledged}. If its attempt is out, the end of that follows.
     */
    void endConfirmationPending(double now, long message);

    /** A wake asked for by {@link Actions#wakeAt} has come; early and stale ones do no harm. */
    void wake(double now);

    /** All events of this turn have been told: queued sends are decided now. */
    void endTurn(double now);

    /** What the module asks of the sender. */
    interface Actions {
        /**
         * Whether calls may go out now: not while the list of endpoints may be out of date. Where they may not, a turn
         * follows once they may. Asked before a turn's first {@link #send}.
         */
        default boolean mayStartCalls() {
            return true;
        }

        /**
         * Start the next attempt of a message, numbered 0, 1, 2 and so on within it. The time-out counts from
         * now. Sends of one turn to one endpoint may share a call, up to the kind's batch.
         */
        void send(long message, long endpoint, double timeoutMs);

        /** Stop waiting for an attempt that is redundant; its end is still reported. */
        void cancel(long message, int attempt);

        /** Close this sender's idle connections to an endpoint; its next call opens a new one. */
        void closeIdle(long endpoint);

        /**
         * Final: handed back, and trying again is harmless; the client should stay away for the given time.
         * Tells whether that is heard, and the message over, at once; else {@link DeliveryPolicy#endAcknowledged} follows.
         */
        boolean refuse(long message, double retryAfterMs);

        /** Final: given up, with no promise about its effect. Heard as with {@link #refuse}. */
        boolean fail(long message);

        /** Call {@link DeliveryPolicy#wake} in a turn at or soon after this time. */
        void wakeAt(double time);

        /** A line for the people on call. */
        void log(String text);
    }

    /** What another attempt of a message may do. */
    enum Effect {
        /** Repeating is harmless. */
        SAFE,
        /** The destination drops repeats of the key for a time, within a group of endpoints. */
        KEYED,
        /** It must not run twice. */
        UNSAFE
    }

    /**
     * What an instance knows. All times are in milliseconds and relative to when it was taken, so that they
     * mean the same on another clock. The counts are those of the throttles' last period.
     */
    record Snapshot(List<EndpointSnapshot> endpoints, List<MessageSnapshot> messages, Map<String, Double> keyRests,
                  int firstSends, int copies, int retries) {
    }

    /** Events, weighed by age, over the time in which they were watched. */
    record RateSnapshot(double events, double over) {
    }

    /** The pace and wait of what shares one limit; it comes with each endpoint of it. */
    record LimitSnapshot(int pressed, int lastSecond, double rate, double edge, double nextIn, double waitIn,
                       double cutIn, RateSnapshot sends) {
    }

    /** An endpoint, listed or not, and its health. */
    record EndpointSnapshot(Endpoint entry, String state, double latency, double deviation, double bad,
                          int silentCalls, int fruitless, double fruitlessIn, double lastGoodIn, double warmIn,
                          double nextIn, RateSnapshot carried, RateSnapshot demand, LimitSnapshot limit) {
    }

    /**
     * An attempt; one that is out shares its call with those of the same call number. The endpoint is -1 where
     * it was not known.
     */
    record AttemptSnapshot(long endpoint, double sentIn, boolean mayHaveRun, boolean out, long call) {
    }

    /** A message, with the time that is left, and its wave. */
    record MessageSnapshot(Message message, double notBeforeIn, int waves, boolean refused, boolean ended,
                         boolean unheard, int openCalls, List<AttemptSnapshot> attempts) {
        /** The same, where its class has this number. */
        public MessageSnapshot withClass(int messageClass) {
            Message renumbered = new Message(message.id(), messageClass, message.tenant(), message.key(),
                    message.timeLeftMs(), message.destination());
            return new MessageSnapshot(renumbered, notBeforeIn, waves, refused, ended, unheard, openCalls, attempts);
        }
    }

    /** How an attempt ended. */
    enum Outcome {
        /** Delivered. */
        DELIVERED(false),
        /** Answered with an error; it may have run. */
        ERROR(true),
        /** Turned away unseen: over the limit, queue full or shut. */
        FULL(false),
        /** Turned away unseen: the endpoint has no room for another connection, whatever its limit allows. */
        NO_CONNECTION(false),
        /** No answer in time; it may have run or still do so. */
        TIMED_OUT(true),
        /** No connection was made. */
        UNREACHABLE(false),
        /** The connection broke while the attempt was out; it may have run. */
        BROKEN(true),
        /** Cancelled; it may have run. */
        CANCELLED(true),
        /** Never sent: no slot was free, or the message was over. */
        NOT_SENT(false);

        private final boolean mayHaveRun;

        Outcome(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }

        /** True where the end leaves open whether the message took effect, unless it was delivered. */
        public boolean mayHaveRun() {
            return mayHaveRun;
        }

        /** True where the endpoint answered that it does not take the message now. */
        public boolean isRefusal() {
            return this == FULL || this == NO_CONNECTION;
        }
    }

    /**
     * One entry of the list; the endpoints of a destination are the only ones that its messages may go to.
     */
    record Endpoint(long id, long destination, int kind, int zone, boolean serving, double listedRate) {
        /** A rate that makes no sense counts as none listed. */
        public Endpoint {
            listedRate = listedRate > 0 ? listedRate : 0;
        }
    }

    /**
     * A message as it was taken. {@code timeLeftMs} is what is left of its class's deadline; {@code key} is
     * set for classes that keep an order.
     */
    record Message(long id, int messageClass, int tenant, Optional<String> key, double timeLeftMs,
            long destination) {
    }

    /** An attempt made in an earlier life; {@code sentAt} is on this life's clock, mostly before its start. */
    record EarlierAttempt(long endpoint, double sentAt, boolean mayHaveRun) {
    }

    /**
     * The end of one attempt. {@code messageEnded} tells that the message needs no further answer; {@code retryAfterMs}
     * is the wait that a full destination told, or 0. {@code callInFlight} tells that its call is still out for other
     * messages: {@link DeliveryPolicy#callEnded} follows.
     */
    record AttemptEnd(long message, int attempt, Outcome outcome, double tookMs, boolean messageEnded,
            double retryAfterMs, boolean callInFlight) {
    }

    /** What worth falls to after the aim: evenly to the last, or by half with each further aim. */
    enum Decay {
        /** Evenly, down to the late worth at the deadline. */
        LINEAR,
        /** By half with each further aim, the late worth at least. */
        HALVING
    }

    /**
     * A class of message; times in milliseconds. {@code sameZone}: repeats are dropped within one zone only.
     */
    record MessageClass(double latencyTargetMs, double deadlineMs, double worth, double lateWorth, Effect effect,
                        boolean sameZone, double dedupWindowMs, boolean inOrder) {
        /** What a message is worth that is delivered so long after its aim, and before its deadline. */
        double worthWhenLate(double lateMs, Decay decay) {
            double share = decay == Decay.HALVING ? Math.max(lateWorth, Math.pow(0.5, lateMs / latencyTargetMs))
                    : 1 - (1 - lateWorth) * lateMs / Math.max(1, deadlineMs - latencyTargetMs);
            return worth * share;
        }
    }

    /**
     * A kind of destination: whether its endpoints are separate routes, and how many messages one call
     * carries.
     */
    record Kind(boolean separateRoutes, int batch) {
    }

    /**
     * How a destination that returns from an outage must be treated; see the rule on returning destinations.
     */
    record ColdStart(double startCapacity, double warmMs, double overloadMultiple, double overloadMs) {
    }

    /**
     * All settings of a deployment and a sender; {@code zoneFees} are by zone, for separate routes, and
     * {@code ratesListed} tells that the list's rates mean something; a connection without use closes after
     * {@code keepAliveMs}.
     */
    record Settings(List<MessageClass> classes, List<Kind> kinds, boolean ratesListed, Decay decay,
                    List<Double> zoneFees, int senders, int slots, int maxAttempts, boolean hedging,
                    boolean cancels, double keyQuarantineMs, double keepAliveMs, ColdStart coldStart) {
        /** Checks what no deployment can mean. */
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
