package starlingvalve;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import starlingvalve.net.Sender;

/**
 * The command line: {@code serve} runs a sender on the network, {@code drill} speaks the simulator's line protocol on
 * standard input and output.
 */
public final class Main {
    private Main() {
    }

    /**
     * Runs the command that the argument names. Without a known command it prints the usage to standard error and exits
     * with code 2.
     */
    public static void main(String[] args) {
        if (args.length != 1 || !List.of("drill", "serve").contains(args[0])) {
            System.err.println("usage: java -jar starlingvalve.jar drill | serve");
            System.err.println("  drill   speak the simulator's line protocol on standard input and output");
            System.err.println("  serve   run a sender, configured by environment variables");
            System.exit(2);
        }
        if (args[0].equals("serve")) {
            System.exit(Sender.serve(System.getenv()));
        }
        OutputStream buffered = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16);
        PrintStream replies = new PrintStream(buffered, false, StandardCharsets.UTF_8);
        System.exit(new SimulatorAdapter(System.in, replies, System.err).run());
    }
}
