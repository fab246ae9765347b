package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import starlingvalve.DeliveryPolicy;

/**
 * Fixture for tests of a whole sender over loopback sockets, with clients, two endpoints of one destination, the
 * discovery agent and operators' requests.
 */
abstract class SenderFixture {
    /** The setting {@code max_open}: how many messages the sender may hold. */
    static final int MAX_OPEN = 5;

    @TempDir
    Path folder;
    final List<StubServer> endpoints = new ArrayList<>();
    final List<String> notices = new CopyOnWriteArrayList<>();
    final List<Socket> clients = new ArrayList<>();
    StubServer agent;
    /** Lifecycles of the first two endpoints in the agent's list, separated by a space. */
    volatile String endpointStates = "SERVING SERVING";
    volatile boolean agentUp = true;
    /** Status with which the agent answers notices. */
    volatile int noticeStatus = 204;
    /** Whether the configuration contains the endpoint list. */
    boolean listInConfig = true;
    /** Runs before each call of the policy, with the name of its method and the arguments. */
    volatile BiConsumer<String, Object[]> beforeEvent = (event, arguments) -> { };
    /** The setting {@code fleet_size}. */
    int fleetSize = 1;
    /** The setting {@code second_copies}: whether a hedge of a message in flight may be sent. */
    boolean hedging;
    /** Counted down when the test has copied the journal; until then the event loop of the sender is blocked. */
    final CountDownLatch journalCopied = new CountDownLatch(1);
    /**
     * Number of further destinations, each with one listed endpoint. Destination and endpoint have the same number,
     * from 2 on; the two stubs serve all of them.
     */
    volatile int otherDestinations;
    String listenAddress = "127.0.0.1:0";
    Sender sender;
    Path processLog;
    InetSocketAddress address;

    @BeforeEach
    void openStubs() throws Exception {
        endpoints.add(new StubServer(StubServer.status(200, "")));
        endpoints.add(new StubServer(StubServer.status(200, "")));
        agent = new StubServer(this::answerAgentRequest);
        Files.createDirectory(folder.resolve("state"));
    }

    @AfterEach
    void closeAll() throws Exception {
        if (sender != null) {
            sender.kill();
        }
        for (Socket client : clients) {
            client.close();
        }
        for (StubServer stub : endpoints) {
            stub.close();
        }
        agent.close();
    }

    // ---- the agent and the configuration ----

    /** Answers a request to the agent: a notice, or a request for the endpoint list. */
    void answerAgentRequest(StubServer.Message request, Socket socket) throws Exception {
        if (!agentUp) {
            return;
        }
        if (request.line().startsWith("POST /reports")) {
            int status = noticeStatus;
            if (status == 204) {
                notices.addAll(List.of(request.body().trim().split("\n")));
            }
            StubServer.write(socket, "HTTP/1.1 " + status + " x\r\n"
                    + (status == 204 ? "\r\n" : "Content-Length: 0\r\n\r\n"));
            return;
        }
        String knownGeneration = request.line().contains("after=") ? request.line().replaceAll(".*after=(\\d+).*", "$1")
                : "";
        StubServer.await("the list has changed", () -> !knownGeneration.equals(generation()));
        String list = list();
        StubServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
    }

    String generation() {
        return Integer.toString(1000 + (endpointStates + otherDestinations).hashCode() % 1000);
    }

    String list() {
        String[] state = endpointStates.split(" ");
        return "{\"generation\":" + generation() + ",\"reset\":true,\"instances\":[" + entry(0, state[0]) + ","
                + entry(1, state[1]) + IntStream.range(2, 2 + otherDestinations)
                .mapToObj(i -> "," + entry(i, "SERVING")).collect(Collectors.joining()) + "]}";
    }

    String entry(int number, String state) {
        return "{\"instanceId\":\"s-" + number + "\",\"hostPort\":\"" + endpoints.get(number % 2).hostPort()
                + "\",\"zone\":\"a\",\"machineType\":\"m\",\"cell\":" + (number < 2 ? 7 : number)
                + ",\"lifecycle\":\"" + state
                + "\",\"weight\":1.0,\"startedAtMs\":0}";
    }

