package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import starlingvalve.net.SystemFaults.Call;
import starlingvalve.net.SystemFaults.Errno;

/**
 * Checks that clients are answered and accepted messages are delivered or end in time though system calls of the sender
 * fail for a while.
 */
class FailingCallsProcessTest extends SenderProcessFixture {
    private static final int CLIENT_TIMEOUT_MS = 400;
    /**
     * Tolerated delay of a notice after its message's time limit: 300 ms by the rule, 50 ms by which time limits are
     * longer on sockets, and 100 ms for a busy machine.
     */
    private static final long NOTICE_TOLERANCE_MS = 300 + 50 + 100;
    /** Time limit of messages of class {@code brief}. */
    private static final long BRIEF_MS = 6000;

    /** Time for which calls fail while messages wait. */
    private static final long OUTAGE_MS = 1500;
    /** Time for which calls fail in a starting process. */
    private static final long START_FAULT_MS = 2500;
    /** Number of bytes of a journal record that are written before the write fails. */
    private static final int TORN_BYTES = 50;

    private SystemFaults faults;

    @BeforeEach
    void preload() throws Exception {
        faults = new SystemFaults(folder, sender);
        sender.start();
    }

    private Socket connect() throws IOException {
        Socket client = new Socket(sender.address().getAddress(), sender.address().getPort());
        client.setTcpNoDelay(true);
        client.setSoTimeout(CLIENT_TIMEOUT_MS);
        return client;
    }

    private static String readStatusLine(Socket client) throws IOException {
        StubServer.Message answer = StubServer.read(new BufferedInputStream(client.getInputStream()), 0);
        assertNotNull(answer, "closed without an answer");
        return answer.line();
    }

    private static void assertAccepted(Socket client) throws IOException {
        assertEquals("HTTP/1.1 202 Accepted", readStatusLine(client));
    }

    // ---- reads and writes ----

    @Test
    void interruptedReadDoesNotCloseClientConnection() throws Exception {
        try (Socket client = connect()) {
            faults.failEvery(2, Call.RECEIVE, Errno.EINTR);
            for (int i = 0; i < 5; i++) {
                StubServer.write(client, TestConfig.message("interrupted-" + i, "safe", "hello"));
                assertAccepted(client);
            }
        }
        assertTrue(faults.injectedFaults(Call.RECEIVE) > 0);
        faults.clearAll();
        awaitAllEnded();
        assertEquals(List.of(), agent.notices);
    }

    @Test
    void interruptedReadDoesNotEndCall() throws Exception {
        script((call, socket) -> {
            faults.failEvery(2, Call.RECEIVE, Errno.EINTR);
            accept(call, socket);
        });
        for (int i = 0; i < 5; i++) {
            faults.clearAll();
            submit("interrupted-" + i, "unsafe");
            StubServer.await("an endpoint receives a call", () -> calls().size() > 0);
        }
        faults.clearAll();
        awaitAllEnded();
        assertEquals(List.of(), agent.notices, "a delivered message was reported as possibly not delivered");
    }

    @ParameterizedTest
    @EnumSource(names = {"ENOBUFS", "ENOMEM"})
    void clientIsAnsweredAfterTemporarySocketFailure(Errno errno) throws Exception {
        for (Call call : List.of(Call.SEND, Call.RECEIVE)) {
            try (Socket client = connect()) {
                faults.restrictToPort(sender.address().getPort());
                faults.fail(call, errno);
                StubServer.write(client, TestConfig.message("short-of-" + call, "safe", "hello"));
                StubServer.await("a system call fails", () -> injectedFaults(call) > 0);
                faults.clearAll();
                assertAccepted(client);
            }
        }
        awaitAllEnded();
    }

    @Test
    void messageOfClientThatReadAcceptanceIsKeptThoughRestOfWriteFails() throws Exception {
        String firstLine = "HTTP/1.1 202 Accepted\r\n";
        faults.restrictToPort(sender.address().getPort());
        faults.sendBytesBeforeFailure(firstLine.length());
        faults.fail(Call.SEND, Errno.ETIMEDOUT);
        try (Socket client = connect()) {
            StubServer.write(client, TestConfig.message("heard", "safe", "hello"));
            assertEquals(firstLine, new String(client.getInputStream().readNBytes(firstLine.length())));
        }
        faults.clearAll();
        awaitAllEnded();
        assertTrue(callCount("heard") + agent.notices.size() > 0, "accepted, but neither sent nor reported as ended");
    }

