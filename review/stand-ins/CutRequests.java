import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Other clients send requests cut into pieces, stop in the middle, and stay. Meanwhile messages that the sender has
 * taken on wait for their turn at a school system with a limit. Each of them has to be delivered, or ended by a notice,
 * in its time.
 */
final class CutRequests {
    private static final int PEERS = Integer.getInteger("peers", 60);
    /** The page's half second after the time of a message, and 50 ms that each limit is longer on sockets. */
    private static final double GRACE_MS = 550;

    /** A message that was taken on, and when its time is up. */
    private record Taken(String id, double timeIsUpAt) {
    }

    private static final List<Taken> taken = Collections.synchronizedList(new ArrayList<>());
    private static final Map<String, Double> deliveredAt = new ConcurrentHashMap<>();

    public static void main(String[] args) throws IOException {
        Kit.run(args[0], CutRequests::run);
    }

    private static int run(boolean trouble) throws Exception {
        Kit.Agent agent = new Kit.Agent();
        List<Kit.Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            Kit.Endpoint endpoint = new Kit.Endpoint("s-" + i);
            endpoints.add(endpoint);
            endpoint.behaviour = call -> {
                Kit.sleep(100);
                deliver(call);
                return call.delivered();
            };
            // Destinations 1 and 2 have two endpoints each; destination 3 has one, with a limit.
            agent.set(endpoint.name, Kit.entry(endpoint.name, endpoint.hostPort(), i % 2 == 0 ? "hall-a" : "hall-b",
                    "private-schools", 1 + i / 2, "SERVING", i < 4 ? 8 : 2));
        }
        limit(endpoints.get(4), 2, 1000);
        Kit.Sender sender = new Kit.Sender("n1");
        sender.configure(agent.hostPort(), Kit.lisboa(true), agent.wholeList(), 1024);
        sender.start(agent.hostPort());

        Thread traffic = Kit.start(() -> {
            Kit.Client client = new Kit.Client(sender.listen);
            for (int i = 0; i < 60; i++) {
                submit(client, new Kit.Message(Kit.newId(), "status-sync", "", 1 + i % 2, 5000, "message " + i));
                Kit.sleep(200);
            }
        });
        Kit.sleep(2500);
        // A clump for one school system, as many as it takes in 3 s.
        Kit.Client clump = new Kit.Client(sender.listen);
        for (int i = 0; i < 6; i++) {
            submit(clump, new Kit.Message(Kit.newId(), "status-sync", "", 3, 5000, "clump " + i));
        }
        if (trouble) {
            Kit.log(PEERS + " peers connect");
            for (int i = 0; i < PEERS; i++) {
                Kit.start(() -> peer(sender.listen));
            }
        }
        traffic.join();
        Kit.sleep(8000);

        int lost = 0;
        for (Taken message : taken) {
            double end = Math.min(deliveredAt.getOrDefault(message.id(), Double.POSITIVE_INFINITY),
                    agent.noticeTimes.getOrDefault(message.id(), Double.POSITIVE_INFINITY));
            if (end > message.timeIsUpAt() + GRACE_MS) {
                lost++;
                Kit.log(String.format(Locale.ROOT, "BROKEN: %s was taken on, its time was up at %.0f, and %s",
                        message.id(), message.timeIsUpAt(), Double.isInfinite(end)
                        ? "it has no end after " + Math.round(Kit.now() - message.timeIsUpAt()) + " ms"
                        : "its end came " + Math.round(end - message.timeIsUpAt()) + " ms later"));
            }
        }
        System.out.println(taken.size() + " messages taken on, " + lost + " lost");
        return lost > 0 ? Kit.BROKEN : Kit.HELD;
    }

    private static void submit(Kit.Client client, Kit.Message message) {
        double sentAt = Kit.now();
        if (client.submit(message) == 202) {
            taken.add(new Taken(message.id(), sentAt + message.budgetMs()));
        }
    }

    /** An endpoint that takes {@code count} calls in each span, and tells to wait to the end of the span above that. */
    private static void limit(Kit.Endpoint endpoint, int count, long spanMs) {
        long[] span = new long[2];
        endpoint.behaviour = call -> {
            synchronized (span) {
                long now = (long) Kit.now();
                if (now >= span[0] + spanMs) {
                    span[0] = now;
                    span[1] = 0;
                }
                if (++span[1] > count) {
                    return Kit.answer(429, String.format(Locale.ROOT, "Retry-After: %.3f\r\n",
                            (span[0] + spanMs - now) / 1000.0), "");
                }
            }
            Kit.sleep(100);
            deliver(call);
            return call.delivered();
        };
    }

    static void deliver(Kit.Call call) {
        call.messages.forEach(message -> deliveredAt.putIfAbsent(message.id(), Kit.now()));
    }

    /** A peer whose request has a body of 64 KiB, cut into pieces: it sends all but the last 1 KB, and stays. */
    private static void peer(String address) {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(10_000);
            socket.connect(Kit.address(address), 3000);
            double connectedAt = Kit.now();
            OutputStream out = socket.getOutputStream();
            out.write(("POST /status-sync HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: " + Kit.newId()
                    + "\r\nX-Call-Class: status-sync\r\nX-Budget-Ms: 5000\r\nX-Envelope: dest=1\r\n"
                    + "Content-Length: 65536\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            for (int i = 0; i < 6; i++) {
                out.write(new byte[10_000]);
                Kit.sleep(20);
                for (int k = 0; k < 7; k++) {
                    out.write(new byte[100]);
                    Kit.sleep(20);
                }
            }
            int first = socket.getInputStream().read();
            Kit.log(String.format(Locale.ROOT, "a peer gets %s after %.0f ms", first < 0 ? "a close" : "an answer",
                    Kit.now() - connectedAt));
        } catch (IOException e) {
            Kit.log("a peer's connection ends: " + e.getMessage());
        }
    }
}
