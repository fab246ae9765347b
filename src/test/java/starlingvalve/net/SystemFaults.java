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

/** Steps the wall clock of a sender's process and fails its system calls, by a library that is built here and preloaded. */
final class SystemFaults {
    /** A system call that can be made to fail, in the order of the library's counters. */
    enum Call {
        /** Writes to the journal. */
        WRITE,
        /** Cuts the journal. */
        TRUNCATE,
        /** Opens a file of the state folder, or the configuration. */
        OPEN,
        /** Renames a file of the state folder. */
        RENAME,
        SOCKET,
        CONNECT,
        ACCEPT,
        /** Waits for sockets. */
        WAIT,
        /** Reads from a socket. */
        RECEIVE,
        /** Writes to a TCP socket. */
        SEND
    }

    /** How a call fails: Linux's numbers. */
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

    private static final long BUILD_S = 60;
    private static final String ERRNO = "-errno";
    private static final String EVERY = "-every";

    private final Path control;
    private final Path injectedFaults;
    private final Path library;
    private final Map<String, Long> settings = new TreeMap<>();

    /** Into each process that {@code sender} starts from now on. */
    SystemFaults(Path folder, SenderProcess sender) throws Exception {
        this(folder);
        preload(sender);
    }

    /** Into none yet. */
    SystemFaults(Path folder) throws Exception {
        control = folder.resolve("faults");
        injectedFaults = folder.resolve("faults-met");
        write();
        Files.write(injectedFaults, new byte[Call.values().length * Long.BYTES]);
        library = library(folder);
    }

    /** Into each process that {@code sender} starts from now on. */
    void preload(SenderProcess sender) {
        sender.withEnvironment("FAULTS_CONTROL", control.toString()).withEnvironment("FAULTS_MET", injectedFaults.toString())
                .withEnvironment("LD_PRELOAD", library.toString());
    }

    private static Path library(Path folder) throws Exception {
        Path library = folder.resolve("system-faults.so");
        Path source = Path.of(SystemFaults.class.getResource("/system-faults.c").toURI());
        Process compiler = new ProcessBuilder("gcc", "-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o",
                library.toString(), source.toString(), "-ldl").redirectErrorStream(true).start();
        String said = new String(compiler.getInputStream().readAllBytes());
        compiler.waitFor(BUILD_S, TimeUnit.SECONDS);
        assertEquals(0, compiler.exitValue(), said);
        return library;
    }

    /** The wall clock is so far ahead of the machine's, or behind it. */
    void setClockOffset(long ms) throws IOException {
        set("clock-ms", ms);
    }

    /** Every such call fails from now on. */
    synchronized void fail(Call call, Errno errno) throws IOException {
        failEvery(1, call, errno);
    }

    /** The next such call fails, and from then on each {@code nth}. */
    synchronized void failEvery(int nth, Call call, Errno errno) throws IOException {
        settings.put(name(call) + EVERY, (long) nth);
        set(name(call) + ERRNO, errno.number);
    }

    /** Such calls fail no more. */
    synchronized void mend(Call call) throws IOException {
        settings.remove(name(call) + EVERY);
        settings.remove(name(call) + ERRNO);
        write();
    }

    /** Reads and writes of sockets move so many bytes at most. */
    synchronized void limitTransfers(int bytes) throws IOException {
        settings.put("send-most", (long) bytes);
        set("receive-most", bytes);
    }

    /** Reads and writes of sockets fail only where this port is on one of the ends. */
    void restrictToPort(int port) throws IOException {
        set("port", port);
    }

    /** Writes that fail go through up to so many bytes on each socket. */
    void sendBytesBeforeFailure(int bytes) throws IOException {
        set("send-room", bytes);
    }

    /** All is well again, but the clock stays as it is. */
    synchronized void clearAll() throws IOException {
        settings.keySet().removeIf(name -> !name.equals("clock-ms"));
        write();
    }

    /** How many calls have failed so far, in all processes. */
    long injectedFaults(Call call) throws IOException {
        return ByteBuffer.wrap(Files.readAllBytes(injectedFaults)).order(ByteOrder.nativeOrder())
                .getLong(call.ordinal() * Long.BYTES);
    }

    /** The disk is full. */
    void fillDisk() throws IOException {
        fail(Call.WRITE, Errno.ENOSPC);
    }

    /** The disk takes so many more bytes and then nothing, and nothing can be cut off. */
    void failWritesAfter(int bytes) throws IOException {
        settings.put("write-room", (long) bytes);
        fail(Call.TRUNCATE, Errno.EIO);
        fail(Call.WRITE, Errno.EIO);
    }

    /** No connection can be made from here, for want of a local address. */
    void failConnects() throws IOException {
        fail(Call.CONNECT, Errno.EADDRNOTAVAIL);
    }

    /** Connections can be made again. */
    void clearConnectFaults() throws IOException {
        mend(Call.CONNECT);
    }

    /** The disk is well again. */
    synchronized void clearDiskFaults() throws IOException {
        settings.remove("write-room");
        mend(Call.TRUNCATE);
        mend(Call.WRITE);
    }

    private static String name(Call call) {
        return call.name().toLowerCase(Locale.ROOT);
    }

    private synchronized void set(String name, long value) throws IOException {
        settings.put(name, value);
        write();
    }

    /** In one piece, as the process reads it at any moment. */
    private synchronized void write() throws IOException {
        Path next = control.resolveSibling("faults.next");
        Files.writeString(next, settings.entrySet().stream().map(e -> e.getKey() + " " + e.getValue() + "\n")
                .collect(Collectors.joining()));
        Files.move(next, control, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
