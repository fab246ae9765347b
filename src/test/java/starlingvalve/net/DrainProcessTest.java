package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against new calls to draining endpoints, which a sender with an outdated endpoint list makes after a restart
 * or an outage of discovery. In the initial list and in the configuration, which is never changed, {@code s-0} is
 * serving and {@code s-1} is draining; later the agent swaps the two.
 */
class DrainProcessTest extends SenderProcessFixture {
    /** Time in which calls may begin after the sender is notified of a drain: the grace plus the protocol's slack. */
    private static final long GRACE_MS = 250 + 50;
    /** Maximum delay of the agent's answer while a test watches for an early call. */
    private static final long MAX_ANSWER_DELAY_MS = 200;
    /** Time within which a sender that does not wait for discovery would have sent a message. */
    private static final long IMMEDIATE_SEND_MS = 1000;

    @Override
    String initialLifecycle(int endpoint) {
        return endpoint == 0 ? DiscoveryAgent.SERVING : DiscoveryAgent.DRAINING;
    }

    private void swapLifecycles() {
        agent.change("s-1", DiscoveryAgent.SERVING);
        agent.change("s-0", DiscoveryAgent.DRAINING);
    }

    private int callsTo(int endpoint) {
        return endpoints.get(endpoint).requests.size();
    }

    private static void awaitAtMost(long limitMs, BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs);
        while (!condition.getAsBoolean() && System.nanoTime() < deadline) {
            Thread.onSpinWait();
        }
    }

    /**
     * The agent's list applies to a process from its start. The agent delays its answer, so that a call that does not
     * wait for the answer is made before it.
     */
    @Test
    void restartedSenderMakesNoCallBeforeDiscoveryAnswers() throws Exception {
        script(StubServer.silent());
        sender.start();
        submit("held", "safe");
        StubServer.await("a call carries the message", () -> callsTo(0) == 1);
        sender.kill();
        swapLifecycles();
        script(SenderProcessFixture::accept);
        agent.beforeAnswer(request -> awaitAtMost(MAX_ANSWER_DELAY_MS, () -> callsTo(0) > 1));
        sender.start();
        awaitAllEnded();
        assertEquals(1, callsTo(0), "a new call to a draining endpoint");
        assertEquals(1, callsTo(1));
    }

    /** The agent's list applies as soon as discovery is back, although the requests sent before are never answered. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void noCallUsesOldListAfterDiscoveryOutage(boolean startsDuringOutage) throws Exception {
        if (startsDuringOutage) {
            agent.becomeUnreachable();
            sender.start();
            StubServer.await("the list is requested", () -> !agent.requests().isEmpty());
        } else {
            sender.start();
            StubServer.await("the list is watched", () -> agent.watches() > 0);
            agent.becomeUnreachable();
        }
        swapLifecycles();
        agent.becomeReachable();
        TimeUnit.MILLISECONDS.sleep(GRACE_MS);
        submit("late", "safe");
        awaitAllEnded();
        assertEquals(0, callsTo(0), "a new call to a draining endpoint");
        assertEquals(1, callsTo(1));
    }

    /**
     * Connects that fail on the sender's machine don't count as an outage of discovery: the agent has the changed list
     * meanwhile, so the sender may not go on with its old one.
     */
    @Test
    void localConnectFailuresDoNotCountAsDiscoveryOutage() throws Exception {
        SystemFaults faults = new SystemFaults(folder, sender);
        sender.start();
        submit("first", "safe");
        awaitAllEnded();
        faults.failConnects();
        agent.closeConnections();
        swapLifecycles();
        TimeUnit.MILLISECONDS.sleep(GRACE_MS);
        submit("late", "safe");
        awaitAtMost(GRACE_MS, () -> callsTo(0) > 1);
        faults.clearConnectFaults();
        awaitAllEnded();
        assertEquals(1, callsTo(0), "a new call to a draining endpoint");
        assertEquals(1, callsTo(1));
    }

    /** The list in the configuration is older than the changes that the sender received before it was killed. */
    @Test
    void receivedDrainAppliesAfterRestartDuringDiscoveryOutage() throws Exception {
        sender.start();
        swapLifecycles();
        sender.awaitEvent("server-state", "endpoint=s-0", "to=DRAINING");
        sender.kill();
        agent.becomeUnreachable();
        sender.start();
        submit("after", "safe");
        awaitAtMost(IMMEDIATE_SEND_MS, () -> callsTo(0) > 0);
        agent.becomeReachable();
        awaitAllEnded();
        assertEquals(0, callsTo(0), "a new call to a draining endpoint");
        assertEquals(1, callsTo(1));
    }
}
