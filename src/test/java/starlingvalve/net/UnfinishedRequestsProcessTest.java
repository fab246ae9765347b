package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests a sender with the deployed JVM options while many clients send their bodies in pieces and never finish. */
class UnfinishedRequestsProcessTest extends SenderProcessFixture {
    private static final int PEERS = 60;
    private static final int BODY_BYTES = 64 * 1024;
    /** All but the last 1,336 bytes of the body; a small piece behind a large one is read into a large buffer. */
    private static final List<Integer> PIECES = pieces();
    /** What the protocol owes clients whose requests are not proper ones, which bounds a stand-still as well. */
    private static final int ANSWER_LIMIT_MS = 3000;

    private static List<Integer> pieces() {
        List<Integer> pieces = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            pieces.add(10_000);
            for (int k = 0; k < 7; k++) {
                pieces.add(100);
            }
        }
        return pieces;
    }

    /** Guards against direct memory that unfinished bodies fill: each read then failed, and held up the event loop. */
    @Test
    void unfinishedBodiesInPiecesDoNotStopTheSender() throws Exception {
        sender.withDeployedOptions().start();
        List<Socket> peers = new ArrayList<>();
        try {
            for (int i = 0; i < PEERS; i++) {
                Socket peer = new Socket(sender.address().getAddress(), sender.address().getPort());
                peer.setTcpNoDelay(true);
                peer.setSoTimeout(ANSWER_LIMIT_MS);
                peers.add(peer);
                StubServer.write(peer, "POST /safe HTTP/1.1\r\nHost: x\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
            }
            for (int piece : PIECES) {
                peers.forEach(peer -> writePiece(peer, piece));
                // The answer shows that the event loop has read since the pieces were sent.
                assertEquals("HTTP/1.1 200 OK", health());
            }
            submit("amid-unfinished-requests", "safe");
            awaitAllEnded();
            for (Socket peer : peers) {
                awaitCloseOrError(peer);
            }
            assertFalse(sender.log().contains("direct buffer memory"), sender.log());
        } finally {
            for (Socket peer : peers) {
                peer.close();
            }
        }
    }

    private static void writePiece(Socket peer, int bytes) {
        try {
            peer.getOutputStream().write(new byte[bytes]);
        } catch (IOException closed) {
            // On a slow machine the time limit of the request has passed.
        }
    }

    private String health() throws IOException {
        try (Socket client = new Socket(sender.address().getAddress(), sender.address().getPort())) {
            client.setSoTimeout(ANSWER_LIMIT_MS);
            StubServer.write(client, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
            return StubServer.read(new BufferedInputStream(client.getInputStream()), 0).line();
        }
    }

    /** Fails with a time-out if the peer gets neither an answer nor a close. */
    private static void awaitCloseOrError(Socket peer) throws IOException {
        try {
            peer.getInputStream().read();
        } catch (SocketException reset) {
            // A reset is a close, too.
        }
    }
}
