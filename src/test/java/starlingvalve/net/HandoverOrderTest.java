package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Field;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Handovers of a sender in various states: each message must still end in time. */
class HandoverOrderTest extends SenderFixture {
    private static final String RETRY_AFTER_HEADER = "Retry-After: 1.5\r\n";
    private static final int BUDGET_MS = 4000;

    private final List<Sender> predecessors = new ArrayList<>();

    @AfterEach
    void killPredecessors() {
        predecessors.forEach(Sender::kill);
    }

    private void upgrade() throws Exception {
        predecessors.add(sender);
        listenAddress = "127.0.0.1:" + address.getPort();
        start();
    }

    /** Answers each of the first calls with its own script, and delivers the messages of all further calls. */
    private void scriptCalls(StubServer.Script... firstCalls) {
        AtomicInteger calls = new AtomicInteger();
        script((request, socket) -> {
            int call = calls.getAndIncrement();
            (call < firstCalls.length ? firstCalls[call] : StubServer.status(200, "")).onRequest(request, socket);
        });
    }

    private void submitWithShortBudget(String id) throws Exception {
        String text = message(id, "plain", "hello").replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + BUDGET_MS);
        assertEquals("HTTP/1.1 202 Accepted", exchange(client(), text).line());
    }

    /** Checks that a message is delivered or ended by one notice, within its budget and the tolerance of 300 ms. */
    private void awaitEnd(String id, long submittedNanos) throws Exception {
        long deadlineNanos = submittedNanos + TimeUnit.MILLISECONDS.toNanos(BUDGET_MS + 300);
        while (!hasEnded(id) && System.nanoTime() < deadlineNanos) {
            Thread.sleep(2);
        }
        assertTrue(hasEnded(id), "message " + id + " has no end " + (BUDGET_MS + 300) + " ms after its submission");
        assertTrue(notices.stream().filter(notice -> notice.contains('"' + id + '"')).count() <= 1, "one notice");
    }

    private boolean hasEnded(String id) {
        return journalledMessages().stream().noneMatch(accepted -> accepted.id.equals(id));
    }

    @Test
    void messageBehindOneWithRefusedHedgeEndsInTimeAfterUpgrade() throws Exception {
        hedging = true;
        scriptCalls(StubServer.silent(), StubServer.status(503, RETRY_AFTER_HEADER));
        start();
        submit("hedged", "plain");
        StubServer.await("the hedge is refused", () -> calls().size() == 2 && refusedAttempts("hedged") == 1);
        long submittedNanos = System.nanoTime();
        submitWithShortBudget("behind");
        upgrade();
        awaitEnd("behind", submittedNanos);
    }

    /** Returns the number of a message's attempts that never ran, according to the journal. */
    private long refusedAttempts(String id) {
        return journalledMessages().stream().filter(accepted -> accepted.id.equals(id))
                .mapToLong(accepted -> accepted.attempts.stream().filter(attempt -> attempt.neverRan).count()).sum();
    }

    @Test
    void messageRefusedAfterHandoverBehindOneWithRefusedHedgeEndsInTime() throws Exception {
        hedging = true;
        List<Socket> unanswered = new ArrayList<>();
        scriptCalls(StubServer.silent(), StubServer.status(503, ""), (request, socket) -> unanswered.add(socket));
        start();
        submit("hedged", "plain");
        StubServer.await("the hedge is refused", () -> calls().size() == 2 && refusedAttempts("hedged") == 1);
        long submittedNanos = System.nanoTime();
        submitWithShortBudget("behind");
        StubServer.await("the call is in flight", () -> unanswered.size() == 1);
        upgrade();
        StubServer.write(unanswered.get(0), "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
        awaitEnd("behind", submittedNanos);
    }

    @Test
    void refusedMessageThatWaitsForRetryEndsInTimeAfterUpgrade() throws Exception {
        scriptCalls(StubServer.status(503, RETRY_AFTER_HEADER));
        start();
        long submittedNanos = System.nanoTime();
        submitWithShortBudget("waiting");
        StubServer.await("the attempt is refused", () -> refusedAttempts("waiting") == 1);
        upgrade();
        awaitEnd("waiting", submittedNanos);
        assertEquals(2, calls().size());
    }

    @Test
    void messageInFlightThatIsRefusedAfterHandoverEndsInTime() throws Exception {
        List<Socket> unanswered = new ArrayList<>();
        scriptCalls((request, socket) -> unanswered.add(socket));
        start();
        long submittedNanos = System.nanoTime();
        submitWithShortBudget("in-flight");
        StubServer.await("the call is in flight", () -> unanswered.size() == 1);
        upgrade();
        StubServer.write(unanswered.get(0), "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
        awaitEnd("in-flight", submittedNanos);
    }

    @Test
    void messageWithoutServingEndpointEndsInTimeAfterUpgrade() throws Exception {
        start();
        endpointStates = "DRAINING DRAINING";
        StubServer.await("the sender knows that both endpoints drain", () -> sender != null && drained());
        long submittedNanos = System.nanoTime();
        submitWithShortBudget("waiting");
        upgrade();
        awaitEnd("waiting", submittedNanos);
        assertEquals(0, calls().size());
    }

    private boolean drained() {
        try (Journal journal = journalCopy()) {
            return journal.withdrawn().size() == 2;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Journal journalCopy() throws IOException {
        Path copyFolder = Files.createTempDirectory(folder, "copy");
        Files.copy(folder.resolve("state/journal"), copyFolder.resolve("journal"));
        return new Journal(copyFolder, 3_000_000, 12);
    }

    @Test
    void unacknowledgedNoticeIsSentAfterUpgrade() throws Exception {
        noticeStatus = 500;
        scriptCalls(StubServer.status(500, ""));
        start();
        submit("once", "once");
        StubServer.await("its notice is pending",
                () -> journalledMessages().stream().anyMatch(accepted -> accepted.pendingNotice.isPresent()));
        upgrade();
        noticeStatus = 204;
        awaitNotice("{\"ref\":\"once\",\"result\":\"dead\"}");
    }

    @Test
    void successorCanBeUpgradedAgain() throws Exception {
        start();
        for (int i = 0; i < 5; i++) {
            assertTimeoutPreemptively(Duration.ofSeconds(10), this::upgrade, "upgrade " + i);
            predecessors.remove(0).kill();
        }
    }

    @Test
    void messageEndsInTimeIfSuccessorsPolicyFailsToRestoreState() throws Exception {
        scriptCalls(StubServer.status(503, RETRY_AFTER_HEADER));
        start();
        long submittedNanos = System.nanoTime();
        submitWithShortBudget("waiting");
        StubServer.await("the attempt is refused", () -> refusedAttempts("waiting") == 1);
        beforeEvent = (event, arguments) -> {
            if (event.equals("restore")) {
                throw new IllegalStateException("fault injected by the test");
            }
        };
        upgrade();
        awaitEnd("waiting", submittedNanos);
    }

    @Test
    void predecessorContinuesIfItsPolicyFailsToReturnState() throws Exception {
        scriptCalls(StubServer.status(503, RETRY_AFTER_HEADER));
        start();
        long submittedNanos = System.nanoTime();
        submitWithShortBudget("waiting");
        StubServer.await("the attempt is refused", () -> refusedAttempts("waiting") == 1);
        AtomicInteger memoryCalls = new AtomicInteger();
        beforeEvent = (event, arguments) -> {
            if (event.equals("snapshot") && memoryCalls.getAndIncrement() == 0) {
                throw new IllegalStateException("fault injected by the test");
            }
        };
        Thread upgradeThread = new Thread(() -> {
            try {
                upgrade();
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        });
        upgradeThread.setDaemon(true);
        upgradeThread.start();
        StubServer.await("the policy is asked for its state", () -> memoryCalls.get() > 0);
        awaitEnd("waiting", submittedNanos);
        upgradeThread.join(10_000);
    }

    // ---- calls that are not written yet at the handover ----

    /** By endpoint: the listener whose address the list gives instead of the stub's; connects to it never complete. */
    private final Map<Integer, FullListener> fullListeners = new HashMap<>();

    @Override
    String entry(int number, String state) {
        String entry = super.entry(number, state);
        return fullListeners.containsKey(number)
                ? entry.replace(endpoints.get(number).hostPort(), fullListeners.get(number).hostPort()) : entry;
    }

    /** Returns a latch that is counted down when a call with an attempt of this number is about to connect. */
    private CountDownLatch dialLatch(int attempt) {
        CountDownLatch dialled = new CountDownLatch(1);
        beforeEvent = (event, arguments) -> {
            if (event.equals("mayBeginAttempt") && arguments[2].equals(attempt)) {
                dialled.countDown();
            }
        };
        return dialled;
    }

    @Test
    void messageBehindOneWhoseHedgeIsCancelledByHandoverEndsInTime() throws Exception {
        hedging = true;
        List<Socket> unanswered = new ArrayList<>();
        scriptCalls(StubServer.silent(), (request, socket) -> unanswered.add(socket));
        try (FullListener secondEndpoint = new FullListener()) {
            fullListeners.put(1, secondEndpoint);
            CountDownLatch hedgeDialled = dialLatch(1);
            start();
            submit("hedged", "plain");
            awaitLatch(hedgeDialled);
            long submittedNanos = System.nanoTime();
            submitWithShortBudget("behind");
            StubServer.await("the call is in flight", () -> unanswered.size() == 1);
            upgrade();
            StubServer.write(unanswered.get(0), "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
            awaitEnd("behind", submittedNanos);
        }
    }

    @Test
    void messageWhoseDialIsCancelledByHandoverEndsInTime() throws Exception {
        endsAfterCancelledDial(new FailingDisk());
    }

    /** With the failing disk, the journal and the policy count the attempts of the message differently. */
    @Test
    void messageWhoseDialIsCancelledByHandoverEndsInTimeOnFailingDisk() throws Exception {
        FailingDisk disk = new FailingDisk();
        disk.writableBytes = 0;
        endsAfterCancelledDial(disk);
    }

    private void endsAfterCancelledDial(FailingDisk disk) throws Exception {
        scriptCalls(StubServer.status(503, ""));
        try (FullListener firstEndpoint = new FullListener()) {
            fullListeners.put(0, firstEndpoint);
            endpointStates = "SERVING DRAINING";
            CountDownLatch dialled = dialLatch(0);
            start();
            long submittedNanos = System.nanoTime();
            submitWithShortBudget("called-off");
            awaitLatch(dialled);
            setDisk(sender, disk);
            upgrade();
            endpointStates = "DRAINING SERVING";
            awaitEnd("called-off", submittedNanos);
        }
    }

    /** Makes the sender's journal use this disk from now on. */
    private static void setDisk(Sender sender, FailingDisk disk) throws ReflectiveOperationException {
        Object file = field(field(sender, "journal"), "file");
        Field diskField = JournalFile.class.getDeclaredField("disk");
        diskField.setAccessible(true);
        diskField.set(file, disk);
    }

    private static Object field(Object target, String name) throws ReflectiveOperationException {
        Field field = target.getClass().getDeclaredField(name);
        field.setAccessible(true);
        return field.get(target);
    }

    /** A listener whose queue is full, so that further connects to it never complete. */
    private static final class FullListener implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final List<Socket> connections = new ArrayList<>();

        FullListener() throws IOException {
            for (int i = 0; i < 2; i++) {
                connections.add(new Socket(server.getInetAddress(), server.getLocalPort()));
            }
        }

        String hostPort() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            for (Socket socket : connections) {
                socket.close();
            }
            server.close();
        }
    }
}
