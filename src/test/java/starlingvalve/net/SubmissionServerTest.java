package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** The client side by itself, on a clock that the test moves. */
class SubmissionServerTest {
    private final RecordingSubmissionHandler desk = new RecordingSubmissionHandler();

    private EmbeddedChannel client() {
        return client(new SubmissionServer(new DefaultEventLoop(), 10, desk));
    }

    private static EmbeddedChannel client(SubmissionServer server) {
        EmbeddedChannel client = new EmbeddedChannel();
        client.freezeTime();
        client.pipeline().addLast(server.pipeline());
        client.pipeline().fireChannelActive();
        return client;
    }

    private static void send(EmbeddedChannel client, String text) {
        client.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    private static void pass(EmbeddedChannel client, long ms) {
        client.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
        client.runPendingTasks();
    }

    private static String request(String id, int length) {
        return "POST /order HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Call-Class: order\r\n"
                + "X-Budget-Ms: 900\r\nX-Envelope: dest=7\r\nContent-Length: " + length + "\r\n\r\n";
    }

    @Test
    void aClientThatSendsNothingIsClosedInTime() {
        EmbeddedChannel silent = client();
        pass(silent, 1900);
        assertTrue(silent.isOpen());
        pass(silent, 200);
        assertFalse(silent.isOpen());
    }

    @Test
    void aRequestThatNeverBecomesWholeIsClosedInTimeHoweverOftenBytesCome() {
        EmbeddedChannel slow = client();
        for (char c : (request("slow", 10) + "five").substring(0, 20).toCharArray()) {
            assertTrue(slow.isOpen());
            send(slow, String.valueOf(c));
            pass(slow, 100);
        }
        assertFalse(slow.isOpen());
        EmbeddedChannel half = client();
        send(half, request("half", 10) + "five");
        pass(half, 2100);
        assertFalse(half.isOpen());
        assertEquals(List.of(), desk.ids);
    }

    @Test
    void eachLaterRequestHasADeadlineFromItsFirstByteOn() {
        EmbeddedChannel kept = client();
        for (int i = 0; i < 3; i++) {
            send(kept, request("id-" + i, 0));
            pass(kept, 5000);
            assertTrue(kept.isOpen(), "no request is open");
        }
        send(kept, request("half", 10));
        pass(kept, 1900);
        assertTrue(kept.isOpen());
        pass(kept, 200);
        assertFalse(kept.isOpen());
        assertEquals(List.of("id-0", "id-1", "id-2"), desk.ids);
    }

    /** A request may have lain unread until its client's 400 ms were nearly over. */
    @Test
    void aMessageEndsInTimeEvenIfItsClientHadNearlyLeftWhenItWasRead() {
        send(client(), request("long", 0));
        send(client(), request("short", 0).replace("Budget-Ms: 900", "Budget-Ms: 80"));
        assertEquals(List.of("long", "short"), desk.ids);
        assertTrue(desk.budgets.get(0) + 400 <= 900, "ended late: " + desk.budgets.get(0));
        assertEquals(1, desk.budgets.get(1), "it is taken, and ended at once");
    }

    /** Half a request. */
    private static void begin(EmbeddedChannel client) {
        send(client, request("half", 10) + "five");
    }

    @Test
    void ifAllAreBusyTheNewOneIsClosedAndNoneElse() {
        SubmissionServer server = new SubmissionServer(new DefaultEventLoop(), 3, desk);
        List<EmbeddedChannel> busy = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            busy.add(client(server));
            begin(busy.get(i));
        }
        EmbeddedChannel more = client(server);
        assertFalse(more.isOpen());
        more.checkException();
        busy.forEach(client -> assertTrue(client.isOpen()));
        more.runPendingTasks();
        assertEquals(3, server.clients());
    }

    @Test
    void theLongestIdleMakesRoom() {
        SubmissionServer server = new SubmissionServer(new DefaultEventLoop(), 3, desk);
        EmbeddedChannel busy = client(server);
        begin(busy);
        EmbeddedChannel first = client(server);
        EmbeddedChannel second = client(server);
        send(first, request("one", 0));
        EmbeddedChannel more = client(server);
        assertFalse(second.isOpen(), "the other idled since its request, which came later");
        assertTrue(busy.isOpen() && first.isOpen() && more.isOpen());
    }

