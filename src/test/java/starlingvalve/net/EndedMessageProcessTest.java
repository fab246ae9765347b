package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against sending messages again after they have ended. This happened when an answer that ends the messages of a
 * call came late, after the attempt of one of these messages had timed out and left the call. A fault proxy delays the
 * answers here.
 */
class EndedMessageProcessTest extends SenderProcessFixture {
    private final List<FaultProxy> proxies = new ArrayList<>();

    @Override
    String listedAddress(StubServer endpoint) throws IOException {
        FaultProxy proxy = new FaultProxy(endpoint.address());
        proxies.add(proxy);
        return proxy.hostPort();
    }

    @AfterEach
    void closeProxies() throws IOException {
        for (FaultProxy proxy : proxies) {
            proxy.close();
        }
    }

    /**
     * Sends two messages in one call, which its endpoint accepts at once. The answer is held back until the attempt of
     * one of the messages has timed out, so that this message has left the call.
     */
    private void answerBothAfterOneHasLeft(String effectOfTheOther) throws Exception {
        sender.start();
        proxies.forEach(FaultProxy::holdAnswers);
        submit("opener", "unsafe");
        StubServer.await("the only worker is busy", () -> callCount("opener") == 1);
        submit("leaving", "hasty");
        submit("waiting", effectOfTheOther);
        script((call, socket) -> {
            proxies.forEach(FaultProxy::holdAnswers);
            accept(call, socket);
        });
        proxies.forEach(FaultProxy::releaseAnswers);
        StubServer.await("both are sent in one call", () -> calls().stream()
                .anyMatch(call -> ids(call).equals(List.of("leaving", "waiting"))));
        sender.awaitEvent("attempt-ended", "id=leaving", "cause=TIMED_OUT", "messages=2", "left=1");
        script(SenderProcessFixture::accept);
        proxies.forEach(FaultProxy::releaseAnswers);
        awaitAllEnded();
    }

    @ParameterizedTest
    @ValueSource(strings = {"safe", "keyed", "unsafe"})
    void acceptedMessageEndsAlthoughAnotherMessageHasLeftItsCall(String effect) throws Exception {
        answerBothAfterOneHasLeft(effect);
        assertEquals(1, callCount("waiting"), "sent again after its end");
        int served = Stream.of("hasty", "safe", "keyed", "unsafe").mapToInt(name -> metric("served." + name)).sum();
        assertEquals(3, served, "both messages count as delivered, and so does the opener");
        assertBothConfirmedOnce();
    }

    @Test
    void acceptedMessageEndsAlthoughItHasLeftItsCallItself() throws Exception {
        answerBothAfterOneHasLeft("safe");
        assertEquals(1, callCount("leaving"), "sent again after its end");
        assertBothConfirmedOnce();
    }

    /**
     * Checks that there is one confirming notice per message of the call, in any order: the platform doesn't count
     * every answer to a call that a message had left.
     */
    private void assertBothConfirmedOnce() throws Exception {
        StubServer.await("both notices arrive", () -> agent.notices.size() >= 2);
        submit("last", "safe");
        awaitAllEnded();
        assertEquals(Set.of("{\"ref\":\"leaving\",\"result\":\"dead\"}", "{\"ref\":\"waiting\",\"result\":\"dead\"}"),
                Set.copyOf(agent.notices));
        assertEquals(2, agent.notices.size(), "one notice for each message");
    }
}
