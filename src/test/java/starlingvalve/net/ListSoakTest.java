package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The program as a process of its own while its servers are replaced one after another, under faults that are drawn from a
 * seed: outages of discovery, SIGKILL, SIGTERM with clients that send until the kill, SIGHUP with another address of
 * discovery, a process that is held up, an agent that answers late. The configuration's list is the oldest one all the
 * time. Judged are drains, and that each message that was taken on ends.
 *
 * <p>{@code -Dsoak.first=1 -Dsoak.seeds=50 -Dsoak.seconds=20} plays more; the default is short.
 */
class ListSoakTest extends SenderProcessFixture {
    private static final long FIRST_SEED = Long.getLong("soak.first", 1);
    private static final long SEEDS = Long.getLong("soak.seeds", 3);
    private static final long PLAY_MS = TimeUnit.SECONDS.toMillis(Long.getLong("soak.seconds", 10));
    private static final int SERVERS = 4;
    private static final int CLIENTS = 3;
    private static final int CLIENT_PATIENCE_MS = 400;
    private static final int BETWEEN_MESSAGES_MS = 20;
    private static final List<String> MESSAGE_CLASSES = List.of("safe", "keyed", "unsafe");
    /** From SIGKILL to the next start, and from SIGTERM to SIGKILL, by the pages. */
    private static final long RESTART_MS = 600;
    private static final long TERM_TO_KILL_MS = 3700;
    /** The old address of discovery closes its connections so long after a move. */
    private static final long OLD_ADDRESS_MS = 1500;
    private static final int LONGEST_OUTAGE_MS = 3000;
    private static final int LONGEST_HOLD_UP_MS = 150;
    private static final int LONGEST_AGENT_DELAY_MS = 60;
    /** A drained server is gone after this. */
    private static final long DRAIN_MS = 1500;

    private enum Fault { KILL, TERM, OUTAGE, KILL_IN_OUTAGE, MOVE, HELD_UP, SLOW_AGENT, NONE }

    private final DrainRecord drains = new DrainRecord();
    private final StallMeter stalls = new StallMeter();
    private final Map<Fault, Integer> met = new EnumMap<>(Fault.class);
    private final Set<String> taken = ConcurrentHashMap.newKeySet();
    private final Set<String> ended = ConcurrentHashMap.newKeySet();
    /** Listed as serving, the oldest first, and as draining. */
    private final Deque<String> serving = new ArrayDeque<>();
    private final Deque<String> draining = new ArrayDeque<>();
    private final Set<String> refusing = ConcurrentHashMap.newKeySet();
    private int servers = SERVERS;
    private volatile int agentDelayMs;
    private volatile boolean over;
    private final List<StubServer> replaced = new ArrayList<>();

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    @Override
    int workers() {
        return 6;
    }

    @Override
    int batch() {
        return 1;
    }

    @Override
    int endpointCount() {
        return SERVERS;
    }

    @AfterEach
    void closeAll() throws IOException {
        stalls.close();
        for (StubServer server : replaced) {
            server.close();
        }
    }

    @Override
    void noticesAcknowledged(List<String> lines) {
        lines.forEach(line -> ended.add(line.replaceAll(".*\"ref\":\"([^\"]+)\".*", "$1")));
    }

    // ---- servers ----

