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
 * Upgrades in series under load, on real processes, with a plain restart between some of them: a second process of the
 * sender is started beside the first, which gets SIGTERM once the second says that it serves, and SIGKILL if it is
 * still there after the time that it has. Endpoints refuse, fail, hang or are slow meanwhile. Every message that was
 * taken on is judged by {@link DeadlineRecord}.
 *
 * <p>{@code -Dupgrade.first=1 -Dupgrade.seeds=50 -Dupgrade.seconds=30 -Dupgrade.logs=FOLDER} plays more and keeps the
 * processes' logs; the default is short.
 */
class UpgradeSoakTest {
    private static final long FIRST_SEED = Long.getLong("upgrade.first", 1);
    private static final long SEEDS = Long.getLong("upgrade.seeds", 3);
    private static final long PLAY_MS = TimeUnit.SECONDS.toMillis(Long.getLong("upgrade.seconds", 12));
    private static final Optional<Path> LOGS = Optional.ofNullable(System.getProperty("upgrade.logs")).map(Path::of);

    private static final int CLIENT_PATIENCE_MS = 400;
    private static final int RECONNECT_MS = 12;
    /** SIGKILL comes no sooner after SIGTERM. */
    private static final long TERM_TO_KILL_MS = 3700;
    private static final long RESTART_MS = 600;
    /** No notice is overdue until so long after a restarted sender is ready. */
    private static final long READY_GRACE_MS = 1500;
    private static final long READY_MS = 20_000;
    private static final long REFUSAL_MS = 200;
    /** The system ends a busy process after so much processor time, whatever becomes of this one. */
    private static final long BUSY_PROCESS_S = 60;

    /** Names are in the ids, so that a record tells the class. */
    private record MessageClass(String name, int aimMs, int deadlineMs, String repeat) {
        String json() {
            return "{\"name\":\"%s\",\"aim_ms\":%d,\"give_up_ms\":%d,\"repeat\":\"%s\",\"window_ms\":%d}"
                    .formatted(name, aimMs, deadlineMs, repeat, deadlineMs);
        }
    }

    @TempDir
    Path temporary;
    private Path folder;
    private final Map<String, DeadlineRecord> records = new ConcurrentHashMap<>();
    private final List<DeadlineRecord.Restart> restarts = new CopyOnWriteArrayList<>();
    private final List<SenderProcess> processes = new ArrayList<>();
    private final List<Process> busyProcesses = new ArrayList<>();
    private final List<StubServer> endpoints = new ArrayList<>();
    private final List<String> signals = new ArrayList<>();
    private final StallMeter stalls = new StallMeter();
    private DiscoveryAgent agent;
    private List<MessageClass> classes;
    private int destinations;
    /** So often all endpoints of a destination accept for a while. */
    private int healthyPercent;
    private Path config;
    private InetSocketAddress listen;
    private volatile boolean faultsOver;

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    @AfterEach
    void close() throws Exception {
        for (SenderProcess process : processes) {
            process.close();
        }
        for (Process busy : busyProcesses) {
            busy.destroyForcibly();
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
        agent.whenNoticed(this::noticed);
        classes = List.of(drawClass("safe", random), drawClass("keyed", random), drawClass("unsafe", random),
                new MessageClass("hasty", 100, 2000 + random.nextInt(2000), "safe"));
        destinations = 2 + random.nextInt(4);
        healthyPercent = 20 + random.nextInt(60);
        for (int destination = 1; destination <= destinations; destination++) {
            int count = 1 + random.nextInt(3);
            FaultyDestination here = new FaultyDestination(destination, count, new Random(random.nextLong()), () -> faultsOver);
            for (int i = 0; i < count; i++) {
                addEndpoint("s-" + destination + "-" + i, here, i, new Random(random.nextLong()));
            }
        }
        listen = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
        config = new TestConfig(agent.hostPort())
                .classes(classes.stream().map(MessageClass::json).collect(Collectors.joining(",")))
                .workers(random.nextBoolean() ? 3 + random.nextInt(5) : 20 + random.nextInt(20))
                .batch(random.nextBoolean() ? 1 : 2 + random.nextInt(10))
                .secondCopies(random.nextInt(3) > 0)
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

    /** The next process of the sender; what it logs lies in a folder of its own. */
    private SenderProcess newProcess() throws Exception {
        SenderProcess process = new SenderProcess(folder.resolve("process-" + processes.size()), config)
                .withEnvironment("GW_STATE", folder.resolve("state").toString())
                .withEnvironment("TMPDIR", folder.toString())
                .withEnvironment("GW_NAME", "n0")
                .withEnvironment("GW_LISTEN", "127.0.0.1:" + listen.getPort())
                .withEnvironment("GW_OPS", "127.0.0.1:0");
        processes.add(process);
        signal("process " + (processes.size() - 1) + " started");
        process.start();
        assertTrue(awaitUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS), () -> serves(process)),
                () -> "it never said that it serves: " + process.log());
        signal("process " + (processes.size() - 1) + " serves");
        return process;
    }

