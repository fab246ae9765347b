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

/** One sender of a soak over all its processes, with its agent, its clients and the faults of its machine. */
final class SoakNode implements AutoCloseable {
    /** What happens to a sender, apart from its endpoints. */
    enum Fault {
        KILL, RESTART, UPGRADE, RELOAD, HELD_UP, ACCEPT, SOCKET, CONNECT, INTERRUPTIONS, SHORT_TRANSFERS, BROKEN_READS,
        NO_BUFFERS,
        DISK_FULL, DISK_FAILS, DISK_TEARS, NO_FILES, CLOCK, AGENT_SILENT, NONE
    }

    private static final List<Fault> OF_PROCESS = List.of(Fault.KILL, Fault.RESTART, Fault.UPGRADE, Fault.RELOAD,
            Fault.HELD_UP, Fault.NONE);
    private static final List<Fault> OF_MACHINE = List.of(Fault.ACCEPT, Fault.SOCKET, Fault.CONNECT, Fault.INTERRUPTIONS,
            Fault.SHORT_TRANSFERS, Fault.BROKEN_READS, Fault.NO_BUFFERS, Fault.DISK_FULL, Fault.DISK_FAILS, Fault.DISK_TEARS, Fault.NO_FILES,
            Fault.CLOCK);
    /** A kill meanwhile would forget ends that the sender could not read or write, which no program can help. */
    private static final Set<Fault> HIDE_ENDS = EnumSet.of(Fault.DISK_FULL, Fault.DISK_FAILS, Fault.DISK_TEARS, Fault.NO_FILES,
            Fault.NO_BUFFERS);
    private static final String CLASSES = """
            {"name":"hasty","aim_ms":100,"give_up_ms":2500,"repeat":"safe"},
            {"name":"safe","aim_ms":1000,"give_up_ms":4000,"repeat":"safe"},
            {"name":"keyed","aim_ms":1500,"give_up_ms":6000,"repeat":"keyed","window_ms":5000,"sequential":true},
            {"name":"unsafe","aim_ms":1500,"give_up_ms":8000,"repeat":"unsafe","sequential":true}""";
    private static final List<String> CLASS_NAMES = List.of("hasty", "safe", "keyed", "unsafe");
    /** Classes whose messages go out in the order of their key. */
    private static final Set<String> IN_ORDER = Set.of("keyed", "unsafe");
    private static final int KEYS_OF_A_CLIENT = 2;
    private static final List<Integer> BUDGETS_MS = List.of(2500, 4000, 6000, 8000);

    private static final int CLIENT_PATIENCE_MS = 400;
    /** An answer that comes so shortly before the sender reads no more may cross that. */
    private static final long CROSSING_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int RECONNECT_MS = 12;
    private static final long KILL_SEEN_MS = 200;
    /** What the agent has for less than that before it falls silent can't be known. */
    private static final long LIST_SETTLES_MS = 150;
    /** SIGKILL comes no sooner after SIGTERM. */
    private static final long TERM_TO_KILL_MS = 3700;
    private static final long RESTART_MS = 600;
    /** No notice is overdue until so long after a restarted sender is ready. */
    private static final long READY_GRACE_MS = 1500;
    private static final long READY_MS = 30_000;
    private static final long OLD_ADDRESS_MS = 1500;
    private static final int LONGEST_HOLD_UP_MS = 150;
    private static final int LONGEST_FAULT_MS = 700;
    private static final int LONGEST_SILENCE_MS = 3000;
    /** What could not be read or written is by then. */
    private static final long ENDS_SETTLE_MS = 500;

