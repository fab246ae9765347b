package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.bootstrap.AbstractBootstrap;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import java.io.IOException;
import java.lang.reflect.Field;
import org.junit.jupiter.api.Test;

/** A process that owns the journal but can't create a listening socket. */
class ListenFaultTest extends SenderFixture {
    private static final long SHUTDOWN_LIMIT_MS = 10_000;
    private static final long START_RETRY_LIMIT_MS = 1000;

    private static Field field(Class<?> type, String name) throws NoSuchFieldException {
        Field field = type.getDeclaredField(name);
        field.setAccessible(true);
        return field;
    }

    /** Makes the creation of the listening socket for clients fail from the first endpoint list on. */
    private void failListening() {
        beforeEvent = (event, arguments) -> {
            if (event.equals("endpoints")) {
                try {
                    Object bootstrap = field(SubmissionServer.class, "bootstrap")
                            .get(field(Sender.class, "submissionServer").get(sender));
                    field(AbstractBootstrap.class, "channelFactory").set(bootstrap, (ChannelFactory<?>) () -> {
                        throw new ChannelException("too many open files in system");
                    });
                } catch (ReflectiveOperationException e) {
                    throw new AssertionError(e);
                }
            }
        };
    }

    @Test
    void processThatCannotListenEnds() throws Exception {
        sender = new Sender(config(), 100, 500, 0, new StartRetry(START_RETRY_LIMIT_MS), this::interceptEvents);
        failListening();
        assertThrows(IOException.class, sender::start);
        // Calls drain as the shutdown hook does.
        Thread hook = new Thread(sender::drain);
        hook.setDaemon(true);
        hook.start();
        hook.join(SHUTDOWN_LIMIT_MS);
        assertFalse(hook.isAlive(), "the shutdown hook hangs");
    }
}
