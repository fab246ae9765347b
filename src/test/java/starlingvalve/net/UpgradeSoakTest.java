package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A series of upgrades under load, on real processes, with a restart without overlap between some of them. For an
 * upgrade a second process of the sender is started beside the first. The first gets SIGTERM once the second reports
 * that it serves, and SIGKILL if it still runs after its shutdown time. Meanwhile endpoints refuse, fail, hang or are
 * slow. Every accepted message is checked by {@link DeadlineHistory}.
 *
 * <p>{@code -Dupgrade.first=1 -Dupgrade.seeds=50 -Dupgrade.seconds=30 -Dupgrade.logs=FOLDER} runs more seeds for
 * longer and keeps the processes' logs; the default is short.
 */
class UpgradeSoakTest {
    private static final long FIRST_SEED = Long.getLong("upgrade.first", 1);
    private static final long SEEDS = Long.getLong("upgrade.seeds", 3);
    private static final long DURATION_MS = TimeUnit.SECONDS.toMillis(Long.getLong("upgrade.seconds", 12));
    private static final Optional<Path> LOGS = Optional.ofNullable(System.getProperty("upgrade.logs")).map(Path::of);

    private static final int CLIENT_TIMEOUT_MS = 400;
    private static final int RECONNECT_DELAY_MS = 12;
    /** Least time between SIGTERM and SIGKILL. */
    private static final long TERM_TO_KILL_MS = 3700;
    private static final long RESTART_DELAY_MS = 600;
    /** No notice is overdue until this time has passed after a restarted sender is ready. */
    private static final long READY_GRACE_MS = 1500;
    private static final long READY_TIMEOUT_MS = 20_000;
    private static final long REFUSAL_DELAY_MS = 200;
    /** The system ends a busy process after this much processor time, in case this test fails to end it. */
    private static final long BUSY_PROCESS_CPU_S = 60;

    /** A class of messages. Its name is part of the message ids, so that a history shows the class. */
    private record MessageClass(String name, int latencyTargetMs, int deadlineMs, String repeat) {
        String json() {
            return "{\"name\":\"%s\",\"aim_ms\":%d,\"give_up_ms\":%d,\"repeat\":\"%s\",\"window_ms\":%d}"
                    .formatted(name, latencyTargetMs, deadlineMs, repeat, deadlineMs);
        }
    }

    @TempDir
    Path temporary;
    private Path folder;
    private final Map<String, DeadlineHistory> histories = new ConcurrentHashMap<>();
    private final List<DeadlineHistory.Restart> restarts = new CopyOnWriteArrayList<>();
    private final List<SenderProcess> processes = new ArrayList<>();
    private final List<Process> busyProcesses = new ArrayList<>();
    private final List<StubServer> endpoints = new ArrayList<>();
    private final List<String> processEvents = new ArrayList<>();
    private final StallMeter stalls = new StallMeter();
    private DiscoveryAgent agent;
    private List<MessageClass> classes;
    private int destinations;
    /** Percentage of the phases in which all endpoints of a destination accept. */
    private int healthyPercent;
    private Path config;
    private InetSocketAddress listenAddress;
    private volatile boolean faultsEnded;

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    @AfterEach
    void close() throws Exception {
        for (SenderProcess process : processes) {
            process.close();
        }
        for (Process busyProcess : busyProcesses) {
            busyProcess.destroyForcibly();
        }
        for (StubServer endpoint : endpoints) {
            endpoint.close();
        }
        agent.close();
        stalls.close();
    }

    // ---- the deployment ----

    private void deploy(long seed, Random random) throws IOException {
        folder = LOGS.map(logs -> logs.resolve("seed-" + seed)).orElse(temporary);
        Files.createDirectories(folder.resolve("state"));
        agent = new DiscoveryAgent();
        agent.afterNoticesAnswered(this::noticesAcknowledged);
        classes = List.of(drawClass("safe", random), drawClass("keyed", random), drawClass("unsafe", random),
                new MessageClass("hasty", 100, 2000 + random.nextInt(2000), "safe"));
        destinations = 2 + random.nextInt(4);
        healthyPercent = 20 + random.nextInt(60);
        for (int destination = 1; destination <= destinations; destination++) {
            int count = 1 + random.nextInt(3);
            FaultyDestination faultyDestination =
                    new FaultyDestination(destination, count, new Random(random.nextLong()), () -> faultsEnded);
            for (int i = 0; i < count; i++) {
                addEndpoint("s-" + destination + "-" + i, faultyDestination, i, new Random(random.nextLong()));
            }
        }
        listenAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
        config = new TestConfig(agent.hostPort())
                .classes(classes.stream().map(MessageClass::json).collect(Collectors.joining(",")))
                .workers(random.nextBoolean() ? 3 + random.nextInt(5) : 20 + random.nextInt(20))
                .batch(random.nextBoolean() ? 1 : 2 + random.nextInt(10))
                .hedging(random.nextInt(3) > 0)
                .known(agent.list()).write(folder);
    }

