package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;
import starlingvalve.net.SystemFaults.Call;
import starlingvalve.net.SystemFaults.Errno;

/** One sender of a soak: its successive processes, its discovery agent, its clients and the faults of its machine. */
final class SoakNode implements AutoCloseable {
    /** A fault or an operation that a sender is subjected to, apart from faults of its endpoints. */
    enum Fault {
        KILL, RESTART, UPGRADE, RELOAD, SUSPEND, ACCEPT, SOCKET, CONNECT, INTERRUPTIONS, SHORT_TRANSFERS, BROKEN_READS,
        NO_BUFFERS,
        DISK_FULL, DISK_FAILS, DISK_TEARS, NO_FILES, CLOCK, AGENT_SILENT, NONE
    }

    private static final List<Fault> PROCESS_FAULTS = List.of(Fault.KILL, Fault.RESTART, Fault.UPGRADE, Fault.RELOAD,
            Fault.SUSPEND, Fault.NONE);
    private static final List<Fault> MACHINE_FAULTS = List.of(Fault.ACCEPT, Fault.SOCKET, Fault.CONNECT,
            Fault.INTERRUPTIONS, Fault.SHORT_TRANSFERS, Fault.BROKEN_READS, Fault.NO_BUFFERS, Fault.DISK_FULL,
            Fault.DISK_FAILS, Fault.DISK_TEARS, Fault.NO_FILES, Fault.CLOCK);
    /**
     * Faults during which the sender can't read or write ends of messages. A kill meanwhile would lose these ends,
     * which no program can prevent.
     */
    private static final Set<Fault> END_LOSING_FAULTS = EnumSet.of(Fault.DISK_FULL, Fault.DISK_FAILS, Fault.DISK_TEARS,
            Fault.NO_FILES, Fault.NO_BUFFERS);
    private static final String CLASSES = """
            {"name":"hasty","aim_ms":100,"give_up_ms":2500,"repeat":"safe"},
            {"name":"safe","aim_ms":1000,"give_up_ms":4000,"repeat":"safe"},
            {"name":"keyed","aim_ms":1500,"give_up_ms":6000,"repeat":"keyed","window_ms":5000,"sequential":true},
            {"name":"unsafe","aim_ms":1500,"give_up_ms":8000,"repeat":"unsafe","sequential":true}""";
    private static final List<String> CLASS_NAMES = List.of("hasty", "safe", "keyed", "unsafe");
    /** Classes whose messages are sent in order for each ordering key. */
    private static final Set<String> SEQUENTIAL_CLASSES = Set.of("keyed", "unsafe");
    private static final int KEYS_PER_CLIENT = 2;
    private static final List<Integer> BUDGETS_MS = List.of(2500, 4000, 6000, 8000);

    private static final int CLIENT_TIMEOUT_MS = 400;
    /** An answer that is written less than this before the sender stops reading may arrive too late. */
    private static final long CROSSING_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int RECONNECT_DELAY_MS = 12;
    /** A kill of the process is counted within this time. */
    private static final long KILL_COUNTED_AFTER_MS = 200;
    /** A change of the list that precedes an outage of the agent by less than this may not have reached the sender. */
    private static final long LIST_SETTLES_MS = 150;
    /** Least time between SIGTERM and SIGKILL. */
    private static final long TERM_TO_KILL_MS = 3700;
    private static final long RESTART_DELAY_MS = 600;
    /** No notice is overdue until this time has passed after a restarted sender is ready. */
    private static final long READY_GRACE_MS = 1500;
    private static final long READY_TIMEOUT_MS = 30_000;
    private static final long OLD_ADDRESS_CLOSES_AFTER_MS = 1500;
    private static final int MAX_SUSPENSION_MS = 150;
    private static final int MAX_EXTRA_FAULT_MS = 700;
    private static final int MAX_OUTAGE_MS = 3000;
    /** When this time has passed after a fault, the sender has read and written the ends that the fault held back. */
    private static final long ENDS_SETTLE_MS = 500;

