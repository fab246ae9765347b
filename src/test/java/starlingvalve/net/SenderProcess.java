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
 * A sender that runs in a process of its own and can be killed and started again. Its state, its logs and any preloaded
 * library are below one folder.
 */
final class SenderProcess implements AutoCloseable {
    private static final long EXIT_TIMEOUT_MS = 10_000;

    private final Path folder;
    private final String logPrefix;
    private final Map<String, String> environment = new HashMap<>();
    private final List<String> jvmArguments = new ArrayList<>();
    private int descriptorLimit;
    private boolean oneCore;
    private int runNumber;
    private Process process;
    private InetSocketAddress address;
    private InetSocketAddress operatorsAddress;

    /** Creates a sender, not started yet, with its files below {@code folder} and this configuration file. */
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

    /** Returns a second process of the same sender, not started yet, which takes over from this one. */
    SenderProcess successor() {
        SenderProcess successor = new SenderProcess(folder, logPrefix + "next-", environment);
        return successor.withEnvironment("GW_LISTEN", Endpoints.hostPort(address));
    }

    /** Sets an environment variable for processes that are started from now on. */
    SenderProcess withEnvironment(String variable, String value) {
        environment.put(variable, value);
        return this;
    }

    /** Sets the limit of open file descriptors ({@code ulimit -n}) for processes that are started from now on. */
    SenderProcess descriptorLimit(int limit) {
        descriptorLimit = limit;
        return this;
    }

    /** Runs processes that are started from now on on a single core. */
    SenderProcess onOneCore() {
        oneCore = true;
        return this;
    }

    /** Uses the JVM options with which the sender is deployed, for processes that are started from now on. */
    SenderProcess withDeployedOptions() {
        jvmArguments.add("@deploy/java.options");
        return this;
    }

    /** Returns the folder of the state that a restarted process reads again. */
    Path stateFolder() {
        return folder.resolve("state");
    }

    /** Starts a process, and returns when clients and operators can connect. */
    SenderProcess start() throws Exception {
        runNumber++;
        List<String> command = new ArrayList<>();
        if (descriptorLimit > 0) {
            command.addAll(List.of("bash", "-c", "ulimit -n " + descriptorLimit + "; exec \"$@\"", "bash"));
        }
        if (oneCore) {
            command.addAll(List.of("taskset", "-c", "0"));
        }
        command.add(Path.of(System.getProperty("java.home"), "bin/java").toString());
        command.addAll(jvmArguments);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "starlingvalve.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(environment);
        process = builder.redirectErrorStream(true).redirectOutput(logFile().toFile()).start();
        address = awaitAddress(" listens at ");
        operatorsAddress = awaitAddress(" takes operators' calls at ");
        return this;
    }

    private InetSocketAddress awaitAddress(String label) throws Exception {
        awaitLog("the log has an address after" + label, line -> line.contains(label));
        String addressLine = log().lines().filter(line -> line.contains(label)).findFirst().orElseThrow();
        return Config.address(addressLine.substring(addressLine.indexOf(label) + label.length()).trim());
    }

    /** Returns the address for clients. */
    InetSocketAddress address() {
        return address;
    }

    InetSocketAddress operatorsAddress() {
        return operatorsAddress;
    }

    /** Returns the largest resident size that the current process has had, in megabytes. */
    double peakMemoryMb() {
        return memoryMb("VmHWM:");
    }

    /** Returns the resident size of the current process, in megabytes. */
    double memoryMb() {
        return memoryMb("VmRSS:");
    }

    private double memoryMb(String field) {
        String status = read(Path.of("/proc", "" + process.pid(), "status"));
        String line = status.lines().filter(candidate -> candidate.startsWith(field)).findFirst().orElseThrow();
        return Long.parseLong(line.replaceAll("\\D", "")) / 1024.0;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    private Path logFile() {
        return folder.resolve(logPrefix + runNumber);
    }

    /** Returns the complete lines that the current process has logged so far. */
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

    /** Returns the logs of all process runs, one after another. */
    String allLogs() {
        StringBuilder logs = new StringBuilder();
        for (int run = 1; run <= runNumber; run++) {
            logs.append(read(folder.resolve(logPrefix + run)));
        }
        return logs.toString();
    }

    /** Waits until the current process has logged a line that matches. */
    void awaitLog(String description, Predicate<String> line) throws InterruptedException {
        StubServer.await(description, () -> log().lines().anyMatch(line));
    }

    /** Waits for an entry of the event log with this event name and these fields, each as {@code name=value}. */
    void awaitEvent(String event, String... fields) throws InterruptedException {
        awaitLog("event " + event + " " + List.of(fields), line -> line.contains(" event=" + event + " ")
                && List.of(fields).stream().allMatch(field -> (line + " ").contains(" " + field + " ")));
    }

    /** Sends the signal of this name, without the prefix SIG, and returns when it is sent. */
    void signal(String name) throws IOException, InterruptedException {
        Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start();
        assertEquals(0, kill.waitFor(), "no process for SIG" + name);
    }

    /** Sends SIGSTOP, and returns when all threads are stopped. SIGCONT resumes the process. */
    void suspend() throws IOException, InterruptedException {
        signal("STOP");
        StubServer.await("all threads are stopped", this::isSuspended);
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

    /** Waits until the process has exited by itself. */
    void awaitExit() throws InterruptedException {
        assertTrue(process.waitFor(EXIT_TIMEOUT_MS, TimeUnit.MILLISECONDS), "the process does not exit: " + log());
    }

    /** Sends SIGKILL, and returns when the process has ended. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        assertTrue(process.waitFor(EXIT_TIMEOUT_MS, TimeUnit.MILLISECONDS), "the process was not killed");
    }

    @Override
    public void close() throws InterruptedException {
        if (process != null) {
            kill();
        }
    }
}
