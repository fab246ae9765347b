import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A new version under load, where the path of the folder for temporary files has 100 characters. */
final class Case8 {
    private static final int PATH_LENGTH = Integer.getInteger("length", 100);
    /** The page says 6 s; a process that takes longer than this will never be ready. */
    private static final double LIMIT_MS = 30_000;

    public static void main(String[] args) throws Exception {
        Rig.openRecord();
        Path base = Rig.temporary();
        Path state = Files.createDirectory(base.resolve("state"));
        int padding = PATH_LENGTH - base.toString().length() - "/".length();
        if (padding < 1 || padding > 255) {
            Rig.cannotRun("the temporary folder has no place for a path of this length");
        }
        Path tmp = Files.createDirectory(base.resolve("t".repeat(padding)));
        Path config = base.resolve("config.json");
        Rig.Directory directory = new Rig.Directory();
        Rig.Agent agent = new Rig.Agent(directory);
        Endpoint school = new Endpoint("s-1", call -> call.work(60) ? Endpoint.accepted(call) : null);
        directory.set("s-1", school.port, "hall-a", "nurseries", 1, "SERVING", 40);
        int port = Rig.freePort();
        int ops = Rig.freePort();
        int secondOps = Rig.freePort();
        Rig.replace(config, new Settings().json("n1", port, ops, agent.address(), directory.full()));
        Map<String, String> env = new HashMap<>(Map.of("GW_NAME", "n1", "GW_LISTEN", "127.0.0.1:" + port,
                "GW_DISCOVERY", agent.address(), "GW_OPS", "127.0.0.1:" + ops, "GW_STATE", state.toString(),
                "GW_CONFIG", config.toString(), "TMPDIR", tmp.toString()));
        Rig.note("TMPDIR has %d characters", tmp.toString().length());
        Rig.SenderProcess old = new Rig.SenderProcess("old", env);
        if (!Rig.awaitYes(port, 30_000)) {
            Rig.cannotRun("the sender is not ready");
        }
        boolean[] ended = new boolean[1];
        List<Rig.Message> messages = new ArrayList<>();
        Thread clients = Rig.thread("clients", () -> {
            Rig.Client client = new Rig.Client(port);
            double begin = Rig.now();
            for (int i = 0; !ended[0]; i++) {
                Rig.sleepUntil(begin + i * 50);
                Rig.Message message = new Rig.Message(String.format("status%010d", i), "status-sync", 1, null, null, 5000,
                        ("text " + i).getBytes());
                messages.add(message);
                client.send(message);
            }
        });
        Thread.sleep(3000);
        boolean ready = true;
        Rig.SenderProcess successor = old;
        double from = Rig.now();
        if (Rig.TROUBLE) {
            env.put("GW_OPS", "127.0.0.1:" + secondOps);
            successor = new Rig.SenderProcess("new", env);
            ready = false;
            int last = -1;
            while (!ready && Rig.now() < from + LIMIT_MS) {
                int answer = Rig.get(secondOps, "/healthcheck", 1000);
                if (answer != last) {
                    Rig.note("the new process answers its operators: %d", answer);
                    last = answer;
                }
                ready = answer == 200;
                Thread.sleep(20);
            }
            Rig.note(ready ? "the new process says yes" : "the new process has not said yes");
            if (ready) {
                old.signal("TERM");
            }
        }
        double tookMs = Rig.now() - from;
        Thread.sleep(4000);
        ended[0] = true;
        clients.join();
        long taken = messages.stream().filter(Rig.Message::taken).count();
        String text = messages.size() + " handed in, " + taken + " taken on, the new process "
                + (ready ? "is ready" : "hangs") + " after " + Math.round(tookMs) + " ms; the old one lives: "
                + old.process.isAlive();
        if (!successor.process.isAlive() || taken < messages.size() / 2) {
            Rig.cannotRun(text);
        }
        Rig.verdict(!ready, text);
    }
}
