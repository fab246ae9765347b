package starlingvalve.net;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import starlingvalve.net.AnswerScript.Ending;
import starlingvalve.net.AnswerScript.Spoiling;
import starlingvalve.net.AnswerScript.Step;

/**
 * An endpoint that plays one step of a script at a time and keeps account of what it ran. It ran no message that
 * it turned away by a whole answer on a connection that carried nothing but answers before, whatever came behind it but an
 * answer of another status; whatever it answered in any other way counts as run.
 */
final class ScriptedEndpoint implements AutoCloseable {
    /** What became of one message of a step at this endpoint. */
    record Fate(boolean ran, boolean clean, boolean connectionSpoilt, boolean firstLineWritten,
            boolean headWritten, boolean newConnection) {
    }

    private final ServerSocket server;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    /** Run counts over the whole script, by id. */
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    /** Fates in the current step, by id. */
    private final Map<String, Fate> fates = new ConcurrentHashMap<>();
    private final Runnable clientReads;
    private volatile Step step;
    private boolean strayAtAccept;
    private int accepted;

    /** {@code clientReads} returns once the client has read all that was written to it. */
    ScriptedEndpoint(Runnable clientReads) throws IOException {
        this.clientReads = clientReads;
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        daemon(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** From now on this is the step that is played. */
    void play(Step next) {
        fates.clear();
        step = next;
    }

    /** What became of a message in this step; null if it did not arrive. */
    Fate fate(String id) {
        return fates.get(id);
    }

    /** Waits until these messages have arrived, or no connection is left on which they could; not for long. */
    void awaitArrival(List<String> ids, long limitMs) throws InterruptedException {
        long end = System.nanoTime() + limitMs * 1_000_000;
        while (!fates.keySet().containsAll(ids) && !connections.isEmpty() && System.nanoTime() < end) {
            Thread.sleep(1);
        }
    }

    int runs(String id) {
        return runs.getOrDefault(id, 0);
    }

    /** Writes bytes that belong to nothing to all open connections. */
    void strayOnAll(byte[] bytes) {
        connections.forEach(connection -> connection.stray(bytes));
    }

    /** From now on a new connection gets the step's stray bytes at once, until {@link #endStrayAtAccept}. */
    synchronized int beginStrayAtAccept() {
        strayAtAccept = true;
        return accepted;
    }

    /** Waits until another connection than the first {@code before} has its stray bytes, but not for long. */
    synchronized void endStrayAtAccept(int before, long limitMs) {
        long end = System.nanoTime() + limitMs * 1_000_000;
        try {
            for (long left = limitMs; accepted == before && left > 0; left = (end - System.nanoTime()) / 1_000_000) {
                wait(left);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        strayAtAccept = false;
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Connection connection = new Connection(server.accept());
                connections.add(connection);
                welcome(connection);
                daemon(connection::serve);
            }
        } catch (IOException closed) {
            // The script is over.
        }
    }

    private synchronized void welcome(Connection connection) {
        if (strayAtAccept) {
            connection.stray(step.before().bytes());
        }
        accepted++;
        notifyAll();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Connection connection : connections) {
            connection.socket.close();
        }
    }

    private final class Connection {
        private final Socket socket;
        /** It has carried bytes that belong to no answer, or an answer that is none. */
        private volatile boolean spoilt;
        private int answers;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
        }

        void stray(byte[] bytes) {
            spoilt = true;
            try {
                write(bytes);
            } catch (IOException closed) {
                // The client has left this connection already.
            }
        }

        private void write(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        void serve() {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (StubServer.Message m = StubServer.read(in, 0); m != null; m = StubServer.read(in, 0)) {
                    answer(ids(m), step);
                }
            } catch (IOException gone) {
                // The client went away, which is its right.
            } finally {
                connections.remove(this);
            }
        }

        private void answer(List<String> ids, Step now) throws IOException {
            boolean before = spoilt;
            boolean newConnection = answers++ == 0;
            boolean clean = !before && now.isCleanAnswer();
            spoilt |= !now.spoilt().by().clean();
            AnswerBytes out = new AnswerBytes(now.answer(), now.spoilt(), ids);
            boolean firstLine = now.spoilt().by() != Spoiling.BAD_STATUS_LINE
                    && out.bytes.length >= out.firstLineLength;
            boolean head = firstLine && out.bytes.length >= out.headLength;
            for (int place = 0; place < ids.size(); place++) {
                boolean ran = before || !now.tellsWhatRan() || now.answer().ran(place);
                if (ran) {
                    runs.merge(ids.get(place), 1, Integer::sum);
                }
                fates.put(ids.get(place), new Fate(ran, clean, before, firstLine, head, newConnection));
            }
            if (now.spoilt().by() == Spoiling.SPLIT) {
                writeInPieces(out.bytes, now);
            } else {
                write(out.bytes);
            }
            end(out.ending);
        }

        private void writeInPieces(byte[] bytes, Step now) throws IOException {
            int pieces = 2 + now.spoilt().variant() % 4;
            int first = Math.max(1, bytes.length * now.spoilt().permille() / 1000);
            int from = 0;
            for (int piece = 0; piece < pieces && from < bytes.length; piece++) {
                int to = piece == pieces - 1 ? bytes.length : Math.min(bytes.length, from + first);
                write(Arrays.copyOfRange(bytes, from, to));
                clientReads.run();
                from = to;
            }
        }

        private void end(Ending ending) throws IOException {
            if (ending == Ending.FIN) {
                socket.shutdownOutput();
            } else if (ending == Ending.RESET) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }
    }

    /** The ids of the messages in a call, in its order. */
    private static List<String> ids(StubServer.Message call) {
        if (!call.line().contains(":batch")) {
            return List.of(call.header("X-Call-Id"));
        }
        List<String> ids = new ArrayList<>();
        byte[] body = call.body().getBytes(StandardCharsets.ISO_8859_1);
        int at = 0;
        while (at < body.length) {
            String line = line(body, at);
            String[] parts = line.split(" ");
            ids.add(parts[0]);
            at += line.length() + 2 + Integer.parseInt(parts[2]) + 2;
        }
        return ids;
    }

    private static String line(byte[] body, int from) {
        int to = from;
        while (body[to] != '\r') {
            to++;
        }
        return new String(body, from, to - from, StandardCharsets.ISO_8859_1);
    }
}
