import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A peer sends a request that is too long, and whose body holds the text of other requests. Nothing in that body is a
 * request that a client has sent, so no endpoint may get it.
 */
final class Smuggled {
    private static final Set<String> sentByClients = ConcurrentHashMap.newKeySet();

    public static void main(String[] args) throws IOException {
        Kit.run(args[0], Smuggled::run);
    }

    private static int run(boolean trouble) throws Exception {
        Kit.Agent agent = new Kit.Agent();
        List<Kit.Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Kit.Endpoint endpoint = new Kit.Endpoint("s-" + i);
            endpoints.add(endpoint);
            agent.set(endpoint.name, Kit.entry(endpoint.name, endpoint.hostPort(), i % 2 == 0 ? "hall-a" : "hall-b",
                    "private-schools", 1 + i / 2, "SERVING", 8));
        }
        Kit.Sender sender = new Kit.Sender("n1");
        sender.configure(agent.hostPort(), Kit.lisboa(true), agent.wholeList(), 1024);
        sender.start(agent.hostPort());

        Thread traffic = Kit.start(() -> {
            Kit.Client client = new Kit.Client(sender.listen);
            for (int i = 0; i < 50; i++) {
                String type = i % 4 == 0 ? "fee-payment" : "status-sync";
                Kit.Message message = new Kit.Message(Kit.newId(), type, i % 4 == 0 ? "000000000000000" + i % 3 : "",
                        1 + i % 2, i % 4 == 0 ? 28000 : 5000, "client message " + i);
                sentByClients.add(message.id());
                client.submit(message);
                Kit.sleep(200);
            }
        });
        Set<String> inBodies = new TreeSet<>();
        if (trouble) {
            for (int i = 0; i < 4; i++) {
                Kit.sleep(2000);
                badPeer(sender.listen, inBodies);
            }
        }
        traffic.join();
        Kit.sleep(2000);

        int unsent = 0;
        for (Kit.Endpoint endpoint : endpoints) {
            for (Kit.Call call : endpoint.calls) {
                for (Kit.Received message : call.messages) {
                    if (!sentByClients.contains(message.id())) {
                        unsent++;
                        Kit.log("BROKEN: " + endpoint.name + " got " + message.id() + ", which no client has sent"
                                + (inBodies.contains(message.id()) ? "; it is text in the body of a longer request"
                                : ""));
                    }
                }
            }
        }
        System.out.println(unsent + " calls at endpoints that no client has sent");
        return unsent > 0 ? Kit.BROKEN : Kit.HELD;
    }

    /** Sends one request of over 64 KiB: the upload of a trace, which holds the requests of another system as text. */
    private static void badPeer(String address, Set<String> inBodies) {
        StringBuilder trace = new StringBuilder();
        while (trace.length() < 70_000) {
            Kit.Message message = new Kit.Message(Kit.newId(), "fee-payment", "", 1, 28000, "recorded payment");
            inBodies.add(message.id());
            trace.append(new String(message.request(), StandardCharsets.ISO_8859_1));
        }
        Kit.log("a peer sends a request with a body of " + trace.length() + " bytes and Expect: 100-continue");
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(3000);
            socket.connect(Kit.address(address), 1000);
            OutputStream out = socket.getOutputStream();
            out.write(("POST /fee-payment HTTP/1.1\r\nHost: app.svc\r\nExpect: 100-continue\r\nContent-Length: "
                    + trace.length() + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(trace.toString().getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = socket.getInputStream();
            byte[] answer = in.readNBytes(200);
            Kit.log("the peer gets: " + new String(answer, StandardCharsets.ISO_8859_1).replaceAll("[\r\n]+", " | "));
        } catch (IOException e) {
            Kit.log("the peer's connection ends: " + e.getMessage());
        }
    }
}
