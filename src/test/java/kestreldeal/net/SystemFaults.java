package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** Steps the wall clock of a sender's process and fails its disk, by a library that is built here and preloaded. */
final class SystemFaults {
    private static final long BUILD_S = 60;
    private static final int ENOSPC = 28;
    private static final int EIO = 5;
    private static final int EADDRNOTAVAIL = 99;

    private final Path control;
    private final Map<String, Long> settings = new TreeMap<>();

    /** Into each process that {@code sender} starts from now on. */
    SystemFaults(Path folder, SenderProcess sender) throws Exception {
        control = folder.resolve("faults");
        write();
        sender.with("FAULTS_CONTROL", control.toString()).with("LD_PRELOAD", library(folder).toString());
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
    void clockAhead(long ms) throws IOException {
        set("clock-ms", ms);
    }

    /** The disk is full. */
    void diskFull() throws IOException {
        set("write-errno", ENOSPC);
    }

    /** The disk takes so many more bytes and then nothing, and nothing can be cut off. */
    void diskTears(int bytes) throws IOException {
        settings.put("write-room", (long) bytes);
        settings.put("truncate-errno", (long) EIO);
        set("write-errno", EIO);
    }

    /** No connection can be made from here, for want of a local address. */
    void connectsFail() throws IOException {
        set("connect-errno", EADDRNOTAVAIL);
    }

    /** Connections can be made again. */
    void connectsMended() throws IOException {
        settings.remove("connect-errno");
        write();
    }

    /** The disk is well again. */
    void diskMended() throws IOException {
        settings.keySet().removeAll(java.util.List.of("write-errno", "write-room", "truncate-errno"));
        write();
    }

    private void set(String name, long value) throws IOException {
        settings.put(name, value);
        write();
    }

    /** In one piece, as the process reads it at any moment. */
    private void write() throws IOException {
        Path next = control.resolveSibling("faults.next");
        Files.writeString(next, settings.entrySet().stream().map(e -> e.getKey() + " " + e.getValue() + "\n")
                .collect(Collectors.joining()));
        Files.move(next, control, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
