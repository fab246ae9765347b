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
 * A whole sender over loopback sockets, for tests: clients, two endpoints of one destination, the agent, and the
 * operators' calls.
 */
abstract class SenderFixture {
    static final int MAX_OPEN = 5;

    @TempDir
    Path folder;
    final List<StubServer> endpoints = new ArrayList<>();
    final List<String> notices = new CopyOnWriteArrayList<>();
    final List<Socket> clients = new ArrayList<>();
    StubServer agent;
    volatile String endpointStates = "SERVING SERVING";
    volatile boolean agentUp = true;
    volatile int reportStatus = 204;
    boolean listInConfig = true;
    volatile BiConsumer<String, Object[]> beforeEvent = (event, arguments) -> { };
    int fleetSize = 1;
    /** Whether a second copy of a message may be out. */
    boolean hedging;
    final CountDownLatch killed = new CountDownLatch(1);
    /** Endpoints of other destinations, numbered on from the two. */
    volatile int otherDestinations;
    String listenAddress = "127.0.0.1:0";
    Sender sender;
    Path processLog;
    InetSocketAddress address;

    @BeforeEach
    void open() throws Exception {
        endpoints.add(new StubServer(StubServer.status(200, "")));
        endpoints.add(new StubServer(StubServer.status(200, "")));
        agent = new StubServer(this::agent);
        Files.createDirectory(folder.resolve("state"));
    }

    @AfterEach
    void close() throws Exception {
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

    // ---- the world ----

    void agent(StubServer.Message request, Socket socket) throws Exception {
        if (!agentUp) {
            return;
        }
        if (request.line().startsWith("POST /reports")) {
            int status = reportStatus;
            if (status == 204) {
                notices.addAll(List.of(request.body().trim().split("\n")));
            }
            StubServer.write(socket, "HTTP/1.1 " + status + " x\r\n"
                    + (status == 204 ? "\r\n" : "Content-Length: 0\r\n\r\n"));
            return;
        }
        String knownGeneration = request.line().contains("after=") ? request.line().replaceAll(".*after=(\\d+).*", "$1")
                : "";
        StubServer.await("something new on the list", () -> !knownGeneration.equals(generation()));
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
                "TMPDIR", folder.toString()));
    }

    void start() throws Exception {
        start(Sender.SHUTDOWN_LIMIT_MS);
    }

    void start(long closingMs) throws Exception {
        sender = new Sender(config(), Sender.SHUTDOWN_ACCEPT_MS, closingMs, 0, this::interceptEvents);
        address = sender.start();
    }

    /** The module, with what a test does before it is told of an event. */
    DeliveryPolicy interceptEvents(DeliveryPolicy relay) {
        return (DeliveryPolicy) Proxy.newProxyInstance(DeliveryPolicy.class.getClassLoader(),
                new Class<?>[] {DeliveryPolicy.class}, (proxy, method, arguments) -> {
                    beforeEvent.accept(method.getName(), arguments);
                    try {
                        return method.invoke(relay, arguments);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    void killAndRestart() throws Exception {
        sender.kill();
        start();
    }

    Socket client() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        clients.add(socket);
        return socket;
    }

    static StubServer.Message exchange(Socket socket, String text) throws IOException {
        StubServer.write(socket, text);
        return StubServer.read(new BufferedInputStream(socket.getInputStream()), 0);
    }

    static String message(String id, String type, String body) {
        return message(id, type, "", body);
    }

    static String message(String id, String type, String query, String body) {
        return "POST /" + type + query + " HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Call-Class: " + type
                + "\r\nX-Caller: acme\r\nX-Budget-Ms: 24000\r\nIdempotency-Key: key-" + id
                + "\r\nX-Envelope: dest=7\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    void submit(String id, String type) throws Exception {
        assertEquals("HTTP/1.1 202 Accepted", exchange(client(), message(id, type, "hello")).line());
    }

    List<StubServer.Message> calls() {
        return endpoints.stream().flatMap(e -> e.requests.stream()).toList();
    }

    void script(StubServer.Script script) {
        endpoints.forEach(e -> e.script(script));
    }

    /** What the journal holds, read from a copy. */
    List<AcceptedMessage> journalledMessages() {
        try {
            Path copy = Files.createTempDirectory(folder, "copy");
            Files.copy(folder.resolve("state/journal"), copy.resolve("journal"),
                    StandardCopyOption.REPLACE_EXISTING);
            try (Journal journal = new Journal(copy, 3_000_000, 12)) {
                return List.copyOf(journal.held());
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Leaves a journal as an earlier life would have: one message with one attempt, out since then. */
    AcceptedMessage leaveEarlierRun(String type, long attemptAgoMs, long leftMs, boolean notice) throws Exception {
        try (Journal journal = new Journal(folder.resolve("state"), 3_000_000, 12)) {
            long wall = System.currentTimeMillis();
            AcceptedMessage held =
                    new AcceptedMessage(journal.nextNumber(), "old", type, "acme", Optional.of("key-old"),
                            Optional.empty(), 7, wall + leftMs, "hello".getBytes(StandardCharsets.ISO_8859_1));
            journal.taken(held);
            if (attemptAgoMs > 0) {
                JournalTest.attempt(journal, held, new AcceptedMessage.Attempt("s-0", wall - attemptAgoMs));
            }
            if (notice) {
                journal.owed(held, new AcceptedMessage.Notice(true, 700));
            }
            return held;
        }
    }

    /** Leaves in a journal what an earlier life took on and never called for. */
    static AcceptedMessage unattempted(Journal journal, String id, String type, long destination,
            Optional<String> thread) throws IOException {
        AcceptedMessage held = new AcceptedMessage(journal.nextNumber(), id, type, "acme", Optional.of("key-" + id),
                thread, destination, System.currentTimeMillis() + 15_000,
                "hello".getBytes(StandardCharsets.ISO_8859_1));
        journal.taken(held);
        return held;
    }

    /** For lambdas, which may not throw. */
    static void awaitLatch(CountDownLatch latch) {
        try {
            assertTrue(latch.await(30, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    void awaitEmptyJournal() throws InterruptedException {
        StubServer.await("the journal holds nothing", () -> journalledMessages().isEmpty());
    }

    void awaitNotice(String result) throws Exception {
        StubServer.await("the notice", () -> !notices.isEmpty());
        assertTrue(notices.get(0).contains(result), notices.get(0));
        awaitEmptyJournal();
        assertEquals(1, notices.size());
    }

    // ---- operators ----

    String operatorRequest(String method, String path) throws Exception {
        try (Socket socket = new Socket(sender.opsAddress().getAddress(), sender.opsAddress().getPort())) {
            StubServer.Message answer = exchange(socket, method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
            return answer.line().split(" ")[1] + " " + answer.body();
        }
    }

    int metric(String name) throws Exception {
        return operatorRequest("GET", "/stats").lines().map(l -> l.replace("200 ", ""))
                .filter(l -> l.startsWith("svc." + name + ":"))
                .mapToInt(l -> Integer.parseInt(l.replaceAll(".*:(\\d+)\\|[cg]", "$1"))).findFirst().orElseThrow();
    }

    String healthStatus() throws Exception {
        return exchange(client(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").line().split(" ")[1];
    }
}
