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

/** A TCP proxy on the loopback between a sender and one server, which can hold back the server's answers. */
final class FaultProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 64 * 1024;

    private final InetSocketAddress server;
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Object answersLock = new Object();
    private boolean answersHeld;

    FaultProxy(InetSocketAddress server) throws IOException {
        this.server = server;
        daemon(this::accept);
    }

    String hostPort() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Holds back the server's answers from now on. */
    void holdAnswers() {
        synchronized (answersLock) {
            answersHeld = true;
        }
    }

    /** Forwards the answers that were held back, in their order, and all later ones. */
    void releaseAnswers() {
        synchronized (answersLock) {
            answersHeld = false;
            answersLock.notifyAll();
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
                Socket upstream = new Socket(server.getAddress(), server.getPort());
                for (Socket socket : List.of(sender, upstream)) {
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                }
                daemon(() -> forward(sender, upstream, false));
                daemon(() -> forward(upstream, sender, true));
            }
        } catch (IOException e) {
            // The listening socket was closed.
        }
    }

    private void forward(Socket from, Socket to, boolean fromServer) {
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                if (fromServer) {
                    awaitRelease();
                }
                out.write(buffer, 0, length);
            }
        } catch (IOException | InterruptedException e) {
            // One side has closed its connection; both sockets are closed on leaving the try block.
        } finally {
            sockets.remove(from);
            sockets.remove(to);
        }
    }

    private void awaitRelease() throws InterruptedException {
        synchronized (answersLock) {
            while (answersHeld) {
                answersLock.wait();
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
