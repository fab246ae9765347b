package starlingvalve;

import java.util.List;
import starlingvalve.DeliveryPolicy.Effect;

/** The message classes of the module's tests, and the numbers of those that tests name. */
final class MessageClasses {
    static final int SAFE = 0;
    static final int KEYED = 1;
    /** Its messages go in order. */
    static final int UNSAFE = 2;
    /** It may be repeated within its zone only. */
    static final int BY_ZONE = 3;
    /** Its deadline is its aim. */
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
