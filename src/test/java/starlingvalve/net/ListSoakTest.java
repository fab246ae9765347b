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
 * Runs the sender as a separate process while its servers are replaced one after another, under faults that are drawn
 * from a seed: outages of discovery, SIGKILL, SIGTERM with clients that send until the kill, SIGHUP with another
 * address of discovery, a suspended process, an agent that answers late. The configuration lists the initial servers
 * all the time. No call may go to a draining server, and each accepted message has to end.
 *
 * <p>{@code -Dsoak.first=1 -Dsoak.seeds=50 -Dsoak.seconds=20} runs more seeds for longer; the default is short.
 */
class ListSoakTest extends SenderProcessFixture {
    private static final long FIRST_SEED = Long.getLong("soak.first", 1);
    private static final long SEEDS = Long.getLong("soak.seeds", 3);
    private static final long DURATION_MS = TimeUnit.SECONDS.toMillis(Long.getLong("soak.seconds", 10));
    private static final int SERVERS = 4;
    private static final int CLIENTS = 3;
    private static final int CLIENT_TIMEOUT_MS = 400;
    private static final int MEAN_PAUSE_MS = 20;
    private static final List<String> MESSAGE_CLASSES = List.of("safe", "keyed", "unsafe");
    /** Time from SIGKILL to the next start, by the specification. */
    private static final long RESTART_DELAY_MS = 600;
    /** Time from SIGTERM to SIGKILL, by the specification. */
    private static final long TERM_TO_KILL_MS = 3700;
    /** After a move, discovery closes the connections of its old address when this time has passed. */
    private static final long OLD_ADDRESS_CLOSES_AFTER_MS = 1500;
    private static final int MAX_EXTRA_OUTAGE_MS = 3000;
    private static final int MAX_SUSPENSION_MS = 150;
    private static final int MAX_AGENT_DELAY_MS = 60;
    /** A draining server is removed from the list after this time. */
    private static final long DRAIN_DURATION_MS = 1500;

    private enum Fault { KILL, TERM, OUTAGE, KILL_IN_OUTAGE, MOVE, SUSPEND, SLOW_AGENT, NONE }

