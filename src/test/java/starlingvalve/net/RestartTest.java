package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import starlingvalve.DeliveryPolicy;

/** What a sender resumes after its process was killed or shut down. */
class RestartTest extends SenderFixture {
    @Test
    void keyedAttemptInFlightIsRepeatedWithinItsWindow() throws Exception {
        script(StubServer.silent());
        start();
        submit("one", "order");
        StubServer.await("the call arrives", () -> calls().size() == 1);
        script(StubServer.status(200, ""));
        killAndRestart();
        StubServer.await("the repeated call arrives", () -> calls().size() == 2);
        assertEquals(List.of("one", "one"), calls().stream().map(call -> call.header("X-Call-Id")).toList());
        assertEquals(List.of("key-one", "key-one"),
                calls().stream().map(call -> call.header("Idempotency-Key")).toList());
        awaitEmptyJournal();
    }

    @Test
    void keyedAttemptInFlightIsNotRepeatedAfterItsWindow() throws Exception {
        writeEarlierJournal("order", 21_000, 10_000, false);
        start();
        awaitNotice("bounced");
        assertTrue(calls().isEmpty());
    }

    @Test
    void unsafeMessageWithAttemptInFlightIsGivenUp() throws Exception {
        script(StubServer.silent());
        start();
        submit("one", "once");
        StubServer.await("the call arrives", () -> calls().size() == 1);
        killAndRestart();
        awaitNotice("dead");
        assertEquals(1, calls().size());
    }

    /**
     * The process is killed when the connection for the message's only attempt is established and nothing of the call
     * is written. The attempt must not count as one that may have run.
     */
    @Test
    void unsafeMessageWhoseCallNeverStartedIsSentAfterRestart() throws Exception {
        CountDownLatch connectionEstablished = new CountDownLatch(1);
        AtomicInteger mayStartCalls = new AtomicInteger();
        beforeEvent = (event, arguments) -> {
            if (event.equals("mayBeginAttempt") && mayStartCalls.incrementAndGet() == 2) {
                // The connection is established and nothing is written. The process makes no progress from here on.
                connectionEstablished.countDown();
                awaitLatch(journalCopied);
            }
        };
        start();
        submit("one", "once");
        awaitLatch(connectionEstablished);
        Path state = folder.resolve("state");
        Files.copy(state.resolve("journal"), folder.resolve("journal"));
        script(StubServer.silent());
        journalCopied.countDown();
        StubServer.await("the attempt may have run now", () -> calls().size() == 1);
        sender.kill();
        Files.copy(folder.resolve("journal"), state.resolve("journal"), StandardCopyOption.REPLACE_EXISTING);
        script(StubServer.status(200, ""));
        beforeEvent = (event, arguments) -> { };
        start();
        awaitEmptyJournal();
        assertEquals(List.of(), notices);
        assertEquals(2, calls().size());
    }

    @Test
    void unsafeMessageWhoseAttemptNeverRanIsSentAgain() throws Exception {
        script(StubServer.status(503, ""));
        start();
        submit("one", "once");
        StubServer.await("the rejection is recorded", () -> journalledMessages().get(0).attempts.stream()
                .anyMatch(attempt -> attempt.neverRan));
        script(StubServer.status(200, ""));
        killAndRestart();
        awaitEmptyJournal();
        assertTrue(notices.isEmpty());
    }

    @Test
    void unattemptedMessageIsSentAfterRestart() throws Exception {
        writeEarlierJournal("once", 0, 10_000, false);
        start();
        awaitEmptyJournal();
        assertEquals(1, calls().size());
    }

    /**
     * Guards against a message on which the delivery policy fails: neither it nor the messages accepted after it may
     * stay in the journal for ever.
     */
    @Test
    void faultInOneRecoveredMessageDoesNotAffectOthers() throws Exception {
        try (Journal journal = new Journal(folder.resolve("state"), 3_000_000, 12)) {
            for (String id : List.of("first", "faulty", "tried", "last")) {
                writeUnattempted(journal, id, "plain", 7, Optional.empty());
            }
            List<AcceptedMessage> messages = List.copyOf(journal.liveMessages());
            JournalTest.attempt(journal, messages.get(2),
                    new AcceptedMessage.Attempt("s-0", System.currentTimeMillis()));
        }
        beforeEvent = (event, arguments) -> {
            if (event.equals("messageRecovered") && ((DeliveryPolicy.Message) arguments[1]).id() == 1) {
                throw new IllegalStateException("a fault");
            }
        };
        start();
        awaitNotice("{\"ref\":\"faulty\",\"result\":\"bounced\"}");
        assertEquals(Set.of("first", "tried", "last"), calls().stream().map(call -> call.header("X-Call-Id"))
                .collect(Collectors.toSet()));
    }

    /**
     * Writes a journal with unattempted messages of every effect (safe, keyed and unsafe), with ordering keys. Of their
     * destinations, one is listed only later, one refused calls before the restart, and one has a rate limit. Returns
     * the ids of the unattempted messages.
     */
    private List<String> leaveUnattempted() throws Exception {
        List<String> unattempted = new ArrayList<>();
        try (Journal journal = new Journal(folder.resolve("state"), 3_000_000, 12)) {
            for (int i = 0; i < 5; i++) {
                AcceptedMessage rejected = writeUnattempted(journal, "refused-" + i, "plain", 2, Optional.empty());
                for (int attempt = 0; attempt < 2; attempt++) {
                    JournalTest.attempt(journal, rejected,
                            new AcceptedMessage.Attempt("s-2", System.currentTimeMillis() - 3000));
                    journal.neverRan(rejected, attempt);
                }
            }
            AcceptedMessage waiting = writeUnattempted(journal, "refused-later", "once", 4, Optional.of("alone"));
            JournalTest.attempt(journal, waiting,
                    new AcceptedMessage.Attempt("s-4", System.currentTimeMillis() - 3000));
            journal.neverRan(waiting, 0);
            for (int i = 0; i < 3; i++) {
                for (int destination : List.of(7, 2, 3, 4)) {
                    for (String type : List.of("order", "once", "plain")) {
                        String id = type + "-" + destination + "-" + i;
                        writeUnattempted(journal, id, type, destination, Optional.of("thread-" + type + destination));
                        unattempted.add(id);
                    }
                }
            }
        }
        return unattempted;
    }