    @Test
    void oneThatWentWhileItsVerdictWasOutIsNotCountedOnToMakeRoom() {
        LateDesk late = new LateDesk();
        SubmissionServer server = new SubmissionServer(new DefaultEventLoop(), 1, late);
        EmbeddedChannel gone = client(server);
        send(gone, request("one", 0));
        gone.close();
        gone.runPendingTasks();
        late.out.get(0).accept(SubmissionServer.Verdict.refused("late"));
        EmbeddedChannel idle = client(server);
        EmbeddedChannel more = client(server);
        assertFalse(idle.isOpen());
        assertTrue(more.isOpen());
    }

    /** Takes its time. */
    private static final class LateDesk extends RecordingSubmissionHandler {
        final List<Consumer<SubmissionServer.Verdict>> out = new ArrayList<>();

        @Override
        public void take(SubmissionServer.Submission submission, Consumer<SubmissionServer.Verdict> then) {
            out.add(then);
        }
    }

    @Test
    void aConnectionWhoseRequestIsUnansweredIsNotClosedForIdleness() {
        LateDesk late = new LateDesk();
        EmbeddedChannel client = client(new SubmissionServer(new DefaultEventLoop(), 1, late));
        send(client, request("one", 0));
        for (int i = 0; i < 3; i++) {
            pass(client, 10_100);
            assertTrue(client.isOpen(), "closed with no answer");
        }
        late.out.forEach(verdict -> verdict.accept(SubmissionServer.Verdict.refused("not now")));
        client.runPendingTasks();
        assertTrue(client.<ByteBuf>readOutbound().toString(StandardCharsets.ISO_8859_1).startsWith("HTTP/1.1 503 "));
        pass(client, 10_100);
        assertFalse(client.isOpen(), "it is idle now");
    }

    /** The loop is held while more connect than there is room for; then all that wait are accepted at once. */
    @Test
    void whatWaitsAtACloseIsAcceptedAsFarAsThereIsRoomAndTheRestClosedUnread() throws Exception {
        int most = 4;
        int waiting = 100;
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        List<Socket> sockets = new ArrayList<>();
        try {
            SubmissionServer server = new SubmissionServer(loop, most, desk);
            server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).syncUninterruptibly();
            InetSocketAddress address = server.address();
            CountDownLatch connected = new CountDownLatch(1);
            CompletableFuture<Integer> accepted = new CompletableFuture<>();
            loop.submit(() -> {
                connected.await();
                server.close();
                // Right behind the accepting, and before the ends of those that made room.
                loop.execute(() -> accepted.complete(server.clients()));
                return null;
            });
            for (int i = 0; i < waiting; i++) {
                sockets.add(new Socket(address.getAddress(), address.getPort()));
            }
            connected.countDown();
            assertTrue(accepted.get() > 0, "there was room for some");
            assertTrue(accepted.get() <= most + DescriptorBudget.ACCEPT_BURST, "at once: " + accepted.get());
            StubServer.await("nobody listens any more", () -> connect(address).isEmpty());
            // Behind the ends of those that made room, which are told in a turn of their own.
            loop.submit(() -> { }).get();
            int open = loop.submit(server::clients).get();
            assertTrue(open <= most, "after the turn: " + open);
            assertTrue(open > 0, "there was room for some");
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    /** A close that takes effect later resets what connects until then. */
    @Test
    void aConnectionThatComesUpWhileTheListenerClosesIsAnsweredOrRefused() throws Exception {
        for (Consumer<SubmissionServer> end : List.<Consumer<SubmissionServer>>of(SubmissionServer::close,
                SubmissionServer::closeForSuccessor, SubmissionServer::stopListening)) {
            EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
            EventLoop loop = group.next();
            try {
                SubmissionServer server = new SubmissionServer(loop, 10, desk);
                server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).syncUninterruptibly();
                InetSocketAddress address = server.address();
                Optional<Socket> crossing = loop.submit(() -> {
                    end.accept(server);
                    return connect(address);
                }).get();
                if (crossing.isPresent()) {
                    try (Socket client = crossing.get()) {
                        StubServer.Message answer =
                                SenderFixture.exchange(client, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
                        assertEquals("HTTP/1.1 200 OK", answer.line());
                    }
                }
                StubServer.await("nobody listens any more", () -> connect(address).isEmpty());
            } finally {
                group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
            }
        }
    }

    /** Nothing if it is refused. */
    private static Optional<Socket> connect(InetSocketAddress address) {
        try {
            return Optional.of(new Socket(address.getAddress(), address.getPort()));
        } catch (IOException refused) {
            return Optional.empty();
        }
    }
}
