import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The endpoint of a school system: begins a call when its last byte has come, and answers as its owner says. */
final class Endpoint {
    /** One message in a call, at the time of the call's last byte. */
    record Arrival(String id, String key, byte[] body, double at, String endpoint) {
    }

    /** A call: one message, or several. */
    static final class Call {
        final List<Arrival> messages = new ArrayList<>();
        boolean batch;
        Socket socket;
        int onConnection;
        final double at = Rig.now();
        /** When its answer was written or its connection ended; infinite while it is out. */
        volatile double endedAt = Double.POSITIVE_INFINITY;

        /** Works on the call for a time; returns false as soon as the sender ends its connection. */
        boolean work(long ms) throws IOException {
            double until = Rig.now() + ms;
            while (Rig.now() < until) {
                socket.setSoTimeout((int) Math.max(1, Math.ceil(until - Rig.now())));
                try {
                    if (socket.getInputStream().read() < 0) {
                        endedAt = Rig.now();
                        return false;
                    }
                } catch (java.net.SocketTimeoutException e) {
                    // It is still open.
                } catch (java.net.SocketException e) {
                    endedAt = Rig.now();
                    return false;
                }
            }
            socket.setSoTimeout(0);
            return true;
        }
    }

    interface Behaviour {
        /** Answers a call; null leaves it unanswered and closes its connection. */
        byte[] answer(Call call) throws Exception;
    }

    /** All messages that any endpoint has got, in the order of arrival. */
    static final List<Arrival> ARRIVALS = Collections.synchronizedList(new ArrayList<>());
    static final List<Call> CALLS = Collections.synchronizedList(new ArrayList<>());

    final String id;
    final int port;
    private final ServerSocket server;
    private final Behaviour behaviour;
    private final List<Socket> open = Collections.synchronizedList(new ArrayList<>());

    Endpoint(String id, Behaviour behaviour) throws IOException {
        this.id = id;
        this.behaviour = behaviour;
        server = Rig.listen(0);
        port = server.getLocalPort();
        Rig.serve(server, "endpoint " + id, this::handle);
    }

    private void handle(Socket socket) throws Exception {
        open.add(socket);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (int number = 0;; number++) {
            Rig.Http request = Rig.read(in);
            double at = Rig.now();
            if (request.first.startsWith("GET ")) {
                socket.getOutputStream().write(Rig.answer(200, "", ""));
                continue;
            }
            Call call = new Call();
            call.socket = socket;
            call.onConnection = number;
            call.batch = request.first.contains(":batch");
            if (call.batch) {
                parse(request.body, call, at);
            } else {
                call.messages.add(new Arrival(request.header("X-Call-Id"), request.header("Idempotency-Key"),
                        request.body, at, id));
            }
            ARRIVALS.addAll(call.messages);
            CALLS.add(call);
            List<String> ids = call.messages.stream().map(Arrival::id).toList();
            Rig.note("endpoint %s: call of %.1f with %s", id, at, ids);
            byte[] answer = behaviour.answer(call);
            if (answer == null) {
                call.endedAt = Math.min(call.endedAt, Rig.now());
                Rig.note("endpoint %s: the sender has ended its call of %.1f", id, at);
                return;
            }
            try {
                socket.getOutputStream().write(answer);
            } finally {
                call.endedAt = Math.min(call.endedAt, Rig.now());
            }
            Rig.note("endpoint %s: call of %.1f answered: %s", id, at,
                    new String(answer, StandardCharsets.ISO_8859_1).trim().replaceAll("\\s+", " "));
        }
    }

    private void parse(byte[] body, Call call, double at) {
        int position = 0;
        while (position < body.length) {
            int end = position;
            while (body[end] != '\n') {
                end++;
            }
            String[] head = new String(body, position, end - position, StandardCharsets.ISO_8859_1).trim().split(" ");
            int length = Integer.parseInt(head[2]);
            byte[] message = java.util.Arrays.copyOfRange(body, end + 1, end + 1 + length);
            call.messages.add(new Arrival(head[0], head[1].equals("-") ? "" : head[1], message, at, id));
            position = end + 1 + length + 2;
        }
    }

    /** The answer that all messages of a call are accepted. */
    static byte[] accepted(Call call) {
        StringBuilder lines = new StringBuilder();
        if (call.batch) {
            call.messages.forEach(message -> lines.append(message.id()).append(" accepted\r\n"));
        }
        return Rig.answer(200, "", lines.toString());
    }
}
