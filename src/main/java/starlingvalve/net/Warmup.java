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
 * Runs a sender's code on synthetic messages before it serves, so that the JVM compiles it: otherwise cold code uses
 * all of the CPU in the first second or two of a process and during a handover. It works in memory and in a temporary
 * folder, opens no sockets and has no effect on the sender; if it fails, the sender merely starts cold.
 */
final class Warmup {
    private static final int ROUNDS = 400;
    private static final int ENDPOINTS = 12;
    /** Number of open messages in the policy when its state is handed over. */
    private static final int OPEN_MESSAGES = 20;
    private static final long MIN_JOURNAL_BYTES = 200_000;
    /**
     * Journal space for each attempt that a message may have: twice what the {@link #OPEN_MESSAGES} messages of each of
     * two process runs need.
     */
    private static final long JOURNAL_BYTES_PER_ATTEMPT = 25_000;
    private static final byte[] BODY = new byte[200];

    private final Config config;
    private final EventLoop loop;
    private final long endNanos;
    private int steps;

    private Warmup(Config config, EventLoop loop, long limitMs) {
        this.config = config;
        this.loop = loop;
        this.endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs);
    }

    /** Runs for about {@code limitMs} at most, however slow the machine is; returns the number of steps made. */
    static int run(Config config, EventLoop loop, long limitMs) {
        long startNanos = System.nanoTime();
        Warmup warmup = new Warmup(config, loop, limitMs);
        try {
            warmup.handover();
            warmup.journal();
            for (int round = 0; round < ROUNDS && warmup.beginStep(); round++) {
                warmup.client(round);
                warmup.endpoint();
                warmup.policy(round);
            }
            Log.line("warmed up in " + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) + " ms");
        } catch (IOException | RuntimeException e) {
            Log.line("no warm-up: " + e);
        }
        return warmup.steps;
    }

    /** Counts a step and returns true if the time limit allows another one, since the start waits for the warm-up. */
    private boolean beginStep() {
        boolean withinLimit = System.nanoTime() < endNanos;
        steps += withinLimit ? 1 : 0;
        return withinLimit;
    }

    /** A delivery policy with endpoints and messages of its own, whose sends reach no endpoint. */
    private final class SimulatedPolicy implements DeliveryPolicy.Actions {
        /** Attempts in flight, each as the numbers of its message and of the attempt. */
        private final Deque<long[]> inFlight = new ArrayDeque<>();
        /** Number of attempts of each message. */
        private final Map<Long, Integer> attempts = new HashMap<>();
        private final DeliveryPolicy policy = DeliveryPolicy.create(config.settings(), 1, this);
        private double now;
        private int messageCount;

        SimulatedPolicy() {
            for (long id = 0; id < ENDPOINTS; id++) {
                int kind = (int) (id % config.settings().kinds().size());
                policy.endpoints(now, false, List.of(new DeliveryPolicy.Endpoint(id, id / 2, kind, 0, true, 5)));
            }
        }

        void submit() {
            int messageClass = messageCount % config.settings().classes().size();
            DeliveryPolicy.Message message =
                    new DeliveryPolicy.Message(messageCount, messageClass, 0, Optional.of("k" + messageCount % 7), 5000,
                            messageCount % (ENDPOINTS / 2));
            policy.admissionRetryAfter(now, message);
            policy.messageAccepted(now, message);
            messageCount++;
            policy.endTurn(now);
        }

        void endAll(int round) {
            while (!inFlight.isEmpty()) {
                long[] attempt = inFlight.remove();
                DeliveryPolicy.Outcome outcome =
                        round % 9 == 8 ? DeliveryPolicy.Outcome.FULL : DeliveryPolicy.Outcome.DELIVERED;
                policy.mayBeginAttempt(now, attempt[0], (int) attempt[1]);
                policy.attemptEnded(now, new DeliveryPolicy.AttemptEnd(attempt[0], (int) attempt[1], outcome, 20,
                        outcome == DeliveryPolicy.Outcome.DELIVERED, 0, false));
            }
            policy.endTurn(now);
            now += 20;
        }

        @Override
        public void send(long message, long endpoint, double timeoutMs) {
            inFlight.add(new long[] {message, attempts.merge(message, 1, Integer::sum) - 1});
        }

        @Override
        public void cancel(long message, int attempt) {
            // endAll ends the attempt in any case.
        }

        @Override
        public void closeIdle(long endpoint) {
            // There are no connections.
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
            // The warm-up runs every turn without being woken.
        }

        @Override
        public void log(String text) {
            // These events are not real, so operators must not see them.
        }
    }

    private SimulatedPolicy simulated;

    /** Submits two messages to a delivery policy, and ends all attempts that it then has in flight. */
    private void policy(int round) {
        if (simulated == null) {
            simulated = new SimulatedPolicy();
        }
        simulated.submit();
        simulated.submit();
        simulated.endAll(round);
    }

    /** Writes the state of a policy and a submission as JSON and reads them again, as processes do in a handover. */
    private void handover() throws IOException {
        SimulatedPolicy predecessor = new SimulatedPolicy();
        for (int i = 0; i < OPEN_MESSAGES; i++) {
            predecessor.submit();
        }
        for (int i = 0; i < OPEN_MESSAGES && beginStep(); i++) {
            JsonNode line = HandoverConnection.JSON.readTree(
                    HandoverConnection.JSON.valueToTree(predecessor.policy.snapshot(predecessor.now)).toString());
            SimulatedPolicy successor = new SimulatedPolicy();
            successor.policy.restore(0, 0, HandoverConnection.JSON.treeToValue(line, DeliveryPolicy.Snapshot.class));
            successor.policy.endTurn(0);
            SubmissionServer.Submission submission =
                    new SubmissionServer.Submission("id", "class", "", Optional.of("key"), Optional.empty(), 1, 1,
                            BODY);
            HandoverConnection.JSON.treeToValue(
                    HandoverConnection.JSON.readTree(HandoverConnection.JSON.valueToTree(submission).toString()),
                    SubmissionServer.Submission.class);
        }
    }

    /** Writes a journal in one process run; recovers and continues it in a second one. */
    private void journal() throws IOException {
        Path folder = Files.createTempDirectory(config.handover().getParent(), "warm");
        try {
            for (int processRun = 0; processRun < 2; processRun++) {
                try (Journal journal = new Journal(folder, journalBytes(), config.settings().maxAttempts())) {
                    for (int i = 0; i < OPEN_MESSAGES * 10 && beginStep(); i++) {
                        AcceptedMessage accepted =
                                new AcceptedMessage(journal.nextNumber(), "id" + i, "class", "", Optional.of("key"),
                                        Optional.of("thread"), 1, 1, BODY);
                        journal.accepted(accepted);
                        accepted.attempts.add(new AcceptedMessage.Attempt("endpoint", 1));
                        journal.attemptStarting(accepted, 0);
                        if (i % 10 > 0) {
                            journal.ended(accepted, FinishedMessage.Result.DELIVERED);
                        } else {
                            journal.neverRan(accepted, 0);
                        }
                    }
                }
            }
        } finally {
            Files.deleteIfExists(folder.resolve("journal"));
            Files.deleteIfExists(folder);
        }
    }

    /**
     * Returns the size of a journal for the messages of both process runs; the journal reserves space for each attempt
     * that they may have.
     */
    private long journalBytes() {
        return Math.max(MIN_JOURNAL_BYTES, JOURNAL_BYTES_PER_ATTEMPT * config.settings().maxAttempts());
    }

    /** Passes a client's requests through the pipeline of the submission server. */
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

    /** Encodes a request to an endpoint, and decodes its answer. */
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
        for (Object written = channel.readOutbound(); written != null; written = channel.readOutbound()) {
            ReferenceCountUtil.release(written);
        }
    }

    /** Accepts every submission and stores nothing. */
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
        public void submit(SubmissionServer.Submission submission, Consumer<SubmissionServer.Verdict> callback) {
            callback.accept(SubmissionServer.Verdict.accepted(acknowledged -> { }));
        }
    }
}
