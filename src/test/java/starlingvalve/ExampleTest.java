package starlingvalve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** The example in the README: one message from its acceptance to its delivery. */
class ExampleTest {
    private final List<String> actions = new ArrayList<>();

    @Test
    void messageIsSentAndDelivered() {
        DeliveryPolicy.MessageClass order =
                new DeliveryPolicy.MessageClass(2000, 16_000, 1, 0.5, DeliveryPolicy.Effect.SAFE, false, 0, false);
        DeliveryPolicy.Settings settings =
                new DeliveryPolicy.Settings(List.of(order), List.of(new DeliveryPolicy.Kind(false, 1)), false,
                        DeliveryPolicy.Decay.LINEAR, List.of(), 1, 10, 6, true, true, 0, 15_000,
                        new DeliveryPolicy.ColdStart(0.2, 10_000, 2, 1500));
        DeliveryPolicy policy = DeliveryPolicy.create(settings, 42, new RecordingActions());
        policy.endpoints(0, true, List.of(new DeliveryPolicy.Endpoint(51, 7, 0, 0, true, 0)));
        policy.messageAccepted(0, new DeliveryPolicy.Message(1, 0, 0, Optional.empty(), 16_000, 7));
        policy.endTurn(0);
        policy.attemptEnded(80,
                new DeliveryPolicy.AttemptEnd(1, 0, DeliveryPolicy.Outcome.DELIVERED, 80, true, 0, false));
        policy.endTurn(80);
        assertEquals(List.of("send 1 to 51", "wake at 1000.0"), actions.subList(0, 2));
    }

    /** Records the actions; stands for the network client and the timers of a sender. */
    private final class RecordingActions implements DeliveryPolicy.Actions {
        @Override
        public void send(long message, long endpoint, double timeoutMs) {
            actions.add("send " + message + " to " + endpoint);
        }

        @Override
        public void cancel(long message, int attempt) {
            actions.add("cancel " + message);
        }

        @Override
        public void closeIdle(long endpoint) {
            actions.add("close idle connections to " + endpoint);
        }

        @Override
        public boolean refuse(long message, double retryAfterMs) {
            return actions.add("refuse " + message);
        }

        @Override
        public boolean fail(long message) {
            return actions.add("fail " + message);
        }

        @Override
        public void wakeAt(double time) {
            actions.add("wake at " + time);
        }

        @Override
        public void log(String text) {
            actions.add(text);
        }
    }
}
