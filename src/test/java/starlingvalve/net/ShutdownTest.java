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

/** Tests the end of a sender's process by signals, and signals that arrive while it starts. */
class ShutdownTest extends SenderFixture {
    @Test
    void drainAcceptsThenClosesAndLetsCallsInFlightFinish() throws Exception {
        script(StubServer.silent());
        start(60_000);
        Socket keptAlive = client();
        assertEquals("202", exchange(keptAlive, message("one", "once", "hello")).line().split(" ")[1]);
        StubServer.await("the call arrives", () -> calls().size() == 1);
        Thread drain = new Thread(sender::drain);
        drain.start();
        StubServer.await("no new connection is accepted", () -> {
            try {
                client().close();
                return false;
            } catch (IOException refused) {
                return true;
            }
        });
        StubServer.Message last = exchange(keptAlive, message("two", "order", "hello"));
        assertEquals("202", last.line().split(" ")[1], "a request on a kept connection is still answered");
        assertEquals("close", last.header("Connection"));
        assertEquals(-1, keptAlive.getInputStream().read());
        assertTrue(drain.isAlive(), "calls in flight are waited for");
        StubServer.await("both calls arrive", () -> calls().size() == 2);
        for (StubServer endpoint : endpoints) {
            endpoint.writeToAll("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
        drain.join();
        assertTrue(journalledMessages().isEmpty());
    }

    @Test
    void drainEndsInTimeAndTheJournalKeepsTheRest() throws Exception {
        script(StubServer.silent());
        start();
        submit("one", "order");
        StubServer.await("the call arrives", () -> calls().size() == 1);
        sender.drain();
        assertEquals("one", journalledMessages().get(0).id);
        assertEquals(1, journalledMessages().get(0).attempts.size());
    }

    /** A process that is drained before it has started must exit. It used to hang until it was killed. */
    @Test
    void drainBeforeStartEndsTheProcess() throws Exception {
        sender = new Sender(config(), Sender.SHUTDOWN_ACCEPT_MS, Sender.SHUTDOWN_LIMIT_MS);
        Thread drain = new Thread(sender::drain);
        drain.start();
        drain.join(20_000);
        assertFalse(drain.isAlive());
    }

    /** A drain during the journal's replay: unattempted messages are sent, or stay in the journal for a restart. */
    @Test
    void drainDuringReplayLosesNoUnattemptedMessage() throws Exception {
        try (Journal journal = new Journal(folder.resolve("state"), 3_000_000, 12)) {
            for (String id : List.of("first", "second", "third")) {
                writeUnattempted(journal, id, "once", 7, Optional.of("thread"));
            }
        }
        Thread drain = new Thread(() -> sender.drain());
        beforeEvent = (event, arguments) -> {
            if (event.equals("messageRecovered") && drain.getState() == Thread.State.NEW) {
                drain.start();
                // The drain waits for the loop, which is blocked here: its task is queued in the middle of the replay.
                awaitState(drain, Thread.State.WAITING);
            }
        };
        start();
        drain.join(20_000);
        assertFalse(drain.isAlive());
        assertEquals(List.of(), notices);
        assertEquals(3, calls().size()
                + journalledMessages().stream().filter(accepted -> accepted.attempts.isEmpty()).count());
    }

    private static void awaitState(Thread thread, Thread.State state) {
        try {
            StubServer.await("the thread is " + state, () -> thread.getState() == state);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** The kernel has accepted a connection with its request when the shutdown of the sender begins. */
    @Test
    void requestInTheAcceptQueueAtShutdownIsAnswered() throws Exception {
        start();
        CountDownLatch loopBlocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        beforeEvent = (event, arguments) -> {
            if (event.equals("shutdownScheduled")) {
                loopBlocked.countDown();
                awaitLatch(release);
            }
        };
        Thread drain = new Thread(sender::drain);
        drain.start();
        awaitLatch(loopBlocked);
        // The loop is blocked in the drain, so this connection and its request can only wait in the accept queue.
        Socket late = client();
        StubServer.write(late, message("late", "plain", "hello"));
        release.countDown();
        StubServer.Message answer = StubServer.read(new BufferedInputStream(late.getInputStream()), 0);
        assertEquals("HTTP/1.1 202 Accepted", answer.line());
        drain.join();
        assertEquals(1, calls().size() + journalledMessages().size(), "delivered, or left in the journal");
    }

    /** An answer that waits unread in its socket when the shutdown limit passes must not count as "may have run". */
    @Test
    void receivedAnswerIsReadBeforeTheShutdownLimitEndsTheProcess() throws Exception {
        long shutdownLimitMs = 4000;
        script(StubServer.silent());
        start(shutdownLimitMs);
        Socket keptAlive = client();
        assertEquals("HTTP/1.1 202 Accepted", exchange(keptAlive, message("one", "once", "hello")).line());
        StubServer.await("the call arrives", () -> calls().size() == 1);
        Thread drain = new Thread(sender::drain);
        AtomicLong drainStartedNanos = new AtomicLong();
        CompletableFuture<Boolean> answerReadFirst = new CompletableFuture<>();
        AtomicInteger mayStartQueries = new AtomicInteger();
        beforeEvent = (event, arguments) -> {
            if (event.equals("shutdownScheduled")) {
                drainStartedNanos.set(System.nanoTime());
            } else if (event.equals("mayBeginAttempt") && mayStartQueries.incrementAndGet() == 2) {
                // A connection for the second message is established. The first is answered while the loop is blocked.
                answerAll();
                while (System.nanoTime() - drainStartedNanos.get() < (shutdownLimitMs + 100) * 1_000_000) {
                    Thread.onSpinWait();
                }
            } else if (event.equals("attemptEnded") && arguments[1] instanceof DeliveryPolicy.AttemptEnd end
                    && end.message() == 0 && end.outcome() == DeliveryPolicy.Outcome.DELIVERED) {
                answerReadFirst.complete(!join(drain));
            }
        };
        drain.start();
        StubServer.await("the drain has started", () -> drainStartedNanos.get() > 0);
        assertEquals("HTTP/1.1 202 Accepted", exchange(keptAlive, message("two", "plain", "hello")).line());
        assertTrue(answerReadFirst.get(30, TimeUnit.SECONDS), "the answer is read while the process still runs");
        drain.join();
    }

    /**
     * A request that is read just before the process exits gets no answer: it is lost, or sent both after a restart
     * here and by another sender.
     */
    @Test
    void nothingIsReadOnceTheProcessMayExit() throws Exception {
        script(StubServer.silent());
        start(1500);
        Socket keptAlive = client();
        submit("one", "order");
        StubServer.await("the call arrives", () -> calls().size() == 1);
        sender.drain();
        StubServer.write(keptAlive, message("late", "plain", "hello"));
        // Before the loop answers the second of these requests, it has read all pending input once.
        operatorRequest("GET", "/stats");
        operatorRequest("GET", "/stats");
        assertEquals(List.of("one"), journalledMessages().stream().map(accepted -> accepted.id).toList());
        assertEquals(0, keptAlive.getInputStream().available());
    }

    /**
     * Settings that are replaced while they are read, or before the start, must not leave the old address in effect.
     */
    @Test
    void discoveryAddressChangedBeforeStartIsUsed() throws Exception {
        sender = new Sender(config(), Sender.SHUTDOWN_ACCEPT_MS, Sender.SHUTDOWN_LIMIT_MS);
        try (StubServer oldAgent = agent) {
            agent = new StubServer(this::answerAgentRequest);
            config();
            sender.reconfigure();
            address = sender.start();
            StubServer.await("the new agent is watched", () -> agent.requests.stream()
                    .anyMatch(r -> r.line().contains("after=")));
            assertEquals(List.of(), oldAgent.requests);
        }
    }

    private void answerAll() {
        try {
            for (StubServer endpoint : endpoints) {
                endpoint.writeToAll("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Whether the thread has ended, after waiting for it for a moment. */
    private static boolean join(Thread thread) {
        try {
            thread.join(300);
            return !thread.isAlive();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Runs the program as a process: SIGKILL loses nothing, and on SIGTERM it exits by itself. */
    @Test
    void processLosesNothingBySigkillAndExitsOnSigterm() throws Exception {
        script(StubServer.silent());
        config();
        Process first = process();
        submit("one", "order");
        StubServer.await("the call arrives", () -> calls().size() == 1);
        first.destroyForcibly().waitFor();
        script(StubServer.status(200, ""));
        Process second = process();
        awaitEmptyJournal();
        assertEquals(2, calls().size());
        second.destroy();
        assertNotEquals(137, second.waitFor());
        assertFalse(second.isAlive());
    }

    /** The signal arrives while the file is still being replaced: the new configuration must be read all the same. */
    @Test
    void configurationThatIsCompleteOnlyAfterItsSignalIsUsed() throws Exception {
        config();
        Process process = process();
        StubServer.await("discovery gets a request", () -> !agent.requests.isEmpty());
        try (StubServer oldAgent = agent) {
            agent = new StubServer(this::answerAgentRequest);
            Files.writeString(folder.resolve("config.json"), "{\"discovery\":\"127.");
            hangUp(process);
            StubServer.await("the incomplete file is read",
                    () -> processLog().contains("the new configuration can't be read"));
            config();
            StubServer.await("the new agent is watched",
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
    void processSurvivesSighupAndUsesTheNewDiscoveryAddress() throws Exception {
        config();
        Process process = process();
        StubServer.await("discovery gets a request", () -> !agent.requests.isEmpty());
        noticeStatus = 500;
        script(StubServer.status(500, ""));
        submit("one", "once");
        StubServer.await("a notice is sent", () -> agent.requests.stream().anyMatch(r -> r.line().startsWith("POST")));
        try (StubServer oldAgent = agent) {
            agent = new StubServer(this::answerAgentRequest);
            Path file = folder.resolve("config.json");
            Files.writeString(file, "{ no configuration");
            hangUp(process);
            config();
            noticeStatus = 204;
            hangUp(process);
            awaitNotice("dead");
            StubServer.await("the whole list is requested, then watched", () -> agent.requests.stream()
                    .anyMatch(r -> r.line().contains("after=")));
            assertTrue(agent.requests.stream().anyMatch(r -> r.line().equals("GET /v1/servers HTTP/1.1")));
        }
        assertTrue(process.isAlive());
        process.destroyForcibly().waitFor();
    }

    /**
     * Under nohup SIGHUP is ignored from the start: every sender kept asking the old discovery address, and no log line
     * explained why.
     */
    @Test
    void inheritedIgnoreOfSighupIsLoggedAtStart() throws Exception {
        config();
        Process process = process("sh", "-c", "trap '' HUP; exec \"$@\"", "sh");
        assertTrue(Files.readString(processLog).contains("SIGHUP ignored"));
        process.destroyForcibly().waitFor();
    }

    private static void hangUp(Process process) throws Exception {
        assertEquals(0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
    }

    private Process process(String... launcher) throws Exception {
        List<String> command = new ArrayList<>(List.of(launcher));
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
                int readyIndex = text.indexOf(ready);
                if (readyIndex < 0 || text.indexOf('\n', readyIndex) < 0) {
                    return false;
                }
                address = new InetSocketAddress("127.0.0.1",
                        Integer.parseInt(text.substring(readyIndex + ready.length(), text.indexOf('\n', readyIndex))
                                .trim()));
                return true;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        return process;
    }
}