    /** Destination 3 accepts a call every 100 ms and answers others with 429 and Retry-After; all else is delivered. */
    private void scriptRateLimit() {
        long[] nextFreeNanos = new long[1];
        script((request, socket) -> {
            boolean limited = request.header("X-Call-Id").contains("-3-");
            boolean accepted;
            synchronized (nextFreeNanos) {
                accepted = !limited || System.nanoTime() >= nextFreeNanos[0];
                if (limited && accepted) {
                    nextFreeNanos[0] = System.nanoTime() + 100_000_000;
                }
            }
            StubServer.status(accepted ? 200 : 429, accepted ? "" : "Retry-After: 0.1\r\n").onRequest(request, socket);
        });
    }

    /**
     * Waits until only messages for destination 4 remain, then lists that destination. All messages must be attempted
     * then, without a notice, and those of class "once" in order.
     */
    private void awaitAllAttempted(List<String> unattempted) throws Exception {
        StubServer.await("only messages for the unlisted destination remain", () -> journalledMessages().stream()
                .allMatch(message -> message.destination == 4));
        otherDestinations = 3;
        awaitEmptyJournal();
        List<String> called = calls().stream().sorted(Comparator.comparingLong(StubServer.Message::atNanos))
                .map(call -> call.header("X-Call-Id")).distinct().toList();
        assertEquals(List.of(), unattempted.stream().filter(id -> !called.contains(id)).toList(),
                "given up unattempted");
        assertTrue(called.contains("refused-later"), "a message whose only attempt never ran is attempted again");
        assertEquals(List.of(), notices);
        for (int destination : List.of(7, 2, 3, 4)) {
            assertEquals(IntStream.range(0, 3).mapToObj(i -> "once-" + destination + "-" + i).toList(),
                    called.stream().filter(id -> id.startsWith("once-" + destination)).toList(), "in order");
        }
    }

    @Test
    void unattemptedMessagesAreAttemptedAfterKill() throws Exception {
        List<String> unattempted = leaveUnattempted();
        scriptRateLimit();
        otherDestinations = 2;
        fleetSize = 100;
        start();
        awaitAllAttempted(unattempted);
    }

    @Test
    void unattemptedMessagesAreAttemptedAfterShutdown() throws Exception {
        List<String> unattempted = leaveUnattempted();
        scriptRateLimit();
        otherDestinations = 2;
        fleetSize = 100;
        listInConfig = false;
        agentUp = false;
        start();
        sender.drain();
        sender.kill();
        assertEquals(List.of(), calls(), "no list was known");
        listInConfig = true;
        agentUp = true;
        start();
        awaitAllAttempted(unattempted);
    }

    /**
     * The journal contains a message of a removed class, one of a class with another effect, one for an unlisted
     * destination, and a torn tail: none of them affects another message.
     */
    @Test
    void journalOfOtherSettingsDoesNotAffectOtherMessages() throws Exception {
        try (Journal journal = new Journal(folder.resolve("state"), 3_000_000, 12)) {
            writeUnattempted(journal, "gone", "a class of another customer", 7, Optional.empty());
            journal.accepted(new AcceptedMessage(journal.nextNumber(), "keyless", "order", "nobody", Optional.empty(),
                    Optional.empty(), 7, System.currentTimeMillis() + 15_000, new byte[1]));
            journal.accepted(new AcceptedMessage(journal.nextNumber(), "nowhere", "plain", "acme", Optional.empty(),
                    Optional.empty(), 99, System.currentTimeMillis() + 3000, new byte[1]));
            writeUnattempted(journal, "good", "once", 7, Optional.empty());
        }
        Files.write(folder.resolve("state/journal"), new byte[] {0, 0, 0, 50, 1, 2, 3}, StandardOpenOption.APPEND);
        start();
        StubServer.await("both notices arrive", () -> notices.size() == 2);
        awaitEmptyJournal();
        assertEquals(Set.of("keyless", "good"), calls().stream().map(call -> call.header("X-Call-Id"))
                .collect(Collectors.toSet()));
        assertTrue(notices.get(0).startsWith("{\"ref\":\"gone\",\"result\":\"bounced\""), notices.get(0));
        assertTrue(notices.get(1).startsWith("{\"ref\":\"nowhere\",\"result\":\"bounced\""), notices.get(1));
    }

    @Test
    void overdueMessageGetsItsNoticeAtOnce() throws Exception {
        writeEarlierJournal("order", 0, -5000, false);
        start();
        awaitNotice("bounced");
        assertTrue(calls().isEmpty());
    }

    @Test
    void unacknowledgedNoticeIsSentAfterRestart() throws Exception {
        writeEarlierJournal("order", 0, 10_000, true);
        start();
        awaitNotice("{\"ref\":\"old\",\"result\":\"bounced\",\"wait_ms\":700}");
        assertTrue(calls().isEmpty());
    }
}
