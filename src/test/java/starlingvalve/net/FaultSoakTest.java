package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import starlingvalve.net.MessageHistory.Kind;

/**
 * Runs the sender as a separate process under faults that are drawn from a seed: endpoints that answer late, partly,
 * not at all or with any outcome, kills in quick succession, a disk that is full for a while, and a stepped wall clock.
 * For each message, the history that clients, endpoints and the platform observed is checked against the rules.
 *
 * <p>{@code -Dsoak.first=1 -Dsoak.seeds=50 -Dsoak.seconds=20} runs more seeds for longer; the default is short.
 */
class FaultSoakTest extends SenderProcessFixture {
    private static final long FIRST_SEED = Long.getLong("soak.first", 1);
    private static final long SEEDS = Long.getLong("soak.seeds", 3);
    private static final long DURATION_MS = TimeUnit.SECONDS.toMillis(Long.getLong("soak.seconds", 8));
    private static final List<String> MESSAGE_CLASSES = List.of("hasty", "brief", "safe", "keyed", "unsafe");
    private static final int CLIENT_TIMEOUT_MS = 400;
    private static final long MAX_ANSWER_DELAY_MS = 900;
    private static final long MEAN_PAUSE_MS = 12;
    private static final long RESTART_DELAY_MS = 600;
    /** An answer that is written less than this before the sender gives up its call may arrive too late. */
    private static final long CROSSING_MARGIN_MS = 100;

    private final Map<String, MessageHistory> histories = new ConcurrentHashMap<>();
    private Random endpointRandom;
    private volatile boolean faultsEnded;
    /** Counts the runs of the process, since an answer to a call of a killed process is read by nobody. */
    private volatile int processRun;

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    @Override
    int workers() {
        return 6;
    }

    private MessageHistory history(String id) {
        return histories.computeIfAbsent(id, unused -> new MessageHistory(id, id.startsWith("unsafe")));
    }

    @Override
    void noticesAcknowledged(List<String> lines) {
        long nowNanos = System.nanoTime();
        lines.forEach(line -> history(line.replaceAll(".*\"ref\":\"([^\"]+)\".*", "$1"))
                .add(nowNanos, Kind.NOTICE_ACKNOWLEDGED));
    }

    // ---- endpoints ----

    private synchronized int draw(int bound) {
        return endpointRandom.nextInt(bound);
    }

    private void answer(StubServer.Message call, Socket socket) throws Exception {
        int processRunOfCall = processRun;
        List<String> ids = ids(call);
        long nowNanos = System.nanoTime();
        ids.forEach(id -> history(id).add(nowNanos, Kind.CALLED));
        if (!faultsEnded && draw(4) == 0) {
            TimeUnit.MILLISECONDS.sleep(draw((int) MAX_ANSWER_DELAY_MS));
        }
        int choice = faultsEnded ? 0 : draw(100);
        if (choice < 60) {
            answerOk(call, ids, socket, processRunOfCall);
        } else if (choice < 70) {
            refuse(ids, socket, "429 x\r\nRetry-After: 0.2\r\n");
        } else if (choice < 78) {
            refuse(ids, socket, "503 x\r\n");
        } else if (choice < 86) {
            StubServer.write(socket, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
        } else if (choice < 92) {
            // A truncated answer, which proves no outcome for a call with several messages.
            StubServer.write(socket,
                    ids.size() > 1 ? "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\nx" : "HTTP/1.1 20");
            socket.close();
        } else if (choice < 96) {
            socket.close();
        }
    }

    private void refuse(List<String> ids, Socket socket, String statusAndHeaders) throws IOException {
        ids.forEach(id -> history(id).add(System.nanoTime(), Kind.NOT_EXECUTED));
        StubServer.write(socket, "HTTP/1.1 " + statusAndHeaders + "Content-Length: 0\r\n\r\n");
    }

    /** Answers with 200 and accepts most messages; during faults the answer is split at random into two writes. */
    private void answerOk(StubServer.Message call, List<String> ids, Socket socket, int processRunOfCall)
            throws Exception {
        List<String> accepted = new ArrayList<>();
        StringBuilder body = new StringBuilder();
        for (String id : ids) {
            boolean deferred = ids.size() > 1 && !faultsEnded && draw(8) == 0;
            body.append(id).append(deferred ? " deferred\r\n" : " accepted\r\n");
            if (deferred) {
                history(id).add(System.nanoTime(), Kind.NOT_EXECUTED);
            } else {
                accepted.add(id);
            }
        }
        String text = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        int split = faultsEnded ? 0 : draw(text.length());
        StubServer.write(socket, text.substring(0, split));
        StubServer.write(socket, text.substring(split));
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - call.atNanos());
        if (processRunOfCall == processRun) {
            boolean awaited = tookMs + CROSSING_MARGIN_MS < Long.parseLong(call.header("X-Budget-Ms"));
            accepted.forEach(id -> history(id).add(System.nanoTime(), awaited ? Kind.DELIVERED : Kind.DELIVERED_LATE));
        }
    }

