package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Steps the wall clock of sender processes and makes their system calls fail, through the preloaded library
 * {@code system-faults.c}, which is compiled here. The library reads the settings from a file, so that they apply to
 * running processes.
 */
final class SystemFaults {
    /** A kind of system call that can be made to fail, in the order of the library's counters. */
    enum Call {
        /** Writes to the journal. */
        WRITE,
        /** Truncates the journal. */
        TRUNCATE,
        /** Opens a file of the state folder, or the configuration. */
        OPEN,
        /** Renames a file of the state folder. */
        RENAME,
        /** Creates a socket, or an epoll or event descriptor. */
        SOCKET,
        CONNECT,
        ACCEPT,
        /** Waits for events of sockets. */
        WAIT,
        /** Reads from a socket. */
        RECEIVE,
        /** Writes to a TCP socket. */
        SEND
    }

    /** The error that a failing call reports, with its number on Linux. */
    enum Errno {
        EINTR(4),
        EIO(5),
        ENOMEM(12),
        ENFILE(23),
        ENOSPC(28),
        EADDRNOTAVAIL(99),
        ENETUNREACH(101),
        ECONNABORTED(103),
        ENOBUFS(105),
        ETIMEDOUT(110),
        EHOSTUNREACH(113);

        private final int number;

        Errno(int number) {
            this.number = number;
        }
    }

    private static final long BUILD_TIMEOUT_SECONDS = 60;
    private static final String ERRNO_SUFFIX = "-errno";
    private static final String EVERY_SUFFIX = "-every";

    private final Path settingsFile;
    /** The file of one counter of injected failures per {@link Call}. */
    private final Path countersFile;
    private final Path library;
    private final Map<String, Long> settings = new TreeMap<>();

    /** Builds the library in {@code folder} and preloads it into each process that {@code sender} starts later. */
    SystemFaults(Path folder, SenderProcess sender) throws Exception {
        this(folder);
        preload(sender);
    }

    /** Builds the library in {@code folder}, without preloading it into any process. */
    SystemFaults(Path folder) throws Exception {
        settingsFile = folder.resolve("faults");
        countersFile = folder.resolve("faults-met");
        writeSettings();
        Files.write(countersFile, new byte[Call.values().length * Long.BYTES]);
        library = buildLibrary(folder);
    }

    /** Preloads the library into each process that {@code sender} starts from now on. */
    void preload(SenderProcess sender) {
        sender.withEnvironment("FAULTS_CONTROL", settingsFile.toString())
                .withEnvironment("FAULTS_MET", countersFile.toString())
                .withEnvironment("LD_PRELOAD", library.toString());
    }

    private static Path buildLibrary(Path folder) throws Exception {
        Path library = folder.resolve("system-faults.so");
        Path source = Path.of(SystemFaults.class.getResource("/system-faults.c").toURI());
        Process compiler = new ProcessBuilder("gcc", "-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o",
                library.toString(), source.toString(), "-ldl").redirectErrorStream(true).start();
        String compilerOutput = new String(compiler.getInputStream().readAllBytes());
        compiler.waitFor(BUILD_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(0, compiler.exitValue(), compilerOutput);
        return library;
    }

    /** Sets how far the wall clock of the processes is ahead of the machine's clock; a negative offset is behind. */
    void setClockOffset(long ms) throws IOException {
        set("clock-ms", ms);
    }

    /** Makes every call of this kind fail from now on. */
    synchronized void fail(Call call, Errno errno) throws IOException {
        failEvery(1, call, errno);
    }

    /** Makes the next call of this kind fail, and every {@code nth} one counted from it. */
    synchronized void failEvery(int nth, Call call, Errno errno) throws IOException {
        settings.put(settingName(call) + EVERY_SUFFIX, (long) nth);
        set(settingName(call) + ERRNO_SUFFIX, errno.number);
    }

    /** Stops failures of calls of this kind. */
    synchronized void clear(Call call) throws IOException {
        settings.remove(settingName(call) + EVERY_SUFFIX);
        settings.remove(settingName(call) + ERRNO_SUFFIX);
        writeSettings();
    }

    /** Limits the number of bytes that one read or write of a socket transfers. */
    synchronized void limitTransfers(int bytes) throws IOException {
        settings.put("send-most", (long) bytes);
        set("receive-most", bytes);
    }

    /** Restricts failures and limits of socket reads and writes to connections with this port at either end. */
    void restrictToPort(int port) throws IOException {
        set("port", port);
    }

    /** Lets this many bytes be written to each TCP socket before failures of {@link Call#SEND} begin there. */
    void sendBytesBeforeFailure(int bytes) throws IOException {
        set("send-room", bytes);
    }

    /** Removes all failures and limits; the clock offset stays. */
    synchronized void clearAll() throws IOException {
        settings.keySet().removeIf(name -> !name.equals("clock-ms"));
        writeSettings();
    }

    /** Returns the number of calls of this kind that were made to fail so far, in all processes. */
    long injectedFaults(Call call) throws IOException {
        return ByteBuffer.wrap(Files.readAllBytes(countersFile)).order(ByteOrder.nativeOrder())
                .getLong(call.ordinal() * Long.BYTES);
    }

    /** Makes writes to the journal fail as on a full disk. */
    void fillDisk() throws IOException {
        fail(Call.WRITE, Errno.ENOSPC);
    }

    /**
     * Lets this many more bytes be written to the journal and then makes all writes fail. Truncating the journal fails
     * too, so a torn record stays at its end.
     */
    void failWritesAfter(int bytes) throws IOException {
        settings.put("write-room", (long) bytes);
        fail(Call.TRUNCATE, Errno.EIO);
        fail(Call.WRITE, Errno.EIO);
    }

    /** Makes all connects fail for lack of a local address. */
    void failConnects() throws IOException {
        fail(Call.CONNECT, Errno.EADDRNOTAVAIL);
    }

    /** Stops failures of connects. */
    void clearConnectFaults() throws IOException {
        clear(Call.CONNECT);
    }

    /** Stops failures of {@link #fillDisk} and {@link #failWritesAfter}. */
    synchronized void clearDiskFaults() throws IOException {
        settings.remove("write-room");
        clear(Call.TRUNCATE);
        clear(Call.WRITE);
    }

    /** Returns the name of a call in the library's settings. */
    private static String settingName(Call call) {
        return call.name().toLowerCase(Locale.ROOT);
    }

    private synchronized void set(String name, long value) throws IOException {
        settings.put(name, value);
        writeSettings();
    }

    /** Replaces the file atomically, since processes may read it at any moment. */
    private synchronized void writeSettings() throws IOException {
        Path newFile = settingsFile.resolveSibling("faults.next");
        Files.writeString(newFile, settings.entrySet().stream()
                .map(setting -> setting.getKey() + " " + setting.getValue() + "\n").collect(Collectors.joining()));
        Files.move(newFile, settingsFile, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
