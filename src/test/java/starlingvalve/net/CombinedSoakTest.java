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
 * Runs several real senders that share their endpoints under all faults together, which overlap: kills, planned
 * restarts, upgrades, reloads, suspended processes; system calls and disks that fail for a moment; stepped clocks;
 * agents that do not answer; answers with surplus bytes; endpoints that refuse, fail, hang, are slow, drain and are
 * replaced. Some senders are busy and some nearly idle; some clients keep their connections until the sender closes
 * them and some do not. The rules are checked by what clients, endpoints and agents observed.
 *
 * <p>{@code -Dcombined.first=1 -Dcombined.seeds=50 -Dcombined.seconds=20 -Dcombined.logs=FOLDER} runs more seeds for
 * longer and keeps the processes' logs; the default is short.
 */
class CombinedSoakTest {
    private static final long FIRST_SEED = Long.getLong("combined.first", 1);
    private static final long SEEDS = Long.getLong("combined.seeds", 3);
    private static final long DURATION_MS = TimeUnit.SECONDS.toMillis(Long.getLong("combined.seconds", 15));
    private static final Optional<Path> LOGS = Optional.ofNullable(System.getProperty("combined.logs")).map(Path::of);

    private static final int SERVERS = 4;
    /** An answer that is written less than this before the sender gives up its call may arrive too late. */
    private static final long CROSSING_MARGIN_MS = 100;
    private static final long REFUSAL_DELAY_MS = 200;
    private static final int MAX_SURPLUS_PERCENT = Integer.getInteger("combined.surplus", 20);

