package starlingvalve;

import java.util.List;
import starlingvalve.DeliveryPolicy.Effect;

/** Message classes of the scheduler's tests, with constants for the indexes of those that tests refer to. */
final class MessageClasses {
    static final int SAFE = 0;
    static final int KEYED = 1;
    /** Unsafe to repeat; its messages are kept in order by key. */
    static final int UNSAFE = 2;
    /** Keyed; repeats are dropped within one zone only. */
    static final int BY_ZONE = 3;
    /** Safe; its deadline equals its latency target, so that it is never late. */
    static final int NEVER_LATE = 5;

    static final List<DeliveryPolicy.MessageClass> CLASSES = List.of(
            new DeliveryPolicy.MessageClass(2000, 16_000, 1, 0.5, Effect.SAFE, false, 0, false),
            new DeliveryPolicy.MessageClass(2000, 16_000, 1, 0.5, Effect.KEYED, false, 4000, false),
            new DeliveryPolicy.MessageClass(2000, 16_000, 4, 0.3, Effect.UNSAFE, false, 0, true),
            new DeliveryPolicy.MessageClass(2000, 16_000, 1, 0.5, Effect.KEYED, true, 15_000, false),
            new DeliveryPolicy.MessageClass(1000, 5000, 2, 0, Effect.SAFE, false, 0, false),
            new DeliveryPolicy.MessageClass(5000, 5000, 1, 0, Effect.SAFE, false, 0, false));

    private MessageClasses() {
    }
}