    private final int number;
    private final Path folder;
    private final Random random;
    private final Map<String, SoakMessage> messages;
    private final BooleanSupplier stopped;
    private final DiscoveryAgent agent = new DiscoveryAgent();
    private final DrainChecker drainChecker = new DrainChecker();
    private final KeyOrderChecker keyOrderChecker = new KeyOrderChecker();
    private final InetSocketAddress listenAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
    private final List<DeadlineHistory.Restart> restarts = new CopyOnWriteArrayList<>();
    private final List<SenderProcess> processes = new CopyOnWriteArrayList<>();
    private SystemFaults systemFaults;
    private final List<String> failures = new CopyOnWriteArrayList<>();
    private final Map<Fault, Integer> faultCounts = new EnumMap<>(Fault.class);
    /** Held during {@link #END_LOSING_FAULTS}, and during kills, so that no kill loses ends. */
    private final ReentrantLock killLock = new ReentrantLock();
    private final boolean busy;
    private long listChangedNanos = System.nanoTime();
    private String initialList;
    private volatile SenderProcess current;
    /** Whether a process of this sender is ready, and can ask the agent. */
    private volatile boolean serving;
    /**
     * Number of processes that have ended. It identifies the run of the process that sent a call or got a submission,
     * since an answer to a call of a killed process is read by nobody.
     */
    private volatile int processRun;
    /** The time until which answers count as read by a process that shuts down. */
    private volatile long lastReadNanos = Long.MAX_VALUE;

    SoakNode(int number, Path folder, Random random, Map<String, SoakMessage> messages, BooleanSupplier stopped)
            throws IOException {
        this.number = number;
        this.folder = folder;
        this.random = random;
        this.messages = messages;
        this.stopped = stopped;
        this.busy = number == 0 || random.nextBoolean();
        agent.beforeNoticesAnswered(
                lines -> lines.forEach(line -> keyOrderChecker.ended(idOf(line), System.nanoTime())));
        agent.afterNoticesAnswered(this::noticesAcknowledged);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    int number() {
        return number;
    }

    DiscoveryAgent agent() {
        return agent;
    }

    DrainChecker drainChecker() {
        return drainChecker;
    }

    KeyOrderChecker keyOrderChecker() {
        return keyOrderChecker;
    }

    int processRun() {
        return processRun;
    }

    /** Whether an answer that is written now is read: a process that shuts down stops reading at its shutdown limit. */
    boolean stillReadsAnswers() {
        return System.nanoTime() < lastReadNanos;
    }

    int processes() {
        return processes.size();
    }

    List<DeadlineHistory.Restart> restarts() {
        return restarts;
    }

    Map<Fault, Integer> faultCounts() {
        return faultCounts;
    }

    /** Whether a message was submitted to this sender. */
    boolean owns(String id) {
        return id.split("-")[1].equals(Integer.toString(number));
    }

    /** Number of system calls that have failed in these senders, by kind. */
    static Map<Call, Long> failedCalls(List<SoakNode> nodes) throws IOException {
        Map<Call, Long> failed = new EnumMap<>(Call.class);
        for (SoakNode node : nodes) {
            for (Call call : Call.values()) {
                failed.merge(call, node.systemFaults.injectedFaults(call), Long::sum);
            }
        }
        return failed;
    }

    private void note(String event) {
        drainChecker.note(System.nanoTime(), event);
    }

    private void noticesAcknowledged(List<String> lines) {
        for (String line : lines) {
            SoakMessage message = messages.get(idOf(line));
            if (message != null) {
                message.noticeAcknowledged(line.replaceAll(".*\"result\":\"(\\w+)\".*", "$1"));
            }
        }
    }

    private static String idOf(String notice) {
        return notice.replaceAll(".*\"ref\":\"([^\"]+)\".*", "$1");
    }

    // ---- processes ----

    private Path configure() throws IOException {
        return new TestConfig(agent.hostPort()).classes(CLASSES).workers(busy ? 8 : 2).batch(1 + random.nextInt(5))
                .hedging(true).known(initialList).write(folder);
    }

    void start() throws Exception {
        initialList = agent.list();
        Files.createDirectories(folder.resolve("state"));
        systemFaults = new SystemFaults(folder);
        current = newProcess();
    }

    private SenderProcess newProcess() throws Exception {
        Path processFolder = Files.createDirectories(folder.resolve("process-" + processes.size()));
        SenderProcess process = new SenderProcess(processFolder, configure())
                .withEnvironment("GW_STATE", folder.resolve("state").toString())
                .withEnvironment("TMPDIR", folder.toString())
                .withEnvironment("GW_NAME", "n" + number)
                .withEnvironment("GW_LISTEN", "127.0.0.1:" + listenAddress.getPort())
                .withEnvironment("GW_OPS", "127.0.0.1:0");
        systemFaults.preload(process);
        processes.add(process);
        note("process " + (processes.size() - 1) + " starts");
        long beginNanos = System.nanoTime();
        process.start();
        awaitServing(process, beginNanos);
        note("process " + (processes.size() - 1) + " serves");
        serving = true;
        return process;
    }

    private void awaitServing(SenderProcess process, long beginNanos) throws InterruptedException {
        while (!serves(process)) {
            assertTrue(process.isAlive(), () -> "the process exited by itself: " + process.log());
            assertTrue(System.nanoTime() - beginNanos < TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS),
                    () -> "the process is not ready in time: " + process.log());
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private static boolean serves(SenderProcess process) {
        try {
            return SenderProcessFixture
                    .sendRequest(process.operatorsAddress(), "GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n")
                    .line().contains(" 200 ");
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    /** Sends SIGKILL, once no fault keeps the sender from reading ends and writing them to the disk. */
    private void kill(SenderProcess process) throws InterruptedException {
        serving = process != current;
        killLock.lock();
        try {
            process.kill();
        } finally {
            killLock.unlock();
        }
        processRun++;
        long nowNanos = System.nanoTime();
        messages.forEach((id, message) -> {
            if (owns(id)) {
                message.killed(nowNanos);
            }
        });
        note("SIGKILL");
    }

    /** Sends SIGTERM, and SIGKILL if the process still runs when its shutdown time is up. */
    private void terminate(SenderProcess process) throws Exception {
        serving = process != current;
        note("SIGTERM");
        lastReadNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Sender.SHUTDOWN_LIMIT_MS)
                - CROSSING_MARGIN_NANOS;
        process.signal("TERM");
        long killNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TERM_TO_KILL_MS);
        while (process.isAlive() && System.nanoTime() < killNanos) {
            TimeUnit.MILLISECONDS.sleep(2);
        }
        if (process.isAlive()) {
            kill(process);
        } else {
            processRun++;
        }
        lastReadNanos = Long.MAX_VALUE;
    }

    private void restart(boolean graceful) throws Exception {
        long fromNanos = System.nanoTime();
        if (graceful) {
            terminate(current);
        } else {
            kill(current);
        }
        TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MS);
        current = newProcess();
        restarts.add(new DeadlineHistory.Restart(fromNanos,
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_GRACE_MS)));
    }