    @TempDir
    Path temporary;
    private final Map<String, SoakMessage> messages = new ConcurrentHashMap<>();
    private final Map<SoakNode.Fault, Integer> faultCounts = new EnumMap<>(SoakNode.Fault.class);
    private final List<SoakNode> nodes = new ArrayList<>();
    private final List<StubServer> endpoints = new ArrayList<>();
    private final List<String> serving = new ArrayList<>();
    private final StallMeter stalls = new StallMeter();
    private FaultyDestination destination;
    private SurplusWriter surplus;
    private int healthyPercent;
    private int serverCount;
    private volatile boolean stopped;

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
        String name = "s-" + serverCount;
        int number = serverCount % SERVERS;
        Random serverRandom = new Random(random.nextLong());
        StubServer stub = new StubServer((call, socket) -> answer(name, number, serverRandom, call, socket));
        endpoints.add(stub);
        serverCount++;
        serving.add(name);
        nodes.forEach(node -> node.agent().list(name, stub.hostPort(), DiscoveryAgent.SERVING));
        nodes.forEach(node -> node.agent().change(name, DiscoveryAgent.SERVING));
    }

    private void answer(String name, int number, Random random, StubServer.Message call,
            Socket socket) throws Exception {
        List<String> ids = SenderProcessFixture.ids(call);
        SoakNode caller = nodes.get(Integer.parseInt(ids.get(0).split("-")[1]));
        int processRunOfCall = caller.processRun();
        caller.drainChecker().called(name, call.atNanos());
        FaultyDestination.Mode mode = destination.mode(number, healthyPercent);
        ids.forEach(id -> message(id).ifPresent(message -> message.called(call.atNanos(), mode + " " + name)));
        ids.forEach(id -> caller.keyOrderChecker().called(id, call.atNanos()));
        switch (mode) {
            case ACCEPTS -> accept(caller, processRunOfCall, call, socket, draw(random, 20));
            case SLOW -> accept(caller, processRunOfCall, call, socket, 200 + draw(random, 800));
            case REFUSES -> refuse(ids, socket, REFUSAL_DELAY_MS, "503 x\r\n");
            case THROTTLES -> refuse(ids, socket, 0, "429 x\r\nRetry-After: 0." + (1 + draw(random, 5)) + "\r\n");
            case FAILS -> surplus.write(socket, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
            case RESETS -> {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            default -> {
                // HANGS: no answer.
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
        ids.forEach(id -> message(id).ifPresent(SoakMessage::notExecuted));
        surplus.write(socket, "HTTP/1.1 " + statusAndHeaders + "Content-Length: 0\r\n\r\n");
    }

    private void accept(SoakNode caller, int processRunOfCall, StubServer.Message call, Socket socket,
            long delayMs) throws Exception {
        TimeUnit.MILLISECONDS.sleep(delayMs);
        SenderProcessFixture.ids(call).forEach(id -> caller.keyOrderChecker().ended(id, System.nanoTime()));
        surplus.write(socket, SenderProcessFixture.acceptance(call));
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - call.atNanos());
        boolean awaited = processRunOfCall == caller.processRun() && caller.stillReadsAnswers()
                && tookMs + CROSSING_MARGIN_MS < Long.parseLong(call.header("X-Budget-Ms"));
        SenderProcessFixture.ids(call).forEach(id -> message(id).ifPresent(message -> message.delivered(awaited)));
    }

    /** Lists a new server in place of the oldest one, which drains. */
    private void replaceOne(Random random) throws IOException {
        addServer(random);
        String oldServer = serving.remove(0);
        for (SoakNode node : nodes) {
            node.withdraw(oldServer);
        }
    }

    private void keepReplacing(Random random) {
        try {
            while (!stopped) {
                TimeUnit.MILLISECONDS.sleep(500 + random.nextInt(3000));
                replaceOne(random);
            }
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    // ---- the run ----

    private void deploy(long seed, Random random) throws Exception {
        Path folder = LOGS.map(logs -> logs.resolve("seed-" + seed)).orElse(temporary);
        healthyPercent = 30 + random.nextInt(60);
        destination = new FaultyDestination(TestConfig.DESTINATION, SERVERS, new Random(random.nextLong()),
                () -> stopped);
        surplus = new SurplusWriter(new Random(random.nextLong()), random.nextInt(MAX_SURPLUS_PERCENT));
        int count = 3 + random.nextInt(3);
        for (int i = 0; i < count; i++) {
            Path nodeFolder = Files.createDirectories(folder.resolve("n" + i));
            SoakNode node = new SoakNode(i, nodeFolder, new Random(random.nextLong()), messages, () -> stopped);
            node.agent().setAnswerWriter(surplus::write);
            nodes.add(node);
        }
        for (int i = 0; i < SERVERS; i++) {
            addServer(random);
        }
        for (SoakNode node : nodes) {
            node.start();
        }
    }

    private List<Thread> startThreads(Random random) {
        List<Thread> threads = new ArrayList<>();
        Random replacementRandom = new Random(random.nextLong());
        threads.add(new Thread(() -> keepReplacing(replacementRandom)));
        for (SoakNode node : nodes) {
            threads.addAll(node.threads());
        }
        threads.forEach(Thread::start);
        return threads;
    }

    /** Waits until all accepted messages have ended, at most until 2 s after the last one is overdue. */
    private void awaitAllEnded() throws InterruptedException {
        long lastOverdueNanos = System.nanoTime();
        for (SoakNode node : nodes) {
            lastOverdueNanos = Math.max(lastOverdueNanos,
                    messagesOf(node).mapToLong(message -> message.overdueNanos(node.restarts())).max().orElse(0));
        }
        long giveUpNanos = lastOverdueNanos + TimeUnit.SECONDS.toNanos(2);
        while (System.nanoTime() < giveUpNanos
                && messages.values().stream().anyMatch(message -> message.isAccepted() && !message.isEnded())) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private Stream<SoakMessage> messagesOf(SoakNode node) {
        return messages.entrySet().stream().filter(entry -> node.owns(entry.getKey())).map(Map.Entry::getValue);
    }

    private List<String> violations() {
        List<String> violations = new ArrayList<>();
        for (SoakNode node : nodes) {
            messagesOf(node)
                    .forEach(message -> violations.addAll(message.violations(node.restarts(), stalls::nanosWithin)));
            violations.addAll(node.drainChecker().violations(stalls::nanosWithin));
            violations.addAll(node.keyOrderChecker().violations());
            violations.addAll(node.faults());
        }
        return violations;
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noRuleIsBrokenUnderAllFaultsTogether(long seed) throws Exception {
        Random random = new Random(seed);
        deploy(seed, random);
        List<Thread> threads = startThreads(random);
        TimeUnit.MILLISECONDS.sleep(DURATION_MS);
        stopped = true;
        for (Thread thread : threads) {
            thread.join();
        }
        for (SoakNode node : nodes) {
            node.endMachineFaults();
            node.faultCounts().forEach((fault, times) -> faultCounts.merge(fault, times, Integer::sum));
        }
        awaitAllEnded();
        long acceptedCount = messages.values().stream().filter(SoakMessage::isAccepted).count();
        String summary = "seed " + seed + ": " + nodes.size() + " senders, "
                + nodes.stream().mapToInt(SoakNode::processes).sum() + " processes, " + acceptedCount + " of "
                + messages.size() + " messages accepted, "
                + nodes.stream().mapToInt(node -> node.drainChecker().calls()).sum() + " calls; " + faultCounts
                + ", failed system calls " + SoakNode.failedCalls(nodes) + ", answers with surplus bytes "
                + surplus.surplusAnswers();
        System.out.println(summary);
        assertTrue(acceptedCount > 20, "too few messages were accepted for a meaningful run: " + summary);
        List<String> violations = violations();
        String timelines = violations.isEmpty() ? "" : nodes.stream()
                .map(node -> "n" + node.number() + ":\n" + node.drainChecker().timeline())
                .collect(Collectors.joining("\n"));
        assertEquals("", String.join("\n", violations), summary + "\n" + timelines);
    }
}
