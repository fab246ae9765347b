package starlingvalve.net;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import starlingvalve.DeliveryPolicy;

/**
 * Runs a sender's code on made-up messages before it serves, in memory and a scratch folder, with no sockets:
 * else the first second or two of a life, and the moment of a handover, stand at the CPU's limit on cold code.
 * What it does has no effect on anything else, and a failure of it only means a cold start.
 */
final class Warmup {
    private static final int ROUNDS = 400;
    private static final int ENDPOINTS = 12;
    /** Messages that stand in the module when its state is passed on. */
    private static final int STANDING = 20;
    private static final long JOURNAL_LEAST_BYTES = 200_000;
    /** Twice what {@link #STANDING} messages of each of two lives need for each attempt that they may have. */
    private static final long JOURNAL_BYTES_PER_ATTEMPT = 25_000;
    private static final byte[] BODY = new byte[200];

    private final Config config;
    private final EventLoop loop;
    private final long endNanos;
    private int steps;

    private Warmup(Config config, EventLoop loop, long mostMs) {
        this.config = config;
        this.loop = loop;
        this.endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMs);
    }

    /** Takes at most about so long, however slow the machine is; returns how many steps it has made. */
    static int run(Config config, EventLoop loop, long mostMs) {
        long begun = System.nanoTime();
        Warmup warmup = new Warmup(config, loop, mostMs);
        try {
            warmup.handover();
            warmup.journal();
            for (int round = 0; round < ROUNDS && warmup.mayStep(); round++) {
                warmup.client(round);
                warmup.endpoint();
                warmup.module(round);
            }
            Log.line("warmed up in " + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun) + " ms");
        } catch (IOException | RuntimeException e) {
            Log.line("no warm-up: " + e);
        }
        return warmup.steps;
    }

    /** Whether there is time for one more step: what waits for the end of the warm-up waits no longer than told. */
    private boolean mayStep() {
        boolean inTime = System.nanoTime() < endNanos;
        steps += inTime ? 1 : 0;
        return inTime;
    }

    /** A module that sends nowhere. */
    private final class Scratch implements DeliveryPolicy.Actions {
        /** Message and attempt. */
        private final Deque<long[]> sent = new ArrayDeque<>();
        private final Map<Long, Integer> attempts = new HashMap<>();
        private final DeliveryPolicy relay = DeliveryPolicy.create(config.settings(), 1, this);
        private double now;
        private int messages;

        Scratch() {
            for (long id = 0; id < ENDPOINTS; id++) {
                int kind = (int) (id % config.settings().kinds().size());
                relay.endpoints(now, false, List.of(new DeliveryPolicy.Endpoint(id, id / 2, kind, 0, true, 5)));
            }
        }

        void take() {
            int messageClass = messages % config.settings().classes().size();
            DeliveryPolicy.Message message =
                    new DeliveryPolicy.Message(messages, messageClass, 0, Optional.of("k" + messages % 7), 5000,
                            messages % (ENDPOINTS / 2));
            relay.admissionRetryAfter(now, message);
            relay.messageAccepted(now, message);
            messages++;
            relay.endTurn(now);
        }

        void endAll(int round) {
            while (!sent.isEmpty()) {
                long[] out = sent.remove();
                DeliveryPolicy.Outcome outcome =
                        round % 9 == 8 ? DeliveryPolicy.Outcome.FULL : DeliveryPolicy.Outcome.DELIVERED;
                relay.mayBeginAttempt(now, out[0], (int) out[1]);
                relay.attemptEnded(now, new DeliveryPolicy.AttemptEnd(out[0], (int) out[1], outcome, 20,
                        outcome == DeliveryPolicy.Outcome.DELIVERED, 0, false));
            }
            relay.endTurn(now);
            now += 20;
        }

        @Override
        public void send(long message, long endpoint, double timeoutMs) {
            sent.add(new long[] {message, attempts.merge(message, 1, Integer::sum) - 1});
        }

        @Override
        public void cancel(long message, int attempt) {
            // Its end comes all the same.
        }

        @Override
        public void closeIdle(long endpoint) {
            // There is none.
        }

        @Override
        public boolean refuse(long message, double waitMs) {
            return true;
        }

        @Override
        public boolean fail(long message) {
            return true;
        }

        @Override
        public void wakeAt(double time) {
            // Every turn comes anyway.
        }

        @Override
        public void log(String text) {
            // Nobody is on call for it.
        }
    }

    private Scratch scratch;

    private void module(int round) {
        if (scratch == null) {
            scratch = new Scratch();
        }
        scratch.take();
        scratch.take();
        scratch.endAll(round);
    }

    private void handover() throws IOException {
        Scratch old = new Scratch();
        for (int i = 0; i < STANDING; i++) {
            old.take();
        }
        for (int i = 0; i < STANDING && mayStep(); i++) {
            JsonNode line = HandoverConnection.JSON.readTree(
                    HandoverConnection.JSON.valueToTree(old.relay.snapshot(old.now)).toString());
            Scratch fresh = new Scratch();
            fresh.relay.restore(0, 0, HandoverConnection.JSON.treeToValue(line, DeliveryPolicy.Snapshot.class));
            fresh.relay.endTurn(0);
            SubmissionServer.Submission s =
                    new SubmissionServer.Submission("id", "class", "", Optional.of("key"), Optional.empty(), 1, 1,
                            BODY);
            HandoverConnection.JSON.treeToValue(
                    HandoverConnection.JSON.readTree(HandoverConnection.JSON.valueToTree(s).toString()),
                    SubmissionServer.Submission.class);
        }
    }

    private void journal() throws IOException {
        Path folder = Files.createTempDirectory(config.handover().getParent(), "warm");
        try {
            for (int life = 0; life < 2; life++) {
                try (Journal journal = new Journal(folder, journalBytes(), config.settings().maxAttempts())) {
                    for (int i = 0; i < STANDING * 10 && mayStep(); i++) {
                        AcceptedMessage held =
                                new AcceptedMessage(journal.nextNumber(), "id" + i, "class", "", Optional.of("key"),
                                        Optional.of("thread"), 1, 1, BODY);
                        journal.accepted(held);
                        held.attempts.add(new AcceptedMessage.Attempt("endpoint", 1));
                        journal.begins(held, 0);
                        if (i % 10 > 0) {
                            journal.ended(held, FinishedMessage.Result.DELIVERED);
                        } else {
                            journal.neverRan(held, 0);
                        }
                    }
                }
            }
        } finally {
            Files.deleteIfExists(folder.resolve("journal"));
            Files.deleteIfExists(folder);
        }
    }

    /** Room for the messages of both lives: the journal keeps some for each attempt that they may have. */
    private long journalBytes() {
        return Math.max(JOURNAL_LEAST_BYTES, JOURNAL_BYTES_PER_ATTEMPT * config.settings().maxAttempts());
    }

    private void client(int round) {
        EmbeddedChannel client = new EmbeddedChannel();
        client.pipeline().addLast(new SubmissionServer(loop, 4, new WarmupSubmissionHandler()).pipeline());
        client.pipeline().fireChannelActive();
        String name = config.classes().get(round % config.classes().size());
        for (int i = 0; i < 4; i++) {
            send(client, "POST /" + name + "?thread=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: "
                    + "9b1f03aa5c7e2d41\r\nX-Call-Class: " + name + "\r\nX-Budget-Ms: 480\r\nIdempotency-Key: 5c0f\r\n"
                    + "Content-Length: 4\r\nX-Envelope: dest=7\r\n\r\nbody");
        }
        client.finishAndReleaseAll();
    }

    private void endpoint() {
        EmbeddedChannel endpoint = new EmbeddedChannel(new HttpClientCodec());
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
                "/v1/messages", Unpooled.wrappedBuffer(BODY));
        request.headers().set("X-Call-Id", "9b1f03aa5c7e2d41").set("Content-Length", BODY.length);
        endpoint.writeOutbound(request);
        send(endpoint, "HTTP/1.1 200 OK\r\nRetry-After: 0.5\r\nContent-Length: 2\r\n\r\nok");
        endpoint.finishAndReleaseAll();
    }

    private static void send(EmbeddedChannel channel, String text) {
        ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
        channel.writeInbound(bytes);
        for (Object out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
            ReferenceCountUtil.release(out);
        }
    }

    /** Takes everything, and keeps nothing. */
    private static final class WarmupSubmissionHandler implements SubmissionServer.SubmissionHandler {
        @Override
        public boolean ready() {
            return true;
        }

        @Override
        public boolean knowsClass(String name) {
            return true;
        }

        @Override
        public boolean knowsTenant(String name) {
            return true;
        }

        @Override
        public boolean needsKey(String messageClass) {
            return true;
        }

        @Override
        public void take(SubmissionServer.Submission submission, Consumer<SubmissionServer.Verdict> then) {
            then.accept(SubmissionServer.Verdict.accepted(heard -> { }));
        }
    }
}