    /** The folder of the socket at which an old and a new process meet. */
    Path temporaryFolder() throws IOException {
        return folder;
    }

    Config config() throws Exception {
        String classes = """
                {"name":"order","aim_ms":2000,"give_up_ms":24000,"repeat":"keyed","window_ms":20000},
                {"name":"once","aim_ms":2000,"give_up_ms":24000,"repeat":"unsafe","sequential":true},
                {"name":"plain","aim_ms":2000,"give_up_ms":24000,"repeat":"safe"}""";
        Path file = folder.resolve("config.json");
        Files.writeString(file, """
                {"name":"n0","listen":"%s","ops":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964",
                 "limits":{"memory_mb":192,"sockets":256,"disk_mb":3},"known":%s,
                 "settings":{"classes":[%s],"tenants":[{"name":"acme"}],"flavors":["m"],"zones":["a"],
                  "family_info":{"workers":10,"batch_by_kind":[1],"separate_routes":[false]},
                  "fleet_size":%d,"limits":{"most_tries":12,"second_copies":%s,"cancel":true,"max_open":%d,
                   "dial_timeout_ms":1000,"keepalive_ms":15000},
                  "rules":{"start_capacity":0.2,"warm_after_ms":12000,"fall_multiple":2,"fall_ms":1500}}}
                """.formatted(listenAddress, agent.hostPort(), listInConfig ? list() : "null", classes, fleetSize,
                        hedging, MAX_OPEN));
        return Config.read(Map.of("GW_CONFIG", file.toString(), "GW_STATE", folder.resolve("state").toString(),
                "TMPDIR", temporaryFolder().toString()));
    }

    void start() throws Exception {
        start(Sender.SHUTDOWN_LIMIT_MS);
    }

    void start(long shutdownLimitMs) throws Exception {
        sender = new Sender(config(), Sender.SHUTDOWN_ACCEPT_MS, shutdownLimitMs, 0, this::interceptEvents);
        address = sender.start();
    }

