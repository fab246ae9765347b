package starlingvalve.net;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The old side of an upgrade: waits for a new version of this sender, gives it all that is owned, and passes on
 * what still happens here. Until the new process says that it owns, each thing passed on is also kept, to be done
 * here if that process fails.
 */
final class Handover {
    /** The sender's side. */
    interface Callbacks {
        /** Whether there is something to hand over, and nothing stands against it. */
        boolean canHandOver();

        /**
         * Stops deciding; the state follows once it is whole and the journal is let go of. Without one this process goes on
         * as the owner.
         */
        void freeze(Consumer<Optional<ObjectNode>> state);

        /** The new process failed before it owned: this one goes on. */
        void unfreeze() throws IOException;

        /** The new process owns all; what still comes here is passed on. */
        void left();

        /** The new process wants this call no more. */
        void cancel(long message, int attempt);
    }

    private enum Phase {
        OWNING,
        /** Nothing is decided any more, and the state is being made. */
        FREEZING,
        /** The new process has the state, and may own. */
        LEAVING,
        /** It does not come to own, and what it was given is being taken back. */
        RETURNING,
        LEFT
    }

    /** After a handover that has failed the next one begins no sooner: each stops all decisions for a moment. */
    private static final long ASK_AGAIN_MS = 500;
    private static final long LISTEN_AGAIN_MS = 500;
    /** What could not be had is tried again so often. */
    private static final long RETRY_MS = 20;

    private final EventLoop acceptor;
    private final EventLoop loop;
    private final Handover.Callbacks estate;
    private long askAgainNanos = System.nanoTime();
    private Phase phase = Phase.OWNING;
    private Path path;
    private Optional<Channel> listener = Optional.empty();
    private boolean ended;
    private HandoverConnection link;
    private long questions;
    private final Map<Long, Consumer<JsonNode>> unanswered = new HashMap<>();
    private final List<Runnable> kept = new ArrayList<>();

    /** Accepts on the loop that also serves the connections, for tests. */
    Handover(EventLoop loop, Handover.Callbacks estate) {
        this(loop, loop, estate);
    }

    /** {@code acceptor} accepts connections and does nothing else; {@code loop} serves them. */
    Handover(EventLoop acceptor, EventLoop loop, Handover.Callbacks estate) {
        this.acceptor = acceptor;
        this.loop = loop;
        this.estate = estate;
    }

    /** From now on a new version may ask; a socket that an earlier process left there is no one's. */
    void listen(Path at) {
        path = at;
        listen();
    }

