package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * All faults together, overlapping, on several real senders that share their endpoints: kills, planned restarts, upgrades,
 * reloads, a process that is held up; system calls and disks that fail for a moment; stepped clocks; agents that are silent;
 * answers that bring more than belongs to them; endpoints that refuse, fail, hang, are slow, drain and are replaced. Some senders are busy and some nearly idle, some
 * clients keep their connections until the process ends them and some do not. One checker judges by what clients, endpoints and
 * agents saw.
 *
 * <p>{@code -Dcombined.first=1 -Dcombined.seeds=50 -Dcombined.seconds=20 -Dcombined.logs=FOLDER} plays more and keeps the
 * processes' logs; the default is short.
 */
class CombinedSoakTest {
    private static final long FIRST_SEED = Long.getLong("combined.first", 1);
    private static final long SEEDS = Long.getLong("combined.seeds", 3);
    private static final long PLAY_MS = TimeUnit.SECONDS.toMillis(Long.getLong("combined.seconds", 15));
    private static final Optional<Path> LOGS = Optional.ofNullable(System.getProperty("combined.logs")).map(Path::of);

    private static final int SERVERS = 4;
    /** An answer that comes so shortly before the sender gives its call up may cross that. */
    private static final long CROSSING_MS = 100;
    private static final long REFUSAL_MS = 200;
    private static final int MOST_SURPLUS_PERCENT = Integer.getInteger("combined.surplus", 20);

    @TempDir
    Path temporary;
    private final Map<String, SoakMessage> messages = new ConcurrentHashMap<>();
    private final Map<SoakNode.Fault, Integer> injectedFaults = new EnumMap<>(SoakNode.Fault.class);
    private final List<SoakNode> nodes = new ArrayList<>();
    private final List<StubServer> endpoints = new ArrayList<>();
    private final List<String> serving = new ArrayList<>();
    private final StallMeter stalls = new StallMeter();
    private FaultyDestination destination;
    private SurplusWriter surplus;
    private int healthyPercent;
    private int servers;
    private volatile boolean over;

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    @AfterEach
    void close() throws Exception {
        for (SoakNode node : nodes) {
            node.close();
        }
        for (StubServer endpoint : endpoints) {
            endpoint.close();
        }
        stalls.close();
    }

    private Optional<SoakMessage> message(String id) {
        return Optional.ofNullable(messages.get(id));
    }

    // ---- endpoints ----

    private void addServer(Random random) throws IOException {
        String name = "s-" + servers;
        int number = servers % SERVERS;
        Random mine = new Random(random.nextLong());
        StubServer stub = new StubServer((call, socket) -> answer(name, number, mine, call, socket));
        endpoints.add(stub);
        servers++;
        serving.add(name);
        nodes.forEach(node -> node.agent().list(name, stub.hostPort(), DiscoveryAgent.SERVING));
        nodes.forEach(node -> node.agent().change(name, DiscoveryAgent.SERVING));
    }

