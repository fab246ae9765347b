import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A new configuration with SIGHUP while a new version of the sender starts beside the old one. */
final class Case6 {
    private static final int PER_SECOND = 25;
    private static final long FEE_GIVE_UP_MS = 6000;

    public static void main(String[] args) throws Exception {
        Rig.openRecord();
        String variant = System.getenv().getOrDefault("VARIANT", "both");
        boolean upgrade = !variant.equals("reload");
        boolean reload = Rig.TROUBLE && !variant.equals("upgrade");
        Path base = Rig.temporary();
        Path state = Files.createDirectory(base.resolve("state"));
        Path tmp = Files.createDirectory(base.resolve("tmp"));
        Path config = base.resolve("config.json");
        Rig.Directory directory = new Rig.Directory();
        Rig.Agent agent = new Rig.Agent(directory);
        Set<String> delivered = ConcurrentHashMap.newKeySet();
        AtomicInteger fees = new AtomicInteger();
        Endpoint.Behaviour school = call -> {
            Thread.sleep(60);
            if (!call.batch && call.messages.get(0).id().startsWith("fee") && fees.incrementAndGet() % 100 == 50) {
                Rig.note("error for %s", call.messages.get(0).id());
                return Rig.answer(500, "", "");
            }
            call.messages.forEach(message -> delivered.add(message.id()));
            return Endpoint.accepted(call);
        };
        Endpoint first = new Endpoint("s-1", school);
        Endpoint second = new Endpoint("s-2", school);
        directory.set("s-1", first.port, "hall-a", "nurseries", 1, "SERVING", 40);
        directory.set("s-2", second.port, "hall-b", "nurseries", 2, "SERVING", 40);

        int port = Rig.freePort();
        int ops = Rig.freePort();
        int secondOps = Rig.freePort();
        Settings settings = new Settings();
        settings.feeGiveUpMs = FEE_GIVE_UP_MS;
        Rig.replace(config, settings.json("n1", port, ops, agent.address(), directory.full()));
        Map<String, String> env = new HashMap<>(Map.of("GW_NAME", "n1", "GW_LISTEN", "127.0.0.1:" + port,
                "GW_DISCOVERY", agent.address(), "GW_OPS", "127.0.0.1:" + ops, "GW_STATE", state.toString(),
                "GW_CONFIG", config.toString(), "TMPDIR", tmp.toString()));
        Rig.SenderProcess old = new Rig.SenderProcess("old", env);
        if (!Rig.awaitYes(port, 30_000)) {
            Rig.cannotRun("the sender is not ready");
        }
        if (old.ignoresHangUp()) {
            Rig.cannotRun("SIGHUP is ignored by what started this");
        }
        Rig.note("the sender is ready");

        List<Rig.Message> messages = new ArrayList<>();
        double begin = Rig.now();
        double end = begin + 24_000;
        Thread clients = Rig.thread("clients", () -> {
            Rig.Client[] pool = new Rig.Client[10];
            for (int i = 0; i < pool.length; i++) {
                pool[i] = new Rig.Client(port);
            }
            for (int i = 0; Rig.now() < end; i++) {
                Rig.sleepUntil(begin + i * 1000.0 / PER_SECOND);
                Rig.Message message = new Rig.Message(String.format("fee%013d", i), "fee-payment", 1 + i % 2,
                        String.format("%016x", i), null, FEE_GIVE_UP_MS, ("payment " + i).getBytes());
                synchronized (messages) {
                    messages.add(message);
                }
                pool[i % pool.length].send(message);
            }
        });
        Rig.sleepUntil(begin + 3000);
        Rig.SenderProcess successor = null;
        if (upgrade) {
            env.put("GW_OPS", "127.0.0.1:" + secondOps);
            successor = new Rig.SenderProcess("new", env);
            // It has read its configuration once its operators' address answers; it says no until it is ready.
            int answer = 0;
            while (answer == 0 && Rig.now() < begin + 12_000) {
                Thread.sleep(20);
                answer = Rig.get(secondOps, "/healthcheck", 500);
            }
            Rig.note("the new process answers its operators: %d", answer);
            if (answer == 200) {
                Rig.cannotRun("the new process was ready at once");
            }
        }
        Rig.Agent current = agent;
        if (reload) {
            current = new Rig.Agent(directory);
            Rig.replace(config, settings.json("n1", port, ops, current.address(), directory.full()));
            old.signal("HUP");
            if (upgrade && Rig.get(secondOps, "/healthcheck", 500) == 200) {
                Rig.cannotRun("the new process was ready before the signal");
            }
            agent.retire();
            Rig.note("discovery is at %s now, no more at %s", current.address(), agent.address());
        }
        if (upgrade) {
            double limit = begin + 15_000;
            while (Rig.get(secondOps, "/healthcheck", 500) != 200 && Rig.now() < limit) {
                Thread.sleep(20);
            }
            if (Rig.now() >= limit) {
                Rig.cannotRun("the new process was not ready 15 s after the first message");
            }
            Rig.note("the new process says yes");
            old.signal("TERM");
            double kill = Rig.now() + 3700;
            Rig.sleepUntil(kill);
            if (old.process.isAlive()) {
                old.signal("KILL");
            }
        }
        clients.join();
        Rig.sleepUntil(Rig.now() + FEE_GIVE_UP_MS + 1500);

        int taken = 0;
        List<String> lost = new ArrayList<>();
        int noticed = 0;
        for (Rig.Message message : messages) {
            taken += message.taken() ? 1 : 0;
            Double notice = Rig.NOTICES.get(message.id);
            noticed += notice != null ? 1 : 0;
            boolean inTime = notice != null && notice <= message.sentAt + FEE_GIVE_UP_MS + 350;
            if (message.taken() && !delivered.contains(message.id) && !inTime) {
                lost.add(message.id);
                Rig.note("lost: %s, handed in at %.0f, taken on at %.0f, its time up at %.0f, no notice by %.0f",
                        message.id, message.sentAt, message.answeredAt, message.sentAt + FEE_GIVE_UP_MS, Rig.now());
            }
        }
        String text = messages.size() + " handed in, " + taken + " taken on, " + delivered.size() + " delivered, "
                + noticed + " ended by a notice, " + lost.size() + " lost " + lost;
        boolean alive = (upgrade ? successor : old).process.isAlive();
        if (!alive || taken < messages.size() / 2) {
            Rig.note("the sender lives: %s", alive);
            Rig.cannotRun(text);
        }
        Rig.verdict(!lost.isEmpty(), text);
    }
}