    private void upgrade() throws Exception {
        SenderProcess predecessor = current;
        current = newProcess();
        terminate(predecessor);
    }

    private void reload() throws Exception {
        // No SIGHUP is sent within the first second of a process.
        TimeUnit.SECONDS.sleep(1);
        DiscoveryAgent.Address oldAddress = agent.move();
        configure();
        drainChecker.moved(System.nanoTime());
        note("SIGHUP");
        current.signal("HUP");
        oldAddress.closeAfter(OLD_ADDRESS_CLOSES_AFTER_MS);
    }

    private void suspend() throws Exception {
        current.signal("STOP");
        TimeUnit.MILLISECONDS.sleep(draw(MAX_SUSPENSION_MS));
        current.signal("CONT");
    }

    // ---- faults ----

    private synchronized int draw(int bound) {
        return random.nextInt(bound);
    }

    private <T> T drawAny(List<T> choices) {
        return choices.get(draw(choices.size()));
    }

    private synchronized void recordFault(Fault fault) {
        faultCounts.merge(fault, 1, Integer::sum);
        note(fault.toString());
    }

    private void runProcessFaults() {
        try {
            while (!stopped.getAsBoolean()) {
                TimeUnit.MILLISECONDS.sleep(300 + draw(2500));
                Fault fault = drawAny(PROCESS_FAULTS);
                recordFault(fault);
                switch (fault) {
                    case KILL -> restart(false);
                    case RESTART -> restart(true);
                    case UPGRADE -> upgrade();
                    case RELOAD -> reload();
                    case SUSPEND -> suspend();
                    default -> TimeUnit.MILLISECONDS.sleep(draw(1000));
                }
            }
        } catch (Exception | AssertionError e) {
            failures.add("n" + number + ": " + e);
        }
    }

    private void runMachineFaults() {
        try {
            while (!stopped.getAsBoolean()) {
                TimeUnit.MILLISECONDS.sleep(draw(1200));
                Fault fault = drawAny(MACHINE_FAULTS);
                recordFault(fault);
                runMachineFault(fault);
            }
        } catch (Exception | AssertionError e) {
            failures.add("n" + number + ": " + e);
        }
    }

    private void runMachineFault(Fault fault) throws Exception {
        boolean losesEnds = END_LOSING_FAULTS.contains(fault);
        if (losesEnds) {
            killLock.lock();
        }
        try {
            inject(fault, systemFaults);
            TimeUnit.MILLISECONDS.sleep(50 + draw(MAX_EXTRA_FAULT_MS));
            systemFaults.clearAll();
            if (losesEnds) {
                TimeUnit.MILLISECONDS.sleep(ENDS_SETTLE_MS);
            }
        } finally {
            if (losesEnds) {
                killLock.unlock();
            }
        }
    }