    /** Wraps the policy so that {@link #beforeEvent} runs before each of its calls. */
    DeliveryPolicy interceptEvents(DeliveryPolicy policy) {
        return (DeliveryPolicy) Proxy.newProxyInstance(DeliveryPolicy.class.getClassLoader(),
                new Class<?>[] {DeliveryPolicy.class}, (proxy, method, arguments) -> {
                    beforeEvent.accept(method.getName(), arguments);
                    try {
                        return method.invoke(policy, arguments);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    /** Starts a successor beside the running sender, and returns the latter. */
    Sender startSuccessor() throws Exception {
        Sender predecessor = sender;
        listenAddress = "127.0.0.1:" + address.getPort();
        start();
        return predecessor;
    }

    void killAndRestart() throws Exception {
        sender.kill();
        start();
    }

    /** Connects a new client. */
    Socket client() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        clients.add(socket);
        return socket;
    }

    /** Sends a request and returns the answer. */
    static StubServer.Message exchange(Socket socket, String text) throws IOException {
        StubServer.write(socket, text);
        return StubServer.read(new BufferedInputStream(socket.getInputStream()), 0);
    }

    /** Text of the request that submits a message of class {@code type}. */
    static String message(String id, String type, String body) {
        return message(id, type, "", body);
    }

    static String message(String id, String type, String query, String body) {
        return "POST /" + type + query + " HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Call-Class: " + type
                + "\r\nX-Caller: acme\r\nX-Budget-Ms: 24000\r\nIdempotency-Key: key-" + id
                + "\r\nX-Envelope: dest=7\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Submits a message that must be accepted. */
    void submit(String id, String type) throws Exception {
        assertEquals("HTTP/1.1 202 Accepted", exchange(client(), message(id, type, "hello")).line());
    }

    /** All requests that the endpoints have received. */
    List<StubServer.Message> calls() {
        return endpoints.stream().flatMap(e -> e.requests.stream()).toList();
    }

    /** Sets how both endpoints answer. */
    void script(StubServer.Script script) {
        endpoints.forEach(e -> e.script(script));
    }

    /** Returns the messages in the journal, read from a copy of it. */
    List<AcceptedMessage> journalledMessages() {
        try {
            Path copy = Files.createTempDirectory(folder, "copy");
            Files.copy(folder.resolve("state/journal"), copy.resolve("journal"),
                    StandardCopyOption.REPLACE_EXISTING);
            try (Journal journal = new Journal(copy, 3_000_000, 12)) {
                return List.copyOf(journal.liveMessages());
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * Writes the journal that an earlier process run leaves behind: one message with {@code leftMs} until its deadline,
     * with an attempt in flight since {@code attemptAgoMs} (0: none), and with or without an outstanding notice.
     */
    AcceptedMessage writeEarlierJournal(String type, long attemptAgoMs, long leftMs, boolean notice) throws Exception {
        try (Journal journal = new Journal(folder.resolve("state"), 3_000_000, 12)) {
            long nowMs = System.currentTimeMillis();
            AcceptedMessage accepted =
                    new AcceptedMessage(journal.nextNumber(), "old", type, "acme", Optional.of("key-old"),
                            Optional.empty(), 7, nowMs + leftMs, "hello".getBytes(StandardCharsets.ISO_8859_1));
            journal.accepted(accepted);
            if (attemptAgoMs > 0) {
                JournalTest.attempt(journal, accepted, new AcceptedMessage.Attempt("s-0", nowMs - attemptAgoMs));
            }
            if (notice) {
                journal.noticePending(accepted, new AcceptedMessage.Notice(true, 700));
            }
            return accepted;
        }
    }

    /** Writes a message to the journal that an earlier process run accepted and never attempted. */
    static AcceptedMessage writeUnattempted(Journal journal, String id, String type, long destination,
            Optional<String> orderingKey) throws IOException {
        AcceptedMessage accepted = new AcceptedMessage(journal.nextNumber(), id, type, "acme", Optional.of("key-" + id),
                orderingKey, destination, System.currentTimeMillis() + 15_000,
                "hello".getBytes(StandardCharsets.ISO_8859_1));
        journal.accepted(accepted);
        return accepted;
    }

    /** Waits for a latch. Throws no checked exception, so that lambdas can call it. */
    static void awaitLatch(CountDownLatch latch) {
        try {
            assertTrue(latch.await(30, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    void awaitEmptyJournal() throws InterruptedException {
        StubServer.await("the journal is empty", () -> journalledMessages().isEmpty());
    }

    /** Waits for one notice, which contains the given text, and for the journal to become empty. */
    void awaitNotice(String text) throws Exception {
        StubServer.await("the notice arrives", () -> !notices.isEmpty());
        assertTrue(notices.get(0).contains(text), notices.get(0));
        awaitEmptyJournal();
        assertEquals(1, notices.size());
    }

    // ---- operators ----

    /** Sends an operator's request; returns the status code and the body of the answer. */
    String operatorRequest(String method, String path) throws Exception {
        try (Socket socket = new Socket(sender.opsAddress().getAddress(), sender.opsAddress().getPort())) {
            StubServer.Message answer = exchange(socket, method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
            return answer.line().split(" ")[1] + " " + answer.body();
        }
    }

    /** Returns the value of the metric {@code svc.name} in the sender's statistics. */
    int metric(String name) throws Exception {
        return operatorRequest("GET", "/stats").lines().map(l -> l.replace("200 ", ""))
                .filter(l -> l.startsWith("svc." + name + ":"))
                .mapToInt(l -> Integer.parseInt(l.replaceAll(".*:(\\d+)\\|[cg]", "$1"))).findFirst().orElseThrow();
    }

    /** Status code of the answer to a client's health check. */
    String healthStatus() throws Exception {
        return exchange(client(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").line().split(" ")[1];
    }
}
