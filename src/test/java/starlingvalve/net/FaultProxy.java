package starlingvalve.net;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP proxy on the loopback between a sender and one server. It holds back what the server answers until told
 * otherwise.
 */
final class FaultProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 64 * 1024;

    private final InetSocketAddress server;
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Object gate = new Object();
    private boolean held;

    FaultProxy(InetSocketAddress server) throws IOException {
        this.server = server;
        daemon(this::accept);
    }

    String hostPort() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** From now on nothing of what the server answers reaches the sender. */
    void holdAnswers() {
        synchronized (gate) {
            held = true;
        }
    }

    /** What was held back goes on, in its order. */
    void releaseAnswers() {
        synchronized (gate) {
            held = false;
            gate.notifyAll();
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket sender = listener.accept();
                Socket behind = new Socket(server.getAddress(), server.getPort());
                for (Socket socket : List.of(sender, behind)) {
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                }
                daemon(() -> pass(sender, behind, false));
                daemon(() -> pass(behind, sender, true));
            }
        } catch (IOException closed) {
            // The test is over.
        }
    }

    private void pass(Socket from, Socket to, boolean answers) {
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                if (answers) {
                    awaitRelease();
                }
                out.write(buffer, 0, n);
            }
        } catch (IOException | InterruptedException ended) {
            // Either side went away; the other one is closed with it.
        } finally {
            sockets.remove(from);
            sockets.remove(to);
        }
    }

    private void awaitRelease() throws InterruptedException {
        synchronized (gate) {
            while (held) {
                gate.wait();
            }
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        releaseAnswers();
        for (Socket socket : new ArrayList<>(sockets)) {
            socket.close();
        }
    }
}
