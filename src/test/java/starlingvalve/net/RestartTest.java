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

/** What a sender goes on with after its process was killed or told to end. */
class RestartTest extends SenderFixture {
    @Test
    void aKeyedAttemptThatWasOutIsRepeatedWithinItsWindow() throws Exception {
        script(StubServer.silent());
        start();
        submit("one", "order");
        StubServer.await("the call", () -> calls().size() == 1);
        script(StubServer.status(200, ""));
        killAndRestart();
        StubServer.await("the repeat", () -> calls().size() == 2);
        assertEquals(List.of("one", "one"), calls().stream().map(c -> c.header("X-Call-Id")).toList());
        assertEquals(List.of("key-one", "key-one"),
                calls().stream().map(c -> c.header("Idempotency-Key")).toList());
        awaitEmptyJournal();
    }

    @Test
    void aKeyedAttemptThatWasOutIsNotRepeatedPastItsWindow() throws Exception {
        leaveEarlierRun("order", 21_000, 10_000, false);
        start();
        awaitNotice("bounced");
        assertTrue(calls().isEmpty());
    }

    @Test
    void anUnsafeAttemptThatWasOutIsGivenUp() throws Exception {
        script(StubServer.silent());
        start();
        submit("one", "once");
        StubServer.await("the call", () -> calls().size() == 1);
        killAndRestart();
        awaitNotice("dead");
        assertEquals(1, calls().size());
    }

    /** Killed while the connection for its one try was still coming up: it counted as one that may have run. */
    @Test
    void anUnsafeMessageWhoseCallNeverBeganIsSentInTheNextLife() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        AtomicInteger questions = new AtomicInteger();
        beforeEvent = (event, arguments) -> {
            if (event.equals("mayBeginAttempt") && questions.incrementAndGet() == 2) {
                // Its connection is up, and nothing is written: the process is as good as gone from here on.
                asked.countDown();
                awaitLatch(killed);
            }
        };
        start();
        submit("one", "once");
        awaitLatch(asked);
        Path state = folder.resolve("state");
        Files.copy(state.resolve("journal"), folder.resolve("journal"));
        script(StubServer.silent());
        killed.countDown();
        StubServer.await("it may have run now", () -> calls().size() == 1);
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
    void anUnsafeMessageWhoseAttemptNeverRanIsSentAgain() throws Exception {
        script(StubServer.status(503, ""));
        start();
        submit("one", "once");
        StubServer.await("the refusal is known", () -> journalledMessages().get(0).attempts.stream()
                .anyMatch(a -> a.neverRan));
        script(StubServer.status(200, ""));
        killAndRestart();
        awaitEmptyJournal();
        assertTrue(notices.isEmpty());
    }

    @Test
    void anUnsentMessageGoesOutInTheNextLife() throws Exception {
        leaveEarlierRun("once", 0, 10_000, false);
        start();
        awaitEmptyJournal();
        assertEquals(1, calls().size());
    }

    /** One message that the module can't take was owed for ever, and so were all that were taken after it. */
    @Test
    void aFaultInOneMessageOfTheJournalCostsNoOther() throws Exception {
        try (Journal journal = new Journal(folder.resolve("state"), 3_000_000, 12)) {
            for (String id : List.of("first", "faulty", "tried", "last")) {
                unattempted(journal, id, "plain", 7, Optional.empty());
            }
            List<AcceptedMessage> held = List.copyOf(journal.held());
            JournalTest.attempt(journal, held.get(2), new AcceptedMessage.Attempt("s-0", System.currentTimeMillis()));
        }
        beforeEvent = (event, arguments) -> {
            if (event.equals("messageRecovered") && ((DeliveryPolicy.Message) arguments[1]).id() == 1) {
                throw new IllegalStateException("a fault");
            }
        };
        start();
        awaitNotice("{\"ref\":\"faulty\",\"result\":\"bounced\"}");
        assertEquals(Set.of("first", "tried", "last"), calls().stream().map(c -> c.header("X-Call-Id"))
                .collect(Collectors.toSet()));
    }

    /**
     * What a restart finds taken on and untried, of every effect: at destinations of which one is listed only later,
     * one had trouble and is back, and one has a limit; and with keys in order.
     */
    private List<String> leaveUntried() throws Exception {
        List<String> unattempted = new ArrayList<>();
        try (Journal journal = new Journal(folder.resolve("state"), 3_000_000, 12)) {
            for (int i = 0; i < 5; i++) {
                AcceptedMessage refused = unattempted(journal, "refused-" + i, "plain", 2, Optional.empty());
                for (int attempt = 0; attempt < 2; attempt++) {
                    JournalTest.attempt(journal, refused,
                            new AcceptedMessage.Attempt("s-2", System.currentTimeMillis() - 3000));
                    journal.neverRan(refused, attempt);
                }
            }
            AcceptedMessage waits = unattempted(journal, "refused-later", "once", 4, Optional.of("alone"));
            JournalTest.attempt(journal, waits, new AcceptedMessage.Attempt("s-4", System.currentTimeMillis() - 3000));
            journal.neverRan(waits, 0);
            for (int i = 0; i < 3; i++) {
                for (int destination : List.of(7, 2, 3, 4)) {
                    for (String type : List.of("order", "once", "plain")) {
                        String id = type + "-" + destination + "-" + i;
                        unattempted(journal, id, type, destination, Optional.of("thread-" + type + destination));
                        unattempted.add(id);
                    }
                }
            }
        }
        return unattempted;
    }

