package starlingvalve.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in for discovery's agent on the sender's machine, by the protocol: a list with versions, answered whole, as
 * changes, or to a watch that waits for the next change. While it is silent it answers nothing about the list, and
 * what was asked by then is never answered; notices it answers at any time.
 */
final class DiscoveryAgent implements AutoCloseable {
    static final String SERVING = "SERVING";
    static final String DRAINING = "DRAINING";
    static final String DELETED = "DELETED";
    private static final Pattern WATCH = Pattern.compile("GET /v1/servers\\?after=(-?\\d+)&wait_ms=(\\d+) .*");

    private record Server(String id, String hostPort, int destination, String lifecycle, int version) {
        String json() {
            return ("{\"instanceId\":\"%s\",\"hostPort\":\"%s\",\"zone\":\"a\",\"machineType\":\"m\",\"cell\":%d,"
                    + "\"lifecycle\":\"%s\",\"weight\":1.0,\"startedAtMs\":0}")
                    .formatted(id, hostPort, destination, lifecycle);
        }
    }

    /** Writes an answer to a connection. */
    interface AnswerWriter {
        void write(Socket socket, String answer) throws IOException;
    }

    final List<String> notices = new CopyOnWriteArrayList<>();
    /** Where it is now. */
    private volatile StubServer stub;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private int version = 1;
    private boolean silent;
    /** How often it has fallen silent. */
    private int outages;
    /** Requests that wait for the next change. */
    private int watches;
    private volatile Consumer<StubServer.Message> beforeAnswer = request -> { };
    private volatile Consumer<List<String>> beforeNoticed = lines -> { };
    private volatile Consumer<List<String>> whenNoticed = lines -> { };
    private volatile AnswerWriter writer = StubServer::write;

    DiscoveryAgent() throws IOException {
        stub = new StubServer(this::onRequest);
    }

    InetSocketAddress address() {
        return stub.address();
    }

    String hostPort() {
        return stub.hostPort();
    }

    /** What it was asked so far. */
    List<StubServer.Message> requests() {
        return stub.requests;
    }

    /** Lists a server, in the version that stands. */
    synchronized void list(String id, String hostPort, String lifecycle) {
        list(id, hostPort, TestConfig.DESTINATION, lifecycle);
    }

    /** The same for a destination of its own. */
    synchronized void list(String id, String hostPort, int destination, String lifecycle) {
        servers.put(id, new Server(id, hostPort, destination, lifecycle, version));
    }

    /** The next version of the list: this server has this lifecycle now. */
    synchronized void change(String id, String lifecycle) {
        version++;
        servers.computeIfPresent(id, (same, server) -> new Server(id, server.hostPort, server.destination,
                lifecycle, version));
        notifyAll();
    }

    /** Discovery is out of reach: what is asked, or waits for an answer, is never answered. Tells from when on. */
    synchronized long fallSilent() {
        silent = true;
        outages++;
        notifyAll();
        return System.nanoTime();
    }

    /** Discovery can be reached again: what is asked from now on is answered. Tells from when on. */
    synchronized long comeBack() {
        silent = false;
        return System.nanoTime();
    }

    /** Closes all connections that are open; it answers on new ones. */
    void closeConnections() throws IOException {
        stub.closeConnections();
    }

    /** An address that it has left: what is open there goes on until it is closed. */
    record Address(StubServer stub) {
        void closeAfter(long ms) {
            Thread closer = new Thread(() -> {
                try {
                    stub.stopAccepting();
                    TimeUnit.MILLISECONDS.sleep(ms);
                    stub.close();
                } catch (IOException | InterruptedException e) {
                    throw new AssertionError(e);
                }
            });
            closer.setDaemon(true);
            closer.start();
        }
    }

    /** It is at another address from now on, with the same list; returns the old one. */
    Address move() throws IOException {
        Address old = new Address(stub);
        stub = new StubServer(this::onRequest);
        return old;
    }

    /** How many requests wait for the next change now. */
    synchronized int watches() {
        return watches;
    }

    /** Called with each request about the list, before it is looked at. */
    void beforeAnswer(Consumer<StubServer.Message> task) {
        beforeAnswer = task;
    }

    /** All its answers are written through this from now on. */
    void writeThrough(AnswerWriter through) {
        writer = through;
    }

    /** Called with the lines of notices that are about to be answered. */
    void beforeNoticed(Consumer<List<String>> task) {
        beforeNoticed = task;
    }

    /** Called with the lines of notices that were answered. */
    void whenNoticed(Consumer<List<String>> task) {
        whenNoticed = task;
    }

    /** The whole list as it stands. */
    synchronized String list() {
        return answer(true, 0);
    }

    private String answer(boolean whole, int after) {
        List<String> entries = new ArrayList<>();
        for (Server server : servers.values()) {
            if (whole ? !server.lifecycle.equals(DELETED) : server.version > after) {
                entries.add(server.json());
            }
        }
        return "{\"generation\":" + version + ",\"reset\":" + whole + ",\"instances\":[" + String.join(",", entries)
                + "]}\n";
    }

    private void onRequest(StubServer.Message request, Socket socket) throws Exception {
        if (request.line().startsWith("POST ")) {
            List<String> lines = request.body().lines().toList();
            notices.addAll(lines);
            beforeNoticed.accept(lines);
            writer.write(socket, "HTTP/1.1 204 x\r\n\r\n");
            whenNoticed.accept(lines);
            return;
        }
        beforeAnswer.accept(request);
        String body = await(request.line());
        if (body != null) {
            writer.write(socket, TestConfig.answer(body));
        }
    }

    /** The answer to a request, once there is one; null if there will be none. */
    private synchronized String await(String request) throws InterruptedException {
        Matcher watch = WATCH.matcher(request);
        boolean whole = !watch.matches();
        int after = whole ? version : Integer.parseInt(watch.group(1));
        long endNanos = System.nanoTime() + (whole ? 0 : TimeUnit.MILLISECONDS.toNanos(Long.parseLong(watch.group(2))));
        int outagesBefore = outages;
        watches++;
        while (!silent && version <= after && System.nanoTime() < endNanos) {
            wait(1 + TimeUnit.NANOSECONDS.toMillis(Math.max(0, endNanos - System.nanoTime())));
        }
        watches--;
        // What waited over an outage was lost in it, though it may be over by now.
        return silent || outages != outagesBefore ? null : answer(whole, after);
    }

    @Override
    public void close() throws IOException {
        stub.close();
    }
}
