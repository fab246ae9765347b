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
import starlingvalve.net.MessageRecord.Kind;

/**
 * The program as a process of its own under faults that are drawn from a seed: endpoints that answer late, in part, not
 * at all or with any outcome, kills in series, a disk that is full for a while, a wall clock that is stepped. What clients,
 * endpoints and the platform saw is judged message by message.
 *
 * <p>{@code -Dsoak.first=1 -Dsoak.seeds=50 -Dsoak.seconds=20} plays more; the default is short.
 */
class FaultSoakTest extends SenderProcessFixture {
    private static final long FIRST_SEED = Long.getLong("soak.first", 1);
    private static final long SEEDS = Long.getLong("soak.seeds", 3);
    private static final long PLAY_MS = TimeUnit.SECONDS.toMillis(Long.getLong("soak.seconds", 8));
    private static final List<String> MESSAGE_CLASSES = List.of("hasty", "brief", "safe", "keyed", "unsafe");
    private static final int CLIENT_PATIENCE_MS = 400;
    private static final long MOST_DELAY_MS = 900;
    private static final long BETWEEN_MESSAGES_MS = 12;
    private static final long RESTART_MS = 600;
    /** An answer that comes so shortly before the sender gives its call up may cross that. */
    private static final long CROSSING_MS = 100;

    private final Map<String, MessageRecord> records = new ConcurrentHashMap<>();
    private Random endpointRandom;
    private volatile boolean faultsOver;
    /** Counts the processes: what is answered to a killed one was told to nobody. */
    private volatile int life;

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    @Override
    int workers() {
        return 6;
    }

    private MessageRecord record(String id) {
        return records.computeIfAbsent(id, unknown -> new MessageRecord(id, id.startsWith("unsafe")));
    }

    @Override
    void noticesAcknowledged(List<String> lines) {
        long now = System.nanoTime();
        lines.forEach(line -> record(line.replaceAll(".*\"ref\":\"([^\"]+)\".*", "$1")).add(now, Kind.NOTICED));
    }

    // ---- endpoints ----

    private synchronized int draw(int bound) {
        return endpointRandom.nextInt(bound);
    }

    private void answer(StubServer.Message call, Socket socket) throws Exception {
        int calledIn = life;
        List<String> ids = ids(call);
        long now = System.nanoTime();
        ids.forEach(id -> record(id).add(now, Kind.CALLED));
        if (!faultsOver && draw(4) == 0) {
            TimeUnit.MILLISECONDS.sleep(draw((int) MOST_DELAY_MS));
        }
        int choice = faultsOver ? 0 : draw(100);
        if (choice < 60) {
            report(call, ids, socket, calledIn);
        } else if (choice < 70) {
            refuse(ids, socket, "429 x\r\nRetry-After: 0.2\r\n");
        } else if (choice < 78) {
            refuse(ids, socket, "503 x\r\n");
        } else if (choice < 86) {
            StubServer.write(socket, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
        } else if (choice < 92) {
            // Cut short, which proves nothing for a call with several messages.
            StubServer.write(socket,
                    ids.size() > 1 ? "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\nx" : "HTTP/1.1 20");
            socket.close();
        } else if (choice < 96) {
            socket.close();
        }
    }

    private void refuse(List<String> ids, Socket socket, String statusAndHeaders) throws IOException {
        ids.forEach(id -> record(id).add(System.nanoTime(), Kind.NEVER_RAN));
        StubServer.write(socket, "HTTP/1.1 " + statusAndHeaders + "Content-Length: 0\r\n\r\n");
    }

    /** An answer with 200; most messages are accepted. Written in two pieces at times. */
    private void report(StubServer.Message call, List<String> ids, Socket socket, int calledIn) throws Exception {
        List<String> accepted = new ArrayList<>();
        StringBuilder body = new StringBuilder();
        for (String id : ids) {
            boolean deferred = ids.size() > 1 && !faultsOver && draw(8) == 0;
            body.append(id).append(deferred ? " deferred\r\n" : " accepted\r\n");
            if (deferred) {
                record(id).add(System.nanoTime(), Kind.NEVER_RAN);
            } else {
                accepted.add(id);
            }
        }
        String text = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        int cut = faultsOver ? 0 : draw(text.length());
        StubServer.write(socket, text.substring(0, cut));
        StubServer.write(socket, text.substring(cut));
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - call.atNanos());
        if (calledIn == life) {
            boolean awaited = tookMs + CROSSING_MS < Long.parseLong(call.header("X-Budget-Ms"));
            accepted.forEach(id -> record(id).add(System.nanoTime(), awaited ? Kind.ACCEPTED : Kind.ACCEPTED_LATE));
        }
    }