    private StubServer.Script answers(String server, Random random) {
        return (call, socket) -> {
            drains.called(server, call.atNanos());
            int choice;
            synchronized (random) {
                choice = random.nextInt(10);
            }
            if (refusing.contains(server) || choice == 0 && !over) {
                StubServer.write(socket, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            if (choice <= 2 && !over) {
                TimeUnit.MILLISECONDS.sleep(100 * choice);
            }
            ended.addAll(ids(call));
            accept(call, socket);
        };
    }

    /** A new server takes the place of the oldest one, which drains and is gone some time later. */
    private void replaceOne(Random random) throws IOException {
        String fresh = "s-" + servers++;
        StubServer server = new StubServer(answers(fresh, new Random(random.nextLong())));
        replaced.add(server);
        agent.list(fresh, server.hostPort(), DiscoveryAgent.SERVING);
        agent.change(fresh, DiscoveryAgent.SERVING);
        serving.add(fresh);
        String old = serving.remove();
        agent.change(old, DiscoveryAgent.DRAINING);
        drains.withdrawn(old, System.nanoTime());
        refusing.add(old);
        draining.add(old);
    }

    private void keepReplacing(Random random) {
        Deque<Long> since = new ArrayDeque<>();
        try {
            while (!over) {
                TimeUnit.MILLISECONDS.sleep(150 + random.nextInt(500));
                replaceOne(random);
                since.add(System.nanoTime());
                if (System.nanoTime() - since.peek() > TimeUnit.MILLISECONDS.toNanos(DRAIN_MS)) {
                    since.remove();
                    agent.change(draining.remove(), DiscoveryAgent.DELETED);
                }
            }
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    // ---- clients ----

    /** Hands in messages on a connection that is kept as long as it stays open. */
    private void handIn(String client, Random random) {
        int number = 0;
        while (!over) {
            try (Socket socket = new Socket(sender.address().getAddress(), sender.address().getPort())) {
                socket.setSoTimeout(CLIENT_PATIENCE_MS);
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                while (!over) {
                    String messageClass = MESSAGE_CLASSES.get(random.nextInt(MESSAGE_CLASSES.size()));
                    String id = messageClass + "-" + client + number++;
                    StubServer.write(socket, TestConfig.message(id, messageClass, "hello"));
                    StubServer.Message answer = StubServer.read(in, 0);
                    if (answer == null) {
                        break;
                    }
                    if (answer.line().contains(" 202 ")) {
                        taken.add(id);
                    }
                    TimeUnit.MILLISECONDS.sleep(random.nextInt(2 * BETWEEN_MESSAGES_MS));
                }
            } catch (IOException gone) {
                pause(BETWEEN_MESSAGES_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void pause(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- faults ----

    private void killAndStart() throws Exception {
        sender.kill();
        pause(RESTART_MS);
        sender.start();
    }

    private void outage(Random random, boolean withKill) throws Exception {
        long from = agent.fallSilent();
        drains.note(from, "discovery falls silent");
        if (withKill) {
            pause(random.nextInt(300));
            killAndStart();
        }
        pause(200 + random.nextInt(LONGEST_OUTAGE_MS));
        long to = agent.comeBack();
        drains.note(to, "discovery is back");
        drains.outage(from, to);
    }

    private void move() throws Exception {
        DiscoveryAgent.Address old = agent.move();
        configure();
        drains.moved(System.nanoTime());
        sender.signal("HUP");
        old.closeAfter(OLD_ADDRESS_MS);
    }

    private void one(Fault fault, Random random) throws Exception {
        met.merge(fault, 1, Integer::sum);
        drains.note(System.nanoTime(), fault.toString());
        switch (fault) {
            case KILL -> killAndStart();
            case TERM -> {
                sender.signal("TERM");
                pause(TERM_TO_KILL_MS);
                killAndStart();
            }
            case OUTAGE -> outage(random, false);
            case KILL_IN_OUTAGE -> outage(random, true);
            case MOVE -> {
                // Not in a process's first second.
                pause(1000);
                move();
            }
            case HELD_UP -> {
                sender.signal("STOP");
                pause(random.nextInt(LONGEST_HOLD_UP_MS));
                sender.signal("CONT");
            }
            case SLOW_AGENT -> agentDelayMs = random.nextInt(LONGEST_AGENT_DELAY_MS);
            default -> {
                agentDelayMs = 0;
                pause(random.nextInt(500));
            }
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noCallGoesToAServerThatDrains(long seed) throws Exception {
        Random random = new Random(seed);
        for (int i = 0; i < SERVERS; i++) {
            serving.add("s-" + i);
            endpoints.get(i).script(answers("s-" + i, new Random(random.nextLong())));
        }
        agent.beforeAnswer(request -> pause(agentDelayMs));
        sender.start();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PLAY_MS);
        List<Thread> threads = new ArrayList<>();
        Random replacing = new Random(random.nextLong());
        threads.add(new Thread(() -> keepReplacing(replacing)));
        for (int i = 0; i < CLIENTS; i++) {
            String client = (char) ('a' + i) + "-";
            Random mine = new Random(random.nextLong());
            threads.add(new Thread(() -> handIn(client, mine)));
        }
        threads.forEach(Thread::start);
        Fault[] faults = Fault.values();
        while (System.nanoTime() < end) {
            one(faults[random.nextInt(faults.length)], random);
            pause(100 + random.nextInt(400));
            assertTrue(sender.isAlive(), () -> "it ended by itself: " + sender.log());
        }
        over = true;
        for (Thread thread : threads) {
            thread.join();
        }
        awaitAllEnded();
        System.out.println("seed " + seed + ": " + met + ", " + drains.withdrawals() + " drains, " + drains.calls()
                + " calls, " + taken.size() + " messages taken");
        assertTrue(taken.size() > 20 && drains.withdrawals() > 3, "too little happened to mean anything");
        List<String> violations = drains.violations(stalls::nanosWithin);
        if (!violations.isEmpty()) {
            System.out.println(drains.timeline() + "\n" + sender.allLogs());
        }
        assertEquals(List.of(), violations, "seed " + seed);
        StubServer.await("each message that was taken on ends", () -> ended.containsAll(taken));
    }
}
