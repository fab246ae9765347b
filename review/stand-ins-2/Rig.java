import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The stand-ins of the second review: clients, endpoints, discovery's agent with the platform, and the start of the
 * project's own program by the commands of its deploy file. All addresses are loopback addresses with free ports.
 */
final class Rig {
    static final long START = System.nanoTime();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final Path ROOT = Path.of(System.getProperty("root"));
    static final Path FOLDER = Path.of(System.getProperty("folder"));
    private static PrintWriter record;

    private Rig() {
    }

    /** Milliseconds since the start of the case. */
    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    static void openRecord() throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(FOLDER.resolve("record.txt")));
        note("disruption: %s", TROUBLE ? "on" : "off");
    }

    static synchronized void note(String format, Object... values) {
        record.printf("%9.1f %s%n", now(), String.format(format, values));
        record.flush();
    }

    static void sleepUntil(double ms) throws InterruptedException {
        double left = ms - now();
        if (left > 0) {
            Thread.sleep((long) left, (int) ((left - (long) left) * 1e6));
        }
    }

    static Thread thread(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                note("%s ends: %s", name, e);
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Task {
        void run() throws Exception;
    }

    static ServerSocket listen(int port) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
        return server;
    }

    static int freePort() throws IOException {
        try (ServerSocket server = listen(0)) {
            return server.getLocalPort();
        }
    }

    /** Ends the process if the case can't run. */
    static void cannotRun(String why) {
        note("the case can't run: %s", why);
        System.out.println("the case can't run: " + why);
        System.exit(2);
    }

    static void verdict(boolean broken, String text) {
        note("%s: %s", broken ? "BROKEN" : "HELD", text);
        System.out.println((broken ? "BROKEN: " : "HELD: ") + text);
        SenderProcess.endAll();
        System.exit(broken ? 1 : 0);
    }

    // ---- HTTP ----

    /** A request or an answer. */
    static final class Http {
        String first;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException();
            }
            if (c != '\r') {
                out.write(c);
            }
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a request or an answer whose body has a Content-Length; throws at the end of the stream. */
    static Http read(InputStream in) throws IOException {
        Http http = new Http();
        http.first = line(in);
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            http.headers.put(header.substring(0, colon).trim(), header.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(http.headers.getOrDefault("Content-Length", "0"));
        http.body = in.readNBytes(length);
        if (http.body.length < length) {
            throw new EOFException();
        }
        return http;
    }

    static byte[] answer(int status, String headers, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return ("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Serves each connection of a listener on a thread of its own. */
    static void serve(ServerSocket server, String name, Handler handler) {
        thread(name, () -> {
            while (!server.isClosed()) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                thread(name + " connection", () -> {
                    try (socket) {
                        handler.handle(socket);
                    } catch (EOFException | java.net.SocketException end) {
                        // The peer or the stand-in closed it.
                    }
                });
            }
        });
    }

    interface Handler {
        void handle(Socket socket) throws Exception;
    }

    // ---- discovery's agent and the platform ----

    /** Discovery's list: shared by all agents of a sender, at whatever address. */
    static final class Directory {
        private final Map<String, String> entries = new LinkedHashMap<>();
        private final Map<String, Long> changedAt = new HashMap<>();
        private long generation = 41;

        synchronized void set(String id, int port, String zone, String kind, int cell, String lifecycle,
                double weight) {
            generation++;
            entries.put(id, String.format("{\"instanceId\":\"%s\",\"hostPort\":\"127.0.0.1:%d\",\"zone\":\"%s\","
                    + "\"machineType\":\"%s\",\"cell\":%d,\"lifecycle\":\"%s\",\"weight\":%s,\"startedAtMs\":0}", id,
                    port, zone, kind, cell, lifecycle, weight));
            changedAt.put(id, generation);
            notifyAll();
        }

        synchronized String full() {
            List<String> listed = new ArrayList<>(entries.values());
            listed.removeIf(entry -> entry.contains("\"DELETED\""));
            return "{\"generation\":" + generation + ",\"reset\":true,\"instances\":[" + String.join(",", listed)
                    + "]}";
        }

        synchronized String watch(long after, long waitMs) throws InterruptedException {
            if (after > generation) {
                return full();
            }
            double until = now() + waitMs;
            while (generation <= after && now() < until) {
                wait(Math.max(1, (long) (until - now())));
            }
            List<String> changed = new ArrayList<>();
            entries.forEach((id, entry) -> {
                if (changedAt.get(id) > after) {
                    changed.add(entry);
                }
            });
            return "{\"generation\":" + generation + ",\"reset\":false,\"instances\":[" + String.join(",", changed)
                    + "]}";
        }
    }

    /** Notices that reached the platform, by message id: the time of the first answer and its result. */
    static final Map<String, Double> NOTICES = new ConcurrentHashMap<>();
    static final Map<String, String> RESULTS = new ConcurrentHashMap<>();

    /** Discovery's agent, which also takes notices. */
    static final class Agent {
        final ServerSocket server;
        final int port;
        private final Directory directory;
        private final List<Socket> open = Collections.synchronizedList(new ArrayList<>());

        Agent(Directory directory) throws IOException {
            this.directory = directory;
            server = listen(0);
            port = server.getLocalPort();
            serve(server, "agent " + port, this::handle);
        }

        String address() {
            return "127.0.0.1:" + port;
        }

        private void handle(Socket socket) throws Exception {
            open.add(socket);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http request = read(in);
                socket.getOutputStream().write(answer(request));
            }
        }

        private byte[] answer(Http request) throws InterruptedException {
            String path = request.first.split(" ")[1];
            if (path.startsWith("/reports")) {
                for (String line : new String(request.body, StandardCharsets.UTF_8).split("\n")) {
                    Matcher ref = Pattern.compile("\"ref\":\"([^\"]*)\"").matcher(line);
                    Matcher result = Pattern.compile("\"result\":\"([^\"]*)\"").matcher(line);
                    if (!ref.find() || !result.find()) {
                        return Rig.answer(400, "", "");
                    }
                    if (NOTICES.putIfAbsent(ref.group(1), now()) == null) {
                        RESULTS.put(ref.group(1), result.group(1));
                        note("notice at %s: %s %s", address(), ref.group(1), result.group(1));
                    }
                }
                return Rig.answer(204, "", "");
            }
            Matcher after = Pattern.compile("after=(\\d+)").matcher(path);
            Matcher wait = Pattern.compile("wait_ms=(\\d+)").matcher(path);
            if (after.find()) {
                return Rig.answer(200, "", directory.watch(Long.parseLong(after.group(1)),
                        wait.find() ? Math.min(60_000, Long.parseLong(wait.group(1))) : 0));
            }
            return Rig.answer(200, "", directory.full());
        }

        /** The address goes out of use: no new connections from now on, the open ones are closed 1.5 s later. */
        void retire() throws IOException {
            server.close();
            thread("retire", () -> {
                Thread.sleep(1500);
                synchronized (open) {
                    for (Socket socket : open) {
                        socket.close();
                    }
                }
                note("the old agent has closed its connections");
            });
        }
    }

    // ---- the sender ----

    /** The program, started by the command of the deploy file. */
    static final class SenderProcess {
        private static final List<Process> ALL = Collections.synchronizedList(new ArrayList<>());
        final Process process;
        final String label;

        SenderProcess(String label, Map<String, String> env) throws IOException {
            this.label = label;
            String command = deployCommand();
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command).directory(ROOT.toFile());
            builder.environment().putAll(env);
            Path log = Path.of(env.get("TMPDIR")).resolveSibling(label + ".log");
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            ALL.add(process);
            note("%s starts as process %d", label, process.pid());
        }

        private static String deployCommand() throws IOException {
            for (String line : Files.readAllLines(ROOT.resolve("deploy/balancer.toml"))) {
                if (line.startsWith("run = ")) {
                    return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                }
            }
            throw new IOException("the deploy file has no command");
        }

        void signal(String name) throws Exception {
            note("SIG%s to %s", name, label);
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        boolean ignoresHangUp() throws IOException {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith("SigIgn:")) {
                    return (Long.parseUnsignedLong(line.split("\\s+")[1], 16) & 1) != 0;
                }
            }
            return false;
        }

        static void endAll() {
            ALL.forEach(Process::destroyForcibly);
            for (Process each : ALL) {
                try {
                    each.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(SenderProcess::endAll));
    }

    /** Asks once; 0 if there is no answer within the time. */
    static int get(int port, String path, int timeoutMs) {
        return call(port, "GET", path, timeoutMs).map(Http::status).orElse(0);
    }

    static java.util.Optional<Http> call(int port, String method, String path, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMs);
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write((method + " " + path
                    + " HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").getBytes());
            return java.util.Optional.of(read(new BufferedInputStream(socket.getInputStream())));
        } catch (IOException e) {
            return java.util.Optional.empty();
        }
    }

    static boolean awaitYes(int port, double limitMs) throws InterruptedException {
        double end = now() + limitMs;
        while (now() < end) {
            if (get(port, "/healthz", 500) == 200) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    // ---- clients ----

    /** A message that a client hands in. */
    static final class Message {
        final String id;
        final String type;
        final int dest;
        final String thread;
        final String key;
        final long budgetMs;
        final byte[] body;
        volatile double sentAt;
        volatile int status;
        volatile double answeredAt;

        Message(String id, String type, int dest, String thread, String key, long budgetMs, byte[] body) {
            this.id = id;
            this.type = type;
            this.dest = dest;
            this.thread = thread;
            this.key = key;
            this.budgetMs = budgetMs;
            this.body = body;
        }

        boolean taken() {
            return status == 200 || status == 202;
        }

        byte[] request() {
            String head = "POST /" + type + (thread == null ? "" : "?thread=" + thread) + " HTTP/1.1\r\n"
                    + "Host: app.svc\r\nX-Call-Id: " + id + "\r\nX-Call-Class: " + type + "\r\nX-Budget-Ms: " + budgetMs
                    + "\r\n" + (key == null ? "" : "Idempotency-Key: " + key + "\r\n") + "Content-Length: " + body.length
                    + "\r\nX-Envelope: dest=" + dest + "\r\n\r\n";
            byte[] first = head.getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = java.util.Arrays.copyOf(first, first.length + body.length);
            System.arraycopy(body, 0, all, first.length, body.length);
            return all;
        }
    }

    /** A client with one connection that it keeps. */
    static final class Client {
        private final int port;
        private Socket socket;
        private InputStream in;

        Client(int port) {
            this.port = port;
        }

        /** Hands a message in and waits 400 ms for the answer; status 0 if there is none. */
        Http send(Message message) {
            message.sentAt = now();
            Http answer = null;
            try {
                boolean fresh = socket == null;
                answer = exchange(message);
                if (answer == null && !fresh && now() - message.sentAt < 400) {
                    // The close crossed the request: once more on a new connection.
                    answer = exchange(message);
                }
            } catch (IOException e) {
                close();
            }
            message.status = answer == null ? 0 : answer.status();
            message.answeredAt = now();
            note("client: %s to destination %d, %d ms, sent at %.1f, answer %s", message.id, message.dest,
                    message.budgetMs, message.sentAt, message.status == 0 ? "none" : message.status);
            return answer;
        }

        private Http exchange(Message message) throws IOException {
            try {
                int left = (int) Math.max(1, 400 - (now() - message.sentAt));
                if (socket == null) {
                    socket = new Socket();
                    socket.setTcpNoDelay(true);
                    socket.connect(new InetSocketAddress("127.0.0.1", port), left);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                socket.setSoTimeout(left);
                socket.getOutputStream().write(message.request());
                Http answer = read(in);
                if (answer.header("Connection").equalsIgnoreCase("close")) {
                    close();
                }
                return answer;
            } catch (SocketTimeoutException e) {
                close();
                throw e;
            } catch (IOException e) {
                close();
                return null;
            }
        }

        void close() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException e) {
                // It is given up anyway.
            }
            socket = null;
        }
    }

    // ---- configuration ----

    static void replace(Path file, String text) throws IOException {
        Path next = file.resolveSibling(file.getFileName() + ".next");
        Files.writeString(next, text);
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
    }

    static Path temporary() throws IOException {
        Path folder = Files.createTempDirectory("case");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            SenderProcess.endAll();
            if (System.getenv("KEEP") != null) {
                return;
            }
            try (var files = Files.walk(folder)) {
                files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } catch (IOException e) {
                // It is a temporary folder.
            }
        }));
        return folder;
    }
}