    // ---- clients ----

    /** One client after another, each with a message; an answer that does not come in time counts for nothing. */
    private void handInUntil(long endNanos, Random random, String prefix) {
        for (int i = 0; System.nanoTime() < endNanos; i++) {
            String messageClass = MESSAGE_CLASSES.get(random.nextInt(MESSAGE_CLASSES.size()));
            String id = messageClass + "-" + prefix + i;
            try (Socket client = new Socket(sender.address().getAddress(), sender.address().getPort())) {
                client.setSoTimeout(CLIENT_PATIENCE_MS);
                String budget = messageClass.equals("brief") ? "6000" : "8000";
                StubServer.write(client, TestConfig.message(id, messageClass, "x".repeat(1 + random.nextInt(400)))
                        .replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + budget));
                StubServer.Message answer = StubServer.read(new BufferedInputStream(client.getInputStream()), 0);
                if (answer != null && answer.line().contains(" 202 ")) {
                    record(id).add(System.nanoTime(), Kind.TAKEN);
                }
                TimeUnit.MILLISECONDS.sleep(random.nextInt((int) (2 * BETWEEN_MESSAGES_MS)));
            } catch (IOException gone) {
                // The process is being restarted, or too slow.
                pause();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(BETWEEN_MESSAGES_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- faults ----

    private void killAndStart() throws Exception {
        life++;
        sender.kill();
        long now = System.nanoTime();
        records.values().forEach(record -> record.add(now, Kind.KILLED));
        TimeUnit.MILLISECONDS.sleep(RESTART_MS);
        sender.start();
    }

    private void oneFault(SystemFaults faults, Random random) throws Exception {
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
                // A kill before the disk took all would forget ends, which no program can help.
                TimeUnit.MILLISECONDS.sleep(500);
            }
            case 2 -> faults.setClockOffset((random.nextBoolean() ? 1 : -1) * (long) random.nextInt(7_200_000));
            default -> TimeUnit.MILLISECONDS.sleep(random.nextInt(500));
        }
    }

    /** What the sender has just ended is told within the rule's tolerance. */
    private void awaitNoticesHeard() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DeadlineRecord.TOLERANCE_MS);
        while (System.nanoTime() < end && records.values().stream().anyMatch(MessageRecord::isOpen)) {
            TimeUnit.MILLISECONDS.sleep(2);
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void everyTakenMessageEndsOnceAndIsNotSentOn(long seed) throws Exception {
        Random random = new Random(seed);
        endpointRandom = new Random(random.nextLong());
        SystemFaults faults = new SystemFaults(folder, sender);
        script(this::answer);
        sender.start();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PLAY_MS);
        List<Thread> clients = new ArrayList<>();
        for (String prefix : List.of("a", "b", "c")) {
            Random mine = new Random(random.nextLong());
            Thread client = new Thread(() -> handInUntil(end, mine, prefix));
            client.start();
            clients.add(client);
        }
        while (System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(300 + random.nextInt(900));
            oneFault(faults, random);
            assertTrue(sender.isAlive(), "it ended by itself: " + sender.log());
        }
        for (Thread client : clients) {
            client.join();
        }
        faultsOver = true;
        awaitAllEnded();
        awaitNoticesHeard();
        long taken = records.values().stream().filter(record -> record.toString().contains("TAKEN")).count();
        assertTrue(taken > 20, "the soak takes too few messages to mean anything: " + taken);
        String broken = records.values().stream().filter(record -> !record.violations().isEmpty())
                .map(record -> record.violations() + " " + record).collect(Collectors.joining("\n"));
        assertEquals("", broken, "seed " + seed);
    }
}