    private void inject(Fault fault, SystemFaults faults) throws IOException {
        switch (fault) {
            case ACCEPT -> faults.fail(Call.ACCEPT, drawAny(List.of(Errno.ECONNABORTED, Errno.ENFILE, Errno.ENOBUFS)));
            case SOCKET -> faults.fail(Call.SOCKET, drawAny(List.of(Errno.ENFILE, Errno.ENOBUFS)));
            case CONNECT -> faults.fail(Call.CONNECT,
                    drawAny(List.of(Errno.EADDRNOTAVAIL, Errno.ENETUNREACH, Errno.ENOBUFS)));
            case INTERRUPTIONS -> {
                faults.failEvery(2 + draw(3), Call.RECEIVE, Errno.EINTR);
                faults.failEvery(2, Call.WAIT, Errno.EINTR);
            }
            case SHORT_TRANSFERS -> faults.limitTransfers(1 + draw(60));
            case BROKEN_READS -> {
                faults.restrictToPort(agent.address().getPort());
                faults.failEvery(3, Call.RECEIVE, drawAny(List.of(Errno.ETIMEDOUT, Errno.EHOSTUNREACH)));
            }
            case NO_BUFFERS -> {
                faults.failEvery(1 + draw(3), Call.SEND, Errno.ENOBUFS);
                // Only some reads fail: the sender learns of no end from an answer that it can't read at all.
                faults.failEvery(2 + draw(3), Call.RECEIVE, Errno.ENOMEM);
            }
            case DISK_FULL -> faults.fillDisk();
            case DISK_FAILS -> faults.fail(Call.WRITE, Errno.EIO);
            case DISK_TEARS -> faults.failWritesAfter(draw(200));
            case NO_FILES -> {
                faults.fail(Call.OPEN, drawAny(List.of(Errno.ENOSPC, Errno.EIO)));
                faults.fail(Call.RENAME, Errno.EIO);
            }
            default -> faults.setClockOffset((draw(2) == 0 ? 1 : -1) * (long) draw(7_200_000));
        }
    }

    /** Lists a server as draining from now on. */
    void withdraw(String server) {
        synchronized (agent) {
            agent.change(server, DiscoveryAgent.DRAINING);
            listChangedNanos = System.nanoTime();
            drainChecker.withdrawn(server, listChangedNanos);
        }
    }

    /** Starts an outage of the agent once the list has not changed for a while, and returns the start time. */
    private long startOutage() throws InterruptedException {
        while (true) {
            synchronized (agent) {
                if (System.nanoTime() - listChangedNanos > TimeUnit.MILLISECONDS.toNanos(LIST_SETTLES_MS)) {
                    return agent.becomeUnreachable();
                }
            }
            TimeUnit.MILLISECONDS.sleep(RECONNECT_DELAY_MS);
        }
    }

