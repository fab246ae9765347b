import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** The stand-ins of the cases: clients, endpoints, the platform's agent, and the start and end of senders. */
final class Kit {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private static final long START = System.nanoTime();
    private static BufferedWriter record;
    private static final List<Process> processes = Collections.synchronizedList(new ArrayList<>());
    private static Path folder;
    private static final AtomicLong ids = new AtomicLong(System.nanoTime() & 0xffffff);

    private Kit() {
    }

    /** A case: returns {@link #HELD} or {@link #BROKEN}; an exception means that it could not run. */
    interface Case {
        int run(boolean trouble) throws Exception;
    }

    /** Runs a case, and exits with its result after the end of all processes that it started. */
    static void run(String recordFile, Case body) throws IOException {
        record = Files.newBufferedWriter(Path.of(recordFile));
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::cleanUp));
        Thread limit = new Thread(() -> {
            sleep(112_000);
            log("the case takes too long");
            cleanUp();
            Runtime.getRuntime().halt(COULD_NOT_RUN);
        });
        limit.setDaemon(true);
        limit.start();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        log("begin, trouble=" + trouble);
        int result;
        try {
            result = body.run(trouble);
        } catch (Throwable e) {
            log("could not run: " + e);
            e.printStackTrace();
            result = COULD_NOT_RUN;
        }
        String text = result == HELD ? "the rule held" : result == BROKEN ? "the rule was broken" : "could not run";
        log("result " + result + ": " + text);
        System.out.println("result " + result + ": " + text);
        cleanUp();
        Runtime.getRuntime().halt(result);
    }

    private static synchronized void cleanUp() {
        for (Process process : processes) {
            process.destroyForcibly();
            try {
                process.waitFor(2, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        processes.clear();
        try {
            if (record != null) {
                record.flush();
            }
            if (folder != null && Files.exists(folder)) {
                try (Stream<Path> all = Files.walk(folder)) {
                    all.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
                }
            }
        } catch (IOException e) {
            System.err.println(e);
        }
    }

    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    /** Adds a line to the record, with the time in milliseconds since the begin. */
    static synchronized void log(String line) {
        try {
            record.write(String.format(Locale.ROOT, "%9.1f %s%n", now(), line));
        } catch (IOException e) {
            System.err.println(e);
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static String newId() {
        return String.format("%016x", ids.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    static Path folder() {
        return folder;
    }

    static InetAddress loopback() throws IOException {
        return InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, loopback())) {
            return socket.getLocalPort();
        }
    }

    // ---- HTTP ----

    static final class Head {
        String first = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name);
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b = in.read();
        while (b != '\n') {
            if (b < 0) {
                throw new EOFException("end of the stream");
            }
            line.write(b);
            b = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
    }

    /** Reads a request or an answer, with its body; bodies of unknown length are not supported. */
    static Head read(InputStream in) throws IOException {
        Head head = new Head();
        head.first = line(in);
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            head.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        String length = head.headers.get("Content-Length");
        if (length != null) {
            head.body = in.readNBytes(Integer.parseInt(length));
            if (head.body.length < Integer.parseInt(length)) {
                throw new EOFException("end of the stream in a body");
            }
        }
        return head;
    }

    static byte[] answer(int status, String headers, String body) {
        return ("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    // ---- the platform's agent ----

    /** The platform's agent: discovery and the reports. While silent it reads and answers nothing but reports. */
    static final class Agent {
        private final ServerSocket server = new ServerSocket(0, 200, loopback());
        private final Map<String, String> entries = new LinkedHashMap<>();
        private final Map<String, Long> changedAt = new LinkedHashMap<>();
        private long generation = 1;
        private volatile boolean silent;
        /** The times of the first notice of each message, and its result. */
        final Map<String, String> notices = new ConcurrentHashMap<>();
        final Map<String, Double> noticeTimes = new ConcurrentHashMap<>();
        final AtomicInteger answered = new AtomicInteger();

        Agent() throws IOException {
            start(() -> acceptAll(server, this::serve));
        }

        String hostPort() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        synchronized void set(String id, String entry) {
            entries.put(id, entry);
            changedAt.put(id, ++generation);
            notifyAll();
        }

        synchronized void silent(boolean on) {
            silent = on;
            log("agent " + (on ? "is silent: discovery is down" : "answers again"));
            notifyAll();
        }

        synchronized String wholeList() {
            return "{\"generation\":" + generation + ",\"reset\":true,\"instances\":["
                    + String.join(",", entries.values()) + "]}\n";
        }

        private synchronized String changes(long after, long waitMs) throws InterruptedException {
            long until = System.nanoTime() + waitMs * 1_000_000;
            while (generation <= after && System.nanoTime() < until) {
                TimeUnit.NANOSECONDS.timedWait(this, until - System.nanoTime());
            }
            List<String> changed = new ArrayList<>();
            changedAt.forEach((id, at) -> {
                if (at > after) {
                    changed.add(entries.get(id));
                }
            });
            return "{\"generation\":" + generation + ",\"reset\":false,\"instances\":["
                    + String.join(",", changed) + "]}\n";
        }

        private void serve(Socket socket) throws Exception {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Head request = read(in);
                String path = request.first.split(" ")[1];
                if (path.equals("/reports")) {
                    reports(new String(request.body, StandardCharsets.UTF_8));
                    out.write("HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                    continue;
                }
                Matcher watch = Pattern.compile("/v1/servers\\?after=(\\d+)&wait_ms=(\\d+)").matcher(path);
                String body;
                if (silent) {
                    body = null;
                } else if (watch.matches()) {
                    body = changes(Long.parseLong(watch.group(1)), Long.parseLong(watch.group(2)));
                } else {
                    body = wholeList();
                }
                if (silent || body == null) {
                    // Requests of the outage stay unanswered.
                    in.transferTo(OutputStream.nullOutputStream());
                    return;
                }
                answered.incrementAndGet();
                out.write(answer(200, "Content-Type: application/json\r\n", body));
            }
        }

        private void reports(String body) {
            Matcher line = Pattern.compile("\"ref\":\"([^\"]*)\",\"result\":\"([a-z]*)\"").matcher(body);
            while (line.find()) {
                if (notices.putIfAbsent(line.group(1), line.group(2)) == null) {
                    noticeTimes.put(line.group(1), now());
                    log("notice " + line.group(1) + " " + line.group(2));
                }
            }
        }
    }

    static String entry(String id, String hostPort, String zone, String kind, int dest, String lifecycle,
            double weight) {
        return String.format(Locale.ROOT, "{\"instanceId\":\"%s\",\"hostPort\":\"%s\",\"zone\":\"%s\",\"machineType\":"
                + "\"%s\",\"cell\":%d,\"lifecycle\":\"%s\",\"weight\":%s,\"startedAtMs\":0}", id, hostPort, zone, kind,
                dest, lifecycle, weight);
    }

    interface Service {
        void serve(Socket socket) throws Exception;
    }

    private static void acceptAll(ServerSocket server, Service service) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                start(() -> {
                    try (socket) {
                        service.serve(socket);
                    } catch (Exception e) {
                        // The connection has ended.
                    }
                });
            } catch (IOException e) {
                return;
            }
        }
    }

    // ---- endpoints ----

    /** One message of a call that an endpoint has received completely. */
    record Received(String id, String key, byte[] body) {
    }

    /** A call that has arrived at an endpoint with its last byte. */
    static final class Call {
        final Endpoint endpoint;
        final int connection;
        final List<Received> messages;
        final boolean batch;
        final double arrivedAt = now();
        /** When its answer was written or its connection ended; infinite while it is out. */
        volatile double overAt = Double.POSITIVE_INFINITY;

        Call(Endpoint endpoint, int connection, List<Received> messages, boolean batch) {
            this.endpoint = endpoint;
            this.connection = connection;
            this.messages = messages;
            this.batch = batch;
        }

        /** The answer by which all its messages are delivered. */
        byte[] delivered() {
            StringBuilder body = new StringBuilder();
            if (batch) {
                messages.forEach(message -> body.append(message.id()).append(" accepted\r\n"));
            }
            return answer(200, "", body.toString());
        }
    }

    /** What an endpoint does with a call: returns the answer, or null to answer nothing. */
    interface Behaviour {
        byte[] answer(Call call) throws Exception;
    }

    static final class Endpoint {
        final String name;
        private final ServerSocket server = new ServerSocket(0, 200, loopback());
        private final AtomicInteger connections = new AtomicInteger();
        volatile Behaviour behaviour = call -> {
            sleep(100);
            return call.delivered();
        };
        final List<Call> calls = Collections.synchronizedList(new ArrayList<>());

        Endpoint(String name) throws IOException {
            this.name = name;
            start(() -> acceptAll(server, this::serve));
        }

        String hostPort() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        private void serve(Socket socket) throws Exception {
            int connection = connections.incrementAndGet();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Head request = read(in);
                String path = request.first.split(" ")[1];
                boolean batch = path.equals("/v1/messages:batch");
                List<Received> messages = batch ? batch(request.body) : List.of(new Received(
                        request.header("X-Call-Id"), String.valueOf(request.header("Idempotency-Key")), request.body));
                Call call = new Call(this, connection, messages, batch);
                calls.add(call);
                log("call at " + name + " connection " + connection + " " + ids(messages));
                Thread watcher = start(() -> watchEnd(in, call));
                byte[] answer = behaviour.answer(call);
                if (answer == null) {
                    watcher.join();
                    log("connection " + connection + " of " + name + " ends with no answer for " + ids(messages));
                    return;
                }
                try {
                    socket.getOutputStream().write(answer);
                } finally {
                    call.overAt = Math.min(call.overAt, now());
                }
                log("answer of " + name + " on connection " + connection + " for " + ids(messages));
                watcher.join();
            }
        }

        /** Notes the end of a call's connection before its answer; keeps the first byte of the next call. */
        private static void watchEnd(InputStream in, Call call) {
            try {
                in.mark(1);
                if (in.read() >= 0) {
                    in.reset();
                    return;
                }
            } catch (IOException e) {
                // Reset by the sender.
            }
            call.overAt = Math.min(call.overAt, now());
        }

        private static List<Received> batch(byte[] body) throws IOException {
            List<Received> messages = new ArrayList<>();
            int position = 0;
            while (position < body.length) {
                int end = position;
                while (body[end] != '\n') {
                    end++;
                }
                String[] parts = new String(body, position, end - position, StandardCharsets.ISO_8859_1).trim()
                        .split(" ");
                int length = Integer.parseInt(parts[2]);
                byte[] content = new byte[length];
                System.arraycopy(body, end + 1, content, 0, length);
                messages.add(new Received(parts[0], parts[1], content));
                position = end + 1 + length + 2;
            }
            return messages;
        }
    }

    static String ids(List<Received> messages) {
        List<String> ids = new ArrayList<>();
        messages.forEach(message -> ids.add(message.id()));
        return String.join(" ", ids);
    }

    // ---- clients ----

    /** A message as a client hands it in. */
    record Message(String id, String type, String thread, int dest, long budgetMs, String body) {
        byte[] request() {
            String path = "/" + type + (thread.isEmpty() ? "" : "?thread=" + thread);
            return ("POST " + path + " HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: " + id + "\r\nX-Call-Class: " + type
                    + "\r\nX-Budget-Ms: " + budgetMs + "\r\nIdempotency-Key: key" + id + "\r\nX-Envelope: dest=" + dest
                    + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                    .getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    /** A client with one connection, which it keeps; it waits 400 ms for an answer. */
    static final class Client {
        private final InetSocketAddress address;
        private Socket socket;
        private InputStream in;

        Client(String hostPort) {
            address = address(hostPort);
        }

        /** Hands a message in; returns the status of the answer, 0 if the connection ended, -1 if none came in time. */
        int submit(Message message) {
            double sentAt = now();
            int status = exchange(message.request());
            log(String.format(Locale.ROOT, "client hands in %s %s dest %d %s: %d (%.0f ms)", message.id(),
                    message.type(), message.dest(), message.thread(), status, now() - sentAt));
            return status;
        }

        private int exchange(byte[] request) {
            boolean reused = socket != null;
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(400);
                    socket.connect(address, 400);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                socket.getOutputStream().write(request);
                Head answer = read(in);
                if ("close".equalsIgnoreCase(answer.header("Connection"))) {
                    close();
                }
                return answer.status();
            } catch (SocketTimeoutException e) {
                close();
                return -1;
            } catch (IOException e) {
                close();
                // A close between requests that crossed the request: sent once more on a new connection.
                return reused ? exchange(request) : 0;
            }
        }

        void close() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException e) {
                // Closed all the same.
            }
            socket = null;
        }
    }

    static InetSocketAddress address(String hostPort) {
        int colon = hostPort.indexOf(':');
        return new InetSocketAddress(hostPort.substring(0, colon), Integer.parseInt(hostPort.substring(colon + 1)));
    }

    // ---- senders ----

    /** A sender, started by the command of the deploy file from the project's root. */
    static final class Sender {
        final String name;
        final String listen = "127.0.0.1:" + freePort();
        final Path home;
        private final Path config;
        private String ops = "127.0.0.1:" + freePort();
        Process process;

        Sender(String name) throws IOException {
            this.name = name;
            home = Files.createDirectories(folder.resolve(name));
            Files.createDirectories(home.resolve("state"));
            Files.createDirectories(home.resolve("tmp"));
            config = home.resolve("config.json");
        }

        String ops() {
            return ops;
        }

        /** Writes the configuration file. */
        void configure(String discovery, String settings, String known, int sockets) throws IOException {
            Files.writeString(config, "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"discovery\":\""
                    + discovery + "\",\"seed\":\"8c1f30d27a5be964\",\"ops\":\"" + ops + "\",\"limits\":{\"cores\":1.0,"
                    + "\"memory_mb\":192,\"sockets\":" + sockets + ",\"disk_mb\":3},\"known\":" + known
                    + ",\"settings\":" + settings + "}");
        }

        /** Starts the process and waits until it is ready. */
        void start(String discovery) throws Exception {
            launch(discovery);
            awaitReady(30_000);
        }

        void launch(String discovery) throws Exception {
            Path root = Path.of(System.getProperty("root"));
            String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                    .filter(line -> line.startsWith("run ")).findFirst().orElseThrow();
            run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(Path.of(System.getProperty("logs"))
                    .resolve(name + ".log").toFile()));
            Map<String, String> env = builder.environment();
            env.put("GW_CONFIG", config.toString());
            env.put("GW_STATE", home.resolve("state").toString());
            env.put("GW_NAME", name);
            env.put("GW_LISTEN", listen);
            env.put("GW_DISCOVERY", discovery);
            env.put("GW_OPS", ops);
            env.put("TMPDIR", home.resolve("tmp").toString());
            process = builder.start();
            processes.add(process);
            log("sender " + name + " starts");
        }

        /** Later starts of the program get this address for operators. */
        void newOpsAddress() throws IOException {
            ops = "127.0.0.1:" + freePort();
        }

        void awaitReady(long limitMs) throws Exception {
            double until = now() + limitMs;
            while (now() < until) {
                if (get(listen, "/healthz", 500) == 200) {
                    log("sender " + name + " is ready");
                    return;
                }
                if (!process.isAlive()) {
                    throw new IOException("the sender has ended");
                }
                sleep(50);
            }
            throw new IOException("the sender is not ready in time");
        }

        void signal(String signal) throws Exception {
            log("SIG" + signal + " to " + name);
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }

        /** Kills the process with SIGKILL and waits for its end. */
        void kill() throws Exception {
            signal("KILL");
            process.waitFor();
        }
    }

    /** The status of a GET on a new connection; 0 if there is no answer in time. */
    static int get(String hostPort, String path, int limitMs) {
        return call(hostPort, "GET", path, limitMs);
    }

    static int call(String hostPort, String method, String path, int limitMs) {
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(limitMs);
            socket.connect(address(hostPort), limitMs);
            socket.getOutputStream().write((method + " " + path
                    + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            return read(new BufferedInputStream(socket.getInputStream())).status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** The settings of lisboa-campus, in the form of the configuration file, with small slots and fleet. */
    static String lisboa(boolean secondCopies) {
        return lisboa(secondCopies, 8);
    }

    static String lisboa(boolean secondCopies, int workers) {
        return "{\"classes\":["
                + "{\"name\":\"status-sync\",\"aim_ms\":1000,\"give_up_ms\":5000,\"late_worth\":0.0,\"repeat\":\"safe\","
                + "\"dedup_scope\":\"all\",\"streaming\":false,\"window_ms\":5000,\"worth\":2.0},"
                + "{\"name\":\"family-notice\",\"aim_ms\":4000,\"give_up_ms\":16000,\"late_worth\":0.5,"
                + "\"repeat\":\"keyed\",\"dedup_scope\":\"all\",\"streaming\":false,\"window_ms\":10000,\"worth\":1.0},"
                + "{\"name\":\"fee-payment\",\"aim_ms\":3000,\"give_up_ms\":28000,\"late_worth\":0.5,"
                + "\"repeat\":\"unsafe\",\"sequential\":true,\"streaming\":false,\"window_ms\":5000,\"worth\":4.0}],"
                + "\"client_habits\":{\"marks_retry\":true},\"domain_type\":\"deliver\","
                + "\"family_info\":{\"batch_by_kind\":[20,1,1],\"carriage\":[0.06,0.0],\"decay\":\"line\","
                + "\"separate_routes\":[true,true,false],\"turned_away_price\":0.05,\"workers\":" + workers + "},"
                + "\"flavors\":[\"school-groups\",\"private-schools\",\"nurseries\"],\"fleet_size\":2,"
                + "\"limits\":{\"cancel\":true,\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":525000,"
                + "\"dial_timeout_ms\":1500.0,\"keepalive_ms\":10000.0,\"max_open\":134,\"max_retry_after_ms\":3000.0,"
                + "\"max_streams\":1,\"most_tries\":8,\"peers\":false,\"probes\":true,\"retry_after\":true,"
                + "\"second_copies\":" + secondCopies + "},\"me\":0,\"my_zone\":0,\"registry_mode\":\"push\","
                + "\"reporting\":{\"fields\":[],\"how\":\"none\"},\"round_ms\":5.0,"
                + "\"rules\":{\"drain_grace_ms\":250.0,\"fall_ms\":3000.0,\"fall_multiple\":2.5,"
                + "\"grace_to_answer_ms\":20.0,\"must_ask_in_ms\":10000.0,\"order_pause_ms\":0.0,"
                + "\"start_capacity\":0.14,\"warm_after_ms\":11000.0},\"tenants\":[],\"tier\":0,"
                + "\"tiers\":[\"partner-schools\"],\"value_by\":\"request\",\"weight_kind\":\"rough\","
                + "\"zones\":[\"hall-a\",\"hall-b\"]}";
    }
}
