package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** A process whose successor fails before it owns the journal takes the journal back and continues to serve. */
class HandoverRecoveryTest extends SenderFixture {
    private static final long JOURNAL_BYTES = 40_000;
    private static final long BUDGET_MS = 3000;

    /** Asks for a handover as a successor does, and reads the state. From then on neither process makes decisions. */
    private SocketChannel requestHandover() throws Exception {
        SocketChannel connection = SocketChannel.open(UnixDomainSocketAddress.of(config().handover()));
        connection.write(ByteBuffer.wrap("{\"do\":\"handover\"}\n".getBytes(StandardCharsets.UTF_8)));
        ByteBuffer part = ByteBuffer.allocate(1 << 16);
        do {
            part.clear();
            assertEquals(true, connection.read(part) > 0, "the connection ended before the whole state");
        } while (part.get(part.position() - 1) != '\n');
        return connection;
    }

    /** The message's call is in flight, so the predecessor could not end the message before the handover. */
    @Test
    void messageThatFallsDueWhileSuccessorStartsEndsInTime() throws Exception {
        endpoints.forEach(endpoint -> endpoint.script(StubServer.silent()));
        start();
        long sentNanos = System.nanoTime();
        exchange(client(), message("due", "plain", "hello").replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + BUDGET_MS));
        StubServer.await("the call is in flight",
                () -> endpoints.stream().anyMatch(endpoint -> !endpoint.requests.isEmpty()));
        try (SocketChannel connection = requestHandover()) {
            StubServer.await("the message's notice arrives", () -> !notices.isEmpty());
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
            assertTrue(tookMs <= BUDGET_MS + DeadlineHistory.TOLERANCE_MS, "its end came after " + tookMs + " ms");
            assertTrue(connection.isOpen());
        }
        StubServer.await("the message is this process's again, and ends here", () -> notices.size() == 2);
        StubServer.await("the sender accepts messages again", this::acceptsMessages);
    }

    /**
     * Guards against a full heap: while a successor that owns nothing yet decides on nothing, clients give up and
     * submit again, and each submission was kept.
     */
    @Test
    void submissionsBeyondALimitAreRefusedWhileSuccessorDecidesOnNone() throws Exception {
        start();
        String body = "x".repeat(60_000);
        int excess = 5;
        int fitting = (int) (ForwardedSubmissions.MAX_BYTES / body.length());
        try (SocketChannel connection = requestHandover()) {
            List<Socket> submitters = new ArrayList<>();
            for (int i = 0; i < fitting + excess; i++) {
                submitters.add(client());
                StubServer.write(submitters.get(i), message("m" + i, "plain", body));
            }
            StubServer.await("the excess submissions are refused",
                    () -> submitters.stream().filter(HandoverRecoveryTest::isAnswered).count() >= excess);
            for (Socket answered : submitters.stream().filter(HandoverRecoveryTest::isAnswered).toList()) {
                InputStream answers = new BufferedInputStream(answered.getInputStream());
                assertEquals("HTTP/1.1 503 Service Unavailable", StubServer.read(answers, 0).line());
            }
            assertTrue(connection.isOpen());
        }
        StubServer.await("the sender accepts messages again", this::acceptsMessages);
    }

    private static boolean isAnswered(Socket submitter) {
        try {
            return submitter.getInputStream().available() > 0;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private boolean isOwned(Path state) {
        try {
            Optional<StateLock> lock = StateLock.tryAcquire(state);
            lock.ifPresent(StateLock::close);
            return lock.isEmpty();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * As with ENFILE: the first attempt to take the journal back takes the lock and then fails to open the journal.
     * The next attempt must not fail because this process has the lock already.
     */
    @Test
    void journalThatBrieflyFailsToOpenIsOpenedAgain() throws Exception {
        start();
        Path state = folder.resolve("state");
        SocketChannel connection = requestHandover();
        Files.move(state.resolve("journal"), folder.resolve("away"));
        Files.createDirectory(state.resolve("journal"));
        connection.close();
        StubServer.await("the sender has the lock again", () -> isOwned(state));
        // The event loop answers a request, so the attempt that took the lock has failed by now.
        healthStatus();
        Files.delete(state.resolve("journal"));
        Files.move(folder.resolve("away"), state.resolve("journal"));
        StubServer.await("the sender accepts messages again", this::acceptsMessages);
    }

    /** A control for the test above: the same without a failure to open the journal. */
    @Test
    void processAcceptsMessagesAgainAfterFailedHandover() throws Exception {
        start();
        requestHandover().close();
        StubServer.await("the sender accepts messages again", this::acceptsMessages);
    }

    private boolean acceptsMessages() {
        try {
            return exchange(client(), message("m" + clients.size(), "plain", "hello")).line().contains("202");
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    /**
     * The successor writes to the journal before it reports that it owns it. If it fails in between, its compacted copy
     * has another length than the journal that the predecessor knows.
     */
    @Test
    void journalCompactedByFailedSuccessorLosesNothing() throws Exception {
        Path state = folder.resolve("state");
        try (Journal predecessor = new Journal(state, JOURNAL_BYTES, 12)) {
            predecessor.accepted(accepted(predecessor, "first"));
            // Fills the journal until it is close to its next compaction.
            for (int i = 0; predecessor.size() < JOURNAL_BYTES - 3 * 512 - 600; i++) {
                predecessor.withdrawn("s-1", i % 2 == 0);
            }
            predecessor.pause();
            try (Journal successor = new Journal(state, JOURNAL_BYTES, 12)) {
                // As Sender.own does with the endpoint list, before it tells the predecessor that it owns the journal.
                for (int i = 0; successor.size() > JOURNAL_BYTES / 2; i++) {
                    successor.withdrawn("s-2", i % 2 == 0);
                }
            }
            predecessor.resume();
            predecessor.accepted(accepted(predecessor, "later"));
        }
        try (Journal reopened = new Journal(state, JOURNAL_BYTES, 12)) {
            assertEquals(List.of("first", "later"),
                    reopened.liveMessages().stream().map(accepted -> accepted.id).toList());
        }
    }

    private static AcceptedMessage accepted(Journal journal, String id) {
        return new AcceptedMessage(journal.nextNumber(), id, "plain", "acme", Optional.empty(), Optional.empty(), 7,
                journal.clock().nowMs() + 10_000, "hello".getBytes(StandardCharsets.ISO_8859_1));
    }

    /** A request that was read is lost, by the rules for clients, if its connection is closed without an answer. */
    @Test
    void requestIsAnsweredIfPolicyThrowsOnItsMessage() throws Exception {
        start();
        AtomicBoolean failed = new AtomicBoolean();
        beforeEvent = (event, arguments) -> {
            if (event.equals("admissionRetryAfter") && failed.compareAndSet(false, true)) {
                throw new IllegalStateException("fault injected by the test");
            }
        };
        assertNotNull(exchange(client(), message("m", "plain", "hello")), "the request is read but not answered");
    }

    /** The successor has the state and is slow to become the owner: neither process makes decisions. */
    @Test
    void messageThatExpiresDuringHandoverEndsInTime() throws Exception {
        long budgetMs = 1300;
        endpointStates = "DRAINING DRAINING";
        start();
        long submittedNanos = System.nanoTime();
        String request = message("late", "plain", "hello").replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + budgetMs);
        assertEquals("HTTP/1.1 202 Accepted", exchange(client(), request).line());
        try (SocketChannel connection = requestHandover()) {
            StubServer.await("the notice arrives", () -> notices.stream().anyMatch(notice -> notice.contains("late")));
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - submittedNanos);
            assertTrue(tookMs <= budgetMs + 350, "it took " + tookMs + " ms");
            assertTrue(connection.isOpen());
        }
    }

    /** Lets no compacted copy of the journal be written, while the journal itself can be appended to. */
    private SocketChannel requestHandoverWithoutRoomForCompactedCopy() throws Exception {
        SocketChannel connection = requestHandover();
        Files.createDirectories(folder.resolve("state/journal.next/in-the-way"));
        return connection;
    }

    @Test
    void processAcceptsMessagesAfterFailedHandoverWithoutRoomForCompactedCopy() throws Exception {
        start();
        requestHandoverWithoutRoomForCompactedCopy().close();
        StubServer.await("the sender accepts messages again", this::acceptsMessages);
    }

    @Test
    void messageEndsInTimeWithoutRoomForCompactedCopy() throws Exception {
        long budgetMs = 2400;
        script(StubServer.silent());
        start();
        long submittedNanos = System.nanoTime();
        String request = message("late", "plain", "hello").replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + budgetMs);
        assertEquals("HTTP/1.1 202 Accepted", exchange(client(), request).line());
        requestHandoverWithoutRoomForCompactedCopy().close();
        StubServer.await("the notice arrives", () -> notices.stream().anyMatch(notice -> notice.contains("late")));
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - submittedNanos);
        assertTrue(tookMs <= budgetMs + 350, "it took " + tookMs + " ms");
    }

    @Test
    void journalResumesAfterTemporaryDiskFailure() throws Exception {
        FailingDisk disk = new FailingDisk();
        Path state = folder.resolve("state");
        try (Journal predecessor = new Journal(state, JOURNAL_BYTES, 12, disk, TimeSource.SYSTEM)) {
            AcceptedMessage accepted = accepted(predecessor, "ended");
            predecessor.accepted(accepted);
            predecessor.pause();
            disk.writableBytes = 0;
            predecessor.resume();
            predecessor.ended(accepted);
            disk.repair();
            assertTrue(predecessor.writeDeferred());
        }
        try (Journal reopened = new Journal(state, JOURNAL_BYTES, 12)) {
            assertEquals(0, reopened.liveMessages().size());
        }
    }
}
