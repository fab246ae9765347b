package starlingvalve.net;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Sends the platform a notice of each message that was accepted and not delivered, and of each delivered one whose end
 * has to be confirmed. Notices are sent oldest first, several in one request, and each is repeated until the platform
 * has acknowledged it. The number of pending notices is bounded by the journal, which holds each message whose notice
 * is not acknowledged yet.
 */
final class NoticeClient {
    /** Maximum body of one request, below the protocol's 64 KiB; a single notice always fits. */
    private static final int MAX_BODY_BYTES = 32 * 1024;
    /** Longest answer that is read; the protocol's limit for a body. */
    static final int MAX_ANSWER_BYTES = 64 * 1024;
    /** Time limit of a request. The platform answers at once, so no answer is to be expected after this time. */
    private static final long REQUEST_LIMIT_MS = 500;
    /** Pause before a request is repeated. */
    private static final long RETRY_PAUSE_MS = 100;

    private final EventLoop loop;
    private final AgentConnection agent;
    private final Consumer<AcceptedMessage> acknowledged;
    private final EventLog events = EventLog.shared();
    private final ObjectMapper json = JsonMapper.builder().build();
    /** Messages whose notices are not acknowledged yet, oldest first. */
    private final Deque<AcceptedMessage> pendingNotices = new ArrayDeque<>();
    /** Messages whose notices this process still has to send once while a successor process takes over. */
    private final Deque<AcceptedMessage> toSendOnce = new ArrayDeque<>();
    /** Whether a request is in flight or the next one is scheduled. */
    private boolean sending;
    /** Whether the pending notices are left to the successor process. */
    private boolean paused;
    /**
     * Whether the next request contains a single notice, to find the unreadable one, since the platform could not read
     * the last request.
     */
    private boolean singleNotice;

    NoticeClient(EventLoop loop, AgentConnection agent, Consumer<AcceptedMessage> acknowledged) {
        this.loop = loop;
        this.agent = agent;
        this.acknowledged = acknowledged;
    }

    /**
     * Sends the notice of a message, and repeats it until the platform has acknowledged it or can't read it; then calls
     * the {@code acknowledged} callback.
     */
    void enqueue(AcceptedMessage message) {
        pendingNotices.add(message);
        sendPending();
    }

    /**
     * Leaves the pending notices to the successor process, which sends them and receives the acknowledgements. Since it
     * has yet to start, this process sends each notice pending by now once more.
     */
    void pause() {
        paused = true;
        toSendOnce.addAll(pendingNotices);
        startSendingOnce();
    }

    /** Sends the notice of a message once, if paused: the successor has yet to find that the message has ended. */
    void sendOnce(AcceptedMessage message) {
        if (paused) {
            toSendOnce.add(message);
            startSendingOnce();
        }
    }

    /** Schedules the notices that are to be sent once, unless a request is in flight already. */
    private void startSendingOnce() {
        if (!sending && !toSendOnce.isEmpty()) {
            sending = true;
            loop.execute(this::sendNotices);
        }
    }

    /** Called when the successor process has failed: this process sends all pending notices again. */
    void resume() {
        paused = false;
        toSendOnce.clear();
        sendPending();
    }

    /** Schedules the pending notices, unless paused or a request is in flight already. */
    private void sendPending() {
        if (!sending && !paused && !pendingNotices.isEmpty()) {
            sending = true;
            // After the current turn, so that one request contains the notices of all messages that end in the turn.
            loop.execute(this::sendNotices);
        }
    }

    /** Uses another address of the platform's agent from now on. */
    void changeAddress(InetSocketAddress newAddress) {
        agent.changeAddress(newAddress);
    }

    /** The number of notices that are not acknowledged yet. */
    int pendingNotices() {
        return pendingNotices.size();
    }

    /** Sends one request with the first waiting notices. */
    private void sendNotices() {
        Deque<AcceptedMessage> queue = paused ? toSendOnce : pendingNotices;
        if (queue.isEmpty()) {
            sending = false;
            return;
        }
        List<AcceptedMessage> reported = new ArrayList<>();
        ByteBuf body = Unpooled.buffer();
        for (AcceptedMessage message : queue) {
            byte[] line = line(message);
            if (!reported.isEmpty() && (singleNotice || body.readableBytes() + line.length > MAX_BODY_BYTES)) {
                break;
            }
            body.writeBytes(line);
            reported.add(message);
        }
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/reports",
                body);
        if (paused) {
            reported.forEach(message -> toSendOnce.remove());
            agent.sendRequest(request, REQUEST_LIMIT_MS, answer -> answeredWhilePaused());
        } else {
            agent.sendRequest(request, REQUEST_LIMIT_MS, answer -> answered(reported, answer));
        }
    }

    /** Continues with the next notices; the answer is ignored, since the successor sends all notices again. */
    private void answeredWhilePaused() {
        if (paused) {
            sendNotices();
        } else {
            sending = false;
            sendPending();
        }
    }

    /** The notice of a message as one line of the request. */
    private byte[] line(AcceptedMessage message) {
        AcceptedMessage.Notice notice = message.pendingNotice.orElseThrow();
        ObjectNode line = json.createObjectNode().put("ref", message.id)
                .put("result", notice.bounced() ? "bounced" : "dead");
        if (notice.bounced() && notice.waitMs() > 0) {
            line.put("wait_ms", (long) Math.ceil(notice.waitMs()));
        }
        return (line + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private void answered(List<AcceptedMessage> reported, Optional<FullHttpResponse> answer) {
        if (paused) {
            answeredWhilePaused();
            return;
        }
        int status = answer.map(a -> a.status().code()).orElse(0);
        boolean unreadable = status == 400;
        if (unreadable && reported.size() == 1) {
            Log.line("the platform can't read the notice of message " + reported.get(0).id + "; it is dropped");
        }
        singleNotice = unreadable && reported.size() > 1;
        if (status == 204 || unreadable && reported.size() == 1) {
            // New messages are added at the end, so the reported ones are still the first.
            reported.forEach(message -> pendingNotices.remove());
            reported.forEach(message -> FaultIsolation.run(() -> acknowledged.accept(message)));
        }
        if (pendingNotices.isEmpty()) {
            sending = false;
        } else if (status == 204 || unreadable) {
            sendNotices();
        } else {
            events.add("notice-failed", "status", status, "notices", reported.size(), "owed", pendingNotices.size(),
                    "here", agent.failedLocally());
            loop.schedule(this::sendNotices, RETRY_PAUSE_MS, TimeUnit.MILLISECONDS);
        }
    }
}
