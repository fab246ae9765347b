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
 * A peer sends many requests at once, reads no answer, and goes. The sender has to go on: it must end each message that
 * it has taken on in its time, and serve its clients.
 */
final class ManyAtOnce {
    private static final String REQUEST = System.getProperty("request", "GET /") + " HTTP/1.1\r\n\r\n";
    private static final double PEER_STAYS_MS = Integer.getInteger("stays", 12_000);
    private static final int MOST_BYTES = 60_000_000;
    /** The page's half second after the time of a message, and 50 ms that each limit is longer on sockets. */
    private static final double GRACE_MS = 550;

    /** A message that was taken on, and when its time is up. */
    private record Taken(String id, double timeIsUpAt) {
    }

    private static final List<Taken> taken = Collections.synchronizedList(new ArrayList<>());
    private static final Map<String, Double> deliveredAt = new ConcurrentHashMap<>();

    public static void main(String[] args) throws IOException {
        Kit.run(args[0], ManyAtOnce::run);
    }

    private static int run(boolean trouble) throws Exception {
        Kit.Agent agent = new Kit.Agent();
        for (int i = 0; i < 5; i++) {
            Kit.Endpoint endpoint = new Kit.Endpoint("s-" + i);
            // Destinations 1 and 2 have two endpoints each; destination 3 has one, with a limit.
            agent.set(endpoint.name, Kit.entry(endpoint.name, endpoint.hostPort(), i % 2 == 0 ? "hall-a" : "hall-b",
                    "private-schools", 1 + i / 2, "SERVING", i < 4 ? 8 : 2));
            Kit.Behaviour ordinary = call -> {
                Kit.sleep(100);
                call.messages.forEach(message -> deliveredAt.putIfAbsent(message.id(), Kit.now()));
                return call.delivered();
            };
            endpoint.behaviour = i < 4 ? ordinary : limited(ordinary, 2, 1000);
        }
        Kit.Sender sender = new Kit.Sender("n1");
        sender.configure(agent.hostPort(), Kit.lisboa(true), agent.wholeList(), 1024);
        sender.start(agent.hostPort());

        Thread traffic = Kit.start(() -> {
            Kit.Client client = new Kit.Client(sender.listen);
            for (int i = 0; i < 80; i++) {
                submit(client, new Kit.Message(Kit.newId(), "status-sync", "", 1 + i % 2, 5000, "message " + i));
                Kit.sleep(200);
            }
        });
        Kit.sleep(2500);
        // Clumps for one school system, each as many as it takes in 2.5 s.
        Thread clumps = Kit.start(() -> {
            Kit.Client clump = new Kit.Client(sender.listen);
            for (int i = 0; i < 25; i++) {
                submit(clump, new Kit.Message(Kit.newId(), "status-sync", "", 3, 5000, "clump " + i));
                if (i % 5 == 4) {
                    Kit.sleep(2500);
                }
            }
        });
        Kit.sleep(1000);
        double peerLeftAt = Kit.now();
        if (trouble) {
            peer(sender.listen);
            peerLeftAt = Kit.now();
        }
        traffic.join();
        clumps.join();
        // What is served now, long after the peer has gone.
        int served = 0;
        Kit.Client later = new Kit.Client(sender.listen);
        for (int i = 0; i < 10; i++) {
            served += later.submit(new Kit.Message(Kit.newId(), "status-sync", "", 1, 5000, "later")) == 202 ? 1 : 0;
        }
        int health = Kit.get(sender.listen, "/healthz", 1000);
        System.out.printf(Locale.ROOT, "%.0f s after the peer has gone %d of 10 messages are taken on, and /healthz "
                + "answers %d%n", (Kit.now() - peerLeftAt) / 1000, served, health);
        Kit.log("later: taken on " + served + " of 10, /healthz answers " + health);
        Kit.sleep(6000);

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
        boolean hangs = served == 0 && health != 200;
        if (hangs) {
            Kit.log("the process is there, and serves nobody");
        }
        System.out.println(taken.size() + " messages taken on, " + lost + " lost" + (hangs ? "; the sender hangs" : ""));
        return lost > 0 ? Kit.BROKEN : Kit.HELD;
    }

    private static void submit(Kit.Client client, Kit.Message message) {
        double sentAt = Kit.now();
        if (client.submit(message) == 202) {
            taken.add(new Taken(message.id(), sentAt + message.budgetMs()));
        }
    }

    /** An endpoint that takes {@code count} calls in each span, and tells to wait to the end of the span above that. */
    private static Kit.Behaviour limited(Kit.Behaviour ordinary, int count, long spanMs) {
        long[] span = new long[2];
        return call -> {
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
            return ordinary.answer(call);
        };
    }

    /** Sends as much as the sender takes, until that closes the connection or for some seconds, and goes. */
    private static void peer(String address) {
        long[] sent = new long[1];
        try (Socket socket = new Socket()) {
            socket.connect(Kit.address(address), 3000);
            Kit.log("a peer connects");
            double until = Kit.now() + PEER_STAYS_MS;
            Thread writer = Kit.start(() -> {
                byte[] many = REQUEST.repeat(1000).getBytes(StandardCharsets.ISO_8859_1);
                try {
                    OutputStream out = socket.getOutputStream();
                    while (sent[0] < MOST_BYTES) {
                        out.write(many);
                        sent[0] += many.length;
                    }
                } catch (IOException e) {
                    Kit.log("the peer can't send more: " + e.getMessage());
                }
            });
            writer.join((long) PEER_STAYS_MS);
            Kit.sleep((long) Math.max(0, until - Kit.now()));
        } catch (Exception e) {
            Kit.log("the peer's connection ends: " + e.getMessage());
        }
        Kit.log("the peer has gone, after " + sent[0] + " bytes, " + sent[0] / REQUEST.length() + " requests");
    }
}