    @Test
    void interruptedReadDoesNotAbortUpgrade() throws Exception {
        CountDownLatch takenOver = new CountDownLatch(1);
        script((call, socket) -> {
            SenderFixture.awaitLatch(takenOver);
            accept(call, socket);
        });
        submit("in-flight", "unsafe");
        StubServer.await("a call carries the message", () -> callCount("in-flight") == 1);
        faults.failEvery(2, Call.RECEIVE, Errno.EINTR);
        try (SenderProcess successor = sender.successor().start()) {
            successor.awaitEvent("takeover", "open=1", "calls=1");
            takenOver.countDown();
            StubServer.await("the successor learns that the message has ended",
                    () -> metricOf(successor, "in_flight") == 0);
            assertFalse(successor.log().contains("event=predecessor-gone"),
                    "the connection between the two processes was lost");
            assertFalse(sender.log().contains("failed before it owned"), "the upgrade was aborted");
            assertEquals(1, callCount("in-flight"));
            assertEquals(List.of(), agent.notices);
        }
    }

    @Test
    void upgradeSucceedsThoughSuccessorCanNotCreateSocketsAtFirst() throws Exception {
        faults.fail(Call.SOCKET, Errno.ENFILE);
        Thread clearer = clearFaultsAfter(START_FAULT_MS);
        try (SenderProcess successor = sender.successor().start()) {
            clearer.join();
            sender.signal("TERM");
            sender.awaitExit();
            assertEquals("HTTP/1.1 202 Accepted",
                    sendRequest(sender.address(), TestConfig.message("next", "safe", "hello")).line());
            StubServer.await("the message is delivered",
                    () -> callCount("next") == 1 && metricOf(successor, "in_flight") == 0);
        }
    }

    @Test
    void reloadSucceedsThoughConfigurationCanNotBeOpenedAtFirst() throws Exception {
        DiscoveryAgent.Address oldAddress = agent.move();
        configure();
        faults.fail(Call.OPEN, Errno.ENFILE);
        sender.signal("HUP");
        TimeUnit.MILLISECONDS.sleep(START_FAULT_MS);
        faults.clearAll();
        StubServer.await("the sender asks the agent at its new address", () -> !agent.requests().isEmpty());
        oldAddress.closeAfter(0);
    }

    // ---- accepting ----

