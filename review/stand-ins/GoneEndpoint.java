import java.io.IOException;
import java.util.Locale;

/**
 * A sender starts with an old list that still has an endpoint which discovery has not; then discovery is down, and the
 * sender is killed and starts again. No call may go to that endpoint.
 */
final class GoneEndpoint {
    public static void main(String[] args) throws IOException {
        Kit.run(args[0], GoneEndpoint::run);
    }

    private static int run(boolean trouble) throws Exception {
        Kit.Agent agent = new Kit.Agent();
        Kit.Endpoint[] endpoints = new Kit.Endpoint[3];
        StringBuilder known = new StringBuilder();
        for (int i = 0; i < 3; i++) {
            endpoints[i] = new Kit.Endpoint("s-" + i);
            String entry = Kit.entry("s-" + i, endpoints[i].hostPort(), "hall-a", "private-schools", 1, "SERVING", 8);
            known.append(i > 0 ? "," : "").append(entry);
            if (i < 2) {
                agent.set("s-" + i, entry);
            }
        }
        Kit.Sender sender = new Kit.Sender("n1");
        sender.configure(agent.hostPort(), Kit.lisboa(true),
                "{\"generation\":1,\"reset\":true,\"instances\":[" + known + "]}", 1024);
        sender.start(agent.hostPort());
        traffic(sender, 20);
        int before = endpoints[2].calls.size();
        if (trouble) {
            agent.silent(true);
        }
        Kit.sleep(1000);
        sender.kill();
        Kit.sleep(600);
        sender.start(agent.hostPort());
        traffic(sender, 40);
        agent.silent(false);
        traffic(sender, 10);
        int after = endpoints[2].calls.size();
        System.out.println(before + " calls before the restart, " + (after - before) + " after it to the endpoint that "
                + "discovery has not");
        return after > 0 ? Kit.BROKEN : Kit.HELD;
    }

    private static void traffic(Kit.Sender sender, int messages) {
        Kit.Client client = new Kit.Client(sender.listen);
        for (int i = 0; i < messages; i++) {
            client.submit(new Kit.Message(Kit.newId(), "status-sync", "", 1, 5000, "message"));
            Kit.sleep(100);
        }
        client.close();
    }
}