    private void runAgentFaults() {
        try {
            while (!stopped.getAsBoolean()) {
                TimeUnit.MILLISECONDS.sleep(2000 + draw(5000));
                // An outage before the first answer of the agent would hide changes that the process had no chance to
                // learn of, so it begins only after that answer.
                while (!stopped.getAsBoolean() && !(serving && current.log().contains("event=list source=DISCOVERY"))) {
                    TimeUnit.MILLISECONDS.sleep(20);
                }
                if (stopped.getAsBoolean()) {
                    return;
                }
                recordFault(Fault.AGENT_SILENT);
                long fromNanos = startOutage();
                TimeUnit.MILLISECONDS.sleep(draw(MAX_OUTAGE_MS));
                drainChecker.outage(fromNanos, agent.becomeReachable());
                note("discovery is reachable again");
            }
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Ends all faults of the machine. */
    void endMachineFaults() throws IOException {
        systemFaults.clearAll();
    }

    // ---- clients ----

    private void submitUntilStopped(int client, boolean keepsConnection, int pauseMs) {
        Random clientRandom = new Random(((long) number << 8) + client);
        Socket connection = null;
        for (int i = 0; !stopped.getAsBoolean(); i++) {
            int messageClass = clientRandom.nextInt(CLASS_NAMES.size());
            String id = CLASS_NAMES.get(messageClass) + "-" + number + "-" + client + "-" + i;
            try {
                boolean newConnection = connection == null;
                if (newConnection) {
                    connection = new Socket();
                    connection.setSoTimeout(CLIENT_TIMEOUT_MS);
                    connection.setTcpNoDelay(true);
                    connection.connect(listenAddress, CLIENT_TIMEOUT_MS);
                }
                boolean staysOpen = submit(id, messageClass, connection, newConnection, clientRandom);
                if (!staysOpen || !keepsConnection) {
                    connection.close();
                    connection = null;
                }
                TimeUnit.MILLISECONDS.sleep(clientRandom.nextInt(2 * pauseMs));
            } catch (IOException e) {
                connection = closeAndPause(connection);
            } catch (InterruptedException e) {
                return;
            }
        }
        closeAndPause(connection);
    }

    private static void pause(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes a connection, pauses before a new one is opened, and returns null as the new value. */
    private static Socket closeAndPause(Socket connection) {
        try {
            if (connection != null) {
                connection.close();
            }
        } catch (IOException e) {
            // The connection is unusable either way.
        }
        pause(RECONNECT_DELAY_MS);
        return null;
    }

    /** Submits a message and returns whether the connection stays open. */
    private boolean submit(String id, int messageClass, Socket connection, boolean newConnection, Random clientRandom)
            throws IOException {
        int budgetMs = BUDGETS_MS.get(messageClass) - clientRandom.nextInt(BUDGETS_MS.get(messageClass) / 4);
        String className = CLASS_NAMES.get(messageClass);
        SoakMessage message = new SoakMessage(id, className.equals("unsafe"), System.nanoTime(), budgetMs);
        messages.put(id, message);
        // A key belongs to one client, which submits a message only after the answer to the previous one.
        String key = className + "-" + id.split("-")[2] + "-" + clientRandom.nextInt(KEYS_PER_CLIENT);
        keyOrderChecker.submitted(key, id);
        int processRunOfSubmission = processRun;
        StubServer.write(connection, TestConfig.message(id, className, "x".repeat(1 + clientRandom.nextInt(400)))
                .replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + budgetMs)
                .replace("POST /" + className, "POST /" + className + "?thread=" + key));
        StubServer.Message answer = StubServer.read(new BufferedInputStream(connection.getInputStream()), 0);
        if (answer == null) {
            // On a reused connection the close may have crossed the request, so only new ones count. A kill is counted
            // only when it is done, hence the pause.
            pause(KILL_COUNTED_AFTER_MS);
            if (newConnection && processRunOfSubmission == processRun && current.isAlive()) {
                message.closedUnanswered();
            }
            return false;
        }
        if (answer.line().contains(" 202 ")) {
            if (SEQUENTIAL_CLASSES.contains(className)) {
                keyOrderChecker.accepted(id);
            }
            message.accepted();
        }
        return !"close".equalsIgnoreCase(answer.header("Connection"));
    }

    /** The threads of the faults and the clients of this sender, not yet started. */
    List<Thread> threads() {
        List<Thread> threads = new ArrayList<>(List.of(new Thread(this::runProcessFaults),
                new Thread(this::runMachineFaults), new Thread(this::runAgentFaults)));
        int clients = busy ? 4 : 1;
        for (int i = 0; i < clients; i++) {
            int client = i;
            boolean keepsConnection = i % 2 == 0;
            int pauseMs = busy ? 25 : 700;
            threads.add(new Thread(() -> submitUntilStopped(client, keepsConnection, pauseMs)));
        }
        return threads;
    }

    /** Problems apart from single messages: processes that exited by themselves, and faults that processes logged. */
    List<String> faults() {
        List<String> faults = new ArrayList<>(failures);
        for (int i = 0; i < processes.size(); i++) {
            String process = "n" + number + " process " + i + ": ";
            processes.get(i).log().lines().filter(SoakNode::isFault).forEach(line -> faults.add(process + line));
        }
        if (!current.isAlive()) {
            faults.add("n" + number + " exited by itself");
        }
        return faults;
    }

    private static boolean isFault(String line) {
        boolean ruleViolated = line.contains(" event=rule-violated ") && !line.contains(" rule=ENDED_LATE ");
        // The network library logs this when it can't read the interfaces, and then uses a random machine id.
        boolean harmless = line.contains("(Socket creation failed)");
        return ruleViolated || !harmless && (line.contains(" event=fault ") || line.contains("Exception")
                || line.contains("does not know"));
    }

    @Override
    public void close() throws Exception {
        for (SenderProcess process : processes) {
            process.close();
        }
        agent.close();
    }
}
