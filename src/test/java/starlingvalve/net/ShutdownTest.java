package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import starlingvalve.DeliveryPolicy;

/** The end of a sender's process, by signal, and signals while it starts. */
class ShutdownTest extends SenderFixture {
    @Test
    void aDrainTakesThenClosesAndLetsCallsOutFinish() throws Exception {
        script(StubServer.silent());
        start(60_000);
        Socket kept = client();
        assertEquals("202", ask(kept, message("one", "once", "hello")).line().split(" ")[1]);
        StubServer.await("the call", () -> calls().size() == 1);
        Thread drain = new Thread(sender::drain);
        drain.start();
        StubServer.await("no new connection is taken", () -> {
            try {
                client().close();
                return false;
            } catch (IOException refused) {
                return true;
            }
        });
        StubServer.Message last = ask(kept, message("two", "order", "hello"));
        assertEquals("202", last.line().split(" ")[1], "a request on a kept connection is still answered");
        assertEquals("close", last.header("Connection"));
        assertEquals(-1, kept.getInputStream().read());
        assertTrue(drain.isAlive(), "calls out are waited for");
        StubServer.await("both calls", () -> calls().size() == 2);
        for (StubServer endpoint : endpoints) {
            endpoint.answerAll("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
        drain.join();
        assertTrue(journalled().isEmpty());
    }

    @Test
    void aDrainEndsInTimeAndTheJournalHoldsTheRest() throws Exception {
        script(StubServer.silent());
        start();
        handIn("one", "order");
        StubServer.await("the call", () -> calls().size() == 1);
        sender.drain();
        assertEquals("one", journalled().get(0).id);
        assertEquals(1, journalled().get(0).attempts.size());
    }

    /** Told to end before it began: it hung until it was killed, as there was nothing to end yet. */
    @Test
    void anEndThatIsToldBeforeTheStartIsKept() throws Exception {
        sender = new Sender(config(), Sender.TAKING_MS, Sender.CLOSING_MS);
        Thread drain = new Thread(sender::drain);
        drain.start();
        drain.join(20_000);
        assertFalse(drain.isAlive());
    }

    /** Told to end while the journal is replayed: what is untried then is called for, or left to the next life. */
    @Test
    void anEndThatIsToldInTheReplayCostsNothingUntried() throws Exception {
        try (Journal journal = new Journal(folder.resolve("state"), 3_000_000, 12)) {
            for (String id : List.of("first", "second", "third")) {
                untried(journal, id, "once", 7, Optional.of("thread"));
            }
        }
        Thread drain = new Thread(() -> sender.drain());
        beforeEvent = (event, arguments) -> {
            if (event.equals("messageRecovered") && drain.getState() == Thread.State.NEW) {
                drain.start();
                // It waits for the loop, which stands here: its task comes in the middle of the replay.
                awaitState(drain, Thread.State.WAITING);
            }
        };
        start();
        drain.join(20_000);
        assertFalse(drain.isAlive());
        assertEquals(List.of(), notices);
        assertEquals(3, calls().size() + journalled().stream().filter(held -> held.attempts.isEmpty()).count());
    }

    private static void awaitState(Thread thread, Thread.State state) {
        try {
            StubServer.await("the thread is " + state, () -> thread.getState() == state);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** A connection that the kernel has taken, with its request, when the sender is told to end. */
    @Test
    void aRequestInTheAcceptQueueAtTheEndIsAnswered() throws Exception {
        start();
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        beforeEvent = (event, arguments) -> {
            if (event.equals("shutdownScheduled")) {
                busy.countDown();
                awaitLatch(go);
            }
        };
        Thread drain = new Thread(sender::drain);
        drain.start();
        awaitLatch(busy);
        // The loop stands in the drain: this connection and its request can only lie in the queue.
        Socket late = client();
        StubServer.write(late, message("late", "plain", "hello"));
        go.countDown();
        StubServer.Message answer = StubServer.read(new BufferedInputStream(late.getInputStream()), 0);
        assertEquals("HTTP/1.1 202 Accepted", answer.line());
        drain.join();
        assertEquals(1, calls().size() + journalled().size(), "delivered, or left to the next life");
    }

    /** The answer lies in the socket when the closing time is over: it counted as one that may have run. */
    @Test
    void anAnswerThatHasComeGoesBeforeTheEndOfTheClosingTime() throws Exception {
        long closingMs = 4000;
        script(StubServer.silent());
        start(closingMs);
        Socket kept = client();
        assertEquals("HTTP/1.1 202 Accepted", ask(kept, message("one", "once", "hello")).line());
        StubServer.await("the call", () -> calls().size() == 1);
        Thread drain = new Thread(sender::drain);
        AtomicLong begun = new AtomicLong();
        CompletableFuture<Boolean> endedBefore = new CompletableFuture<>();
        AtomicInteger questions = new AtomicInteger();
        beforeEvent = (event, arguments) -> {
            if (event.equals("shutdownScheduled")) {
                begun.set(System.nanoTime());
            } else if (event.equals("mayBeginAttempt") && questions.incrementAndGet() == 2) {
                // A connection for the second message is up. The first is answered while the loop is held up.
                answerAll();
                while (System.nanoTime() - begun.get() < (closingMs + 100) * 1_000_000) {
                    Thread.onSpinWait();
                }
            } else if (event.equals("attemptEnded") && arguments[1] instanceof DeliveryPolicy.AttemptEnd end
                    && end.message() == 0 && end.outcome() == DeliveryPolicy.Outcome.DELIVERED) {
                endedBefore.complete(!join(drain));
            }
        };
        drain.start();
        StubServer.await("it closes", () -> begun.get() > 0);
        assertEquals("HTTP/1.1 202 Accepted", ask(kept, message("two", "plain", "hello")).line());
        assertTrue(endedBefore.get(30, TimeUnit.SECONDS), "the answer is read while the process still runs");
        drain.join();
    }

    /** It was read, and the process gone before its answer: lost, or sent by the next life here and by another. */
    @Test
    void nothingIsReadOnceTheProcessMayBeGone() throws Exception {
        script(StubServer.silent());
        start(1500);
        Socket kept = client();
        handIn("one", "order");
        StubServer.await("the call", () -> calls().size() == 1);
        sender.drain();
        StubServer.write(kept, message("late", "plain", "hello"));
        // The loop reads what has come once before it answers the second of these.
        operator("GET", "/stats");
        operator("GET", "/stats");
        assertEquals(List.of("one"), journalled().stream().map(held -> held.id).toList());
        assertEquals(0, kept.getInputStream().available());
    }

    /** The settings were replaced while they were read, or before anything was begun: the old address stood for good. */
    @Test
    void aNewDiscoveryAddressThatIsToldBeforeTheStartIsKept() throws Exception {
        sender = new Sender(config(), Sender.TAKING_MS, Sender.CLOSING_MS);
        try (StubServer old = agent) {
            agent = new StubServer(this::agent);
            config();
            sender.reconfigure(Map.of("GW_CONFIG", folder.resolve("config.json").toString()));
            address = sender.start();
            StubServer.await("the new one is watched", () -> agent.requests.stream()
                    .anyMatch(r -> r.line().contains("after=")));
            assertEquals(List.of(), old.requests);
        }
    }

    private void answerAll() {
        try {
            for (StubServer endpoint : endpoints) {
                endpoint.answerAll("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Whether that thread is over, given a moment to be so. */
    private static boolean join(Thread thread) {
        try {
            thread.join(300);
            return !thread.isAlive();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** The program itself, as a process: SIGKILL loses nothing, and SIGTERM ends it by its own will. */
    @Test
    void theProcessOutlivesItsSignals() throws Exception {
        script(StubServer.silent());
        config();
        Process first = process();
        handIn("one", "order");
        StubServer.await("the call", () -> calls().size() == 1);
        first.destroyForcibly().waitFor();
        script(StubServer.status(200, ""));
        Process second = process();
        awaitNothingHeld();
        assertEquals(2, calls().size());
        second.destroy();
        assertNotEquals(137, second.waitFor());
        assertFalse(second.isAlive());
    }

    /** The file is just being replaced when the signal comes: what it says counts as told all the same. */
    @Test
    void aNewConfigurationThatIsWholeOnlyAfterItsSignalIsTaken() throws Exception {
        config();
        Process process = process();
        StubServer.await("discovery is asked", () -> !agent.requests.isEmpty());
        try (StubServer old = agent) {
            agent = new StubServer(this::agent);
            Files.writeString(folder.resolve("config.json"), "{\"discovery\":\"127.");
            hangUp(process);
            StubServer.await("a part of it is read",
                    () -> processLog().contains("the new configuration can't be read"));
            config();
            StubServer.await("the new one is watched",
                    () -> agent.requests.stream().anyMatch(r -> r.line().contains("after=")));
        }
        assertTrue(process.isAlive());
        process.destroyForcibly().waitFor();
    }

    private String processLog() {
        try {
            return Files.readString(processLog);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void theProcessOutlivesAHangUpAndUsesTheNewDiscoveryAddress() throws Exception {
        config();
        Process process = process();
        StubServer.await("discovery is asked", () -> !agent.requests.isEmpty());
        reportStatus = 500;
        script(StubServer.status(500, ""));
        handIn("one", "once");
        StubServer.await("a notice is tried", () -> agent.requests.stream().anyMatch(r -> r.line().startsWith("POST")));
        try (StubServer old = agent) {
            agent = new StubServer(this::agent);
            Path file = folder.resolve("config.json");
            Files.writeString(file, "{ no configuration");
            hangUp(process);
            config();
            reportStatus = 204;
            hangUp(process);
            awaitNotice("dead");
            StubServer.await("the list is asked for whole, then watched", () -> agent.requests.stream()
                    .anyMatch(r -> r.line().contains("after=")));
            assertTrue(agent.requests.stream().anyMatch(r -> r.line().equals("GET /v1/servers HTTP/1.1")));
        }
        assertTrue(process.isAlive());
        process.destroyForcibly().waitFor();
    }

    /** Seen on roll+mass, started with nohup: every sender asked the old discovery for good, with no word of it. */
    @Test
    void aHangUpThatIsIgnoredFromOutsideIsToldAtTheStart() throws Exception {
        config();
        Process process = process("sh", "-c", "trap '' HUP; exec \"$@\"", "sh");
        assertTrue(Files.readString(processLog).contains("SIGHUP ignored"));
        process.destroyForcibly().waitFor();
    }

    private static void hangUp(Process process) throws Exception {
        assertEquals(0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
    }

    private Process process(String... through) throws Exception {
        List<String> command = new ArrayList<>(List.of(through));
        command.addAll(List.of(Path.of(System.getProperty("java.home"), "bin/java").toString(),
                "-cp", System.getProperty("java.class.path"), "starlingvalve.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(Map.of("GW_CONFIG", folder.resolve("config.json").toString(),
                "GW_STATE", folder.resolve("state").toString()));
        Path log = Files.createTempFile(folder, "log", "");
        processLog = log;
        Process process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        String ready = " listens at 127.0.0.1:";
        StubServer.await("the process is ready", () -> {
            try {
                String text = Files.readString(log);
                int at = text.indexOf(ready);
                if (at < 0 || text.indexOf('\n', at) < 0) {
                    return false;
                }
                address = new InetSocketAddress("127.0.0.1",
                        Integer.parseInt(text.substring(at + ready.length(), text.indexOf('\n', at)).trim()));
                return true;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        return process;
    }
}
