package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Checks that a closed stub server leaves no running script and no open connection to later tests. */
class StubServerTest {
    @Test
    void closeInterruptsWaitingScript() throws Exception {
        CountDownLatch scriptWaits = new CountDownLatch(1);
        CountDownLatch interrupted = new CountDownLatch(1);
        StubServer stub = new StubServer((request, socket) -> {
            scriptWaits.countDown();
            try {
                StubServer.await("a condition that never holds", () -> false);
            } catch (InterruptedException e) {
                interrupted.countDown();
                throw e;
            }
        });
        try (Socket client = new Socket(stub.address().getAddress(), stub.address().getPort())) {
            StubServer.write(client, "GET / HTTP/1.1\r\n\r\n");
            scriptWaits.await();
            stub.close();
            assertTrue(interrupted.await(10, TimeUnit.SECONDS), "the script still waits");
        }
    }

    @Test
    void connectionAcceptedDuringCloseIsClosed() throws Exception {
        CountDownLatch accepted = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        ServerSocket server = new ServerSocket() {
            @Override
            public Socket accept() throws IOException {
                Socket socket = super.accept();
                accepted.countDown();
                awaitUninterruptibly(closed);
                return socket;
            }
        };
        StubServer stub = new StubServer(StubServer.status(200, ""), server);
        try (Socket client = new Socket(stub.address().getAddress(), stub.address().getPort())) {
            accepted.await();
            stub.close();
            closed.countDown();
            client.setSoTimeout(10_000);
            assertEquals(-1, client.getInputStream().read(), "the end of the connection");
        }
    }

    private static void awaitUninterruptibly(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }
}