    private static MessageClass drawClass(String repeat, Random random) {
        return new MessageClass(repeat, 100 + random.nextInt(400), 2000 + random.nextInt(6000), repeat);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Starts the next process of the sender, which logs to a folder of its own, and waits until it serves. */
    private SenderProcess newProcess() throws Exception {
        SenderProcess process = new SenderProcess(folder.resolve("process-" + processes.size()), config)
                .withEnvironment("GW_STATE", folder.resolve("state").toString())
                .withEnvironment("TMPDIR", folder.toString())
                .withEnvironment("GW_NAME", "n0")
                .withEnvironment("GW_LISTEN", "127.0.0.1:" + listenAddress.getPort())
                .withEnvironment("GW_OPS", "127.0.0.1:0");
        processes.add(process);
        noteProcessEvent("process " + (processes.size() - 1) + " started");
        process.start();
        assertTrue(
                awaitUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS), () -> serves(process)),
                () -> "it did not report in time that it serves: " + process.log());
        noteProcessEvent("process " + (processes.size() - 1) + " serves");
        return process;
    }

    private static boolean serves(SenderProcess process) {
        try {
            return SenderProcessFixture
                    .sendRequest(process.operatorsAddress(), "GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n")
                    .line().contains(" 200 ");
        } catch (IOException e) {
            return false;
        }
    }

    private void noteProcessEvent(String event) {
        processEvents.add(Instant.now() + " " + event);
    }

    private static boolean awaitUntil(long endNanos, BooleanSupplier condition) throws InterruptedException {
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() >= endNanos) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(2);
        }
        return true;
    }

    // ---- endpoints ----

    private void addEndpoint(String name, FaultyDestination destination, int number, Random random) throws IOException {
        Endpoint endpoint = new Endpoint(name, destination, number, random);
        StubServer stub = new StubServer(endpoint::answerCall);
        endpoints.add(stub);
        agent.list(name, stub.hostPort(), destination.number(), DiscoveryAgent.SERVING);
    }

    /** One endpoint of a destination. */
    private final class Endpoint {
        private final String name;
        private final FaultyDestination destination;
        private final int number;
        private final Random random;

        Endpoint(String name, FaultyDestination destination, int number, Random random) {
            this.name = name;
            this.destination = destination;
            this.number = number;
            this.random = random;
        }

        private synchronized int draw(int bound) {
            return random.nextInt(bound);
        }

        void answerCall(StubServer.Message call, Socket socket) throws Exception {
            List<String> ids = SenderProcessFixture.ids(call);
            FaultyDestination.Mode mode = destination.mode(number, healthyPercent);
            addEvent(ids, mode + " " + name);
            switch (mode) {
                case ACCEPTS -> accept(call, ids, socket, draw(20));
                case SLOW -> accept(call, ids, socket, 200 + draw(800));
                case REFUSES -> answer(socket, ids, REFUSAL_DELAY_MS, "503 x\r\n");
                case THROTTLES -> answer(socket, ids, 0, "429 x\r\nRetry-After: 0." + (1 + draw(5)) + "\r\n");
                case FAILS -> answer(socket, ids, draw(50), "500 x\r\n");
                case RESETS -> {
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
                default -> {
                    // HANGS: no answer.
                }
            }
        }

        private void accept(StubServer.Message call, List<String> ids, Socket socket, long delayMs) throws Exception {
            TimeUnit.MILLISECONDS.sleep(delayMs);
            SenderProcessFixture.accept(call, socket);
            long nowNanos = System.nanoTime();
            ids.forEach(id -> history(id).ifPresent(history -> history.ended(nowNanos, "delivered by " + name)));
        }

        private void answer(Socket socket, List<String> ids, long delayMs, String statusAndHeaders) throws Exception {
            TimeUnit.MILLISECONDS.sleep(delayMs);
            StubServer.write(socket, "HTTP/1.1 " + statusAndHeaders + "Content-Length: 0\r\n\r\n");
            addEvent(ids, "answered " + statusAndHeaders.substring(0, 3));
        }
    }

    private Optional<DeadlineHistory> history(String id) {
        return Optional.ofNullable(histories.get(id));
    }

    private void addEvent(List<String> ids, String event) {
        long nowNanos = System.nanoTime();
        ids.forEach(id -> history(id).ifPresent(history -> history.addEvent(nowNanos, event)));
    }

    private void noticesAcknowledged(List<String> lines) {
        long nowNanos = System.nanoTime();
        for (String line : lines) {
            String result = line.replaceAll(".*\"result\":\"(\\w+)\".*", "$1");
            history(line.replaceAll(".*\"ref\":\"([^\"]+)\".*", "$1"))
                    .ifPresent(history -> history.ended(nowNanos, "notice " + result));
        }
    }

    // ---- clients ----

    /** A client that uses its connection until the sender closes it. */
    private final class Client {
        private final String prefix;
        private final Random random;
        private final int pauseMs;
        private Socket connection;
        private BufferedInputStream input;

        Client(String prefix, Random random, int pauseMs) {
            this.prefix = prefix;
            this.random = random;
            this.pauseMs = pauseMs;
        }

        void submitUntil(long endNanos) {
            for (int i = 0; System.nanoTime() < endNanos; i++) {
                try {
                    connect();
                    submit(prefix + i);
                    TimeUnit.MILLISECONDS.sleep(random.nextInt(2 * pauseMs));
                } catch (IOException e) {
                    // The process has ended, or did not answer within the client's time-out.
                    disconnect();
                    if (!pause()) {
                        return;
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
            disconnect();
        }

        private void connect() throws IOException {
            if (connection == null) {
                connection = new Socket();
                connection.setSoTimeout(CLIENT_TIMEOUT_MS);
                connection.setTcpNoDelay(true);
                connection.connect(listenAddress, CLIENT_TIMEOUT_MS);
                input = new BufferedInputStream(connection.getInputStream());
            }
        }

        private void submit(String number) throws IOException {
            MessageClass messageClass = classes.get(random.nextInt(classes.size()));
            String id = messageClass.name() + "-" + number;
            int destination = 1 + random.nextInt(destinations);
            int budget = messageClass.deadlineMs() - random.nextInt(messageClass.deadlineMs() / 4);
            DeadlineHistory history = new DeadlineHistory(id, System.nanoTime(), budget);
            histories.put(id, history);
            StubServer.write(connection,
                    TestConfig.message(id, messageClass.name(), "x".repeat(1 + random.nextInt(400)))
                    .replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + budget)
                    .replace("dest=" + TestConfig.DESTINATION, "dest=" + destination));
            StubServer.Message answer = StubServer.read(input, 0);
            if (answer == null) {
                throw new IOException("closed without an answer");
            }
            if (answer.line().contains(" 202 ")) {
                history.accepted(System.nanoTime());
            }
            if ("close".equalsIgnoreCase(answer.header("Connection"))) {
                disconnect();
            }
        }

        private void disconnect() {
            try {
                if (connection != null) {
                    connection.close();
                }
            } catch (IOException e) {
                // The connection is unusable either way.
            }
            connection = null;
        }

        private static boolean pause() {
            try {
                TimeUnit.MILLISECONDS.sleep(RECONNECT_DELAY_MS);
                return true;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
    }

    private List<Thread> startClients(Random random, long endNanos, boolean manyClients) {
        int count = manyClients ? 30 : 5 + random.nextInt(6);
        int pauseMs = manyClients ? 300 : 20 + random.nextInt(100);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Client client = new Client("c" + i + "-", new Random(random.nextLong()), pauseMs);
            Thread thread = new Thread(() -> client.submitUntil(endNanos));
            thread.start();
            clients.add(thread);
        }
        return clients;
    }

    private void startBusyProcesses(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            busyProcesses.add(new ProcessBuilder("sh", "-c",
                    "ulimit -t " + BUSY_PROCESS_CPU_S + "; while :; do :; done").start());
        }
    }

    // ---- upgrades and restarts ----

    private SenderProcess upgrade(SenderProcess predecessor) throws Exception {
        int number = processes.size() - 1;
        SenderProcess successor = newProcess();
        assertTrue(predecessor.isAlive(), () -> "the predecessor exited by itself: " + predecessor.log());
        terminate(predecessor, number);
        return successor;
    }

    /** Sends SIGTERM, and SIGKILL if the process still runs when its shutdown time is up. */
    private void terminate(SenderProcess process, int number) throws Exception {
        noteProcessEvent("SIGTERM to process " + number);
        process.signal("TERM");
        long killNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TERM_TO_KILL_MS);
        if (!awaitUntil(killNanos, () -> !process.isAlive())) {
            noteProcessEvent("SIGKILL to process " + number);
            process.kill();
        }
        noteProcessEvent("process " + number + " ended");
    }

    private SenderProcess restart(SenderProcess previous, boolean graceful) throws Exception {
        long fromNanos = System.nanoTime();
        if (graceful) {
            terminate(previous, processes.size() - 1);
        } else {
            noteProcessEvent("SIGKILL to process " + (processes.size() - 1));
            previous.kill();
        }
        TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MS);
        SenderProcess restarted = newProcess();
        restarts.add(new DeadlineHistory.Restart(fromNanos,
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_GRACE_MS)));
        return restarted;
    }

    private SenderProcess replaceProcess(SenderProcess previous, Random random) throws Exception {
        return random.nextInt(5) > 0 ? upgrade(previous) : restart(previous, random.nextBoolean());
    }

    // ---- checks ----

    private Optional<String> violation(DeadlineHistory history) {
        return history.violation(restarts, stalls::nanosWithin).map(violation -> violation + ": " + history);
    }

    private boolean allEndedOrOverdue() {
        long nowNanos = System.nanoTime();
        return histories.values().stream().allMatch(history -> !history.isAccepted() || history.isEnded()
                || nowNanos - history.overdueNanos(restarts) > TimeUnit.SECONDS.toNanos(1));
    }

    /** The log lines of all processes that report an internal fault. */
    private String loggedFaults() {
        StringBuilder loggedFaults = new StringBuilder();
        for (int i = 0; i < processes.size(); i++) {
            int number = i;
            processes.get(i).log().lines().filter(UpgradeSoakTest::isFault)
                    .forEach(line -> loggedFaults.append("process ").append(number).append(": ").append(line)
                            .append('\n'));
        }
        return loggedFaults.toString();
    }

    private static boolean isFault(String line) {
        return line.contains(" event=fault ") || line.contains(" event=takeover-not-in-module ")
                || line.contains("can't be understood")
                || line.contains("does not know") || line.contains("Exception");
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void everyAcceptedMessageEndsInTimeAcrossUpgrades(long seed) throws Exception {
        Random random = new Random(seed);
        deploy(seed, random);
        boolean manyClients = random.nextInt(5) == 0;
        startBusyProcesses(manyClients ? 2 : 0);
        SenderProcess current = newProcess();
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DURATION_MS);
        List<Thread> clients = startClients(random, endNanos, manyClients);
        while (System.nanoTime() < endNanos) {
            TimeUnit.MILLISECONDS.sleep(500 + random.nextInt(3000));
            current = replaceProcess(current, random);
        }
        for (Thread client : clients) {
            client.join();
        }
        faultsEnded = true;
        long lastOverdueNanos = histories.values().stream().mapToLong(history -> history.overdueNanos(restarts)).max()
                .orElseThrow();
        awaitUntil(lastOverdueNanos + TimeUnit.SECONDS.toNanos(2), this::allEndedOrOverdue);
        long accepted = histories.values().stream().filter(DeadlineHistory::isAccepted).count();
        assertTrue(accepted > 20, "too few messages were accepted for a meaningful run: " + accepted);
        String violations = histories.values().stream().map(this::violation).flatMap(Optional::stream).sorted()
                .collect(Collectors.joining("\n"));
        String description = "seed " + seed + ", " + accepted + " messages accepted; process events:\n"
                + String.join("\n", processEvents) + "\n";
        assertEquals("", violations + loggedFaults(), description);
    }
}
