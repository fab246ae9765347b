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
 * The incident of messages sent on after their end: an answer that tells the end of messages comes through a fault
 * proxy, late, when one of the messages of its call is not waited for any more.
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
     * Two messages travel in one call, which its endpoint accepts at once. The answer is held back until one of them,
     * whose attempt has timed out, is not waited for any more.
     */
    private void oneLeavesBeforeTheAnswerForBoth(String effectOfTheOther) throws Exception {
        sender.start();
        proxies.forEach(FaultProxy::holdAnswers);
        submit("opener", "unsafe");
        StubServer.await("the only slot is taken", () -> callCount("opener") == 1);
        submit("leaving", "hasty");
        submit("waiting", effectOfTheOther);
        script((call, socket) -> {
            proxies.forEach(FaultProxy::holdAnswers);
            accept(call, socket);
        });
        proxies.forEach(FaultProxy::releaseAnswers);
        StubServer.await("both travel in one call", () -> calls().stream()
                .anyMatch(call -> ids(call).equals(List.of("leaving", "waiting"))));
        sender.awaitEvent("attempt-ended", "id=leaving", "cause=TIMED_OUT", "messages=2", "left=1");
        script(SenderProcessFixture::accept);
        proxies.forEach(FaultProxy::releaseAnswers);
        awaitAllEnded();
    }

    @ParameterizedTest
    @ValueSource(strings = {"safe", "keyed", "unsafe"})
    void whatAnAnswerAcceptsIsOverThoughAnotherMessageHasLeftItsCall(String effect) throws Exception {
        oneLeavesBeforeTheAnswerForBoth(effect);
        assertEquals(1, callCount("waiting"), "sent on after its end");
        int served = Stream.of("hasty", "safe", "keyed", "unsafe").mapToInt(name -> metric("served." + name)).sum();
        assertEquals(3, served, "both count as delivered, as the opener does");
        confirmationsAreHeard();
    }

    @Test
    void whatAnAnswerAcceptsIsOverThoughItHasLeftItsCallItself() throws Exception {
        oneLeavesBeforeTheAnswerForBoth("safe");
        assertEquals(1, callCount("leaving"), "sent on after its end");
        confirmationsAreHeard();
    }

    /** One for each message of the call, in any order: such an answer does not count at the platform in all cases. */
    private void confirmationsAreHeard() throws Exception {
        StubServer.await("both are confirmed", () -> agent.notices.size() >= 2);
        submit("last", "safe");
        awaitAllEnded();
        assertEquals(Set.of("{\"ref\":\"leaving\",\"result\":\"dead\"}", "{\"ref\":\"waiting\",\"result\":\"dead\"}"),
                Set.copyOf(agent.notices));
        assertEquals(2, agent.notices.size(), "each once");
    }
}
