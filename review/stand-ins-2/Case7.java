import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A school system answers slowly, and the settings forbid second copies. */
final class Case7 {
    private static final long USUAL_MS = 140;
    private static final long SLOW_MS = USUAL_MS * 15;
    /** A clump for the school system that gets slow, every 2 s: 15 % of all messages. */
    private static final String[] CLUMP = {"status-sync", "family-notice", "status-sync", "fee-payment", "status-sync",
            "family-notice", "status-sync", "fee-payment"};
    private static final double CLUMP_EVERY_MS = 2000;
    private static final int OTHERS_PER_SECOND = 23;

    private static void send(Rig.Client client, List<Rig.Message> messages, String type, String name, int dest) {
        long budgetMs = type.equals("status-sync") ? 5000 : type.equals("family-notice") ? 16_000 : 28_000;
        Rig.Message message = new Rig.Message(type.substring(0, 3) + name, type, dest,
                type.equals("fee-payment") ? "thread-" + name : null, type.equals("family-notice") ? "key-" + name : null,
                budgetMs, ("text of " + name).getBytes());
        synchronized (messages) {
            messages.add(message);
        }
        client.send(message);
    }

    public static void main(String[] args) throws Exception {
        Rig.openRecord();
        Path base = Rig.temporary();
        Path state = Files.createDirectory(base.resolve("state"));
        Path tmp = Files.createDirectory(base.resolve("tmp"));
        Path config = base.resolve("config.json");
        Rig.Directory directory = new Rig.Directory();
        Rig.Agent agent = new Rig.Agent(directory);
        double[] slow = {Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY};
        Endpoint.Behaviour school = call -> {
            boolean isSlow = call.at >= slow[0] && call.at < slow[1];
            if (isSlow) {
                Rig.note("slow: %s", call.messages.stream().map(Endpoint.Arrival::id).toList());
            }
            return call.work(isSlow ? SLOW_MS : USUAL_MS) ? Endpoint.accepted(call) : null;
        };
        for (int i = 1; i <= 2; i++) {
            Endpoint endpoint = new Endpoint("s-" + i, school);
            directory.set("s-" + i, endpoint.port, i == 1 ? "hall-a" : "hall-b", "school-groups", 1, "SERVING", 20);
        }
        for (int i = 3; i <= 8; i++) {
            Endpoint endpoint = new Endpoint("s-" + i, call -> call.work(USUAL_MS) ? Endpoint.accepted(call) : null);
            directory.set("s-" + i, endpoint.port, i % 2 == 0 ? "hall-a" : "hall-b", "nurseries", i - 1, "SERVING", 20);
        }
        int port = Rig.freePort();
        Settings settings = new Settings();
        settings.secondCopies = false;
        Rig.replace(config, settings.json("n1", port, Rig.freePort(), agent.address(), directory.full()));
        Map<String, String> env = new HashMap<>(Map.of("GW_NAME", "n1", "GW_LISTEN", "127.0.0.1:" + port,
                "GW_DISCOVERY", agent.address(), "GW_STATE", state.toString(), "GW_CONFIG", config.toString(), "TMPDIR",
                tmp.toString()));
        Rig.SenderProcess sender = new Rig.SenderProcess("sender", env);
        if (!Rig.awaitYes(port, 30_000)) {
            Rig.cannotRun("the sender is not ready");
        }
        double begin = Rig.now();
        if (Rig.TROUBLE) {
            slow[0] = begin + 5000;
            slow[1] = slow[0] + 10_000;
        }
        List<Rig.Message> messages = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLUMP.length; c++) {
            int number = c;
            clients.add(Rig.thread("clump", () -> {
                Rig.Client client = new Rig.Client(port);
                for (int i = 0; i < 10; i++) {
                    Rig.sleepUntil(begin + 1000 + i * CLUMP_EVERY_MS);
                    send(client, messages, CLUMP[number], "c" + number + "-" + i, 1);
                }
            }));
        }
        int others = 8;
        for (int c = 0; c < others; c++) {
            int number = c;
            clients.add(Rig.thread("client", () -> {
                Rig.Client client = new Rig.Client(port);
                for (int i = number; i < 20 * OTHERS_PER_SECOND; i += others) {
                    Rig.sleepUntil(begin + 1000 + i * 1000.0 / OTHERS_PER_SECOND);
                    send(client, messages, CLUMP[i / 7 % CLUMP.length], "o" + number + "-" + i, 2 + i % 6);
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        Rig.sleepUntil(begin + 33_000);
        List<String> copies = new ArrayList<>();
        synchronized (Endpoint.CALLS) {
            for (Endpoint.Call later : Endpoint.CALLS) {
                for (Endpoint.Call earlier : Endpoint.CALLS) {
                    if (earlier.at >= later.at) {
                        continue;
                    }
                    for (Endpoint.Arrival message : later.messages) {
                        boolean same = earlier.messages.stream().anyMatch(other -> other.id().equals(message.id()));
                        if (same && earlier.endedAt > later.at + 100) {
                            copies.add(message.id());
                            Rig.note("second copy: %s at %s at %.1f, while its call at %s of %.1f is out until %.1f",
                                    message.id(), message.endpoint(), later.at, earlier.messages.get(0).endpoint(),
                                    earlier.at, earlier.endedAt);
                        }
                    }
                }
            }
        }
        long taken = messages.stream().filter(Rig.Message::taken).count();
        long clumps = messages.stream().filter(message -> message.dest == 1).count();
        String text = messages.size() + " handed in, " + clumps + " of them for the slow school system, " + taken + " taken on, " + copies.size() + " second copies "
                + copies;
        if (!sender.process.isAlive() || taken < messages.size() / 2) {
            Rig.cannotRun(text);
        }
        Rig.verdict(!copies.isEmpty(), text);
    }
}
