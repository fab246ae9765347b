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
import starlingvalve.net.AnswerScript.CorruptionKind;
import starlingvalve.net.AnswerScript.Ending;
import starlingvalve.net.AnswerScript.Step;

/**
 * An endpoint that executes one step of a script at a time and records which messages it ran. A message counts as not
 * run if the endpoint refused it with a complete answer, on a connection that had carried nothing but valid answers,
 * and nothing followed that may be an answer with another status. All other messages that it answered count as run.
 */
final class ScriptedEndpoint implements AutoCloseable {
    /**
     * What this endpoint did with one message of a step.
     *
     * @param validAnswer whether the answer was valid, and on a connection that had not been corrupted before
     * @param connectionCorrupted whether the connection had been corrupted before this answer
     * @param newConnection whether this was the first answer on its connection
     */
    record Handling(boolean ran, boolean validAnswer, boolean connectionCorrupted, boolean statusLineWritten,
            boolean headWritten, boolean newConnection) {
    }

    private final ServerSocket server;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    /** How often each message ran in the whole script, by id. */
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    /** What was done with each message of the current step, by id. */
    private final Map<String, Handling> handlings = new ConcurrentHashMap<>();
    private final Runnable clientReads;
    private volatile Step step;
    private boolean strayAtAccept;
    private int accepted;

    /** {@code clientReads} returns once the client has read everything that was written to it. */
    ScriptedEndpoint(Runnable clientReads) throws IOException {
        this.clientReads = clientReads;
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startDaemon(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** Sets the step that is executed from now on. */
    void setStep(Step newStep) {
        handlings.clear();
        step = newStep;
    }

    /** What was done with a message in this step; null if it did not arrive. */
    Handling handling(String id) {
        return handlings.get(id);
    }

    /** Waits until these messages have arrived, no connection is left on which they could, or the time-out passes. */
    void awaitArrival(List<String> ids, long timeoutMs) throws InterruptedException {
        long endNanos = System.nanoTime() + timeoutMs * 1_000_000;
        while (!handlings.keySet().containsAll(ids) && !connections.isEmpty() && System.nanoTime() < endNanos) {
            Thread.sleep(1);
        }
    }

    /** How often a message ran. */
    int runs(String id) {
        return runs.getOrDefault(id, 0);
    }

    /** Writes bytes that do not belong to any answer to all open connections. */
    void writeStrayToAll(byte[] bytes) {
        connections.forEach(connection -> connection.writeStray(bytes));
    }

    /**
     * From now on the step's stray bytes are written to each new connection immediately, until
     * {@link #endStrayAtAccept}.
     *
     * @return the number of connections accepted so far
     */
    synchronized int beginStrayAtAccept() {
        strayAtAccept = true;
        return accepted;
    }

    /**
     * Waits until the stray bytes were written to a further connection, or the time-out passes, and stops writing them.
     *
     * @param acceptedBefore the number that {@link #beginStrayAtAccept} returned
     */
    synchronized void endStrayAtAccept(int acceptedBefore, long timeoutMs) {
        long endNanos = System.nanoTime() + timeoutMs * 1_000_000;
        try {
            for (long leftMs = timeoutMs; accepted == acceptedBefore && leftMs > 0;
                    leftMs = (endNanos - System.nanoTime()) / 1_000_000) {
                wait(leftMs);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        strayAtAccept = false;
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Connection connection = new Connection(server.accept());
                connections.add(connection);
                register(connection);
                startDaemon(connection::serve);
            }
        } catch (IOException closed) {
            // The script has ended.
        }
    }

    private synchronized void register(Connection connection) {
        if (strayAtAccept) {
            connection.writeStray(step.strayBefore().bytes());
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
        /** Whether the connection has carried stray bytes or a corrupted answer. */
        private volatile boolean corrupted;
        private int answers;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
        }

        void writeStray(byte[] bytes) {
            corrupted = true;
            try {
                write(bytes);
            } catch (IOException closed) {
                // The client has already closed this connection.
            }
        }

        private void write(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        void serve() {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (StubServer.Message call = StubServer.read(in, 0); call != null; call = StubServer.read(in, 0)) {
                    answer(ids(call), step);
                }
            } catch (IOException closed) {
                // The client may close the connection at any time.
            } finally {
                connections.remove(this);
            }
        }

        private void answer(List<String> ids, Step current) throws IOException {
            boolean corruptedBefore = corrupted;
            boolean newConnection = answers++ == 0;
            boolean validAnswer = !corruptedBefore && current.isValidAnswer();
            corrupted |= !current.corruption().kind().isHarmless();
            AnswerBytes out = new AnswerBytes(current.answer(), current.corruption(), ids);
            boolean statusLineWritten = current.corruption().kind() != CorruptionKind.BAD_STATUS_LINE
                    && out.bytes.length >= out.statusLineLength;
            boolean headWritten = statusLineWritten && out.bytes.length >= out.headLength;
            for (int index = 0; index < ids.size(); index++) {
                boolean ran = corruptedBefore || !current.provesWhatRan() || current.answer().ran(index);
                if (ran) {
                    runs.merge(ids.get(index), 1, Integer::sum);
                }
                handlings.put(ids.get(index), new Handling(ran, validAnswer, corruptedBefore, statusLineWritten,
                        headWritten, newConnection));
            }
            if (current.corruption().kind() == CorruptionKind.SPLIT) {
                writeInPieces(out.bytes, current);
            } else {
                write(out.bytes);
            }
            end(out.ending);
        }

        private void writeInPieces(byte[] bytes, Step current) throws IOException {
            int pieces = 2 + current.corruption().variant() % 4;
            int first = Math.max(1, bytes.length * current.corruption().permille() / 1000);
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

    /** The ids of the messages in a call, in the order of the call. */
    private static List<String> ids(StubServer.Message call) {
        if (!call.line().contains(":batch")) {
            return List.of(call.header("X-Call-Id"));
        }
        List<String> ids = new ArrayList<>();
        byte[] body = call.body().getBytes(StandardCharsets.ISO_8859_1);
        int offset = 0;
        while (offset < body.length) {
            String line = line(body, offset);
            String[] parts = line.split(" ");
            ids.add(parts[0]);
            offset += line.length() + 2 + Integer.parseInt(parts[2]) + 2;
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
