package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** A process that takes everything back, as the new one has failed before it owned, goes on in full. */
class HandoverRecoveryTest extends SenderFixture {
    private static final long BYTES = 40_000;
    private static final long BUDGET_MS = 3000;

    /** Asks to take over as a new process does, and reads the state; nobody decides anything then. */
    private SocketChannel takenOver() throws Exception {
        SocketChannel link = SocketChannel.open(UnixDomainSocketAddress.of(config().handover()));
        link.write(ByteBuffer.wrap("{\"do\":\"handover\"}\n".getBytes(StandardCharsets.UTF_8)));
        ByteBuffer part = ByteBuffer.allocate(1 << 16);
        do {
            part.clear();
            assertEquals(true, link.read(part) > 0, "the state");
        } while (part.get(part.position() - 1) != '\n');
        return link;
    }

    /** Its call is out, so the old process could not end it before the handover. */
    @Test
    void whatFallsDueWhileTheNewProcessStillComesToOwnEndsInItsTime() throws Exception {
        endpoints.forEach(endpoint -> endpoint.script(StubServer.silent()));
        start();
        long sentNanos = System.nanoTime();
        exchange(client(), message("due", "plain", "hello").replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + BUDGET_MS));
        StubServer.await("it is called for",
                () -> endpoints.stream().anyMatch(endpoint -> !endpoint.requests.isEmpty()));
        try (SocketChannel link = takenOver()) {
            StubServer.await("its notice", () -> !notices.isEmpty());
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
            assertTrue(tookMs <= BUDGET_MS + DeadlineHistory.TOLERANCE_MS, "its end came after " + tookMs + " ms");
            assertTrue(link.isOpen());
        }
        StubServer.await("it is this process's again, and ends here", () -> notices.size() == 2);
        StubServer.await("it takes messages again", this::takesMessages);
    }

    private boolean isOwned(Path state) {
        try {
            Optional<StateLock> lock = StateLock.take(state);
            lock.ifPresent(StateLock::close);
            return lock.isEmpty();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** As with ENFILE: the first try takes the lock and fails behind it; the next finds the lock taken, by itself. */
    @Test
    void aJournalThatCanNotBeOpenedForAMomentIsOpenedAgain() throws Exception {
        start();
        Path state = folder.resolve("state");
        SocketChannel link = takenOver();
        Files.move(state.resolve("journal"), folder.resolve("away"));
        Files.createDirectory(state.resolve("journal"));
        link.close();
        StubServer.await("it has the lock again", () -> isOwned(state));
        // One exchange with its event loop: the try that took the lock has failed by now.
        healthStatus();
        Files.delete(state.resolve("journal"));
        Files.move(folder.resolve("away"), state.resolve("journal"));
        StubServer.await("it takes messages again", this::takesMessages);
    }

    /** The same without the failure, as a control. */
    @Test
    void aProcessThatTakesEverythingBackTakesMessagesAgain() throws Exception {
        start();
        takenOver().close();
        StubServer.await("it takes messages again", this::takesMessages);
    }

    private boolean takesMessages() {
        try {
            return exchange(client(), message("m" + clients.size(), "plain", "hello")).line().contains("202");
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    /** The new process writes while it comes to own, and says so only after that: a compacted copy has another length. */
    @Test
    void aJournalThatTheNewProcessHasCompactedBeforeItFailedLosesNothing() throws Exception {
        Path state = folder.resolve("state");
        try (Journal old = new Journal(state, BYTES, 12)) {
            old.taken(held(old, "first"));
            // Close to where it is compacted.
            for (int i = 0; old.size() < BYTES - 3 * 512 - 600; i++) {
                old.withdrawn("s-1", i % 2 == 0);
            }
            old.pause();
            try (Journal next = new Journal(state, BYTES, 12)) {
                // As Sender.own does with the list, before it tells the old process that it owns.
                for (int i = 0; next.size() > BYTES / 2; i++) {
                    next.withdrawn("s-2", i % 2 == 0);
                }
            }
            old.resume();
            old.taken(held(old, "later"));
        }
        try (Journal read = new Journal(state, BYTES, 12)) {
            assertEquals(List.of("first", "later"), read.held().stream().map(held -> held.id).toList());
        }
    }

    private static AcceptedMessage held(Journal journal, String id) {
        return new AcceptedMessage(journal.nextNumber(), id, "plain", "acme", Optional.empty(), Optional.empty(), 7,
                journal.clock().nowMs() + 10_000, "hello".getBytes(StandardCharsets.ISO_8859_1));
    }

    /** By the terms, a request that was read and then closed with no answer is lost. */
    @Test
    void aRequestWhoseMessageTheModuleFailsOnIsAnswered() throws Exception {
        start();
        AtomicBoolean failed = new AtomicBoolean();
        beforeEvent = (event, arguments) -> {
            if (event.equals("admissionRetryAfter") && failed.compareAndSet(false, true)) {
                throw new IllegalStateException("a fault of the test's");
            }
        };
        assertNotNull(exchange(client(), message("m", "plain", "hello")), "read, and closed with no answer");
    }

    /** The new process has its state and is slow to own: nobody decides anything. */
    @Test
    void aMessageWhoseTimeRunsOutInAHandoverIsEndedInTime() throws Exception {
        long budgetMs = 1300;
        endpointStates = "DRAINING DRAINING";
        start();
        long handedInAt = System.nanoTime();
        String request = message("late", "plain", "hello").replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + budgetMs);
        assertEquals("HTTP/1.1 202 Accepted", exchange(client(), request).line());
        try (SocketChannel link = takenOver()) {
            StubServer.await("the notice", () -> notices.stream().anyMatch(notice -> notice.contains("late")));
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - handedInAt);
            assertTrue(tookMs <= budgetMs + 350, "it took " + tookMs + " ms");
            assertTrue(link.isOpen());
        }
    }

    /** No compacted copy can be made; the file itself can be appended to. */
    private SocketChannel takenOverWithNoRoomForACopy() throws Exception {
        SocketChannel link = takenOver();
        Files.createDirectories(folder.resolve("state/journal.next/in-the-way"));
        return link;
    }

    @Test
    void aProcessThatTakesEverythingBackTakesMessagesThoughThereIsNoRoomForACopy() throws Exception {
        start();
        takenOverWithNoRoomForACopy().close();
        StubServer.await("it takes messages again", this::takesMessages);
    }

    @Test
    void aMessageIsEndedInTimeThoughThereIsNoRoomForACopy() throws Exception {
        long budgetMs = 2400;
        script(StubServer.silent());
        start();
        long handedInAt = System.nanoTime();
        String request = message("late", "plain", "hello").replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + budgetMs);
        assertEquals("HTTP/1.1 202 Accepted", exchange(client(), request).line());
        takenOverWithNoRoomForACopy().close();
        StubServer.await("the notice", () -> notices.stream().anyMatch(notice -> notice.contains("late")));
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - handedInAt);
        assertTrue(tookMs <= budgetMs + 350, "it took " + tookMs + " ms");
    }

    @Test
    void aDiskThatFailsForAWhileDoesNotKeepTheJournalFromGoingOn() throws Exception {
        FailingDisk disk = new FailingDisk();
        Path state = folder.resolve("state");
        try (Journal old = new Journal(state, BYTES, 12, disk, TimeSource.SYSTEM)) {
            AcceptedMessage held = held(old, "ended");
            old.taken(held);
            old.pause();
            disk.room = 0;
            old.resume();
            old.ended(held);
            disk.mend();
            assertTrue(old.catchUp());
        }
        try (Journal read = new Journal(state, BYTES, 12)) {
            assertEquals(0, read.held().size());
        }
    }
}