    private final DrainChecker drainChecker = new DrainChecker();
    private final StallMeter stalls = new StallMeter();
    private final Map<Fault, Integer> faultCounts = new EnumMap<>(Fault.class);
    private final Set<String> accepted = ConcurrentHashMap.newKeySet();
    private final Set<String> ended = ConcurrentHashMap.newKeySet();
    /** Servers that are listed as serving, the oldest first. */
    private final Deque<String> serving = new ArrayDeque<>();
    /** Servers that are listed as draining, the oldest first. */
    private final Deque<String> draining = new ArrayDeque<>();
    private final Set<String> refusing = ConcurrentHashMap.newKeySet();
    private int serverCount = SERVERS;
    private volatile int agentDelayMs;
    private volatile boolean stopped;
    private final List<StubServer> replacements = new ArrayList<>();

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
        for (StubServer server : replacements) {
            server.close();
        }
    }

    @Override
    void noticesAcknowledged(List<String> lines) {
        lines.forEach(line -> ended.add(line.replaceAll(".*\"ref\":\"([^\"]+)\".*", "$1")));
    }

    // ---- servers ----

    private StubServer.Script endpointScript(String server, Random random) {
        return (call, socket) -> {
            drainChecker.called(server, call.atNanos());
            int choice;
            synchronized (random) {
                choice = random.nextInt(10);
            }
            if (refusing.contains(server) || choice == 0 && !stopped) {
                StubServer.write(socket, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            if (choice <= 2 && !stopped) {
                TimeUnit.MILLISECONDS.sleep(100 * choice);
            }
            ended.addAll(ids(call));
            accept(call, socket);
        };
    }

    /** Lists a new server in place of the oldest one, which drains, refuses calls and is removed some time later. */
    private void replaceOne(Random random) throws IOException {
        String newServer = "s-" + serverCount++;
        StubServer server = new StubServer(endpointScript(newServer, new Random(random.nextLong())));
        replacements.add(server);
        agent.list(newServer, server.hostPort(), DiscoveryAgent.SERVING);
        agent.change(newServer, DiscoveryAgent.SERVING);
        serving.add(newServer);
        String oldServer = serving.remove();
        agent.change(oldServer, DiscoveryAgent.DRAINING);
        drainChecker.withdrawn(oldServer, System.nanoTime());
        refusing.add(oldServer);
        draining.add(oldServer);
    }

    private void keepReplacing(Random random) {
        Deque<Long> drainStartNanos = new ArrayDeque<>();
        try {
            while (!stopped) {
                TimeUnit.MILLISECONDS.sleep(150 + random.nextInt(500));
                replaceOne(random);
                drainStartNanos.add(System.nanoTime());
                if (System.nanoTime() - drainStartNanos.peek() > TimeUnit.MILLISECONDS.toNanos(DRAIN_DURATION_MS)) {
                    drainStartNanos.remove();
                    agent.change(draining.remove(), DiscoveryAgent.DELETED);
                }
            }
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    // ---- clients ----

    /** Submits messages one after another on a connection that is kept as long as the sender keeps it open. */
    private void submitMessages(String client, Random random) {
        int messageNumber = 0;
        while (!stopped) {
            try (Socket socket = new Socket(sender.address().getAddress(), sender.address().getPort())) {
                socket.setSoTimeout(CLIENT_TIMEOUT_MS);
                BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
                while (!stopped) {
                    String messageClass = MESSAGE_CLASSES.get(random.nextInt(MESSAGE_CLASSES.size()));
                    String id = messageClass + "-" + client + messageNumber++;
                    StubServer.write(socket, TestConfig.message(id, messageClass, "hello"));
                    StubServer.Message answer = StubServer.read(input, 0);
                    if (answer == null) {
                        break;
                    }
                    if (answer.line().contains(" 202 ")) {
                        accepted.add(id);
                    }
                    TimeUnit.MILLISECONDS.sleep(random.nextInt(2 * MEAN_PAUSE_MS));
                }
            } catch (IOException e) {
                pause(MEAN_PAUSE_MS);
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
        pause(RESTART_DELAY_MS);
        sender.start();
    }

    private void outage(Random random, boolean withKill) throws Exception {
        long fromNanos = agent.becomeUnreachable();
        drainChecker.note(fromNanos, "discovery is unreachable");
        if (withKill) {
            pause(random.nextInt(300));
            killAndStart();
        }
        pause(200 + random.nextInt(MAX_EXTRA_OUTAGE_MS));
        long toNanos = agent.becomeReachable();
        drainChecker.note(toNanos, "discovery is reachable again");
        drainChecker.outage(fromNanos, toNanos);
    }

    private void moveDiscovery() throws Exception {
        DiscoveryAgent.Address oldAddress = agent.move();
        configure();
        drainChecker.moved(System.nanoTime());
        sender.signal("HUP");
        oldAddress.closeAfter(OLD_ADDRESS_CLOSES_AFTER_MS);
    }

    private void causeFault(Fault fault, Random random) throws Exception {
        faultCounts.merge(fault, 1, Integer::sum);
        drainChecker.note(System.nanoTime(), fault.toString());
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
                // No SIGHUP is sent within the first second of a process.
                pause(1000);
                moveDiscovery();
            }
            case SUSPEND -> {
                sender.signal("STOP");
                pause(random.nextInt(MAX_SUSPENSION_MS));
                sender.signal("CONT");
            }
            case SLOW_AGENT -> agentDelayMs = random.nextInt(MAX_AGENT_DELAY_MS);
            default -> {
                agentDelayMs = 0;
                pause(random.nextInt(500));
            }
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noCallGoesToDrainingServer(long seed) throws Exception {
        Random random = new Random(seed);
        for (int i = 0; i < SERVERS; i++) {
            serving.add("s-" + i);
            endpoints.get(i).script(endpointScript("s-" + i, new Random(random.nextLong())));
        }
        agent.beforeAnswer(request -> pause(agentDelayMs));
        sender.start();
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DURATION_MS);
        List<Thread> threads = new ArrayList<>();
        Random replacementRandom = new Random(random.nextLong());
        threads.add(new Thread(() -> keepReplacing(replacementRandom)));
        for (int i = 0; i < CLIENTS; i++) {
            String client = (char) ('a' + i) + "-";
            Random clientRandom = new Random(random.nextLong());
            threads.add(new Thread(() -> submitMessages(client, clientRandom)));
        }
        threads.forEach(Thread::start);
        Fault[] faults = Fault.values();
        while (System.nanoTime() < endNanos) {
            causeFault(faults[random.nextInt(faults.length)], random);
            pause(100 + random.nextInt(400));
            assertTrue(sender.isAlive(), () -> "the sender process exited by itself: " + sender.log());
        }
        stopped = true;
        for (Thread thread : threads) {
            thread.join();
        }
        awaitAllEnded();
        System.out.println("seed " + seed + ": " + faultCounts + ", " + drainChecker.withdrawals() + " drains, "
                + drainChecker.calls() + " calls, " + accepted.size() + " messages accepted");
        assertTrue(accepted.size() > 20 && drainChecker.withdrawals() > 3,
                "too few messages or drains for a meaningful run");
        List<String> violations = drainChecker.violations(stalls::nanosWithin);
        if (!violations.isEmpty()) {
            System.out.println(drainChecker.timeline() + "\n" + sender.allLogs());
        }
        assertEquals(List.of(), violations, "seed " + seed);
        StubServer.await("each accepted message ends", () -> ended.containsAll(accepted));
    }
}