    private static boolean serves(SenderProcess process) {
        try {
            return SenderProcessFixture.sendRequest(process.operatorsAddress(), "GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n")
                    .line().contains(" 200 ");
        } catch (IOException e) {
            return false;
        }
    }

    private void signal(String what) {
        signals.add(Instant.now() + " " + what);
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
        StubServer stub = new StubServer(endpoint::onRequest);
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

        void onRequest(StubServer.Message call, Socket socket) throws Exception {
            List<String> ids = SenderProcessFixture.ids(call);
            FaultyDestination.Mode now = destination.mode(number, healthyPercent);
            seen(ids, now + " " + name);
            switch (now) {
                case ACCEPTS -> accept(call, ids, socket, draw(20));
                case SLOW -> accept(call, ids, socket, 200 + draw(800));
                case REFUSES -> answer(socket, ids, REFUSAL_MS, "503 x\r\n");
                case THROTTLES -> answer(socket, ids, 0, "429 x\r\nRetry-After: 0." + (1 + draw(5)) + "\r\n");
                case FAILS -> answer(socket, ids, draw(50), "500 x\r\n");
                case RESETS -> {
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
                default -> {
                    // It hangs.
                }
            }
        }

        private void accept(StubServer.Message call, List<String> ids, Socket socket, long delayMs) throws Exception {
            TimeUnit.MILLISECONDS.sleep(delayMs);
            SenderProcessFixture.accept(call, socket);
            long now = System.nanoTime();
            ids.forEach(id -> record(id).ifPresent(record -> record.ended(now, "delivered by " + name)));
        }

        private void answer(Socket socket, List<String> ids, long delayMs, String statusAndHeaders) throws Exception {
            TimeUnit.MILLISECONDS.sleep(delayMs);
            StubServer.write(socket, "HTTP/1.1 " + statusAndHeaders + "Content-Length: 0\r\n\r\n");
            seen(ids, "answered " + statusAndHeaders.substring(0, 3));
        }
    }

    private Optional<DeadlineRecord> record(String id) {
        return Optional.ofNullable(records.get(id));
    }

    private void seen(List<String> ids, String what) {
        long now = System.nanoTime();
        ids.forEach(id -> record(id).ifPresent(record -> record.seen(now, what)));
    }

    private void noticed(List<String> lines) {
        long now = System.nanoTime();
        for (String line : lines) {
            String result = line.replaceAll(".*\"result\":\"(\\w+)\".*", "$1");
            record(line.replaceAll(".*\"ref\":\"([^\"]+)\".*", "$1"))
                    .ifPresent(record -> record.ended(now, "notice " + result));
        }
    }

    // ---- clients ----

    /** A client that keeps its connection, and goes on using it until the process ends it. */
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

        void handInUntil(long endNanos) {
            for (int i = 0; System.nanoTime() < endNanos; i++) {
                try {
                    connect();
                    handIn(prefix + i);
                    TimeUnit.MILLISECONDS.sleep(random.nextInt(2 * pauseMs));
                } catch (IOException gone) {
                    // The process is gone, or too slow for a client's patience.
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
                connection.setSoTimeout(CLIENT_PATIENCE_MS);
                connection.setTcpNoDelay(true);
                connection.connect(listen, CLIENT_PATIENCE_MS);
                input = new BufferedInputStream(connection.getInputStream());
            }
        }

        private void handIn(String number) throws IOException {
            MessageClass messageClass = classes.get(random.nextInt(classes.size()));
            String id = messageClass.name() + "-" + number;
            int destination = 1 + random.nextInt(destinations);
            int budget = messageClass.deadlineMs() - random.nextInt(messageClass.deadlineMs() / 4);
            DeadlineRecord record = new DeadlineRecord(id, System.nanoTime(), budget);
            records.put(id, record);
            StubServer.write(connection,
                    TestConfig.message(id, messageClass.name(), "x".repeat(1 + random.nextInt(400)))
                    .replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + budget)
                    .replace("dest=" + TestConfig.DESTINATION, "dest=" + destination));
            StubServer.Message answer = StubServer.read(input, 0);
            if (answer == null) {
                throw new IOException("closed with no answer");
            }
            if (answer.line().contains(" 202 ")) {
                record.taken(System.nanoTime());
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
                // It is gone either way.
            }
            connection = null;
        }

        private static boolean pause() {
            try {
                TimeUnit.MILLISECONDS.sleep(RECONNECT_MS);
                return true;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
    }

    private List<Thread> startClients(Random random, long endNanos, boolean crowd) {
        int count = crowd ? 30 : 5 + random.nextInt(6);
        int pauseMs = crowd ? 300 : 20 + random.nextInt(100);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Client client = new Client("c" + i + "-", new Random(random.nextLong()), pauseMs);
            Thread thread = new Thread(() -> client.handInUntil(endNanos));
            thread.start();
            clients.add(thread);
        }
        return clients;
    }

    private void startBusyProcesses(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            busyProcesses.add(new ProcessBuilder("sh", "-c",
                    "ulimit -t " + BUSY_PROCESS_S + "; while :; do :; done").start());
        }
    }