    // ---- clients ----

    /** Submits messages one after another, each on its own connection; an answer that comes too late is ignored. */
    private void submitUntil(long endNanos, Random random, String prefix) {
        for (int i = 0; System.nanoTime() < endNanos; i++) {
            String messageClass = MESSAGE_CLASSES.get(random.nextInt(MESSAGE_CLASSES.size()));
            String id = messageClass + "-" + prefix + i;
            try (Socket client = new Socket(sender.address().getAddress(), sender.address().getPort())) {
                client.setSoTimeout(CLIENT_TIMEOUT_MS);
                String budget = messageClass.equals("brief") ? "6000" : "8000";
                StubServer.write(client, TestConfig.message(id, messageClass, "x".repeat(1 + random.nextInt(400)))
                        .replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + budget));
                StubServer.Message answer = StubServer.read(new BufferedInputStream(client.getInputStream()), 0);
                if (answer != null && answer.line().contains(" 202 ")) {
                    history(id).add(System.nanoTime(), Kind.ACCEPTED);
                }
                TimeUnit.MILLISECONDS.sleep(random.nextInt((int) (2 * MEAN_PAUSE_MS)));
            } catch (IOException e) {
                // The process is being restarted, or did not answer in time.
                pause();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(MEAN_PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- faults ----

    private void killAndStart() throws Exception {
        processRun++;
        sender.kill();
        long nowNanos = System.nanoTime();
        histories.values().forEach(history -> history.add(nowNanos, Kind.KILLED));
        TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MS);
        sender.start();
    }

    private void causeFault(SystemFaults faults, Random random) throws Exception {
        switch (random.nextInt(4)) {
            case 0 -> {
                killAndStart();
                if (random.nextBoolean()) {
                    TimeUnit.MILLISECONDS.sleep(random.nextInt(50));
                    killAndStart();
                }
            }
            case 1 -> {
                faults.fillDisk();
                TimeUnit.MILLISECONDS.sleep(200 + random.nextInt(800));
                faults.clearDiskFaults();
                // A kill before all ends are on the disk would lose them, which no program can prevent.
                TimeUnit.MILLISECONDS.sleep(500);
            }
            case 2 -> faults.setClockOffset((random.nextBoolean() ? 1 : -1) * (long) random.nextInt(7_200_000));
            default -> TimeUnit.MILLISECONDS.sleep(random.nextInt(500));
        }
    }

    /** Waits until the notices of messages that have just ended are acknowledged, at most for the rule's tolerance. */
    private void awaitNoticesAcknowledged() throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DeadlineHistory.TOLERANCE_MS);
        while (System.nanoTime() < endNanos && histories.values().stream().anyMatch(MessageHistory::isAwaitingEnd)) {
            TimeUnit.MILLISECONDS.sleep(2);
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void everyAcceptedMessageEndsOnceAndIsNotSentAgain(long seed) throws Exception {
        Random random = new Random(seed);
        endpointRandom = new Random(random.nextLong());
        SystemFaults faults = new SystemFaults(folder, sender);
        script(this::answer);
        sender.start();
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DURATION_MS);
        List<Thread> clients = new ArrayList<>();
        for (String prefix : List.of("a", "b", "c")) {
            Random clientRandom = new Random(random.nextLong());
            Thread client = new Thread(() -> submitUntil(endNanos, clientRandom, prefix));
            client.start();
            clients.add(client);
        }
        while (System.nanoTime() < endNanos) {
            TimeUnit.MILLISECONDS.sleep(300 + random.nextInt(900));
            causeFault(faults, random);
            assertTrue(sender.isAlive(), "the sender process exited by itself: " + sender.log());
        }
        for (Thread client : clients) {
            client.join();
        }
        faultsEnded = true;
        awaitAllEnded();
        awaitNoticesAcknowledged();
        long acceptedCount = histories.values().stream().filter(history -> history.toString().contains("ACCEPTED"))
                .count();
        assertTrue(acceptedCount > 20, "too few messages were accepted for a meaningful run: " + acceptedCount);
        String violations = histories.values().stream().filter(history -> !history.violations().isEmpty())
                .map(history -> history.violations() + " " + history).collect(Collectors.joining("\n"));
        assertEquals("", violations, "seed " + seed);
    }
}