    @ParameterizedTest
    @EnumSource(names = {"ECONNABORTED", "ENFILE", "ENOBUFS"})
    void failingAcceptDelaysNoDeadline(Errno errno) throws Exception {
        script(StubServer.silent());
        long submittedAtNanos = System.nanoTime();
        String request = TestConfig.message("due", "brief", "hello")
                .replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + BRIEF_MS);
        assertEquals("HTTP/1.1 202 Accepted", sendRequest(sender.address(), request).line());
        TimeUnit.MILLISECONDS.sleep(BRIEF_MS - 1000);
        faults.fail(Call.ACCEPT, errno);
        try (Socket waitingClient = connect()) {
            StubServer.await("an accept fails", () -> injectedFaults(Call.ACCEPT) > 0);
            StubServer.await("the message's notice arrives",
                    () -> !agent.notices.isEmpty() || elapsedMs(submittedAtNanos) > BRIEF_MS + 2 * NOTICE_TOLERANCE_MS);
            long tookMs = elapsedMs(submittedAtNanos);
            faults.clearAll();
            assertTrue(tookMs <= BRIEF_MS + NOTICE_TOLERANCE_MS,
                    "not ended after " + tookMs + " ms, time limit in ms: " + BRIEF_MS);
        }
    }

    private static long elapsedMs(long sinceNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
    }

    private long injectedFaults(Call call) {
        try {
            return faults.injectedFaults(call);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"ECONNABORTED", "ENFILE", "ENOBUFS"})
    void clientIsAnsweredInTimeAfterFailingAccept(Errno errno) throws Exception {
        faults.fail(Call.ACCEPT, errno);
        try (Socket client = connect()) {
            StubServer.write(client, TestConfig.message("waiting", "safe", "hello"));
            StubServer.await("an accept fails", () -> injectedFaults(Call.ACCEPT) > 0);
            TimeUnit.MILLISECONDS.sleep(CLIENT_TIMEOUT_MS / 4);
            faults.clearAll();
            assertAccepted(client);
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"ECONNABORTED", "ENFILE", "ENOBUFS"})
    void clientIsAnsweredAfterFailingAcceptDuringShutdown(Errno errno) throws Exception {
        try (Socket kept = connect()) {
            // Keeps the process from exiting at once after SIGTERM.
            StubServer.write(kept, TestConfig.message("kept", "safe", "hello"));
            assertAccepted(kept);
            faults.fail(Call.ACCEPT, errno);
            try (Socket client = connect()) {
                StubServer.write(client, TestConfig.message("waiting", "safe", "hello"));
                sender.signal("TERM");
                client.setSoTimeout((int) Sender.SHUTDOWN_LIMIT_MS);
                TimeUnit.MILLISECONDS.sleep(Sender.SHUTDOWN_ACCEPT_MS + 200);
                faults.clearAll();
                assertTrue(readStatusLine(client).startsWith("HTTP/1.1 "));
            }
        }
    }

    // ---- accepted messages meanwhile ----

    /** Makes the endpoints reject the first call and close its connection, and accept all later calls. */
    private void rejectFirstCall() {
        script((call, socket) -> {
            script(SenderProcessFixture::accept);
            StubServer.write(socket,
                    "HTTP/1.1 503 x\r\nRetry-After: 0.3\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            socket.close();
        });
    }

    /** Submits a message whose first call is rejected, and makes calls of this kind fail before its retry. */
    private void assertDeliveredThoughFailing(Call call, Errno errno) throws Exception {
        rejectFirstCall();
        submit("owed", "unsafe");
        StubServer.await("a call carries the message", () -> callCount("owed") == 1);
        faults.fail(call, errno);
        TimeUnit.MILLISECONDS.sleep(OUTAGE_MS);
        assertEquals(1, callCount("owed"));
        assertTrue(injectedFaults(call) > 0);
        assertEquals(List.of(), agent.notices, "given up because of a fault on the sender's own machine");
        faults.clearAll();
        awaitAllEnded();
        assertEquals(2, callCount("owed"));
        assertEquals(List.of(), agent.notices);
    }

    @Test
    void messageIsNotGivenUpWhileJournalCanNotBeWritten() throws Exception {
        assertDeliveredThoughFailing(Call.WRITE, Errno.ENOSPC);
    }

    @ParameterizedTest
    @EnumSource(names = {"EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS"})
    void messageIsNotGivenUpWhileNoConnectionCanBeOpened(Errno errno) throws Exception {
        assertDeliveredThoughFailing(Call.CONNECT, errno);
    }

    @Test
    void messageIsNotGivenUpWhileNoSocketCanBeCreated() throws Exception {
        assertDeliveredThoughFailing(Call.SOCKET, Errno.ENFILE);
    }

    @Test
    void messageEndedDuringDiskFailureIsNotSentAgainAfterRestart() throws Exception {
        CountDownLatch failuresBegun = new CountDownLatch(1);
        script((call, socket) -> {
            SenderFixture.awaitLatch(failuresBegun);
            accept(call, socket);
        });
        submit("delivered", "safe");
        StubServer.await("a call carries the message", () -> callCount("delivered") == 1);
        faults.fillDisk();
        failuresBegun.countDown();
        awaitAllEnded();
        sender.signal("TERM");
        TimeUnit.MILLISECONDS.sleep(OUTAGE_MS);
        faults.clearAll();
        sender.awaitExit();
        sender.start();
        submit("next", "safe");
        awaitAllEnded();
        assertEquals(1, callCount("delivered"), "sent again after its end");
    }

    // ---- the start of a process ----

    /** Starts a thread that ends all failures after this time. */
    private Thread clearFaultsAfter(long ms) {
        Thread clearer = new Thread(() -> {
            try {
                TimeUnit.MILLISECONDS.sleep(ms);
                faults.clearAll();
            } catch (IOException | InterruptedException e) {
                throw new AssertionError(e);
            }
        });
        clearer.start();
        return clearer;
    }

    /** Kills the sender while a message is in flight, and starts it while calls of this kind fail. */
    private void assertRestartsThoughFailing(Call call, Errno errno) throws Exception {
        script(StubServer.silent());
        submit("owed", "safe");
        StubServer.await("a call carries the message", () -> callCount("owed") == 1);
        script(SenderProcessFixture::accept);
        if (call == Call.TRUNCATE) {
            faults.failWritesAfter(TORN_BYTES);
            assertEquals("503", submissionStatus("torn", "safe"));
        }
        sender.kill();
        faults.clearAll();
        faults.fail(call, errno);
        Thread clearer = clearFaultsAfter(START_FAULT_MS);
        sender.start();
        clearer.join();
        awaitAllEnded();
        assertTrue(injectedFaults(call) > 0);
        assertEquals(2, callCount("owed"));
    }

    @Test
    void processStartsThoughStateFolderCanNotBeOpenedAtFirst() throws Exception {
        assertRestartsThoughFailing(Call.OPEN, Errno.ENOSPC);
    }

    @Test
    void processStartsThoughStateFolderCanNotBeWrittenAtFirst() throws Exception {
        assertRestartsThoughFailing(Call.WRITE, Errno.EIO);
    }

    @Test
    void processStartsThoughJournalCanNotBeTruncatedAtFirst() throws Exception {
        assertRestartsThoughFailing(Call.TRUNCATE, Errno.EIO);
    }

    @Test
    void processStartsThoughNoSocketCanBeCreatedAtFirst() throws Exception {
        assertRestartsThoughFailing(Call.SOCKET, Errno.ENFILE);
    }
}