    private void listen() {
        try {
            Files.deleteIfExists(path);
        } catch (IOException e) {
            Log.line("an old socket is in the way of an upgrade: " + e.getMessage());
        }
        ChannelFuture bound = new ServerBootstrap().group(acceptor, loop).channel(NioServerDomainSocketChannel.class)
                .handler(new AcceptRetry())
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new InterruptTolerantReads())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        HandoverConnection[] mine = new HandoverConnection[1];
                        mine[0] = new HandoverConnection(channel, node -> line(mine[0], node), () -> closed(mine[0]));
                    }
                })
                .bind(UnixDomainSocketAddress.of(path));
        EventLoopListeners.whenDone(loop, bound, this::listens);
    }

    private void listens(ChannelFuture bound) {
        if (!bound.isSuccess()) {
            Log.line("no upgrade can reach this process yet: " + bound.cause().getMessage());
            loop.schedule(this::listenAgain, LISTEN_AGAIN_MS, TimeUnit.MILLISECONDS);
        } else if (ended || phase != Phase.OWNING) {
            bound.channel().close();
        } else {
            listener = Optional.of(bound.channel());
        }
    }

    private void listenAgain() {
        if (!ended && phase == Phase.OWNING) {
            listen();
        }
    }

    /** The process ends: its socket goes too. */
    void close() {
        ended = true;
        closeListener();
    }

    /** With it goes what stands at its path. */
    private void closeListener() {
        listener.ifPresent(Channel::close);
        listener = Optional.empty();
    }

    /** Whether what happens here is to be passed on. */
    boolean isForwarding() {
        return phase == Phase.LEAVING || phase == Phase.RETURNING || phase == Phase.LEFT;
    }

    /** Whether the new process owns all. */
    boolean left() {
        return phase == Phase.LEFT;
    }

    /** Questions that the new process has not answered. */
    int unanswered() {
        return unanswered.size();
    }

    /** Passes on what has happened, or does it here if the new process fails before it owns. */
    void tell(ObjectNode line, Runnable here) {
        if (phase == Phase.LEAVING || phase == Phase.RETURNING) {
            kept.add(here);
        }
        if (link != null) {
            link.send(line);
        }
    }

    /** Asks the new process to do something; the answer is missing if that process is gone. */
    void ask(ObjectNode line, Consumer<JsonNode> then, Runnable here) {
        if (link == null && phase == Phase.LEFT) {
            then.accept(HandoverConnection.JSON.missingNode());
            return;
        }
        unanswered.put(++questions, then);
        tell(line.put("n", questions), here);
    }

    private void line(HandoverConnection from, JsonNode node) {
        String what = node.path("do").asText();
        if (what.equals("handover")) {
            begin(from);
        } else if (from != link) {
            from.close();
        } else if (what.equals("own") && phase == Phase.LEAVING) {
            phase = Phase.LEFT;
            kept.clear();
            estate.left();
        } else if (what.equals("declined")) {
            goOn();
        } else if (what.equals("cancel")) {
            estate.cancel(node.path("message").asLong(), node.path("attempt").asInt());
        } else if (what.equals("reply")) {
            Consumer<JsonNode> then = unanswered.remove(node.path("n").asLong());
            if (then != null) {
                then.accept(node);
            }
        }
    }

    private void begin(HandoverConnection from) {
        if (phase != Phase.OWNING || System.nanoTime() - askAgainNanos < 0 || !estate.canHandOver()) {
            from.close();
            return;
        }
        Log.line("a new version asks to take over");
        phase = Phase.FREEZING;
        link = from;
        estate.freeze(state -> state.ifPresentOrElse(this::leave, this::stay));
    }

    private void leave(ObjectNode state) {
        phase = Phase.LEAVING;
        // Before the new process can have its own there: closing deletes what stands at the path.
        closeListener();
        if (link == null) {
            goOn();
        } else {
            link.send(state);
        }
    }

    /** The state could not be made: the new process may ask again. */
    private void stay() {
        Log.line("the state can't be handed over; this process goes on");
        phase = Phase.OWNING;
        askAgainNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ASK_AGAIN_MS);
        closeLink();
    }

    /** The new process may ask again, or start by itself if there is no other one. */
    private void closeLink() {
        if (link != null) {
            HandoverConnection asking = link;
            link = null;
            asking.close();
        }
    }

    private void closed(HandoverConnection which) {
        if (which != link) {
            return;
        }
        link = null;
        if (phase == Phase.LEAVING) {
            goOn();
        } else if (phase == Phase.LEFT) {
            List<Consumer<JsonNode>> open = new ArrayList<>(unanswered.values());
            unanswered.clear();
            open.forEach(then -> FaultIsolation.run(() -> then.accept(HandoverConnection.JSON.missingNode())));
        }
    }

    private void goOn() {
        if (phase == Phase.LEAVING) {
            phase = Phase.RETURNING;
            takeBack();
        }
    }

    private void takeBack() {
        try {
            estate.unfreeze();
        } catch (IOException e) {
            // The new process may still be ending, with the lock in its hands.
            loop.schedule(this::takeBack, RETRY_MS, TimeUnit.MILLISECONDS);
            return;
        }
        Log.line("the new version failed before it owned; this one goes on");
        phase = Phase.OWNING;
        closeLink();
        askAgainNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ASK_AGAIN_MS);
        listen();
        unanswered.clear();
        List<Runnable> here = new ArrayList<>(kept);
        kept.clear();
        here.forEach(FaultIsolation::run);
    }
}
