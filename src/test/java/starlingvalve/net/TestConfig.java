package starlingvalve.net;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Builds a sender's configuration, for tests that choose its limits, message classes and known endpoint list. */
final class TestConfig {
    /** Default destination of messages and endpoints. */
    static final int DESTINATION = 7;
    private static final String NO_LIST = "null";
    private static final String KEYED_CLASS =
            "{\"name\":\"order\",\"aim_ms\":2000,\"give_up_ms\":24000,\"repeat\":\"keyed\",\"window_ms\":20000}";

    private final String discovery;
    private int sockets = 256;
    private double diskMb = 3;
    private String known = NO_LIST;
    private String classes = KEYED_CLASS;
    private int workers = 10;
    private int batch = 1;
    private boolean hedging;

    /** Starts with defaults and the address of discovery's agent. */
    TestConfig(String discovery) {
        this.discovery = discovery;
    }

    /** Limit on the process's file descriptors. */
    TestConfig sockets(int limit) {
        sockets = limit;
        return this;
    }

    /** Size limit of the journal. */
    TestConfig diskMb(double limit) {
        diskMb = limit;
        return this;
    }

    /** The endpoint list that the sender knows at its start, as JSON; none by default. */
    TestConfig known(String list) {
        known = list;
        return this;
    }

    /** The message classes, as comma-separated JSON objects. */
    TestConfig classes(String json) {
        classes = json;
        return this;
    }

    /** Largest number of calls in flight. */
    TestConfig workers(int limit) {
        workers = limit;
        return this;
    }

    /** Largest number of messages in one call. */
    TestConfig batch(int messages) {
        batch = messages;
        return this;
    }

    /** Whether a hedge may be sent for an attempt in flight. */
    TestConfig hedging(boolean allowed) {
        hedging = allowed;
        return this;
    }

    /** An endpoint list with one endpoint, as discovery would answer it. */
    static String list(StubServer endpoint) {
        return list(List.of(endpoint.hostPort()));
    }

    /** A list of endpoints of one destination with these addresses; their ids are {@code s-0}, {@code s-1} etc. */
    static String list(List<String> addresses) {
        String entries = IntStream.range(0, addresses.size()).mapToObj(i -> """
                {"instanceId":"s-%d","hostPort":"%s","zone":"a",
                 "machineType":"m","cell":7,"lifecycle":"SERVING","weight":1.0,"startedAtMs":0}"""
                .formatted(i, addresses.get(i))).collect(Collectors.joining(","));
        return "{\"generation\":1,\"reset\":true,\"instances\":[" + entries + "]}\n";
    }

    /** A request that submits a message of class {@code order} for the default destination. */
    static String message(String id, String body) {
        return message(id, "order", body);
    }

    /** A request that submits a message of the given class for the default destination. */
    static String message(String id, String messageClass, String body) {
        return "POST /" + messageClass + " HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Call-Class: "
                + messageClass + "\r\n"
                + "X-Caller: acme\r\nX-Budget-Ms: 24000\r\nIdempotency-Key: key-" + id
                + "\r\nX-Envelope: dest=7\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Writes the configuration file to the folder and returns its path. */
    Path write(Path folder) throws IOException {
        return Files.writeString(folder.resolve("config.json"), """
                {"name":"n0","listen":"127.0.0.1:0","ops":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964",
                 "limits":{"memory_mb":192,"sockets":%d,"disk_mb":%s},"known":%s,
                 "settings":{"classes":[%s],
                  "tenants":[{"name":"acme"}],"flavors":["m"],"zones":["a"],
                  "family_info":{"workers":%d,"batch_by_kind":[%d],"separate_routes":[false]},
                  "fleet_size":1,"limits":{"most_tries":12,"second_copies":%s,"cancel":true,"max_open":1000,
                   "dial_timeout_ms":1000,"keepalive_ms":15000},
                  "rules":{"start_capacity":0.2,"warm_after_ms":12000,"fall_multiple":2,"fall_ms":1500}}}
                """.formatted(discovery, sockets, diskMb, known, classes, workers, batch, hedging));
    }

    /** Answers a request for the full endpoint list with a list of one endpoint. */
    static void answerList(Socket socket, StubServer endpoint) throws IOException {
        answer(socket, list(endpoint));
    }

    /** Writes an HTTP answer with this body. */
    static void answer(Socket socket, String body) throws IOException {
        StubServer.write(socket, answer(body));
    }

    /** An HTTP answer with this body. */
    static String answer(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