    // ---- upgrades and restarts ----

    private SenderProcess upgrade(SenderProcess old) throws Exception {
        int number = processes.size() - 1;
        SenderProcess fresh = newProcess();
        assertTrue(old.isAlive(), () -> "the old process ended by itself: " + old.log());
        terminate(old, number);
        return fresh;
    }

    /** SIGTERM, and SIGKILL to what is still there when its time is up. */
    private void terminate(SenderProcess process, int number) throws Exception {
        signal("SIGTERM to process " + number);
        process.signal("TERM");
        long killAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TERM_TO_KILL_MS);
        if (!awaitUntil(killAt, () -> !process.isAlive())) {
            signal("SIGKILL to process " + number);
            process.kill();
        }
        signal("process " + number + " ended");
    }

    private SenderProcess restart(SenderProcess old, boolean inOrder) throws Exception {
        long from = System.nanoTime();
        if (inOrder) {
            terminate(old, processes.size() - 1);
        } else {
            signal("SIGKILL to process " + (processes.size() - 1));
            old.kill();
        }
        TimeUnit.MILLISECONDS.sleep(RESTART_MS);
        SenderProcess fresh = newProcess();
        restarts.add(new DeadlineRecord.Restart(from,
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_GRACE_MS)));
        return fresh;
    }

    private SenderProcess next(SenderProcess old, Random random) throws Exception {
        return random.nextInt(5) > 0 ? upgrade(old) : restart(old, random.nextBoolean());
    }

    // ---- the judge ----

    private Optional<String> violation(DeadlineRecord record) {
        return record.violation(restarts, stalls::nanosWithin).map(how -> how + ": " + record);
    }

    private boolean allJudged() {
        long now = System.nanoTime();
        return records.values().stream().allMatch(record -> !record.isTaken() || record.isEnded()
                || now - record.overdueNanos(restarts) > TimeUnit.SECONDS.toNanos(1));
    }

    /** What a process logs only when something went wrong in itself. */
    private String faults() {
        StringBuilder found = new StringBuilder();
        for (int i = 0; i < processes.size(); i++) {
            int number = i;
            processes.get(i).log().lines().filter(UpgradeSoakTest::tellsFault)
                    .forEach(line -> found.append("process ").append(number).append(": ").append(line).append('\n'));
        }
        return found.toString();
    }

    private static boolean tellsFault(String line) {
        return line.contains(" event=fault ") || line.contains(" event=takeover-not-in-module ") || line.contains("can't be understood")
                || line.contains("does not know") || line.contains("Exception");
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void everyTakenMessageEndsInItsTimeOverUpgrades(long seed) throws Exception {
        Random random = new Random(seed);
        deploy(seed, random);
        boolean crowd = random.nextInt(5) == 0;
        startBusyProcesses(crowd ? 2 : 0);
        SenderProcess current = newProcess();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PLAY_MS);
        List<Thread> clients = startClients(random, end, crowd);
        while (System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(500 + random.nextInt(3000));
            current = next(current, random);
        }
        for (Thread client : clients) {
            client.join();
        }
        faultsOver = true;
        long lastDue = records.values().stream().mapToLong(record -> record.overdueNanos(restarts)).max().orElseThrow();
        awaitUntil(lastDue + TimeUnit.SECONDS.toNanos(2), this::allJudged);
        long taken = records.values().stream().filter(DeadlineRecord::isTaken).count();
        assertTrue(taken > 20, "the soak takes too few messages to mean anything: " + taken);
        String broken = records.values().stream().map(this::violation).flatMap(Optional::stream).sorted()
                .collect(Collectors.joining("\n"));
        String signalled = "seed " + seed + ", " + taken + " messages taken on; signals:\n"
                + String.join("\n", signals) + "\n";
        assertEquals("", broken + faults(), signalled);
    }
}
