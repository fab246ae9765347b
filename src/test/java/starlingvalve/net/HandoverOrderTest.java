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

/** States in which the old process of an upgrade hands over: each message still ends in its time. */
class HandoverOrderTest extends SenderFixture {
    private static final String WAIT = "Retry-After: 1.5\r\n";
    private static final int BUDGET_MS = 4000;

    private final List<Sender> olds = new ArrayList<>();

    @AfterEach
    void endOldOnes() {
        olds.forEach(Sender::kill);
    }

    private void upgrade() throws Exception {
        olds.add(sender);
        listenAddress = "127.0.0.1:" + address.getPort();
        start();
    }

    /** Answers each of the first calls by its script, and delivers what follows. */
    private void scriptCalls(StubServer.Script... first) {
        AtomicInteger calls = new AtomicInteger();
        script((request, socket) -> {
            int call = calls.getAndIncrement();
            (call < first.length ? first[call] : StubServer.status(200, "")).onRequest(request, socket);
        });
    }

    private void handInBriefly(String id) throws Exception {
        String text = message(id, "plain", "hello").replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + BUDGET_MS);
        assertEquals("HTTP/1.1 202 Accepted", exchange(client(), text).line());
    }

    /** Since its handing-in: delivered, or ended by one notice, in the time of the rule. */
    private void awaitEnd(String id, long handedInNanos) throws Exception {
        long end = handedInNanos + TimeUnit.MILLISECONDS.toNanos(BUDGET_MS + 300);
        while (!hasEnd(id) && System.nanoTime() < end) {
            Thread.sleep(2);
        }
        assertTrue(hasEnd(id), "message " + id + " has no end " + (BUDGET_MS + 300) + " ms after it was handed in");
        assertTrue(notices.stream().filter(n -> n.contains('"' + id + '"')).count() <= 1, "one notice");
    }

    private boolean hasEnd(String id) {
        return journalledMessages().stream().noneMatch(held -> held.id.equals(id));
    }

    @Test
    void whatWaitsBehindAMessageWhoseCopyWasRefusedEndsInItsTimeAfterAnUpgrade() throws Exception {
        hedging = true;
        scriptCalls(StubServer.silent(), StubServer.status(503, WAIT));
        start();
        submit("hedged", "plain");
        StubServer.await("the copy is refused", () -> calls().size() == 2 && attemptsEnded("hedged") == 1);
        long handedIn = System.nanoTime();
        handInBriefly("behind");
        upgrade();
        awaitEnd("behind", handedIn);
    }

    /** Attempts of a message of which the journal tells that they never ran. */
    private long attemptsEnded(String id) {
        return journalledMessages().stream().filter(held -> held.id.equals(id))
                .mapToLong(held -> held.attempts.stream().filter(a -> a.neverRan).count()).sum();
    }

    @Test
    void whatIsRefusedAfterTheHandoverBehindAMessageWhoseCopyWasRefusedEndsInItsTime() throws Exception {
        hedging = true;
        List<Socket> late = new ArrayList<>();
        scriptCalls(StubServer.silent(), StubServer.status(503, ""), (request, socket) -> late.add(socket));
        start();
        submit("hedged", "plain");
        StubServer.await("the copy is refused", () -> calls().size() == 2 && attemptsEnded("hedged") == 1);
        long handedIn = System.nanoTime();
        handInBriefly("behind");
        StubServer.await("it is out", () -> late.size() == 1);
        upgrade();
        StubServer.write(late.get(0), "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
        awaitEnd("behind", handedIn);
    }

    @Test
    void whatWasRefusedAndWaitsForAnotherTryEndsInItsTimeAfterAnUpgrade() throws Exception {
        scriptCalls(StubServer.status(503, WAIT));
        start();
        long handedIn = System.nanoTime();
        handInBriefly("waiting");
        StubServer.await("it is refused", () -> attemptsEnded("waiting") == 1);
        upgrade();
        awaitEnd("waiting", handedIn);
        assertEquals(2, calls().size());
    }

    @Test
    void whatIsOutAndRefusedAfterTheHandoverEndsInItsTime() throws Exception {
        List<Socket> late = new ArrayList<>();
        scriptCalls((request, socket) -> late.add(socket));
        start();
        long handedIn = System.nanoTime();
        handInBriefly("out");
        StubServer.await("it is out", () -> late.size() == 1);
        upgrade();
        StubServer.write(late.get(0), "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
        awaitEnd("out", handedIn);
    }

    @Test
    void whatWaitsForAMissingDestinationEndsInItsTimeAfterAnUpgrade() throws Exception {
        start();
        endpointStates = "DRAINING DRAINING";
        StubServer.await("the list", () -> sender != null && drained());
        long handedIn = System.nanoTime();
        handInBriefly("waiting");
        upgrade();
        awaitEnd("waiting", handedIn);
        assertEquals(0, calls().size());
    }

    private boolean drained() {
        try (Journal journal = copy()) {
            return journal.withdrawn().size() == 2;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Journal copy() throws IOException {
        Path copy = Files.createTempDirectory(folder, "copy");
        Files.copy(folder.resolve("state/journal"), copy.resolve("journal"));
        return new Journal(copy, 3_000_000, 12);
    }

    @Test
    void anUnheardNoticeIsToldOnceAfterAnUpgrade() throws Exception {
        reportStatus = 500;
        scriptCalls(StubServer.status(500, ""));
        start();
        submit("once", "once");
        StubServer.await("its notice is owed", () -> journalledMessages().stream().anyMatch(held -> held.pendingNotice.isPresent()));
        upgrade();
        reportStatus = 204;
        awaitNotice("{\"ref\":\"once\",\"result\":\"dead\"}");
    }

    @Test
    void aSecondUpgradeReachesTheProcessThatTookOverInTheFirst() throws Exception {
        start();
        for (int i = 0; i < 5; i++) {
            assertTimeoutPreemptively(Duration.ofSeconds(10), this::upgrade, "upgrade " + i);
            olds.remove(0).kill();
        }
    }

    @Test
    void whatTheNewProcesssModuleCantRememberEndsInItsTime() throws Exception {
        scriptCalls(StubServer.status(503, WAIT));
        start();
        long handedIn = System.nanoTime();
        handInBriefly("waiting");
        StubServer.await("it is refused", () -> attemptsEnded("waiting") == 1);
        beforeEvent = (event, arguments) -> {
            if (event.equals("restore")) {
                throw new IllegalStateException("a fault of the test's");
            }
        };
        upgrade();
        awaitEnd("waiting", handedIn);
    }

    @Test
    void anOldProcessWhoseModuleCantTellWhatItKnowsGoesOn() throws Exception {
        scriptCalls(StubServer.status(503, WAIT));
        start();
        long handedIn = System.nanoTime();
        handInBriefly("waiting");
        StubServer.await("it is refused", () -> attemptsEnded("waiting") == 1);
        AtomicInteger asked = new AtomicInteger();
        beforeEvent = (event, arguments) -> {
            if (event.equals("snapshot") && asked.getAndIncrement() == 0) {
                throw new IllegalStateException("a fault of the test's");
            }
        };
        Thread starts = new Thread(() -> {
            try {
                upgrade();
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        });
        starts.setDaemon(true);
        starts.start();
        StubServer.await("it is asked", () -> asked.get() > 0);
        awaitEnd("waiting", handedIn);
        starts.join(10_000);
    }

    // ---- what is not sent yet at the handover ----

    /** Where the list has the endpoint, instead of at its stub: there connections keep coming up. */
    private final Map<Integer, FullListener> full = new HashMap<>();

    @Override
    String entry(int number, String state) {
        String entry = super.entry(number, state);
        return full.containsKey(number)
                ? entry.replace(endpoints.get(number).hostPort(), full.get(number).hostPort()) : entry;
    }

    /** Counted down when a call with that attempt is about to dial. */
    private CountDownLatch dialled(int attempt) {
        CountDownLatch dials = new CountDownLatch(1);
        beforeEvent = (event, arguments) -> {
            if (event.equals("mayBeginAttempt") && arguments[2].equals(attempt)) {
                dials.countDown();
            }
        };
        return dials;
    }

    @Test
    void whatIsOutBehindAMessageWhoseCopyIsCalledOffByTheHandoverEndsInItsTime() throws Exception {
        hedging = true;
        List<Socket> late = new ArrayList<>();
        scriptCalls(StubServer.silent(), (request, socket) -> late.add(socket));
        try (FullListener second = new FullListener()) {
            full.put(1, second);
            CountDownLatch copy = dialled(1);
            start();
            submit("hedged", "plain");
            awaitLatch(copy);
            long handedIn = System.nanoTime();
            handInBriefly("behind");
            StubServer.await("it is out", () -> late.size() == 1);
            upgrade();
            StubServer.write(late.get(0), "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
            awaitEnd("behind", handedIn);
        }
    }

    @Test
    void whatIsCalledOffByTheHandoverEndsInItsTime() throws Exception {
        endsThoughItWasCalledOff(new FailingDisk());
    }

    /** The journal and the module then count its attempts differently. */
    @Test
    void whatIsCalledOffByTheHandoverWhileTheDiskFailsEndsInItsTime() throws Exception {
        FailingDisk disk = new FailingDisk();
        disk.room = 0;
        endsThoughItWasCalledOff(disk);
    }

    private void endsThoughItWasCalledOff(FailingDisk disk) throws Exception {
        scriptCalls(StubServer.status(503, ""));
        try (FullListener first = new FullListener()) {
            full.put(0, first);
            endpointStates = "SERVING DRAINING";
            CountDownLatch dial = dialled(0);
            start();
            long handedIn = System.nanoTime();
            handInBriefly("called-off");
            awaitLatch(dial);
            putUnder(sender, disk);
            upgrade();
            endpointStates = "DRAINING SERVING";
            awaitEnd("called-off", handedIn);
        }
    }

    /** From now on the sender's journal is on this disk. */
    private static void putUnder(Sender sender, FailingDisk disk) throws ReflectiveOperationException {
        Object file = field(field(sender, "journal"), "file");
        Field of = JournalFile.class.getDeclaredField("disk");
        of.setAccessible(true);
        of.set(file, disk);
    }

    private static Object field(Object of, String name) throws ReflectiveOperationException {
        Field field = of.getClass().getDeclaredField(name);
        field.setAccessible(true);
        return field.get(of);
    }

    /** Has no room for further connections: they keep coming up. */
    private static final class FullListener implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final List<Socket> queue = new ArrayList<>();

        FullListener() throws IOException {
            for (int i = 0; i < 2; i++) {
                queue.add(new Socket(server.getInetAddress(), server.getLocalPort()));
            }
        }

        String hostPort() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            for (Socket socket : queue) {
                socket.close();
            }
            server.close();
        }
    }
}
