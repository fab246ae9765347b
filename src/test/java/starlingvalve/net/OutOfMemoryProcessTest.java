package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests what a process with the deployed JVM options does when it runs out of memory. */
class OutOfMemoryProcessTest {
    private static final long EXIT_TIMEOUT_S = 60;
    private static final int SURVIVED = 0;

    @TempDir
    Path folder;

    private int exitCode(Class<?> program) throws Exception {
        Path log = folder.resolve("log");
        Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin/java").toString(),
                "@deploy/java.options", "-cp", System.getProperty("java.class.path"), program.getName())
                .redirectErrorStream(true).redirectOutput(log.toFile()).start();
        assertTrue(process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS), "neither ends nor goes on");
        assertEquals("", Files.readString(log).lines().filter(line -> line.contains("Unrecognized")).findAny()
                .orElse(""));
        return process.exitValue();
    }

    /** Guards against a process that goes on without the tasks that failed: the heap is full on the event loop. */
    @Test
    void fullHeapEndsTheProcess() throws Exception {
        assertEquals(OutOfMemoryExit.EXIT_CODE, exitCode(FullHeap.class));
    }

    /** Guards against a process that goes on while its reads fail: the direct memory is full. */
    @Test
    void fullDirectMemoryEndsTheProcess() throws Exception {
        assertEquals(OutOfMemoryExit.EXIT_CODE, exitCode(FullDirectMemory.class));
    }

    /** Fills the heap in a task of an event loop, which catches all errors. */
    static final class FullHeap {
        public static void main(String[] arguments) throws Exception {
            EventLoop loop = new DefaultEventLoop();
            loop.submit(() -> {
                List<byte[]> held = new ArrayList<>();
                while (true) {
                    held.add(new byte[1 << 20]);
                }
            }).await();
            System.exit(SURVIVED);
        }
    }

    /** Fails a read of a client's connection as the class library does without direct memory. */
    static final class FullDirectMemory {
        public static void main(String[] arguments) {
            SubmissionServer server = new SubmissionServer(new DefaultEventLoop(), 1, new RecordingSubmissionHandler());
            EmbeddedChannel client = new EmbeddedChannel(server.pipeline());
            client.pipeline().fireExceptionCaught(
                    new OutOfMemoryError("Cannot reserve 65536 bytes of direct buffer memory"));
            System.exit(SURVIVED);
        }
    }
}
