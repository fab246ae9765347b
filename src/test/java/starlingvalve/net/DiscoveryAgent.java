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
 * A fake agent of discovery on the sender's machine, which implements the protocol: it serves a list with versions as a
 * full list, as changes, or to a watch that waits for the next change. While it is unreachable it answers no request
 * for the list, and requests that wait at that time are never answered; notices are always answered.
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

    /** The lines of all notices received. */
    final List<String> notices = new CopyOnWriteArrayList<>();
    /** The server at the current address. */
    private volatile StubServer stub;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private int version = 1;
    private boolean unreachable;
    /** The number of times it became unreachable. */
    private int outages;
    /** The number of requests that wait for the next change. */
    private int watches;
    private volatile Consumer<StubServer.Message> beforeAnswer = request -> { };
    private volatile Consumer<List<String>> beforeNoticesAnswered = lines -> { };
    private volatile Consumer<List<String>> afterNoticesAnswered = lines -> { };
    private volatile AnswerWriter writer = StubServer::write;

    DiscoveryAgent() throws IOException {
        stub = new StubServer(this::handle);
    }

    InetSocketAddress address() {
        return stub.address();
    }

    String hostPort() {
        return stub.hostPort();
    }

    /** The requests received at the current address. */
    List<StubServer.Message> requests() {
        return stub.requests;
    }

    /** Adds a server to the list in the current version. */
    synchronized void list(String id, String hostPort, String lifecycle) {
        list(id, hostPort, TestConfig.DESTINATION, lifecycle);
    }

    /** Adds a server of the given destination to the list in the current version. */
    synchronized void list(String id, String hostPort, int destination, String lifecycle) {
        servers.put(id, new Server(id, hostPort, destination, lifecycle, version));
    }

    /** Starts the next version of the list, in which the server has the given lifecycle. */
    synchronized void change(String id, String lifecycle) {
        version++;
        servers.computeIfPresent(id, (same, server) -> new Server(id, server.hostPort, server.destination,
                lifecycle, version));
        notifyAll();
    }

    /** Stops answering: waiting and new requests are never answered. Returns the time of the change in nanoseconds. */
    synchronized long becomeUnreachable() {
        unreachable = true;
        outages++;
        notifyAll();
        return System.nanoTime();
    }

    /** Answers new requests again. Returns the time of the change in nanoseconds. */
    synchronized long becomeReachable() {
        unreachable = false;
        return System.nanoTime();
    }

    /** Closes all open connections; new ones are accepted. */
    void closeConnections() throws IOException {
        stub.closeConnections();
    }

    /** A former address: connections that are open there keep working until it is closed. */
    record Address(StubServer stub) {
        /** Refuses new connections there, and closes the open ones after the given time. */
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

    /** Moves to another address, with the same list; returns the former address. */
    Address move() throws IOException {
        Address former = new Address(stub);
        stub = new StubServer(this::handle);
        return former;
    }

    /** The number of requests that wait for the next change now. */
    synchronized int watches() {
        return watches;
    }

    /** Sets a task that is called with each request for the list before it is processed. */
    void beforeAnswer(Consumer<StubServer.Message> task) {
        beforeAnswer = task;
    }

    /** Sets the writer of all further answers. */
    void setAnswerWriter(AnswerWriter newWriter) {
        writer = newWriter;
    }

    /** Sets a task that is called with the lines of notices that are about to be answered. */
    void beforeNoticesAnswered(Consumer<List<String>> task) {
        beforeNoticesAnswered = task;
    }

    /** Sets a task that is called with the lines of notices that were answered. */
    void afterNoticesAnswered(Consumer<List<String>> task) {
        afterNoticesAnswered = task;
    }

    /** The current full list as the body of an answer. */
    synchronized String list() {
        return answer(true, 0);
    }

    private String answer(boolean full, int after) {
        List<String> entries = new ArrayList<>();
        for (Server server : servers.values()) {
            if (full ? !server.lifecycle.equals(DELETED) : server.version > after) {
                entries.add(server.json());
            }
        }
        return "{\"generation\":" + version + ",\"reset\":" + full + ",\"instances\":[" + String.join(",", entries)
                + "]}\n";
    }

    private void handle(StubServer.Message request, Socket socket) throws Exception {
        if (request.line().startsWith("POST ")) {
            List<String> lines = request.body().lines().toList();
            notices.addAll(lines);
            beforeNoticesAnswered.accept(lines);
            writer.write(socket, "HTTP/1.1 204 x\r\n\r\n");
            afterNoticesAnswered.accept(lines);
            return;
        }
        beforeAnswer.accept(request);
        String body = awaitAnswer(request.line());
        if (body != null) {
            writer.write(socket, TestConfig.answer(body));
        }
    }

    /** Waits until a request can be answered; returns the body of the answer, or null if there will be none. */
    private synchronized String awaitAnswer(String request) throws InterruptedException {
        Matcher watch = WATCH.matcher(request);
        boolean full = !watch.matches();
        int after = full ? version : Integer.parseInt(watch.group(1));
        long endNanos = System.nanoTime() + (full ? 0 : TimeUnit.MILLISECONDS.toNanos(Long.parseLong(watch.group(2))));
        int outagesBefore = outages;
        watches++;
        while (!unreachable && version <= after && System.nanoTime() < endNanos) {
            wait(1 + TimeUnit.NANOSECONDS.toMillis(Math.max(0, endNanos - System.nanoTime())));
        }
        watches--;
        // A request that waited during an outage is lost, even if the outage has ended since.
        return unreachable || outages != outagesBefore ? null : answer(full, after);
    }

    @Override
    public void close() throws IOException {
        stub.close();
    }
}
