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

/** The program as a process of its own, between clients, two endpoints of one destination and the platform's agent. */
abstract class SenderProcessFixture {
    /** Of {@code hasty} an attempt times out soon; {@code brief} is given up soon; the others wait long. */
    private static final String CLASSES = """
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
    private String known;

    @BeforeEach
    void open() throws Exception {
        agent = new DiscoveryAgent();
        agent.whenNoticed(this::noticesAcknowledged);
        for (int i = 0; i < endpointCount(); i++) {
            StubServer endpoint = new StubServer(SenderProcessFixture::accept);
            endpoints.add(endpoint);
            agent.list("s-" + i, listedAddress(endpoint), initialLifecycle(i));
        }
        known = agent.list();
        sender = new SenderProcess(folder, configure());
    }

    /** Writes the configuration, with the list of the beginning and the agent's present address. */
    Path configure() throws IOException {
        return new TestConfig(agent.hostPort()).classes(CLASSES).workers(workers()).batch(batch()).known(known)
                .write(folder);
    }

    int endpointCount() {
        return 2;
    }

    /** As what the list has an endpoint at the beginning. */
    String initialLifecycle(int endpoint) {
        return DiscoveryAgent.SERVING;
    }

    /** So many calls may be out at once. */
    int workers() {
        return 1;
    }

    /** One call may carry so many messages. */
    int batch() {
        return 20;
    }

    /** The address at which the list has an endpoint. */
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

    /** The platform has answered these notices. */
    void noticesAcknowledged(List<String> lines) {
        // For those who keep account of when.
    }

    // ---- endpoints ----

    /** Accepts all messages of a call at once. */
    static void accept(StubServer.Message call, Socket socket) throws Exception {
        StubServer.write(socket, acceptance(call));
    }

    /** The answer that accepts all messages of a call. */
    static String acceptance(StubServer.Message call) {
        return TestConfig.answer(ids(call).stream().map(id -> id + " accepted\r\n").collect(Collectors.joining()));
    }

    /** The ids of the messages that a call carries. */
    static List<String> ids(StubServer.Message call) {
        if (call.header("X-Call-Id") != null) {
            return List.of(call.header("X-Call-Id"));
        }
        List<String> ids = new ArrayList<>();
        String rest = call.body();
        while (!rest.isEmpty()) {
            String line = rest.substring(0, rest.indexOf("\r\n"));
            String[] parts = line.split(" ");
            ids.add(parts[0]);
            rest = rest.substring(line.length() + 2 + Integer.parseInt(parts[2]) + 2);
        }
        return ids;
    }

    void script(StubServer.Script script) {
        endpoints.forEach(endpoint -> endpoint.script(script));
    }

    List<StubServer.Message> calls() {
        return endpoints.stream().flatMap(endpoint -> endpoint.requests.stream()).toList();
    }

    long callCount(String id) {
        return calls().stream().filter(call -> ids(call).contains(id)).count();
    }

    // ---- clients and operators ----

    static StubServer.Message sendRequest(InetSocketAddress where, String request) throws IOException {
        try (Socket client = new Socket(where.getAddress(), where.getPort())) {
            client.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return StubServer.read(new BufferedInputStream(client.getInputStream()), 0);
        }
    }

    /** The status that a message is answered with. */
    String submissionStatus(String id, String messageClass) throws IOException {
        return sendRequest(sender.address(), TestConfig.message(id, messageClass, "hello")).line().split(" ")[1];
    }

    void submit(String id, String messageClass) throws IOException {
        assertEquals("202", submissionStatus(id, messageClass));
    }

    int metric(String name) {
        return metricOf(sender, name);
    }

    static int metricOf(SenderProcess process, String name) {
        try {
            String text = sendRequest(process.operatorsAddress(), "GET /stats HTTP/1.1\r\nHost: x\r\n\r\n").body();
            String line = text.lines().filter(l -> l.startsWith("svc." + name + ":")).findFirst().orElseThrow();
            return Integer.parseInt(line.replaceAll(".*:(\\d+)\\|.*", "$1"));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    void awaitAllEnded() throws InterruptedException {
        StubServer.await("nothing is held any more", () -> metric("in_flight") == 0);
    }
}
