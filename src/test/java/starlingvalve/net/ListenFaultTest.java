package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.bootstrap.AbstractBootstrap;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import java.io.IOException;
import java.lang.reflect.Field;
import org.junit.jupiter.api.Test;

/** A process that owns the journal and can't make a listening socket. */
class ListenFaultTest extends SenderFixture {
    private static final long END_MS = 10_000;
    private static final long START_PATIENCE_MS = 1000;

    private static Field field(Class<?> of, String name) throws NoSuchFieldException {
        Field field = of.getDeclaredField(name);
        field.setAccessible(true);
        return field;
    }

    /** From the first list on there is no socket for the clients' address. */
    private void makeNoSocket() {
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
    void aProcessThatCanNotListenEnds() throws Exception {
        sender = new Sender(config(), 100, 500, 0, new StartRetry(START_PATIENCE_MS), this::interceptEvents);
        makeNoSocket();
        assertThrows(IOException.class, sender::start);
        // As the shutdown hook does.
        Thread hook = new Thread(sender::drain);
        hook.setDaemon(true);
        hook.start();
        hook.join(END_MS);
        assertFalse(hook.isAlive(), "it hangs in its shutdown hook");
    }
}