    private void answer(String name, int number, Random random, StubServer.Message call,
            Socket socket) throws Exception {
        List<String> ids = SenderProcessFixture.ids(call);
        SoakNode caller = nodes.get(Integer.parseInt(ids.get(0).split("-")[1]));
        int calledIn = caller.life();
        caller.drains().called(name, call.atNanos());
        FaultyDestination.Mode mode = destination.mode(number, healthyPercent);
        ids.forEach(id -> message(id).ifPresent(message -> message.called(call.atNanos(), mode + " " + name)));
        ids.forEach(id -> caller.keyOrder().called(id, call.atNanos()));
        switch (mode) {
            case ACCEPTS -> accept(caller, calledIn, call, socket, draw(random, 20));
            case SLOW -> accept(caller, calledIn, call, socket, 200 + draw(random, 800));
            case REFUSES -> refuse(ids, socket, REFUSAL_MS, "503 x\r\n");
            case THROTTLES -> refuse(ids, socket, 0, "429 x\r\nRetry-After: 0." + (1 + draw(random, 5)) + "\r\n");
            case FAILS -> surplus.write(socket, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
            case RESETS -> {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            default -> {
                // It hangs.
            }
        }
    }

    private static int draw(Random random, int bound) {
        synchronized (random) {
            return random.nextInt(bound);
        }
    }

    private void refuse(List<String> ids, Socket socket, long delayMs, String statusAndHeaders) throws Exception {
        TimeUnit.MILLISECONDS.sleep(delayMs);
        ids.forEach(id -> message(id).ifPresent(SoakMessage::neverRan));
        surplus.write(socket, "HTTP/1.1 " + statusAndHeaders + "Content-Length: 0\r\n\r\n");
    }

    private void accept(SoakNode caller, int calledIn, StubServer.Message call, Socket socket,
            long delayMs) throws Exception {
        TimeUnit.MILLISECONDS.sleep(delayMs);
        SenderProcessFixture.ids(call).forEach(id -> caller.keyOrder().over(id, System.nanoTime()));
        surplus.write(socket, SenderProcessFixture.acceptance(call));
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - call.atNanos());
        boolean awaited = calledIn == caller.life() && caller.reads()
                && tookMs + CROSSING_MS < Long.parseLong(call.header("X-Budget-Ms"));
        SenderProcessFixture.ids(call).forEach(id -> message(id).ifPresent(message -> message.accepted(awaited)));
    }

    /** A new server takes the place of the oldest one, which drains. */
    private void replaceOne(Random random) throws IOException {
        addServer(random);
        String old = serving.remove(0);
        for (SoakNode node : nodes) {
            node.withdraw(old);
        }
    }

    private void keepReplacing(Random random) {
        try {
            while (!over) {
                TimeUnit.MILLISECONDS.sleep(500 + random.nextInt(3000));
                replaceOne(random);
            }
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    // ---- the play ----

    private void deploy(long seed, Random random) throws Exception {
        Path folder = LOGS.map(logs -> logs.resolve("seed-" + seed)).orElse(temporary);
        healthyPercent = 30 + random.nextInt(60);
        destination = new FaultyDestination(TestConfig.DESTINATION, SERVERS, new Random(random.nextLong()), () -> over);
        surplus = new SurplusWriter(new Random(random.nextLong()), random.nextInt(MOST_SURPLUS_PERCENT));
        int count = 3 + random.nextInt(3);
        for (int i = 0; i < count; i++) {
            Path own = Files.createDirectories(folder.resolve("n" + i));
            SoakNode node = new SoakNode(i, own, new Random(random.nextLong()), messages, () -> over);
            node.agent().writeThrough(surplus::write);
            nodes.add(node);
        }
        for (int i = 0; i < SERVERS; i++) {
            addServer(random);
        }
        for (SoakNode node : nodes) {
            node.start();
        }
    }

    private List<Thread> startAll(Random random) {
        List<Thread> threads = new ArrayList<>();
        Random replacing = new Random(random.nextLong());
        threads.add(new Thread(() -> keepReplacing(replacing)));
        for (SoakNode node : nodes) {
            threads.addAll(node.threads());
        }
        threads.forEach(Thread::start);
        return threads;
    }

    private void awaitAllJudged() throws InterruptedException {
        long last = System.nanoTime();
        for (SoakNode node : nodes) {
            last = Math.max(last, messagesOf(node).mapToLong(message -> message.overdueNanos(node.restarts())).max().orElse(0));
        }
        long giveUp = last + TimeUnit.SECONDS.toNanos(2);
        while (System.nanoTime() < giveUp && messages.values().stream().anyMatch(m -> m.isTaken() && !m.isEnded())) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private Stream<SoakMessage> messagesOf(SoakNode node) {
        return messages.entrySet().stream().filter(e -> node.has(e.getKey())).map(Map.Entry::getValue);
    }

    private List<String> violations() {
        List<String> found = new ArrayList<>();
        for (SoakNode node : nodes) {
            messagesOf(node).forEach(message -> found.addAll(message.violations(node.restarts(), stalls::nanosWithin)));
            found.addAll(node.drains().violations(stalls::nanosWithin));
            found.addAll(node.keyOrder().violations());
            found.addAll(node.faults());
        }
        return found;
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noRuleIsBrokenUnderAllFaultsTogether(long seed) throws Exception {
        Random random = new Random(seed);
        deploy(seed, random);
        List<Thread> threads = startAll(random);
        TimeUnit.MILLISECONDS.sleep(PLAY_MS);
        over = true;
        for (Thread thread : threads) {
            thread.join();
        }
        for (SoakNode node : nodes) {
            node.mend();
            node.injectedFaults().forEach((fault, times) -> injectedFaults.merge(fault, times, Integer::sum));
        }
        awaitAllJudged();
        long taken = messages.values().stream().filter(SoakMessage::isTaken).count();
        String played = "seed " + seed + ": " + nodes.size() + " senders, "
                + nodes.stream().mapToInt(SoakNode::processes).sum() + " processes, " + taken + " of " + messages.size()
                + " messages taken on, " + nodes.stream().mapToInt(node -> node.drains().calls()).sum() + " calls; " + injectedFaults
                + ", failed calls " + SoakNode.failedCalls(nodes) + ", answers with more than belongs to them " + surplus.surplusAnswers();
        System.out.println(played);
        assertTrue(taken > 20, "the soak takes too few messages to mean anything: " + played);
        List<String> found = violations();
        String timelines = found.isEmpty() ? "" : nodes.stream().map(node -> "n" + node.number() + ":\n" + node.drains().timeline())
                .collect(Collectors.joining("\n"));
        assertEquals("", String.join("\n", found), played + "\n" + timelines);
    }
}