    private final int number;
    private final Path folder;
    private final Random random;
    private final Map<String, SoakMessage> messages;
    private final BooleanSupplier over;
    private final DiscoveryAgent agent = new DiscoveryAgent();
    private final DrainRecord drains = new DrainRecord();
    private final KeyOrderRecord keyOrder = new KeyOrderRecord();
    private final InetSocketAddress listen = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
    private final List<DeadlineRecord.Restart> restarts = new CopyOnWriteArrayList<>();
    private final List<SenderProcess> processes = new CopyOnWriteArrayList<>();
    private SystemFaults systemFaults;
    private final List<String> failures = new CopyOnWriteArrayList<>();
    private final Map<Fault, Integer> injectedFaults = new EnumMap<>(Fault.class);
    /** Held while ends can't be read or written. */
    private final ReentrantLock kills = new ReentrantLock();
    private final boolean busy;
    private long listChangedNanos = System.nanoTime();
    private String known;
    private volatile SenderProcess current;
    /** A process of this sender is ready, and can ask the agent. */
    private volatile boolean serving;
    /** Counts the processes: what is answered to a killed one was told to nobody. */
    private volatile int life;
    private volatile long closingNanos = Long.MAX_VALUE;

    SoakNode(int number, Path folder, Random random, Map<String, SoakMessage> messages, BooleanSupplier over)
            throws IOException {
        this.number = number;
        this.folder = folder;
        this.random = random;
        this.messages = messages;
        this.over = over;
        this.busy = number == 0 || random.nextBoolean();
        agent.beforeNoticed(lines -> lines.forEach(line -> keyOrder.over(idOf(line), System.nanoTime())));
        agent.whenNoticed(this::noticed);
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

    DrainRecord drains() {
        return drains;
    }

    KeyOrderRecord keyOrder() {
        return keyOrder;
    }

    int life() {
        return life;
    }

    /** Whether a process that may wait for an answer still reads it: at its closing time an ending one does no more. */
    boolean reads() {
        return System.nanoTime() < closingNanos;
    }

    int processes() {
        return processes.size();
    }

    List<DeadlineRecord.Restart> restarts() {
        return restarts;
    }

    Map<Fault, Integer> injectedFaults() {
        return injectedFaults;
    }

    /** Whether a message was handed in here. */
    boolean has(String id) {
        return id.split("-")[1].equals(Integer.toString(number));
    }

    /** How many system calls have failed, by kind. */
    static Map<Call, Long> failedCalls(List<SoakNode> nodes) throws IOException {
        Map<Call, Long> failed = new EnumMap<>(Call.class);
        for (SoakNode node : nodes) {
            for (Call call : Call.values()) {
                failed.merge(call, node.systemFaults.injectedFaults(call), Long::sum);
            }
        }
        return failed;
    }

    private void note(String what) {
        drains.note(System.nanoTime(), what);
    }

    private void noticed(List<String> lines) {
        for (String line : lines) {
            SoakMessage message = messages.get(idOf(line));
            if (message != null) {
                message.noticed(line.replaceAll(".*\"result\":\"(\\w+)\".*", "$1"));
            }
        }
    }

    private static String idOf(String notice) {
        return notice.replaceAll(".*\"ref\":\"([^\"]+)\".*", "$1");
    }

    // ---- processes ----

    private Path configure() throws IOException {
        return new TestConfig(agent.hostPort()).classes(CLASSES).workers(busy ? 8 : 2).batch(1 + random.nextInt(5))
                .secondCopies(true).known(known).write(folder);
    }

    void start() throws Exception {
        known = agent.list();
        Files.createDirectories(folder.resolve("state"));
        systemFaults = new SystemFaults(folder);
        current = newProcess();
    }

    private SenderProcess newProcess() throws Exception {
        Path own = Files.createDirectories(folder.resolve("process-" + processes.size()));
        SenderProcess process = new SenderProcess(own, configure())
                .withEnvironment("GW_STATE", folder.resolve("state").toString()).withEnvironment("TMPDIR", folder.toString())
                .withEnvironment("GW_NAME", "n" + number).withEnvironment("GW_LISTEN", "127.0.0.1:" + listen.getPort()).withEnvironment("GW_OPS", "127.0.0.1:0");
        systemFaults.preload(process);
        processes.add(process);
        note("process " + (processes.size() - 1) + " starts");
        long begun = System.nanoTime();
        process.start();
        awaitServing(process, begun);
        note("process " + (processes.size() - 1) + " serves");
        serving = true;
        return process;
    }

    private void awaitServing(SenderProcess process, long begun) throws InterruptedException {
        while (!serves(process)) {
            assertTrue(process.isAlive(), () -> "it ended by itself: " + process.log());
            assertTrue(System.nanoTime() - begun < TimeUnit.MILLISECONDS.toNanos(READY_MS), () -> "not ready: " + process.log());
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private static boolean serves(SenderProcess process) {
        try {
            return SenderProcessFixture.sendRequest(process.operatorsAddress(), "GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n")
                    .line().contains(" 200 ");
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    /** SIGKILL, once what has happened is read and on the disk. */
    private void kill(SenderProcess process) throws InterruptedException {
        serving = process != current;
        kills.lock();
        try {
            process.kill();
        } finally {
            kills.unlock();
        }
        life++;
        long now = System.nanoTime();
        messages.forEach((id, message) -> {
            if (has(id)) {
                message.killed(now);
            }
        });
        note("SIGKILL");
    }

    private void terminate(SenderProcess process) throws Exception {
        serving = process != current;
        note("SIGTERM");
        closingNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Sender.SHUTDOWN_LIMIT_MS) - CROSSING_NANOS;
        process.signal("TERM");
        long killAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TERM_TO_KILL_MS);
        while (process.isAlive() && System.nanoTime() < killAt) {
            TimeUnit.MILLISECONDS.sleep(2);
        }
        if (process.isAlive()) {
            kill(process);
        } else {
            life++;
        }
        closingNanos = Long.MAX_VALUE;
    }

    private void restart(boolean inOrder) throws Exception {
        long from = System.nanoTime();
        if (inOrder) {
            terminate(current);
        } else {
            kill(current);
        }
        TimeUnit.MILLISECONDS.sleep(RESTART_MS);
        current = newProcess();
        restarts.add(new DeadlineRecord.Restart(from, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_GRACE_MS)));
    }

    private void upgrade() throws Exception {
        SenderProcess old = current;
        current = newProcess();
        terminate(old);
    }

    private void reload() throws Exception {
        // Not in a process's first second.
        TimeUnit.SECONDS.sleep(1);
        DiscoveryAgent.Address old = agent.move();
        configure();
        drains.moved(System.nanoTime());
        note("SIGHUP");
        current.signal("HUP");
        old.closeAfter(OLD_ADDRESS_MS);
    }

    private void holdUp() throws Exception {
        current.signal("STOP");
        TimeUnit.MILLISECONDS.sleep(draw(LONGEST_HOLD_UP_MS));
        current.signal("CONT");
    }

    // ---- faults ----

    private synchronized int draw(int bound) {
        return random.nextInt(bound);
    }

    private <T> T any(List<T> choices) {
        return choices.get(draw(choices.size()));
    }

    private synchronized void meets(Fault fault) {
        injectedFaults.merge(fault, 1, Integer::sum);
        note(fault.toString());
    }

    private void processFaults() {
        try {
            while (!over.getAsBoolean()) {
                TimeUnit.MILLISECONDS.sleep(300 + draw(2500));
                Fault fault = any(OF_PROCESS);
                meets(fault);
                switch (fault) {
                    case KILL -> restart(false);
                    case RESTART -> restart(true);
                    case UPGRADE -> upgrade();
                    case RELOAD -> reload();
                    case HELD_UP -> holdUp();
                    default -> TimeUnit.MILLISECONDS.sleep(draw(1000));
                }
            }
        } catch (Exception | AssertionError e) {
            failures.add("n" + number + ": " + e);
        }
    }

    private void machineFaults() {
        try {
            while (!over.getAsBoolean()) {
                TimeUnit.MILLISECONDS.sleep(draw(1200));
                Fault fault = any(OF_MACHINE);
                meets(fault);
                play(fault);
            }
        } catch (Exception | AssertionError e) {
            failures.add("n" + number + ": " + e);
        }
    }

    private void play(Fault fault) throws Exception {
        boolean hidesEnds = HIDE_ENDS.contains(fault);
        if (hidesEnds) {
            kills.lock();
        }
        try {
            strike(fault, systemFaults);
            TimeUnit.MILLISECONDS.sleep(50 + draw(LONGEST_FAULT_MS));
            systemFaults.clearAll();
            if (hidesEnds) {
                TimeUnit.MILLISECONDS.sleep(ENDS_SETTLE_MS);
            }
        } finally {
            if (hidesEnds) {
                kills.unlock();
            }
        }
    }

    private void strike(Fault fault, SystemFaults faults) throws IOException {
        switch (fault) {
            case ACCEPT -> faults.fail(Call.ACCEPT, any(List.of(Errno.ECONNABORTED, Errno.ENFILE, Errno.ENOBUFS)));
            case SOCKET -> faults.fail(Call.SOCKET, any(List.of(Errno.ENFILE, Errno.ENOBUFS)));
            case CONNECT -> faults.fail(Call.CONNECT, any(List.of(Errno.EADDRNOTAVAIL, Errno.ENETUNREACH, Errno.ENOBUFS)));
            case INTERRUPTIONS -> {
                faults.failEvery(2 + draw(3), Call.RECEIVE, Errno.EINTR);
                faults.failEvery(2, Call.WAIT, Errno.EINTR);
            }
            case SHORT_TRANSFERS -> faults.limitTransfers(1 + draw(60));
            case BROKEN_READS -> {
                faults.restrictToPort(agent.address().getPort());
                faults.failEvery(3, Call.RECEIVE, any(List.of(Errno.ETIMEDOUT, Errno.EHOSTUNREACH)));
            }
            case NO_BUFFERS -> {
                faults.failEvery(1 + draw(3), Call.SEND, Errno.ENOBUFS);
                // An answer that can't be read at all is no end that the sender has learned.
                faults.failEvery(2 + draw(3), Call.RECEIVE, Errno.ENOMEM);
            }
            case DISK_FULL -> faults.fillDisk();
            case DISK_FAILS -> faults.fail(Call.WRITE, Errno.EIO);
            case DISK_TEARS -> faults.failWritesAfter(draw(200));
            case NO_FILES -> {
                faults.fail(Call.OPEN, any(List.of(Errno.ENOSPC, Errno.EIO)));
                faults.fail(Call.RENAME, Errno.EIO);
            }
            default -> faults.setClockOffset((draw(2) == 0 ? 1 : -1) * (long) draw(7_200_000));
        }
    }

    /** From now on a server takes no new work. */
    void withdraw(String server) {
        synchronized (agent) {
            agent.change(server, DiscoveryAgent.DRAINING);
            listChangedNanos = System.nanoTime();
            drains.withdrawn(server, listChangedNanos);
        }
    }

    private long fallSilent() throws InterruptedException {
        while (true) {
            synchronized (agent) {
                if (System.nanoTime() - listChangedNanos > TimeUnit.MILLISECONDS.toNanos(LIST_SETTLES_MS)) {
                    return agent.fallSilent();
                }
            }
            TimeUnit.MILLISECONDS.sleep(RECONNECT_MS);
        }
    }

    private void agentFaults() {
        try {
            while (!over.getAsBoolean()) {
                TimeUnit.MILLISECONDS.sleep(2000 + draw(5000));
                // What the agent has before a process can ask it for the first time, and an outage then hides, can't be known.
                while (!over.getAsBoolean() && !(serving && current.log().contains("event=list source=DISCOVERY"))) {
                    TimeUnit.MILLISECONDS.sleep(20);
                }
                if (over.getAsBoolean()) {
                    return;
                }
                meets(Fault.AGENT_SILENT);
                long from = fallSilent();
                TimeUnit.MILLISECONDS.sleep(draw(LONGEST_SILENCE_MS));
                drains.outage(from, agent.comeBack());
                note("discovery is back");
            }
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** From now on nothing fails any more. */
    void mend() throws IOException {
        systemFaults.clearAll();
    }

    // ---- clients ----

    private void handInUntilOver(int client, boolean keeps, int pauseMs) {
        Random mine = new Random(((long) number << 8) + client);
        Socket connection = null;
        for (int i = 0; !over.getAsBoolean(); i++) {
            int messageClass = mine.nextInt(CLASS_NAMES.size());
            String id = CLASS_NAMES.get(messageClass) + "-" + number + "-" + client + "-" + i;
            try {
                boolean fresh = connection == null;
                if (fresh) {
                    connection = new Socket();
                    connection.setSoTimeout(CLIENT_PATIENCE_MS);
                    connection.setTcpNoDelay(true);
                    connection.connect(listen, CLIENT_PATIENCE_MS);
                }
                boolean stays = handIn(id, messageClass, connection, fresh, mine);
                if (!stays || !keeps) {
                    connection.close();
                    connection = null;
                }
                TimeUnit.MILLISECONDS.sleep(mine.nextInt(2 * pauseMs));
            } catch (IOException gone) {
                connection = closed(connection);
            } catch (InterruptedException e) {
                return;
            }
        }
        closed(connection);
    }

    private static void pause(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Socket closed(Socket connection) {
        try {
            if (connection != null) {
                connection.close();
            }
        } catch (IOException e) {
            // It is gone either way.
        }
        pause(RECONNECT_MS);
        return null;
    }

    /** Whether the connection stays open. */
    private boolean handIn(String id, int messageClass, Socket connection, boolean fresh, Random mine) throws IOException {
        int budget = BUDGETS_MS.get(messageClass) - mine.nextInt(BUDGETS_MS.get(messageClass) / 4);
        String name = CLASS_NAMES.get(messageClass);
        SoakMessage message = new SoakMessage(id, name.equals("unsafe"), System.nanoTime(), budget);
        messages.put(id, message);
        // Keys of one client: it hands in a message once the one before it has its answer.
        String key = name + "-" + id.split("-")[2] + "-" + mine.nextInt(KEYS_OF_A_CLIENT);
        keyOrder.handedIn(key, id);
        int sentIn = life;
        StubServer.write(connection, TestConfig.message(id, name, "x".repeat(1 + mine.nextInt(400)))
                .replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + budget)
                .replace("POST /" + name, "POST /" + name + "?thread=" + key));
        StubServer.Message answer = StubServer.read(new BufferedInputStream(connection.getInputStream()), 0);
        if (answer == null) {
            // On a kept one the close may have crossed the request, and a kill is counted only once it is done.
            pause(KILL_SEEN_MS);
            if (fresh && sentIn == life && current.isAlive()) {
                message.closedUnanswered();
            }
            return false;
        }
        if (answer.line().contains(" 202 ")) {
            if (IN_ORDER.contains(name)) {
                keyOrder.taken(id);
            }
            message.taken();
        }
        return !"close".equalsIgnoreCase(answer.header("Connection"));
    }

    /** All that goes on here in a play. */
    List<Thread> threads() {
        List<Thread> threads = new ArrayList<>(List.of(new Thread(this::processFaults), new Thread(this::machineFaults),
                new Thread(this::agentFaults)));
        int clients = busy ? 4 : 1;
        for (int i = 0; i < clients; i++) {
            int client = i;
            boolean keeps = i % 2 == 0;
            int pauseMs = busy ? 25 : 700;
            threads.add(new Thread(() -> handInUntilOver(client, keeps, pauseMs)));
        }
        return threads;
    }

    /** What went wrong apart from single messages: processes that ended, and faults that they logged. */
    List<String> faults() {
        List<String> found = new ArrayList<>(failures);
        for (int i = 0; i < processes.size(); i++) {
            String process = "n" + number + " process " + i + ": ";
            processes.get(i).log().lines().filter(SoakNode::tellsFault).forEach(line -> found.add(process + line));
        }
        if (!current.isAlive()) {
            found.add("n" + number + " ended by itself");
        }
        return found;
    }

    private static boolean tellsFault(String line) {
        boolean violated = line.contains(" event=rule-violated ") && !line.contains(" rule=ENDED_LATE ");
        // The network library's number for this machine, which it draws where it can't read its interfaces.
        boolean harmless = line.contains("(Socket creation failed)");
        return violated || !harmless && (line.contains(" event=fault ") || line.contains("Exception") || line.contains("does not know"));
    }

    @Override
    public void close() throws Exception {
        for (SenderProcess process : processes) {
            process.close();
        }
        agent.close();
    }
}
