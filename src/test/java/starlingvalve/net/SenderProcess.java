package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * The program as a process of its own, with its state, its log and what a test preloads into it below one folder. It
 * can be killed and started again.
 */
final class SenderProcess implements AutoCloseable {
    private static final long END_MS = 10_000;

    private final Path folder;
    private final String logPrefix;
    private final Map<String, String> environment = new HashMap<>();
    private int descriptorLimit;
    private int life;
    private Process process;
    private InetSocketAddress address;
    private InetSocketAddress operatorsAddress;

    /** Below this folder; {@code config} is the configuration file. */
    SenderProcess(Path folder, Path config) throws IOException {
        this(folder, "log-", Map.of("GW_CONFIG", config.toString(), "GW_STATE", folder.resolve("state").toString(),
                "TMPDIR", folder.toString()));
        Files.createDirectories(stateFolder());
    }

    private SenderProcess(Path folder, String logPrefix, Map<String, String> environment) {
        this.folder = folder;
        this.logPrefix = logPrefix;
        this.environment.putAll(environment);
    }

    /** A second process of the same sender, which is to take over from this one: not started yet. */
    SenderProcess successor() {
        SenderProcess successor = new SenderProcess(folder, logPrefix + "next-", environment);
        return successor.withEnvironment("GW_LISTEN", Endpoints.hostPort(address));
    }

    /** What the next process finds in its environment. */
    SenderProcess withEnvironment(String variable, String value) {
        environment.put(variable, value);
        return this;
    }

    /** The next process may hold so many descriptors, by the system's own limit. */
    SenderProcess descriptorLimit(int limit) {
        descriptorLimit = limit;
        return this;
    }

    /** The folder that outlasts its processes. */
    Path stateFolder() {
        return folder.resolve("state");
    }

    /** Starts it, and returns when clients can connect. */
    SenderProcess start() throws Exception {
        life++;
        List<String> command = new ArrayList<>();
        if (descriptorLimit > 0) {
            command.addAll(List.of("bash", "-c", "ulimit -n " + descriptorLimit + "; exec \"$@\"", "bash"));
        }
        command.addAll(List.of(Path.of(System.getProperty("java.home"), "bin/java").toString(),
                "-cp", System.getProperty("java.class.path"), "starlingvalve.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(environment);
        process = builder.redirectErrorStream(true).redirectOutput(logFile().toFile()).start();
        address = awaitAddress(" listens at ");
        operatorsAddress = awaitAddress(" takes operators' calls at ");
        return this;
    }

    private InetSocketAddress awaitAddress(String before) throws Exception {
        awaitLog("it says where it" + before, line -> line.contains(before));
        String line = log().lines().filter(l -> l.contains(before)).findFirst().orElseThrow();
        return Config.address(line.substring(line.indexOf(before) + before.length()).trim());
    }

    InetSocketAddress address() {
        return address;
    }

    InetSocketAddress operatorsAddress() {
        return operatorsAddress;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    private Path logFile() {
        return folder.resolve(logPrefix + life);
    }

    /** The whole lines that this life has logged so far. */
    String log() {
        String text = read(logFile());
        return text.substring(0, text.lastIndexOf('\n') + 1);
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** What all lives have logged, one after another. */
    String allLogs() {
        StringBuilder all = new StringBuilder();
        for (int i = 1; i <= life; i++) {
            all.append(read(folder.resolve(logPrefix + i)));
        }
        return all.toString();
    }

    void awaitLog(String what, Predicate<String> line) throws InterruptedException {
        StubServer.await(what, () -> log().lines().anyMatch(line));
    }

    /** Waits for an event of the event log with these fields, each as {@code name=value}. */
    void awaitEvent(String event, String... fields) throws InterruptedException {
        awaitLog("event " + event + " " + List.of(fields), line -> line.contains(" event=" + event + " ")
                && List.of(fields).stream().allMatch(field -> (line + " ").contains(" " + field + " ")));
    }

    /** Sends a signal by its name without SIG; returns when it is sent. */
    void signal(String name) throws IOException, InterruptedException {
        Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start();
        assertEquals(0, kill.waitFor(), "no process for SIG" + name);
    }

    /** SIGSTOP; returns when all its threads stand still. SIGCONT lets it go on. */
    void suspend() throws IOException, InterruptedException {
        signal("STOP");
        StubServer.await("all threads stand still", this::isSuspended);
    }

    private boolean isSuspended() {
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(Path.of("/proc", "" + process.pid(), "task"))) {
            for (Path thread : threads) {
                if (!read(thread.resolve("status")).contains("\nState:\tT")) {
                    return false;
                }
            }
            return true;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Waits until it has ended by itself. */
    void awaitExit() throws InterruptedException {
        assertTrue(process.waitFor(END_MS, TimeUnit.MILLISECONDS), "it does not end: " + log());
    }

    /** SIGKILL; returns when it has ended. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        assertTrue(process.waitFor(END_MS, TimeUnit.MILLISECONDS), "the process was not killed");
    }

    @Override
    public void close() throws InterruptedException {
        if (process != null) {
            kill();
        }
    }
}