    /** Destination 3 takes a call each 100 ms, and tells the others to wait; all else is delivered. */
    private void takeWithALimit() {
        long[] free = new long[1];
        script((request, socket) -> {
            boolean limited = request.header("X-Call-Id").contains("-3-");
            boolean taken;
            synchronized (free) {
                taken = !limited || System.nanoTime() >= free[0];
                if (limited && taken) {
                    free[0] = System.nanoTime() + 100_000_000;
                }
            }
            StubServer.status(taken ? 200 : 429, taken ? "" : "Retry-After: 0.1\r\n").onRequest(request, socket);
        });
    }

    private void allUntriedAreCalled(List<String> unattempted) throws Exception {
        StubServer.await("the destination that is not listed yet is all that waits", () -> journalledMessages().stream()
                .allMatch(h -> h.destination == 4));
        otherDestinations = 3;
        awaitEmptyJournal();
        List<String> called = calls().stream().sorted(Comparator.comparingLong(StubServer.Message::atNanos))
                .map(c -> c.header("X-Call-Id")).distinct().toList();
        assertEquals(List.of(), unattempted.stream().filter(id -> !called.contains(id)).toList(), "given up untried");
        assertTrue(called.contains("refused-later"), "what never ran is tried as well");
        assertEquals(List.of(), notices);
        for (int destination : List.of(7, 2, 3, 4)) {
            assertEquals(IntStream.range(0, 3).mapToObj(i -> "once-" + destination + "-" + i).toList(),
                    called.stream().filter(id -> id.startsWith("once-" + destination)).toList(), "in order");
        }
    }

    @Test
    void whatARestartAfterAKillFindsUntriedIsStillTried() throws Exception {
        List<String> unattempted = leaveUntried();
        takeWithALimit();
        otherDestinations = 2;
        fleetSize = 100;
        start();
        allUntriedAreCalled(unattempted);
    }

    @Test
    void whatARestartAfterAnOrderlyEndFindsUntriedIsStillTried() throws Exception {
        List<String> unattempted = leaveUntried();
        takeWithALimit();
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
        allUntriedAreCalled(unattempted);
    }

    /** A class that is gone, another effect, a destination that nobody lists, a torn tail: none costs another. */
    @Test
    void aFolderOfOtherSettingsCostsNoOtherMessage() throws Exception {
        try (Journal journal = new Journal(folder.resolve("state"), 3_000_000, 12)) {
            unattempted(journal, "gone", "a class of another customer", 7, Optional.empty());
            journal.taken(new AcceptedMessage(journal.nextNumber(), "keyless", "order", "nobody", Optional.empty(),
                    Optional.empty(), 7, System.currentTimeMillis() + 15_000, new byte[1]));
            journal.taken(new AcceptedMessage(journal.nextNumber(), "nowhere", "plain", "acme", Optional.empty(),
                    Optional.empty(), 99, System.currentTimeMillis() + 3000, new byte[1]));
            unattempted(journal, "good", "once", 7, Optional.empty());
        }
        Files.write(folder.resolve("state/journal"), new byte[] {0, 0, 0, 50, 1, 2, 3}, StandardOpenOption.APPEND);
        start();
        StubServer.await("both notices", () -> notices.size() == 2);
        awaitEmptyJournal();
        assertEquals(Set.of("keyless", "good"), calls().stream().map(c -> c.header("X-Call-Id"))
                .collect(Collectors.toSet()));
        assertTrue(notices.get(0).startsWith("{\"ref\":\"gone\",\"result\":\"bounced\""), notices.get(0));
        assertTrue(notices.get(1).startsWith("{\"ref\":\"nowhere\",\"result\":\"bounced\""), notices.get(1));
    }

    @Test
    void anOverdueMessageGetsItsNoticeAtOnce() throws Exception {
        leaveEarlierRun("order", 0, -5000, false);
        start();
        awaitNotice("bounced");
        assertTrue(calls().isEmpty());
    }

    @Test
    void anOwedNoticeGoesOutInTheNextLife() throws Exception {
        leaveEarlierRun("order", 0, 10_000, true);
        start();
        awaitNotice("{\"ref\":\"old\",\"result\":\"bounced\",\"wait_ms\":700}");
        assertTrue(calls().isEmpty());
    }
}
