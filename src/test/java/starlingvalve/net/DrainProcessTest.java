package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The incident of new work sent to draining servers. At first the list has {@code s-0} serving and {@code s-1}
 * draining, and the sender's configuration says the same all the time; then the two change places.
 */
class DrainProcessTest extends SenderProcessFixture {
    /** After a drain is told calls may still begin for so long, by the pages: the grace and the slack. */
    private static final long GRACE_MS = 250 + 50;
    /** So late an answer of the agent may be. */
    private static final long LATE_ANSWER_MS = 200;
    /** A sender that would send at once has done so after this time. */
    private static final long AT_ONCE_MS = 1000;

    @Override
    String initialLifecycle(int endpoint) {
        return endpoint == 0 ? DiscoveryAgent.SERVING : DiscoveryAgent.DRAINING;
    }

    private void changePlaces() {
        agent.change("s-1", DiscoveryAgent.SERVING);
        agent.change("s-0", DiscoveryAgent.DRAINING);
    }

    private int callsTo(int endpoint) {
        return endpoints.get(endpoint).requests.size();
    }

    private static void awaitAtMost(long limitMs, BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs);
        while (!condition.getAsBoolean() && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
    }

    /** What the agent has counts as told from the first moment of a process; its answer comes after any early call. */
    @Test
    void aNewProcessCallsNoServerBeforeDiscoveryHasAnswered() throws Exception {
        script(StubServer.silent());
        sender.start();
        submit("held", "safe");
        StubServer.await("it is called for", () -> callsTo(0) == 1);
        sender.kill();
        changePlaces();
        script(SenderProcessFixture::accept);
        agent.beforeAnswer(request -> awaitAtMost(LATE_ANSWER_MS, () -> callsTo(0) > 1));
        sender.start();
        awaitAllEnded();
        assertEquals(1, callsTo(0), "new work was sent to a draining server");
        assertEquals(1, callsTo(1));
    }

    /** What the agent gets at the return of discovery counts at once, though what it was asked before is lost. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void afterAnOutageNoCallGoesByTheListFromBefore(boolean startsInTheOutage) throws Exception {
        if (startsInTheOutage) {
            agent.fallSilent();
            sender.start();
            StubServer.await("the list is asked for", () -> !agent.requests().isEmpty());
        } else {
            sender.start();
            StubServer.await("the list is watched", () -> agent.watches() > 0);
            agent.fallSilent();
        }
        changePlaces();
        agent.comeBack();
        TimeUnit.MILLISECONDS.sleep(GRACE_MS);
        submit("late", "safe");
        awaitAllEnded();
        assertEquals(0, callsTo(0), "new work was sent to a draining server");
        assertEquals(1, callsTo(1));
    }

    /** That this machine can make no connection for a moment says nothing of the agent, which has the change by then. */
    @Test
    void connectsThatFailHereAreNoSilenceOfTheAgent() throws Exception {
        SystemFaults faults = new SystemFaults(folder, sender);
        sender.start();
        submit("first", "safe");
        awaitAllEnded();
        faults.failConnects();
        agent.closeConnections();
        changePlaces();
        TimeUnit.MILLISECONDS.sleep(GRACE_MS);
        submit("late", "safe");
        awaitAtMost(GRACE_MS, () -> callsTo(0) > 1);
        faults.clearConnectFaults();
        awaitAllEnded();
        assertEquals(1, callsTo(0), "new work was sent to a draining server");
        assertEquals(1, callsTo(1));
    }

    /** The configuration's list is older than what the sender was told before it was killed. */
    @Test
    void whatAnEarlierProcessWasToldHoldsWhileDiscoveryIsSilent() throws Exception {
        sender.start();
        changePlaces();
        sender.awaitEvent("server-state", "endpoint=s-0", "to=DRAINING");
        sender.kill();
        agent.fallSilent();
        sender.start();
        submit("after", "safe");
        awaitAtMost(AT_ONCE_MS, () -> callsTo(0) > 0);
        agent.comeBack();
        awaitAllEnded();
        assertEquals(0, callsTo(0), "new work was sent to a draining server");
        assertEquals(1, callsTo(1));
    }
}
