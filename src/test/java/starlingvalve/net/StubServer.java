package starlingvalve.net;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;

/** A scripted HTTP server on a loopback socket, with helpers to read and write HTTP messages on either side. */
final class StubServer implements AutoCloseable {
    /**
     * A request or a response, with its first line, its headers by lower-case name and the time when it was read
     * completely. {@code connection} is the number of its connection, counted per server.
     */
    record Message(String line, Map<String, String> headers, String body, int connection, long atNanos) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** Handles requests: it may write to the socket, close it, or do nothing. */
    interface Script {
        /** Called on the connection's thread for each complete request. */
        void onRequest(Message request, Socket socket) throws Exception;
    }

    private static final int BACKLOG = 50;

    /** All requests received so far. */
    final List<Message> requests = new CopyOnWriteArrayList<>();
    private final ServerSocket server;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    /** Threads that serve connections and run scripts. */
    private final Set<Thread> connectionThreads = ConcurrentHashMap.newKeySet();
    private volatile Script script;
    private volatile boolean closed;
    private int connections;

    StubServer(Script script) throws IOException {
        this(script, new ServerSocket());
    }

    /** Creates a server on a server socket that the test supplies and that is not bound yet. */
    StubServer(Script script, ServerSocket server) throws IOException {
        this.script = script;
        this.server = server;
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        daemon(this::accept);
    }

    /** Sets the script for requests from now on. */
    void script(Script newScript) {
        script = newScript;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    String hostPort() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Runs a task on a thread that does not keep the tests from ending. */
    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                if (closed) {
                    // The connection was accepted while close() ran, which may have closed the other sockets already.
                    socket.close();
                }
                int connection = connections++;
                daemon(() -> serve(socket, connection));
            }
        } catch (IOException e) {
            // The server socket was closed.
        }
    }

    private void serve(Socket socket, int connection) {
        connectionThreads.add(Thread.currentThread());
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Message request = read(in, connection); request != null; request = read(in, connection)) {
                requests.add(request);
                script.onRequest(request, socket);
            }
        } catch (Exception e) {
            // The client has closed its connection, or close() has interrupted the script.
        } finally {
            connectionThreads.remove(Thread.currentThread());
        }
    }

    /**
     * Reads one message, whose body is empty unless it has a content length. Returns null at the end of the stream.
     * {@code connection} becomes the connection number of the message.
     */
    static Message read(InputStream in, int connection) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Message(line, headers, new String(body, StandardCharsets.ISO_8859_1), connection,
                System.nanoTime());
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            line.write(c);
        }
        return line.toString(StandardCharsets.ISO_8859_1).trim();
    }

    /** Writes this text to the socket. */
    static void write(Socket socket, String text) throws IOException {
        // The socket is not used after the write: the peer may react at once, and the test may then close the socket.
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Writes this text to every connection. */
    void writeToAll(String text) throws IOException {
        for (Socket socket : sockets) {
            write(socket, text);
        }
    }

    /** Returns a script that answers with this status, these header lines (each with its line end) and no body. */
    static Script status(int status, String headers) {
        return (request, socket) -> write(socket, "HTTP/1.1 " + status + " x\r\n" + headers
                + "Content-Length: 0\r\n\r\n");
    }

    /** Returns a script that never answers. */
    static Script silent() {
        return (request, socket) -> { };
    }

    /** Waits until the condition holds, and fails after 30 s. */
    static void await(String description, BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + 30_000_000_000L;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("condition not met in time: " + description);
            }
            Thread.sleep(2);
        }
    }

    /** Closes all open connections; new ones are still accepted. */
    void closeConnections() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /** Closes the server socket, so that no more connections are accepted; open connections stay open. */
    void stopAccepting() throws IOException {
        server.close();
    }

    /**
     * Closes the server and its connections and interrupts its scripts: otherwise a script that still waits would fail,
     * and print its error, in the middle of a later test.
     */
    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
        connectionThreads.forEach(Thread::interrupt);
        closeConnections();
    }
}
