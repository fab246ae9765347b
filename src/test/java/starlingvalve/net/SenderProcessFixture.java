package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * Fixture for tests of a sender in a process of its own, with clients, two endpoints of one destination and the
 * platform's agent.
 */
abstract class SenderProcessFixture {
    /**
     * Attempts of class {@code hasty} time out early, messages of class {@code brief} are given up early, and the other
     * classes have long time limits.
     */
    static final String CLASSES = """
            {"name":"hasty","aim_ms":100,"give_up_ms":24000,"repeat":"safe"},
            {"name":"brief","aim_ms":4000,"give_up_ms":6000,"repeat":"safe"},
            {"name":"safe","aim_ms":8000,"give_up_ms":24000,"repeat":"safe"},
            {"name":"keyed","aim_ms":8000,"give_up_ms":24000,"repeat":"keyed","window_ms":20000},
            {"name":"unsafe","aim_ms":8000,"give_up_ms":24000,"repeat":"unsafe"}""";

    @TempDir
    Path folder;
    final List<StubServer> endpoints = new ArrayList<>();
    SenderProcess sender;
    DiscoveryAgent agent;
    private String initialList;

    @BeforeEach
    void open() throws Exception {
        agent = new DiscoveryAgent();
        agent.afterNoticesAnswered(this::noticesAcknowledged);
        for (int i = 0; i < endpointCount(); i++) {
            StubServer endpoint = new StubServer(SenderProcessFixture::accept);
            endpoints.add(endpoint);
            agent.list("s-" + i, listedAddress(endpoint), initialLifecycle(i));
        }
        initialList = agent.list();
        sender = new SenderProcess(folder, configure());
    }

    /** Writes the configuration, with the initial endpoint list and the agent's current address. */
    Path configure() throws IOException {
        return new TestConfig(agent.hostPort()).classes(CLASSES).workers(workers()).batch(batch()).known(initialList)
                .write(folder);
    }

    int endpointCount() {
        return 2;
    }

    /** Returns the lifecycle of an endpoint in the initial list. */
    String initialLifecycle(int endpoint) {
        return DiscoveryAgent.SERVING;
    }

    /** Returns the maximum number of calls in flight. */
    int workers() {
        return 1;
    }

    /** Returns the maximum number of messages in one call. */
    int batch() {
        return 20;
    }

    /** Returns the address of an endpoint in the list. */
    String listedAddress(StubServer endpoint) throws IOException {
        return endpoint.hostPort();
    }

    @AfterEach
    void close() throws Exception {
        sender.close();
        for (StubServer endpoint : endpoints) {
            endpoint.close();
        }
        agent.close();
    }

    /** Called with the lines of notices that the platform has acknowledged. */
    void noticesAcknowledged(List<String> lines) {
        // Overridden by tests that record the times of acknowledgement.
    }

    // ---- endpoints ----

    /** A script that immediately answers a call with acceptance of all its messages. */
    static void accept(StubServer.Message call, Socket socket) throws Exception {
        StubServer.write(socket, acceptance(call));
    }

    /** Returns the response that accepts all messages of a call. */
    static String acceptance(StubServer.Message call) {
        return TestConfig.answer(ids(call).stream().map(id -> id + " accepted\r\n").collect(Collectors.joining()));
    }

    /** Returns the ids of the messages that a call carries: of the header for a single message, else of the batch. */
    static List<String> ids(StubServer.Message call) {
        if (call.header("X-Call-Id") != null) {
            return List.of(call.header("X-Call-Id"));
        }
        List<String> ids = new ArrayList<>();
        String remaining = call.body();
        while (!remaining.isEmpty()) {
            String line = remaining.substring(0, remaining.indexOf("\r\n"));
            String[] parts = line.split(" ");
            ids.add(parts[0]);
            remaining = remaining.substring(line.length() + 2 + Integer.parseInt(parts[2]) + 2);
        }
        return ids;
    }

    /** Sets the script of all endpoints. */
    void script(StubServer.Script script) {
        endpoints.forEach(endpoint -> endpoint.script(script));
    }

    /** Returns the calls that the endpoints have received, endpoint by endpoint. */
    List<StubServer.Message> calls() {
        return endpoints.stream().flatMap(endpoint -> endpoint.requests.stream()).toList();
    }

    /** Returns the number of received calls that carry the message of this id. */
    long callCount(String id) {
        return calls().stream().filter(call -> ids(call).contains(id)).count();
    }

    // ---- clients and operators ----

    /** Sends a request over a connection of its own and returns the response. */
    static StubServer.Message sendRequest(InetSocketAddress address, String request) throws IOException {
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return StubServer.read(new BufferedInputStream(client.getInputStream()), 0);
        }
    }

    /** Submits a message and returns the status of the response. */
    String submissionStatus(String id, String messageClass) throws IOException {
        return sendRequest(sender.address(), TestConfig.message(id, messageClass, "hello")).line().split(" ")[1];
    }

    /** Submits a message, which must be accepted. */
    void submit(String id, String messageClass) throws IOException {
        assertEquals("202", submissionStatus(id, messageClass));
    }

    /** Returns the value of the metric {@code svc.name} in the sender's statistics. */
    int metric(String name) {
        return metricOf(sender, name);
    }

    /** Returns the value of the metric {@code svc.name} in the statistics of this process. */
    static int metricOf(SenderProcess process, String name) {
        try {
            String text = sendRequest(process.operatorsAddress(), "GET /stats HTTP/1.1\r\nHost: x\r\n\r\n").body();
            String metricLine = text.lines().filter(line -> line.startsWith("svc." + name + ":")).findFirst()
                    .orElseThrow();
            return Integer.parseInt(metricLine.replaceAll(".*:(\\d+)\\|.*", "$1"));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Waits until every accepted message has ended. */
    void awaitAllEnded() throws InterruptedException {
        StubServer.await("all messages have ended", () -> metric("in_flight") == 0);
    }
}
