import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

/**
 * An endpoint takes calls and answers none for a while. The settings allow no second copies: while a call with a
 * message is out on an open connection, no other call may carry that message.
 */
final class SecondCopies {
    public static void main(String[] args) throws IOException {
        Kit.run(args[0], SecondCopies::run);
    }

    private static int run(boolean trouble) throws Exception {
        Kit.Agent agent = new Kit.Agent();
        List<Kit.Endpoint> endpoints = new ArrayList<>();
        double[] hang = {Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY};
        for (int i = 0; i < 2; i++) {
            Kit.Endpoint endpoint = new Kit.Endpoint("s-" + i);
            endpoints.add(endpoint);
            boolean struck = i == 0;
            endpoint.behaviour = call -> {
                if (struck && Kit.now() >= hang[0] && Kit.now() < hang[1]) {
                    return null;
                }
                Kit.sleep(150);
                return call.delivered();
            };
            agent.set(endpoint.name, Kit.entry(endpoint.name, endpoint.hostPort(), i == 0 ? "hall-b" : "hall-a",
                    "school-groups", 1, "SERVING", 12));
        }
        Kit.Sender sender = new Kit.Sender("n1");
        sender.configure(agent.hostPort(), Kit.lisboa(false, 16), agent.wholeList(), 1024);
        sender.start(agent.hostPort());

        // Eight clients, each of which hands in a message every 500 ms.
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < 8; c++) {
            String type = c % 2 == 0 ? "status-sync" : "family-notice";
            clients.add(Kit.start(() -> {
                Kit.Client client = new Kit.Client(sender.listen);
                for (int i = 0; i < 40; i++) {
                    double next = Math.ceil((Kit.now() + 1) / 500) * 500;
                    Kit.sleep((long) Math.max(1, next - Kit.now()));
                    client.submit(new Kit.Message(Kit.newId(), type, "", 1,
                            type.equals("status-sync") ? 5000 : 16000, "message"));
                }
            }));
        }
        if (trouble) {
            Kit.sleep(5000);
            hang[0] = Kit.now();
            hang[1] = hang[0] + 10_000;
            Kit.log("s-0 takes calls and answers none for 10 s");
        }
        for (Thread client : clients) {
            client.join();
        }
        Kit.sleep(8000);

        List<Kit.Call> calls = new ArrayList<>();
        endpoints.forEach(endpoint -> calls.addAll(endpoint.calls));
        calls.sort(Comparator.comparingDouble(call -> call.arrivedAt));
        Map<String, List<Kit.Call>> byMessage = new HashMap<>();
        int copies = 0;
        for (Kit.Call call : calls) {
            for (Kit.Received message : call.messages) {
                for (Kit.Call earlier : byMessage.computeIfAbsent(message.id(), id -> new ArrayList<>())) {
                    // A margin for a close that is on its way.
                    if (call.arrivedAt + 100 < earlier.overAt) {
                        copies++;
                        Kit.log(String.format(Locale.ROOT, "BROKEN: %s came to %s at %.0f, while the call with it that "
                                + "came to %s at %.0f on connection %d was out, until %.0f", message.id(),
                                call.endpoint.name, call.arrivedAt, earlier.endpoint.name, earlier.arrivedAt,
                                earlier.connection, earlier.overAt));
                    }
                }
                byMessage.get(message.id()).add(call);
            }
        }
        System.out.println(byMessage.size() + " messages sent, " + copies + " second copies");
        return copies > 0 ? Kit.BROKEN : Kit.HELD;
    }
}
