package starlingvalve.net;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import starlingvalve.DeliveryPolicy;
import starlingvalve.InvalidInputException;
import starlingvalve.net.PredecessorCalls.AttemptId;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * A running sender: owns the event loop and the clock, and connects the servers, the endpoint connections, the journal,
 * discovery and the handover to the {@link DeliveryPolicy}. The policy makes all delivery decisions; this class reports
 * events to it, carries out its actions, and maps endpoint ids to the numbers by which the policy knows them. Only the
 * event loop's thread uses the policy and the components around it, so nothing here is locked.
 */
public final class Sender implements DeliveryPolicy.Actions {
    /** Time from SIGTERM in which new client connections are still accepted. */
    static final long SHUTDOWN_ACCEPT_MS = 450;
    /** Time from SIGTERM by which calls in flight must have ended; SIGKILL may follow 3.7 s after SIGTERM. */
    static final long SHUTDOWN_LIMIT_MS = 3300;
    private static final long SHUTDOWN_POLL_MS = 20;
    /** Maximum duration of the JVM warm-up before the sender serves. */
    private static final long WARMUP_LIMIT_MS = 2300;
    /** Interval between attempts to write journal records that the disk did not accept. */
    private static final long JOURNAL_RETRY_MS = 100;
    /**
     * Longest time that a handover is expected to take on a busy machine, until the successor makes decisions and its
     * notices reach the platform.
     */
    private static final double HANDOVER_PAUSE_MS = 1000;
    /** Interval between attempts to listen for clients; the system may be short of sockets for a moment. */
    private static final long LISTEN_RETRY_MS = 20;
    private static final String ADDRESS_IN_USE = "Address already in use";
    /** Delay after which a turn that was aborted by a fault is followed by another one. */
    private static final long TURN_RETRY_MS = 20;
    /** Retry delay given to the client of a message that was not delivered because of a fault in this program. */
    private static final double FAULT_RETRY_AFTER_MS = 1000;
    /** Message number that means "no message" on the handover connection between two processes. */
    private static final long NO_MESSAGE = -1;
    /**
     * Time from its start in which a successor waits for an endpoint list from discovery; then it takes over with its
     * predecessor's list.
     */
    private static final long PREPARE_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    private final Config config;
    private final long shutdownAcceptMs;
    private final long shutdownLimitMs;
    private final long warmupLimitMs;
    private final StartRetry startRetry;
    private final EventLoopGroup group;
    private final EventLoop loop;
    /** Only accepts connections. */
    private final EventLoopGroup acceptorGroup;
    private final EventLoop acceptor;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final long startNanos = System.nanoTime();
    private final EndpointRegistry registry = new EndpointRegistry();
    private final OpenMessages openMessages = new OpenMessages();
    /** Ends messages that the policy does not end in time; null until this process owns the journal and its clock. */
    private DeadlineWatchdog watchdog;
    /** Messages whose deadline passed during a handover; this process watches them again if the handover fails. */
    private final List<AcceptedMessage> overdueDuringHandover = new ArrayList<>();
    /** Final check of what may be sent or ended; null until this process owns the journal. */
    private MessageRules rules;
    /** The calls of the attempts in flight, by message number and attempt number. */
    private final Map<AttemptId, Endpoints.Call> callsInFlight = new HashMap<>();
    private final DeliveryPolicy policy;
    private Journal journal;
    private Endpoints endpoints;
    private Discovery discovery;
    /** Decides whether calls may be sent by the current endpoint list. */
    private ListLease listLease;
    /** The policy has something to send, and a turn is opened once the list lease is valid. */
    private boolean turnAwaitsLease;
    private NoticeClient notices;
    private SubmissionServer submissionServer;
    private OperatorServer ops;
    private final DiscoveryAddress discoveryAddress;
    private InetSocketAddress opsAddress;
    private boolean turnOpen;
    /** Time that all events of the open turn share; see {@link #openTurn}. */
    private double turnTimeMs;
    private boolean shuttingDown;
    private Handover handover;
    /** Where this process and another one of this sender meet for a handover. */
    private Path handoverSocket;
    private final ForwardedSubmissions forwardedSubmissions = new ForwardedSubmissions();
    private Takeover takeover;
    private final PredecessorCalls predecessorCalls = new PredecessorCalls();
    private final UnattemptedMessages unattempted = new UnattemptedMessages();
    private StateLock lock;
    private boolean ownsJournal;
    /** A further attempt to write pending journal records is scheduled. */
    private boolean journalRetryScheduled;
    /** No decisions are made, because a successor is taking over or this process failed to become the owner. */
    private boolean frozen;
    /** Completed with the address for clients once they can connect, or with the reason why they can't. */
    private final CompletableFuture<InetSocketAddress> boundAddress = new CompletableFuture<>();
    /** An endpoint list is known and the journal's messages are back in the policy. */
    private boolean ready;
    private boolean listening;
    private final Stats stats;
    private final EventLog events = EventLog.shared();

    Sender(Config config, long shutdownAcceptMs, long shutdownLimitMs) throws IOException {
        this(config, shutdownAcceptMs, shutdownLimitMs, 0, policy -> policy);
    }

    /** Events reach the policy through {@code decorator}, with which tests intercept them. */
    Sender(Config config, long shutdownAcceptMs, long shutdownLimitMs, long warmupLimitMs,
            UnaryOperator<DeliveryPolicy> decorator) throws IOException {
        this(config, shutdownAcceptMs, shutdownLimitMs, warmupLimitMs, new StartRetry(StartRetry.RETRY_LIMIT_MS),
                decorator);
    }

    Sender(Config config, long shutdownAcceptMs, long shutdownLimitMs, long warmupLimitMs, StartRetry startRetry,
            UnaryOperator<DeliveryPolicy> decorator) throws IOException {
        this.startRetry = startRetry;
        this.group = newEventLoop();
        this.loop = group.next();
        this.acceptorGroup = newEventLoop();
        this.acceptor = acceptorGroup.next();
        this.config = config;
        this.discoveryAddress = new DiscoveryAddress(config.discovery(), config.discoveryInFile());
        this.warmupLimitMs = warmupLimitMs;
        this.shutdownAcceptMs = shutdownAcceptMs;
        this.shutdownLimitMs = shutdownLimitMs;
        this.stats = new Stats(config.classes());
        this.policy = decorator.apply(DeliveryPolicy.create(config.settings(), config.seed(), this));
    }

    private EventLoopGroup newEventLoop() throws IOException {
        return startRetry.runWithRetries("creating an event loop",
                () -> new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()));
    }

    /** Runs a sender until a signal ends it; returns the process's exit code. */
    public static int serve(Map<String, String> env) {
        try {
            // By default the JVM exits on SIGHUP. One that arrives while the settings are read takes effect afterwards.
            CompletableFuture<Sender> createdSender = new CompletableFuture<>();
            SignalHandler previousHandler = Signal.handle(new Signal("HUP"),
                    hangUp -> createdSender.thenAccept(Sender::reconfigure));
            if (previousHandler == SignalHandler.SIG_IGN) {
                // The disposition is inherited from the parent process, and the JVM does not change it.
                Log.line("what started this has SIGHUP ignored: no new configuration will be heeded");
            }
            StartRetry startRetry = new StartRetry(StartRetry.RETRY_LIMIT_MS);
            Sender sender = new Sender(Config.read(env, startRetry), SHUTDOWN_ACCEPT_MS, SHUTDOWN_LIMIT_MS,
                    WARMUP_LIMIT_MS, startRetry, policy -> policy);
            createdSender.complete(sender);
            // SIGTERM may come at any moment; once the journal is owned, calls and client requests must be finished.
            Runtime.getRuntime().addShutdownHook(new Thread(sender::drain, "drain"));
            sender.start();
            sender.stopped.await();
            return 0;
        } catch (InvalidInputException | IOException | IllegalArgumentException e) {
            Log.line("can't start: " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            return 1;
        }
    }

    /**
     * Becomes the owner of the journal, taking over from a predecessor process if there is one, and serves. Returns the
     * address for clients once they can connect to it.
     */
    InetSocketAddress start() throws IOException {
        loop.submit(this::openComponents).syncUninterruptibly();
        if (config.ops().isPresent()) {
            opsAddress = startRetry.runWithRetries("listening for operators", () -> ops.listen(config.ops().get()));
            Log.line(config.name() + " takes operators' calls at " + Endpoints.hostPort(opsAddress));
        }
        if (!Files.exists(config.state().resolve("journal")) || takeover.isOwnedElsewhere()) {
            // No client waits for this process: there is no earlier run, or the predecessor still serves.
            Warmup.run(config, loop, warmupLimitMs);
        }
        loop.execute(this::takeOver);
        try {
            InetSocketAddress address = boundAddress.get();
            Log.line(config.name() + " listens at " + Endpoints.hostPort(address));
            return address;
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } catch (InterruptedException e) {
            throw new IOException("interrupted while starting", e);
        }
    }

    /** Starts the takeover, unless a shutdown was requested before this process owned the journal. */
    private void takeOver() {
        if (!shuttingDown) {
            takeover.begin();
        }
    }

    /** Creates the components and starts discovery; runs on the event loop. */
    private void openComponents() {
        int openAtStart = DescriptorBudget.openDescriptors();
        DescriptorBudget budget = DescriptorBudget.divide(config.maxSockets(), openAtStart, config.settings().slots());
        Log.line(budget + "; " + openAtStart + " were open at the start");
        endpoints = new Endpoints(loop, config.dialTimeoutMs(), config.settings().keepAliveMs(),
                config.settings().senders(), budget.idleEndpoints(), new EndpointCallbacks());
        InputMemory answerMemory = InputMemory.ofHeap(InputMemory.LISTS_HEAP_DIVISOR);
        notices = new NoticeClient(loop, agentConnection(NoticeClient.MAX_ANSWER_BYTES, answerMemory),
                this::noticeAcknowledged);
        submissionServer = new SubmissionServer(acceptor, loop, budget.clients(),
                InputMemory.ofHeap(InputMemory.REQUESTS_HEAP_DIVISOR), new ClientCallbacks());
        ops = new OperatorServer(acceptor, loop, new OperatorCallbacks());
        handover = new Handover(acceptor, loop, new HandoverCallbacks());
        handoverSocket = handoverSocket();
        takeover = new Takeover(loop, config.state(), handoverSocket, startRetry, new TakeoverCallbacks());
        EndpointList list = new EndpointList(this::endpointListChanged, events);
        List<Discovery.Source> checks = new ArrayList<>();
        for (int i = 0; i < ListLease.MAX_CHECKS; i++) {
            checks.add(agentConnection(EndpointList.MAX_ANSWER_BYTES, answerMemory));
        }
        listLease = new ListLease(loop, System::nanoTime, config.listLease(), list, checks);
        discovery = new Discovery(loop, agentConnection(EndpointList.MAX_ANSWER_BYTES, answerMemory),
                new Random(config.seed()), list, listLease);
        discovery.start(config.knownList());
        listLease.start();
        new LoopMonitor(loop, events).start();
        discoveryAddress.reload().ifPresent(this::reportReload);
    }

    private Path handoverSocket() {
        try {
            return startRetry.runWithRetries("opening TMPDIR", () -> SocketPath.fitting(config.handover()));
        } catch (IOException e) {
            Log.line("no new version can take over, as the path of TMPDIR is too long: " + e.getMessage());
            return config.handover();
        }
    }

    private AgentConnection agentConnection(int maxAnswerBytes, InputMemory answerMemory) {
        return new AgentConnection(loop, discoveryAddress.current(), UnreadInputChannel::new, maxAnswerBytes,
                answerMemory);
    }

    /**
     * Makes this process the owner of the journal. Processing of its messages continues, with the state that the
     * predecessor passed on, if any.
     */
    private void own(StateLock acquiredLock, Optional<JsonNode> state) throws IOException {
        lock = acquiredLock;
        journal = new Journal(config.state(), config.diskBytes(), config.settings().maxAttempts(),
                unwrittenRecords(state));
        watchdog = new DeadlineWatchdog(loop, journal.clock()::nowMs, this::messageOverdue);
        rules = new MessageRules(journal.clock()::nowMs, this::repeatPolicyOf, events);
        journal.onWriteDeferred(this::scheduleJournalRetry);
        scheduleJournalRetry();
        Optional<DeliveryPolicy.Snapshot> snapshot = state.flatMap(this::readSnapshot);
        if (snapshot.isPresent()) {
            state.get().path("endpoints").forEach(id -> registry.number(id.asText()));
            journal.reserveNumbersBelow(state.get().path("numbers").asLong());
        }
        // Before the predecessor's list, which may be newer than what the former address answered.
        state.flatMap(node -> DiscoveryAddress.Reading.readFrom(node.path("discovery")))
                .ifPresent(this::adoptReload);
        state.ifPresent(node -> discovery.usePredecessorList(node.path("list")));
        discovery.markDraining(journal.withdrawn());
        submissionServer.drain(journal.drained());
        for (String endpoint : journal.inMaintenance()) {
            policy.setMaintenance(openTurn(), registry.number(endpoint), true);
        }
        ownsJournal = true;
        ready = snapshot.isPresent();
        discovery.publishList();
        if (snapshot.isPresent()) {
            restorePredecessorState(state.get(), snapshot.get());
        }
        handover.listen(handoverSocket);
    }

    /** Returns how messages of a class may be repeated, if the configuration still has that class. */
    private Optional<MessageRules.RepeatPolicy> repeatPolicyOf(String messageClass) {
        int classNumber = config.classes().indexOf(messageClass);
        if (classNumber < 0) {
            return Optional.empty();
        }
        DeliveryPolicy.MessageClass settings = config.settings().classes().get(classNumber);
        return Optional.of(new MessageRules.RepeatPolicy(settings.effect(), settings.dedupWindowMs()));
    }

    /** Returns the journal records that the predecessor could not write to disk. */
    private static byte[] unwrittenRecords(Optional<JsonNode> state) throws IOException {
        return state.isPresent() && state.get().has("unwritten") ? state.get().path("unwritten").binaryValue()
                : new byte[0];
    }

    /** Retries pending journal records until the disk accepts them, even if no further event occurs. */
    private void scheduleJournalRetry() {
        if (journalRetryScheduled) {
            return;
        }
        journalRetryScheduled = true;
        loop.schedule(() -> {
            journalRetryScheduled = false;
            if (!frozen && !journal.writeDeferred()) {
                scheduleJournalRetry();
            }
        }, JOURNAL_RETRY_MS, TimeUnit.MILLISECONDS);
    }

    /** Returns the policy's state as of the predecessor, or nothing if it can't be read. */
    private Optional<DeliveryPolicy.Snapshot> readSnapshot(JsonNode state) {
        List<String> classes = new ArrayList<>();
        state.path("classes").forEach(name -> classes.add(name.asText()));
        try {
            DeliveryPolicy.Snapshot snapshot =
                    HandoverConnection.JSON.treeToValue(state.path("memory"), DeliveryPolicy.Snapshot.class);
            return Optional.of(classes.equals(config.classes()) ? snapshot : withLocalClassNumbers(snapshot, classes));
        } catch (IOException | RuntimeException e) {
            Log.line("the old process's state can't be read, so this is a plain start: " + e.getMessage());
            return Optional.empty();
        }
    }

    /**
     * Translates message classes to their numbers in this process's configuration. Messages of a class that no longer
     * exists are omitted, and are therefore given up.
     */
    private DeliveryPolicy.Snapshot withLocalClassNumbers(DeliveryPolicy.Snapshot snapshot, List<String> classes) {
        List<DeliveryPolicy.MessageSnapshot> messages = new ArrayList<>();
        for (DeliveryPolicy.MessageSnapshot previous : snapshot.messages()) {
            int messageClass = config.classes().indexOf(classes.get(previous.message().messageClass()));
            if (messageClass >= 0) {
                messages.add(previous.withClass(messageClass));
            }
        }
        return new DeliveryPolicy.Snapshot(snapshot.endpoints(), messages, snapshot.keyRests(), snapshot.firstSends(),
                snapshot.copies(), snapshot.retries());
    }

    /** Restores the policy's state and the open messages as the predecessor handed them over. */
    private void restorePredecessorState(JsonNode state, DeliveryPolicy.Snapshot snapshot) {
        double ageMs = Math.max(0, journal.clock().nowMs() - state.path("at").asLong());
        Set<Long> inSnapshot = new HashSet<>();
        for (DeliveryPolicy.MessageSnapshot message : snapshot.messages()) {
            inSnapshot.add(message.message().id());
            predecessorCalls.addOpenCalls(message.message().id(), message.openCalls());
            for (int i = 0; i < message.attempts().size(); i++) {
                if (message.attempts().get(i).out()) {
                    predecessorCalls.addAttempt(new AttemptId(message.message().id(), i));
                }
            }
        }
        Predicate<AcceptedMessage> acknowledged = acknowledgedByClients(state, inSnapshot);
        for (AcceptedMessage accepted : journal.liveMessages()) {
            predecessorCalls.addMessage(accepted);
            if (accepted.ended) {
                notices.enqueue(accepted);
            } else {
                addOpen(accepted);
                accepted.acceptanceAcknowledged = acknowledged.test(accepted);
            }
        }
        isolate(() -> policy.restore(openTurn(), turnTimeMs - ageMs, snapshot));
        Log.line(config.name() + " took over " + openMessages.size() + " messages, with "
                + predecessorCalls.inFlightCount() + " calls out");
        reconcile(ageMs);
    }

    /**
     * Returns which messages' acceptances were acknowledged by their clients and reported to the predecessor's policy.
     * A predecessor of an earlier version doesn't list the unacknowledged messages; then those in its snapshot count as
     * acknowledged.
     */
    private static Predicate<AcceptedMessage> acknowledgedByClients(JsonNode state, Set<Long> inSnapshot) {
        if (!state.has("unheard")) {
            return accepted -> inSnapshot.contains(accepted.number);
        }
        Set<Long> unacknowledged = new HashSet<>();
        state.path("unheard").forEach(number -> unacknowledged.add(number.asLong()));
        return accepted -> !unacknowledged.contains(accepted.number);
    }

    /**
     * Makes the policy agree with the journal, which is authoritative even if the snapshot is incomplete or out of
     * date: messages that the policy lacks are recovered as after a restart, and it drops those that have ended.
     */
    private void reconcile(double ageMs) {
        Set<Long> inPolicy = policy.openMessages();
        events.add("takeover", "age_ms", Math.round(ageMs), "open", openMessages.size(), "module", inPolicy.size(),
                "calls", predecessorCalls.inFlightCount(), "notices", notices.pendingNotices());
        long steadyNowMs = journal.clock().nowMs();
        for (AcceptedMessage accepted : openMessages.all()) {
            if (accepted.acceptanceAcknowledged && !inPolicy.contains(accepted.number)) {
                events.add("takeover-not-in-module", "id", accepted.id, "class", accepted.messageClass, "attempts",
                        accepted.attempts.size(), "left_ms", accepted.deadlineMs - steadyNowMs);
                recover(accepted, steadyNowMs);
            }
        }
        inPolicy.stream().filter(number -> openMessages.find(number).isEmpty())
                .forEach(number -> isolate(() -> policy.messageWithdrawn(openTurn(), number)));
    }

    /** The address at which this sender takes operators' requests. */
    InetSocketAddress opsAddress() {
        return opsAddress;
    }

    /**
     * Rereads the replaced configuration; only discovery's address may change at run time. Signals in quick succession
     * are handled on separate threads, so this method is synchronized: the address that is read last must be set last.
     */
    synchronized void reconfigure() {
        readConfiguration(this::reloaded);
    }

    /**
     * Rereads the configuration after another process of this sender has ended, with which a SIGHUP that it had not
     * reported would be lost. An unchanged file has no effect.
     */
    private synchronized void reconfigureIfReplaced() {
        readConfiguration(reading -> {
            if (!discoveryAddress.isNewest(reading.address())) {
                reloaded(reading);
            }
        });
    }

    private void readConfiguration(Consumer<DiscoveryAddress.Reading> callback) {
        try {
            DiscoveryAddress.Reading reading = ConfigReload.readDiscovery(config.file());
            loop.execute(() -> callback.accept(reading));
        } catch (InvalidInputException | IOException | IllegalArgumentException e) {
            Log.line("the new configuration can't be read; the old one stays in effect: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void reconfigureAfterPredecessor() {
        Thread reader = new Thread(this::reconfigureIfReplaced, "reload");
        reader.setDaemon(true);
        reader.start();
    }

    /** The configuration was reloaded in this process. */
    private void reloaded(DiscoveryAddress.Reading reading) {
        discoveryAddress.reloaded(reading);
        reconnectToDiscovery();
        if (discovery != null) {
            reportReload(reading);
        }
    }

    /** The configuration was reloaded in the other process of an upgrade. */
    private void adoptReload(DiscoveryAddress.Reading reading) {
        InetSocketAddress previous = discoveryAddress.current();
        discoveryAddress.reloaded(reading);
        if (!previous.equals(discoveryAddress.current())) {
            reconnectToDiscovery();
        }
    }

    private void reconnectToDiscovery() {
        InetSocketAddress address = discoveryAddress.current();
        Log.line("discovery is at " + Endpoints.hostPort(address) + " now");
        if (discovery != null) {
            discovery.changeAddress(address);
            notices.changeAddress(address);
        }
    }

    /** Reports a reload to the other process of an upgrade, if there is one: to the successor or the predecessor. */
    private void reportReload(DiscoveryAddress.Reading reading) {
        ObjectNode line = reading.writeTo(HandoverConnection.line(HandoverConnection.RELOADED));
        if (handover.isForwarding()) {
            handover.forward(line, () -> { });
        } else {
            takeover.tellPredecessor(line);
        }
    }

    /**
     * Passes the messages of an earlier process run back to the policy, with their attempts, and sends outstanding
     * notices again. Runs only once an endpoint list is known: without one the policy could only give all of them up.
     */
    private void replayJournal() {
        long steadyNowMs = journal.clock().nowMs();
        for (AcceptedMessage accepted : journal.liveMessages()) {
            if (accepted.ended) {
                replayNotice(accepted, steadyNowMs);
            } else {
                recover(accepted, steadyNowMs);
            }
        }
        Log.line(config.name() + " is ready, with " + openMessages.size() + " messages from its journal");
    }

    private void replayNotice(AcceptedMessage accepted, long steadyNowMs) {
        notices.enqueue(accepted);
        int messageClass = config.classes().indexOf(accepted.messageClass);
        if (messageClass >= 0) {
            isolate(() -> policy.endedUnacknowledged(openTurn(),
                    policyMessage(accepted, messageClass, accepted.deadlineMs - steadyNowMs)));
        }
    }

    /**
     * Continues a message with what the journal recorded. A message that the policy can't accept is given up, since its
     * client must still learn its end.
     */
    private void recover(AcceptedMessage accepted, long steadyNowMs) {
        addOpen(accepted);
        accepted.acceptanceAcknowledged = true;
        int messageClass = config.classes().indexOf(accepted.messageClass);
        if (messageClass < 0) {
            Log.line("class " + accepted.messageClass + " is no longer configured; its message is given up");
            giveUp(accepted, 0);
        } else if (!FaultIsolation.run(() -> recover(accepted, messageClass, steadyNowMs)) && !accepted.ended) {
            giveUp(accepted, 0);
        }
    }

    private void recover(AcceptedMessage accepted, int messageClass, long steadyNowMs) {
        double now = openTurn();
        double leftMs = accepted.deadlineMs - steadyNowMs;
        List<DeliveryPolicy.EarlierAttempt> earlier = new ArrayList<>();
        for (AcceptedMessage.Attempt attempt : accepted.attempts) {
            // After a reboot the clocks may disagree; a send must not move into the future because of that.
            double sentAt = now - Math.max(0, steadyNowMs - attempt.sentAtMs);
            earlier.add(new DeliveryPolicy.EarlierAttempt(registry.number(attempt.endpoint), sentAt,
                    !attempt.neverRan));
        }
        if (earlier.isEmpty()) {
            unattempted.found(accepted.number, leftMs);
        }
        policy.messageRecovered(now, policyMessage(accepted, messageClass, leftMs), earlier);
    }

    /** Registers a message that this process must end from now on. */
    private void addOpen(AcceptedMessage accepted) {
        openMessages.add(accepted);
        watchdog.watch(accepted);
    }

    /**
     * Ends a message that the policy does not end. If it certainly has not run, its client may submit it again after
     * {@code retryAfterMs}.
     */
    private void giveUp(AcceptedMessage accepted, double retryAfterMs) {
        endWithNotice(accepted, finalNotice(accepted, retryAfterMs));
        isolate(() -> policy.endConfirmationPending(openTurn(), accepted.number));
    }

    /**
     * Handles a message that has not ended by its deadline. The check is queued behind the loop's pending tasks, since
     * the message's end may be among them after the loop was blocked.
     */
    private void messageOverdue(AcceptedMessage accepted) {
        openTurn();
        loop.execute(() -> {
            if (accepted.ended) {
                return;
            }
            if (!ownsMessages()) {
                messageOverdueDuringHandover(accepted);
                return;
            }
            events.add("overdue", "id", accepted.id, "class", accepted.messageClass, "told",
                    accepted.acceptanceAcknowledged, "attempts", accepted.attempts.size(), "module",
                    policy.openMessages().contains(accepted.number));
            giveUp(accepted, FAULT_RETRY_AFTER_MS);
        });
    }

    /**
     * Sends a notice for a message whose deadline passes during a handover. The successor ends the message once it owns
     * the journal, which may be too late; two notices for one message do no harm.
     */
    private void messageOverdueDuringHandover(AcceptedMessage accepted) {
        overdueDuringHandover.add(accepted);
        events.add("overdue-in-handover", "id", accepted.id, "class", accepted.messageClass, "attempts",
                accepted.attempts.size());
        accepted.pendingNotice = Optional.of(finalNotice(accepted, FAULT_RETRY_AFTER_MS));
        notices.sendOnce(accepted);
    }

    /** The notice that ends a message: bounced with a retry delay if it certainly has not run, otherwise failed. */
    private static AcceptedMessage.Notice finalNotice(AcceptedMessage accepted, double retryAfterMs) {
        boolean neverRan = accepted.attempts.stream().allMatch(attempt -> attempt.neverRan);
        return new AcceptedMessage.Notice(neverRan, retryAfterMs);
    }

    /** Whether this process is the one that ends the open messages. */
    private boolean ownsMessages() {
        return ownsJournal && !frozen;
    }

    /** Called once an endpoint list is known and the journal is read: replays the journal and accepts messages. */
    private void becomeReady() {
        ready = true;
        replayJournal();
    }

    /** Returns the policy's view of a message; the time left is at most the deadline of its class. */
    private DeliveryPolicy.Message policyMessage(AcceptedMessage accepted, int messageClass, double leftMs) {
        double timeLeftMs = Math.min(leftMs, config.settings().classes().get(messageClass).deadlineMs());
        return new DeliveryPolicy.Message(accepted.number, messageClass,
                Math.max(0, config.tenants().indexOf(accepted.tenant)), accepted.orderingKey, timeLeftMs,
                accepted.destination);
    }

    // ---- the clock and turns ----

    /**
     * Returns the time of the current turn for the policy, and opens a turn if there is none. A turn comprises the
     * events that are handled before the loop reaches the end-of-turn task queued here; they share one time, and at the
     * end the policy decides once what to send.
     */
    private double openTurn() {
        if (!turnOpen) {
            turnOpen = true;
            turnTimeMs = elapsedMs();
            loop.execute(this::endTurn);
        }
        return turnTimeMs;
    }

    /** The current time for queries that change nothing and so need no turn. */
    private double now() {
        return turnOpen ? turnTimeMs : elapsedMs();
    }

    private double elapsedMs() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    private void endTurn() {
        boolean completed = frozen || FaultIsolation.run(() -> policy.endTurn(turnTimeMs));
        turnOpen = false;
        isolate(endpoints::flush);
        if (!completed) {
            // Otherwise the remaining work, including the next wake-up, would wait for an event that may never occur.
            loop.schedule(this::openTurn, TURN_RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Runs a task so that a fault in the handling of one message does not affect the others. */
    private static void isolate(Runnable task) {
        FaultIsolation.run(task);
    }

    // ---- actions of the policy ----

    @Override
    public boolean mayStartCalls() {
        if (listLease.isValid()) {
            return true;
        }
        if (!turnAwaitsLease) {
            turnAwaitsLease = true;
            listLease.runWhenValid(() -> {
                turnAwaitsLease = false;
                openTurn();
            });
        }
        return false;
    }

    @Override
    public void send(long message, long endpoint, double timeoutMs) {
        AcceptedMessage accepted = openMessages.find(message).orElseThrow();
        int number = accepted.attempts.size();
        AcceptedMessage.Attempt attempt = new AcceptedMessage.Attempt(registry.id(endpoint), journal.clock().nowMs());
        attempt.listGeneration = discovery.generation();
        accepted.attempts.add(attempt);
        boolean started = FaultIsolation.run(
                () -> callsInFlight.put(new AttemptId(message, number),
                        endpoints.call(accepted, number, endpoint, timeoutMs)));
        if (!started) {
            // The policy counts the attempt as in flight until its end is reported.
            loop.execute(() -> attemptEnded(accepted, number, DeliveryPolicy.Outcome.NOT_SENT, false, false, 0, 0,
                    false));
        }
    }

    @Override
    public void cancel(long message, int attempt) {
        Endpoints.Call call = callsInFlight.get(new AttemptId(message, attempt));
        if (call != null) {
            endpoints.cancel(call);
        } else if (predecessorCalls.isInFlight(new AttemptId(message, attempt))) {
            takeover.sendToPredecessor(
                    HandoverConnection.line("cancel").put("message", message).put("attempt", attempt));
        }
    }

    @Override
    public void closeIdle(long endpoint) {
        endpoints.closeIdle(endpoint);
    }

    @Override
    public boolean refuse(long message, double retryAfterMs) {
        endWithNotice(openMessages.find(message).orElseThrow(), new AcceptedMessage.Notice(true, retryAfterMs));
        return false;
    }

    @Override
    public boolean fail(long message) {
        endWithNotice(openMessages.find(message).orElseThrow(), new AcceptedMessage.Notice(false, 0));
        return false;
    }

    @Override
    public void wakeAt(double time) {
        long nanos = (long) (time * 1e6) - (System.nanoTime() - startNanos);
        AfterPendingReads.schedule(loop, Math.max(0, nanos), TimeUnit.NANOSECONDS,
                () -> isolate(() -> policy.wake(openTurn())));
    }

    @Override
    public void log(String text) {
        Log.line(text);
    }

    /** Ends a message with a notice to the platform, if the rules allow it. */
    private void endWithNotice(AcceptedMessage accepted, AcceptedMessage.Notice notice) {
        if (!rules.mayEnd(accepted)) {
            return;
        }
        markEnded(accepted, notice.bounced() ? Stats.End.REFUSED : Stats.End.FAILED);
        events.add("notice-owed", "id", accepted.id, "class", accepted.messageClass, "bounced", notice.bounced(),
                "attempts", accepted.attempts.size(), "left_ms", accepted.deadlineMs - journal.clock().nowMs());
        journal.noticePending(accepted, notice);
        notices.enqueue(accepted);
    }

    // ---- events for the policy ----

    /** Callbacks of the endpoint connections. */
    private final class EndpointCallbacks implements Endpoints.Callbacks {
        @Override
        public boolean mayBeginAttempt(Endpoints.Call call) {
            return policy.mayBeginAttempt(now(), call.message.number, call.attempt);
        }

        @Override
        public void runWhenListIsCurrent(Runnable task) {
            if (listLease.isValid()) {
                task.run();
            } else {
                listLease.runWhenValid(task);
            }
        }

        /**
         * Journals the attempt just before its first byte, and not earlier: an attempt whose connection was still being
         * established when the process was killed certainly has not run.
         */
        @Override
        public boolean callStarting(Endpoints.Call call) {
            if (!rules.maySend(call.message, call.attempt)) {
                return false;
            }
            try {
                journal.attemptStarting(call.message, call.attempt);
            } catch (IOException e) {
                // An attempt that is not recorded could be repeated after a restart, and so run twice.
                Log.line("an attempt is not made, since the journal can't record it: " + e.getMessage());
                return false;
            }
            unattempted.called(call.message.number);
            if (call.attempt > 0) {
                events.add("retry", "id", call.message.id, "attempt", call.attempt, "endpoint",
                        call.message.attempts.get(call.attempt).endpoint);
            }
            return true;
        }

        @Override
        public void ended(Endpoints.Call call, DeliveryPolicy.Outcome outcome, boolean messageEnded,
                double retryAfterMs, boolean callOpen) {
            callsInFlight.remove(new AttemptId(call.message.number, call.attempt));
            double tookMs = (System.nanoTime() - call.startedNanos) / 1e6;
            if (outcome != DeliveryPolicy.Outcome.DELIVERED) {
                logUndelivered(call, outcome, messageEnded, retryAfterMs, tookMs);
            }
            boolean needsConfirmation = call.report().wasPartlyAbandoned();
            Runnable localAction = () -> attemptEnded(call.message, call.attempt, outcome, messageEnded,
                    needsConfirmation, retryAfterMs, tookMs, callOpen);
            if (handover.isForwarding()) {
                ObjectNode line = HandoverConnection.line("ended").put("message", call.message.number)
                        .put("attempt", call.attempt).put("outcome", outcome.name()).put("gone", messageEnded)
                        .put("confirm", needsConfirmation).put("waitMs", retryAfterMs).put("tookMs", tookMs)
                        .put("open", callOpen);
                handover.forward(line, localAction);
            } else {
                localAction.run();
            }
        }

        @Override
        public void messageEndedAfterCall(Endpoints.Call call, boolean delivered) {
            events.add("over-after-end", "id", call.message.id, "attempt", call.attempt, "endpoint",
                    call.message.attempts.get(call.attempt).endpoint, "delivered", delivered);
            Runnable localAction = () -> Sender.this.endByLateAnswer(call.message, delivered);
            if (handover.isForwarding()) {
                handover.forward(HandoverConnection.line("over").put("message", call.message.number)
                        .put("delivered", delivered), localAction);
            } else {
                localAction.run();
            }
        }

        private void logUndelivered(Endpoints.Call call, DeliveryPolicy.Outcome outcome, boolean messageEnded,
                double retryAfterMs, double tookMs) {
            AttemptReport report = call.report();
            events.add("attempt-ended", "id", call.message.id, "attempt", call.attempt, "endpoint",
                    call.message.attempts.get(call.attempt).endpoint, "outcome", outcome, "cause", report.cause(),
                    "status", report.status(), "messages", report.messages(), "left", report.abandoned(), "over",
                    messageEnded, "wait_ms", Math.round(retryAfterMs), "took_ms", Math.round(tookMs), "list",
                    call.message.attempts.get(call.attempt).listGeneration);
        }

        @Override
        public void connectionClosed(long endpoint, Endpoints.CloseReason reason, boolean underRequest, String cause,
                Endpoints.ConnectionUse use) {
            events.add("connection-closed", "endpoint", registry.id(endpoint), "reason", reason, "under_request",
                    underRequest, "cause", cause, "exchanges", use.exchanges(), "surplus_bytes", use.surplusBytes(),
                    "quiet_ms", use.quietMs());
        }

        @Override
        public void retryAfterReceived(long endpoint, double retryAfterMs) {
            Runnable localAction = () -> isolate(() -> policy.retryAfterReceived(openTurn(), endpoint, retryAfterMs));
            if (handover.isForwarding()) {
                handover.forward(HandoverConnection.line("wait").put("endpoint", endpoint).put("waitMs", retryAfterMs),
                        localAction);
            } else {
                localAction.run();
            }
        }

        @Override
        public void written(int messages) {
            stats.attempts(messages);
        }

        @Override
        public void exchangeEnded(Endpoints.Call call) {
            Runnable localAction = () -> isolate(() -> policy.callEnded(openTurn(), call.message.number));
            if (handover.isForwarding()) {
                handover.forward(HandoverConnection.line("closed").put("message", call.message.number), localAction);
            } else {
                localAction.run();
            }
        }
    }

    private void attemptEnded(AcceptedMessage accepted, int attempt, DeliveryPolicy.Outcome outcome,
            boolean messageEnded, boolean needsConfirmation, double retryAfterMs, double tookMs, boolean callOpen) {
        if (messageEnded) {
            endByAnswer(accepted, FinishedMessage.Result.FAILED);
        } else if (outcome == DeliveryPolicy.Outcome.DELIVERED && needsConfirmation) {
            confirmDelivery(accepted);
        } else if (outcome == DeliveryPolicy.Outcome.DELIVERED) {
            endByAnswer(accepted, FinishedMessage.Result.DELIVERED);
        } else if (!accepted.ended && !outcome.mayHaveRun()) {
            journal.neverRan(accepted, attempt);
        }
        boolean finished = accepted.ended;
        isolate(() -> policy.attemptEnded(openTurn(), new DeliveryPolicy.AttemptEnd(accepted.number, attempt, outcome,
                tookMs, finished, retryAfterMs, callOpen)));
    }

    /** Ends a message by an endpoint's answer: no notice is due for it, and nothing may be sent for it any more. */
    private void endByAnswer(AcceptedMessage accepted, FinishedMessage.Result result) {
        if (!accepted.ended) {
            markEnded(accepted, result == FinishedMessage.Result.DELIVERED ? Stats.End.SERVED : Stats.End.FAILED);
            journal.ended(accepted, result);
        }
    }

    /**
     * Ends a message as delivered by the answer to a call of which an attempt was abandoned. The platform doesn't count
     * every such answer, so a notice is sent too; it does no harm where the platform counts the answer.
     */
    private void confirmDelivery(AcceptedMessage accepted) {
        if (!accepted.ended) {
            markEnded(accepted, Stats.End.SERVED);
            events.add("confirming", "id", accepted.id, "attempts", accepted.attempts.size());
            journal.endConfirmationPending(accepted);
            notices.enqueue(accepted);
            isolate(() -> policy.endConfirmationPending(openTurn(), accepted.number));
        }
    }

    /** Ends a message by an answer that came after its attempt was abandoned and had ended with another outcome. */
    private void endByLateAnswer(AcceptedMessage accepted, boolean delivered) {
        if (delivered) {
            confirmDelivery(accepted);
        } else if (!accepted.ended) {
            endByAnswer(accepted, FinishedMessage.Result.FAILED);
            isolate(() -> policy.messageWithdrawn(openTurn(), accepted.number));
        }
    }

    /** Marks an accepted message as ended; the only place where such ends are counted. */
    private void markEnded(AcceptedMessage accepted, Stats.End end) {
        stats.ended(accepted.messageClass, end);
        markEnded(accepted);
    }

    private void markEnded(AcceptedMessage accepted) {
        accepted.ended = true;
        unattempted.ended(accepted.number);
        openMessages.remove(accepted);
        watchdog.forget(accepted);
    }

    /** Handles the platform's answer to a notice; only this completes the message. */
    private void noticeAcknowledged(AcceptedMessage accepted) {
        events.add("notice-heard", "id", accepted.id);
        rules.endAcknowledged(accepted);
        journal.ended(accepted);
        isolate(() -> policy.endAcknowledged(openTurn(), accepted.number));
    }

    /**
     * Passes a new endpoint list, or its changed entries, to the registry, the connections, the journal and the policy.
     */
    private void endpointListChanged(boolean complete, List<EndpointList.Entry> entries) {
        if (!ownsJournal || handover.isHandedOver()) {
            return;
        }
        List<DeliveryPolicy.Endpoint> changed = new ArrayList<>();
        Set<Long> unlisted = new HashSet<>();
        if (complete) {
            unlisted.addAll(registry.listed());
            registry.clearList();
        }
        for (EndpointList.Entry entry : entries) {
            long number = registry.number(entry.id());
            registry.recordEntry(number, entry.destination(), entry.deleted());
            unlisted.remove(number);
            journal.withdrawn(entry.id(), !entry.serving());
            int kind = Math.max(0, config.kinds().indexOf(entry.kind()));
            List<DeliveryPolicy.Kind> kinds = config.settings().kinds();
            if (entry.address() == null) {
                endpoints.closeIdle(number);
            } else {
                endpoints.updateEndpoint(number, entry.address(), entry.serving(), kind,
                        kinds.get(Math.min(kind, kinds.size() - 1)).batch());
            }
            changed.add(new DeliveryPolicy.Endpoint(number, entry.destination(), kind,
                    Math.max(0, config.zones().indexOf(entry.zone())), entry.serving(), entry.weight()));
        }
        unlisted.forEach(number -> journal.withdrawn(registry.id(number), true));
        isolate(() -> policy.endpoints(openTurn(), complete, changed));
        if (!ready) {
            becomeReady();
        }
    }

    /** Callbacks of the submission server, for clients' requests. */
    private final class ClientCallbacks implements SubmissionServer.SubmissionHandler {
        @Override
        public boolean ready() {
            return ready && (!shuttingDown || handover.isHandedOver());
        }

        @Override
        public boolean knowsClass(String name) {
            return config.classes().contains(name);
        }

        @Override
        public boolean knowsTenant(String name) {
            return config.tenants().isEmpty() || config.tenants().contains(name);
        }

        @Override
        public boolean needsKey(String messageClass) {
            return config.settings().classes().get(config.classes().indexOf(messageClass)).effect()
                    == DeliveryPolicy.Effect.KEYED;
        }

        @Override
        public void rejected(HttpResponseStatus status, String reason) {
            events.add("request-rejected", "status", status.code(), "reason", reason);
        }

        @Override
        public void connectionClosed(SubmissionServer.CloseReason reason, boolean underRequest, String cause) {
            events.add("client-closed", "reason", reason, "under_request", underRequest, "cause", cause);
        }

        @Override
        public void acceptFailed(Exception cause) {
            events.add("accept-failed", "cause", String.valueOf(cause.getMessage()));
        }

        @Override
        public void submit(SubmissionServer.Submission submission, Consumer<SubmissionServer.Verdict> callback) {
            if (!handover.isForwarding()) {
                callback.accept(Sender.this.admit(submission));
            } else if (forwardedSubmissions.add(submission)) {
                forward(submission, callback);
            } else {
                callback.accept(rejection(submission, "the successor does not decide", 0));
            }
        }

        private void forward(SubmissionServer.Submission submission, Consumer<SubmissionServer.Verdict> callback) {
            ObjectNode line = HandoverConnection.line("submit");
            line.set("submission", HandoverConnection.JSON.valueToTree(submission));
            handover.forwardRequest(line, reply -> {
                forwardedSubmissions.remove(submission);
                callback.accept(verdict(reply));
            }, () -> {
                forwardedSubmissions.remove(submission);
                submit(submission, callback);
            });
        }

        /** Returns the successor's verdict; a successor that has ended has not accepted the message. */
        private SubmissionServer.Verdict verdict(JsonNode reply) {
            if (reply.path("failed").asBoolean()) {
                return new SubmissionServer.Verdict(SubmissionServer.Decision.FAILED, reply.path("reason").asText(), 0,
                        acknowledged -> { });
            }
            if (!reply.path("taken").asBoolean()) {
                return SubmissionServer.Verdict.refused(reply.path("reason").asText("not now"),
                        reply.path("waitMs").asDouble());
            }
            return SubmissionServer.Verdict.accepted(acknowledged -> handover.forward(
                    HandoverConnection.line("answered").put("message", reply.path("message").asLong())
                            .put("heard", acknowledged),
                    () -> { }));
        }
    }

    /** Accepts or rejects a submission; one whose id is known already gets the verdict of that message. */
    private SubmissionServer.Verdict admit(SubmissionServer.Submission submission) {
        if (!ready) {
            return rejection(submission, "no room", 0);
        }
        Optional<AcceptedMessage> open = openMessages.find(submission.id());
        if (open.isPresent()) {
            return acceptance(open.get());
        }
        Optional<FinishedMessage> finished = journal.finished(submission.id());
        return finished.map(SubmissionServer.Verdict::finished).orElseGet(() -> admitNew(submission));
    }

    private SubmissionServer.Verdict admitNew(SubmissionServer.Submission submission) {
        if (!registry.knowsDestination(submission.destination())) {
            // Such a message could only time out. The list may be late, so the client may submit it again.
            return rejection(submission, "no endpoint of this dest is listed", 0);
        }
        if (openMessages.size() >= config.maxOpenMessages()) {
            return rejection(submission, "no room", 0);
        }
        int messageClass = config.classes().indexOf(submission.messageClass());
        long budgetMs = Math.min(submission.budgetMs(),
                (long) config.settings().classes().get(messageClass).deadlineMs());
        AcceptedMessage accepted =
                new AcceptedMessage(journal.nextNumber(), submission.id(), submission.messageClass(),
                        submission.tenant(), submission.key(), submission.thread(), submission.destination(),
                        journal.clock().nowMs() + budgetMs, submission.body());
        try {
            OptionalDouble rejectionDelayMs =
                    policy.admissionRetryAfter(openTurn(), policyMessage(accepted, messageClass, budgetMs));
            if (rejectionDelayMs.isPresent()) {
                return rejection(submission, "no time for it here", rejectionDelayMs.getAsDouble());
            }
        } catch (RuntimeException e) {
            // The request was read, so its client must get an answer.
            FaultIsolation.report(e);
            return rejection(submission, "not now", FAULT_RETRY_AFTER_MS);
        }
        try {
            journal.accepted(accepted);
        } catch (IOException e) {
            events.add("not-journalled", "id", submission.id(), "cause", String.valueOf(e.getMessage()));
            return rejection(submission, "no room", 0);
        }
        addOpen(accepted);
        return acceptance(accepted);
    }

    private SubmissionServer.Verdict rejection(SubmissionServer.Submission submission, String reason,
            double retryAfterMs) {
        stats.ended(submission.messageClass(), Stats.End.REFUSED);
        events.add("refused", "id", submission.id(), "class", submission.messageClass(), "dest",
                submission.destination(), "reason", reason, "wait_ms", Math.round(retryAfterMs), "open",
                openMessages.size());
        return SubmissionServer.Verdict.refused(reason, retryAfterMs);
    }

    /**
     * Each request with the message's id gets its own answer. The message is kept as long as one of these answers may
     * still be acknowledged.
     */
    private SubmissionServer.Verdict acceptance(AcceptedMessage accepted) {
        accepted.addPendingAnswer();
        return SubmissionServer.Verdict.accepted(written -> {
            AcceptedMessage.Acknowledgement acknowledgement = accepted.answerCompleted(written);
            if (acknowledgement != AcceptedMessage.Acknowledgement.PENDING) {
                submissionAnswered(accepted, acknowledgement == AcceptedMessage.Acknowledgement.ACKNOWLEDGED);
            }
        });
    }

    /** The client has received the answer that its message was accepted ({@code acknowledged}), or never will. */
    private void submissionAnswered(AcceptedMessage accepted, boolean acknowledged) {
        if (handover.isForwarding()) {
            handover.forward(
                    HandoverConnection.line("answered").put("message", accepted.number).put("heard", acknowledged),
                    () -> submissionAnswered(accepted, acknowledged));
            return;
        }
        if (accepted.acceptanceAcknowledged || accepted.ended) {
            return;
        }
        accepted.acceptanceAcknowledged = acknowledged;
        if (!acknowledged) {
            // A client that never learned of the acceptance expects no delivery, and will submit the message again.
            events.add("taken-unheard", "id", accepted.id);
            markEnded(accepted);
            journal.ended(accepted);
            return;
        }
        int messageClass = config.classes().indexOf(accepted.messageClass);
        double leftMs = accepted.deadlineMs - journal.clock().nowMs();
        isolate(() -> policy.messageAccepted(openTurn(), policyMessage(accepted, messageClass, leftMs)));
    }

    /** Carries out operators' commands. */
    private final class OperatorCallbacks implements OperatorServer.OperatorCommands {
        @Override
        public boolean isServing() {
            return ready && listening && !shuttingDown;
        }

        @Override
        public String statsText() {
            Set<Long> listed = registry.listed();
            int excluded = (int) listed.stream().filter(policy::isExcluded).count();
            return stats.text(new Stats.Gauges(openMessages.size(), listed.size(), excluded));
        }

        @Override
        public void setMaintenance(String endpoint, boolean inMaintenance, Consumer<OperatorServer.Answer> callback) {
            if (!ownsJournal || handover.isForwarding()) {
                forward(HandoverConnection.line("maintain").put("endpoint", endpoint).put("on", inMaintenance),
                        callback, () -> setMaintenance(endpoint, inMaintenance, callback));
                return;
            }
            OptionalLong number = registry.knownNumber(endpoint);
            boolean wasInMaintenance = journal.inMaintenance().contains(endpoint);
            if (!wasInMaintenance && !(number.isPresent() && registry.isListed(number.getAsLong()))) {
                callback.accept(OperatorServer.Answer.error(HttpResponseStatus.NOT_FOUND, "no endpoint " + endpoint));
                return;
            }
            execute(callback,
                    "endpoint " + endpoint + (inMaintenance ? " is left out" : " is put back") + " by the operators",
                    () -> {
                        if (wasInMaintenance != inMaintenance) {
                            journal.inMaintenance(endpoint, inMaintenance);
                            policy.setMaintenance(openTurn(), number.getAsLong(), inMaintenance);
                        }
                    });
        }

        @Override
        public void drain(boolean on, Consumer<OperatorServer.Answer> callback) {
            if (!ownsJournal || handover.isForwarding()) {
                forward(HandoverConnection.line("drain").put("on", on), answer -> {
                    if (answer.status().code() == 200) {
                        submissionServer.drain(on);
                    }
                    callback.accept(answer);
                }, () -> drain(on, callback));
                return;
            }
            execute(callback, on ? "clients are sent away" : "clients are taken again", () -> {
                if (journal.drained() != on) {
                    journal.drained(on);
                    submissionServer.drain(on);
                }
            });
        }

        /** Forwards a command to the successor that takes over the journal; rejects it before this process owns it. */
        private void forward(ObjectNode line, Consumer<OperatorServer.Answer> callback, Runnable localAction) {
            if (!ownsJournal) {
                callback.accept(
                        OperatorServer.Answer.error(HttpResponseStatus.SERVICE_UNAVAILABLE, "does not serve yet"));
                return;
            }
            handover.forwardRequest(line, reply -> callback.accept(new OperatorServer.Answer(
                    HttpResponseStatus.valueOf(reply.path("status").asInt(503)),
                    reply.path("text").asText("the new process is gone\n"))), localAction);
        }

        /** Executes a command, logs it and reports the result to the operator. */
        private void execute(Consumer<OperatorServer.Answer> callback, String logText, JournalledCommand command) {
            try {
                command.execute();
                Log.line(logText);
                callback.accept(OperatorServer.Answer.SUCCESS);
            } catch (IOException e) {
                Log.line("an order can't be journalled, so it is not taken: " + e.getMessage());
                callback.accept(OperatorServer.Answer.error(HttpResponseStatus.SERVICE_UNAVAILABLE,
                        "the journal has no room"));
            }
        }
    }

    /** An operator's command that is recorded in the journal. */
    private interface JournalledCommand {
        void execute() throws IOException;
    }

    // ---- upgrades ----

    /** The handover side of an upgrade: this process hands over to its successor. */
    private final class HandoverCallbacks implements Handover.Callbacks {
        @Override
        public boolean canHandOver() {
            // Journal records that are not on disk would not reach the successor.
            return ready && listening && !shuttingDown && !takeover.hasPredecessor() && journal.writeDeferred();
        }

        @Override
        public void freeze(Consumer<Optional<ObjectNode>> callback) {
            logHandover("FREEZING");
            frozen = true;
            // Calls not written yet are the successor's to send. Their ends are queued ahead of the task below.
            new ArrayList<>(callsInFlight.values()).forEach(call -> isolate(() -> endpoints.cancelUnsent(call)));
            loop.execute(() -> {
                isolate(() -> policy.handoverStarting(openTurn(), HANDOVER_PAUSE_MS));
                notices.pause();
                Optional<ObjectNode> state = handoverState();
                if (state.isPresent()) {
                    logHandover("LEAVING");
                    state.get().put("unwritten", journal.pause());
                    lock.close();
                    lock = null;
                } else {
                    continueOwning();
                }
                callback.accept(state);
            });
        }

        /** Returns all that the successor needs besides the journal, or nothing if a fault prevents collecting it. */
        private Optional<ObjectNode> handoverState() {
            try {
                ObjectNode state = HandoverConnection.line("state").put("at", journal.clock().nowMs())
                        .put("numbers", journal.firstUnusedNumber());
                state.set("classes", HandoverConnection.JSON.valueToTree(config.classes()));
                ArrayNode endpointIds = state.putArray("endpoints");
                registry.ids().forEach(endpointIds::add);
                ArrayNode unacknowledged = state.putArray("unheard");
                openMessages.all().stream().filter(accepted -> !accepted.acceptanceAcknowledged)
                        .forEach(accepted -> unacknowledged.add(accepted.number));
                state.set("list", discovery.list());
                discoveryAddress.reload().ifPresent(
                        reading -> state.set("discovery", reading.writeTo(HandoverConnection.JSON.createObjectNode())));
                state.set("memory", HandoverConnection.JSON.valueToTree(policy.snapshot(openTurn())));
                return Optional.of(state);
            } catch (RuntimeException e) {
                FaultIsolation.report(e);
                return Optional.empty();
            }
        }

        @Override
        public void unfreeze() throws IOException {
            if (lock == null) {
                lock = StateLock.tryAcquire(config.state()).orElseThrow(() -> new IOException("another process owns"));
            }
            journal.resume();
            continueOwning();
        }

        /** Resumes normal operation after a handover that did not take place. */
        private void continueOwning() {
            frozen = false;
            logHandover("OWNING");
            scheduleJournalRetry();
            notices.resume();
            overdueDuringHandover.forEach(watchdog::watch);
            overdueDuringHandover.clear();
            // Pending messages are decided on at the end of the new turn.
            openTurn();
        }

        @Override
        public void handedOver() {
            logHandover("LEFT");
            watchdog.suspend();
            openMessages.clear();
            discovery.stop();
            listLease.stop();
            submissionServer.closeForSuccessor();
            endpoints.disableConnectionReuse();
            Log.line("the new version owns all; " + callsInFlight.size() + " calls are still out here");
        }

        @Override
        public void configurationReloaded(JsonNode line) {
            DiscoveryAddress.Reading.readFrom(line).ifPresent(Sender.this::adoptReload);
        }

        @Override
        public void cancel(long message, int attempt) {
            Sender.this.cancel(message, attempt);
        }

        /** Logs what this process holds at each step; the phases are those of {@link Handover}. */
        private void logHandover(String phase) {
            events.add("handover", "phase", phase, "open", openMessages.size(), "module",
                    policy.openMessages().size(), "calls", callsInFlight.size(), "notices",
                    notices.pendingNotices(), "closing", shuttingDown);
        }
    }

    /** The takeover side of an upgrade: this process takes over from its predecessor, or starts without one. */
    private final class TakeoverCallbacks implements Takeover.Callbacks {
        /** Verdicts on submissions passed on by the predecessor, which has not yet answered their clients. */
        private final Map<Long, Deque<SubmissionServer.Verdict>> unansweredSubmissions = new HashMap<>();

        @Override
        public boolean prepared() {
            return discovery.hasAnswered() || System.nanoTime() - startNanos >= PREPARE_LIMIT_NANOS;
        }

        @Override
        public void listenAlongside(Runnable successCallback, Runnable failureCallback) {
            listen(successCallback, cause -> {
                if (isAddressHeldByPredecessor(cause)) {
                    Log.line("can't listen beside the old process, and does so once that one has left");
                    successCallback.run();
                } else {
                    failureCallback.run();
                }
            });
        }

        /**
         * Whether the predecessor keeps the address because one of the two processes can't share it. The JDK determines
         * once at its start whether sockets can share an address, by creating a socket, and that may fail.
         */
        private static boolean isAddressHeldByPredecessor(Throwable cause) {
            return cause instanceof BindException && String.valueOf(cause.getMessage()).contains(ADDRESS_IN_USE);
        }

        private void listen(Runnable successCallback, Consumer<Throwable> failureCallback) {
            if (listening) {
                successCallback.run();
                return;
            }
            EventLoopListeners.whenDone(loop, submissionServer.listen(config.listen()), bound -> {
                if (bound.isSuccess()) {
                    listening = true;
                    successCallback.run();
                } else {
                    Log.line("can't listen: " + bound.cause().getMessage());
                    failureCallback.accept(bound.cause());
                }
            });
        }

        @Override
        public void stopListening() {
            if (listening) {
                listening = false;
                submissionServer.stopListening();
            }
        }

        @Override
        public void own(StateLock acquiredLock, Optional<JsonNode> state) throws IOException {
            Sender.this.own(acquiredLock, state);
            if (state.isEmpty() && takeover.hasSeenPredecessor()) {
                reconfigureAfterPredecessor();
            }
            listenAsOwner();
        }

        /** Listens for clients, and retries as long as {@link StartRetry} allows. */
        private void listenAsOwner() {
            listen(() -> boundAddress.complete(submissionServer.address()), cause -> {
                IOException failure = new IOException("can't listen at " + Endpoints.hostPort(config.listen()), cause);
                if (startRetry.mayRetry("listening", failure)) {
                    loop.schedule(this::listenAsOwner, LISTEN_RETRY_MS, TimeUnit.MILLISECONDS);
                } else {
                    failed(failure);
                }
            });
        }

        @Override
        public void failed(Throwable cause) {
            releaseOwnership();
            boundAddress.completeExceptionally(cause);
        }

        /** Leaves unfinished work to the next owner: this process accepts, journals and sends nothing any more. */
        private void releaseOwnership() {
            ownsJournal = false;
            ready = false;
            frozen = true;
            notices.pause();
            if (journal != null) {
                watchdog.suspend();
                journal.pause();
            }
            if (lock != null) {
                lock.close();
            }
        }

        @Override
        public void reported(JsonNode line) {
            isolate(() -> handleReport(line));
        }

        /** Handles a line in which the predecessor reports an event or passes on a request. */
        private void handleReport(JsonNode line) {
            long message = line.path("message").asLong();
            switch (line.path("do").asText()) {
                case "ended" -> predecessorAttemptEnded(new AttemptId(message, line.path("attempt").asInt()),
                        DeliveryPolicy.Outcome.valueOf(line.path("outcome").asText()), line.path("gone").asBoolean(),
                        line.path("confirm").asBoolean(),
                        line.path("waitMs").asDouble(), line.path("tookMs").asDouble(),
                        line.path("open").asBoolean());
                case "wait" -> isolate(() -> policy.retryAfterReceived(openTurn(), line.path("endpoint").asLong(),
                        line.path("waitMs").asDouble()));
                case "over" -> predecessorCalls.findMessage(message).ifPresent(
                        accepted -> endByLateAnswer(accepted, line.path("delivered").asBoolean()));
                case "closed" -> predecessorCallClosed(message);
                case "answered" -> submissionAnswered(message, line.path("heard").asBoolean());
                case "submit" -> handleSubmission(line);
                case "maintain" -> new OperatorCallbacks().setMaintenance(line.path("endpoint").asText(),
                        line.path("on").asBoolean(), answer -> replyTo(line, answer));
                case HandoverConnection.RELOADED ->
                        DiscoveryAddress.Reading.readFrom(line).ifPresent(Sender.this::adoptReload);
                case "drain" -> new OperatorCallbacks().drain(line.path("on").asBoolean(),
                        answer -> replyTo(line, answer));
                default -> Log.line("the old process reports what this one does not know: " + line.path("do"));
            }
        }

        private void predecessorAttemptEnded(AttemptId attempt, DeliveryPolicy.Outcome outcome, boolean messageEnded,
                boolean needsConfirmation, double retryAfterMs, double tookMs, boolean callOpen) {
            if (!predecessorCalls.attemptEnded(attempt, callOpen)) {
                return;
            }
            Optional<AcceptedMessage> accepted = predecessorCalls.findMessage(attempt.message());
            if (accepted.isPresent()) {
                attemptEnded(accepted.get(), attempt.attempt(), outcome, messageEnded, needsConfirmation, retryAfterMs,
                        tookMs, callOpen);
            } else {
                // The message had ended before the handover.
                isolate(() -> policy.attemptEnded(openTurn(), new DeliveryPolicy.AttemptEnd(attempt.message(),
                        attempt.attempt(), outcome, tookMs, true, retryAfterMs, callOpen)));
            }
        }

        private void predecessorCallClosed(long message) {
            if (predecessorCalls.callClosed(message)) {
                isolate(() -> policy.callEnded(openTurn(), message));
            }
        }

        private void submissionAnswered(long message, boolean acknowledged) {
            Deque<SubmissionServer.Verdict> verdicts = unansweredSubmissions.get(message);
            if (verdicts == null) {
                predecessorCalls.findMessage(message).ifPresent(
                        accepted -> Sender.this.submissionAnswered(accepted, acknowledged));
                return;
            }
            SubmissionServer.Verdict verdict = verdicts.remove();
            if (verdicts.isEmpty()) {
                unansweredSubmissions.remove(message);
            }
            verdict.answerListener().accept(acknowledged);
        }

        private void handleSubmission(JsonNode line) {
            try {
                SubmissionServer.Submission submission =
                        HandoverConnection.JSON.treeToValue(line.path("submission"), SubmissionServer.Submission.class);
                SubmissionServer.Verdict verdict = admit(submission);
                ObjectNode reply = HandoverConnection.line("reply").put("n", line.path("n").asLong())
                        .put("taken", verdict.accepted());
                Optional<AcceptedMessage> accepted = openMessages.find(submission.id());
                if (verdict.accepted() && accepted.isPresent()) {
                    long number = accepted.get().number;
                    unansweredSubmissions.computeIfAbsent(number, message -> new ArrayDeque<>()).add(verdict);
                    takeover.sendToPredecessor(reply.put("message", number));
                } else if (verdict.accepted()) {
                    // The message has run already, so it does not matter whether its client receives this answer.
                    takeover.sendToPredecessor(reply.put("message", NO_MESSAGE));
                } else {
                    takeover.sendToPredecessor(reply
                            .put("failed", verdict.decision() == SubmissionServer.Decision.FAILED)
                            .put("reason", verdict.reason()).put("waitMs", verdict.waitMs()));
                }
            } catch (IOException | RuntimeException e) {
                Log.line("a submission passed on by the predecessor can't be handled: " + e);
                takeover.sendToPredecessor(HandoverConnection.line("reply").put("n", line.path("n").asLong())
                        .put("reason", "can't be read"));
            }
        }

        private void replyTo(JsonNode line, OperatorServer.Answer answer) {
            takeover.sendToPredecessor(HandoverConnection.line("reply").put("n", line.path("n").asLong())
                    .put("status", answer.status().code()).put("text", answer.text()));
        }

        /**
         * Handles the predecessor's end. Its connections broke with it: its calls in flight may have run, and its
         * clients may have received their answers.
         */
        @Override
        public void predecessorEnded() {
            Log.line("the old process is gone, with " + predecessorCalls.inFlightCount() + " calls out");
            events.add("predecessor-gone", "calls", predecessorCalls.inFlightCount(), "open", openMessages.size(),
                    "module", policy.openMessages().size(), "unanswered", unansweredSubmissions.size());
            for (AttemptId attempt : predecessorCalls.attemptsInFlight()) {
                isolate(() -> predecessorAttemptEnded(attempt, DeliveryPolicy.Outcome.BROKEN, false, false, 0, 0,
                        false));
            }
            predecessorCalls.messagesOfOpenCalls().forEach(this::predecessorCallClosed);
            List<SubmissionServer.Verdict> unanswered =
                    unansweredSubmissions.values().stream().flatMap(Deque::stream).toList();
            unansweredSubmissions.clear();
            unanswered.forEach(verdict -> isolate(() -> verdict.answerListener().accept(true)));
            for (AcceptedMessage accepted : predecessorCalls.acceptedMessages()) {
                if (!accepted.ended) {
                    isolate(() -> Sender.this.submissionAnswered(accepted, true));
                }
            }
            predecessorCalls.clear();
            reconfigureAfterPredecessor();
        }
    }

    // ---- shutdown ----

    /**
     * Shuts down in order, within the time before SIGKILL: accepts messages while new connections may still come,
     * starts no call that can't end in time, and lets calls and notices in flight finish. The journal keeps the rest.
     */
    void drain() {
        long startedNanos = System.nanoTime();
        loop.execute(() -> {
            shuttingDown = true;
            if (handover == null) {
                // Nothing has been started, and nothing will be.
                stopped.countDown();
                return;
            }
            if (handover.isHandedOver()) {
                awaitIdle(startedNanos);
                return;
            }
            if (!ownsJournal) {
                stopped.countDown();
                return;
            }
            isolate(() -> policy.shutdownScheduled(openTurn(), turnTimeMs + shutdownLimitMs));
            loop.schedule(() -> {
                submissionServer.close();
                awaitIdle(startedNanos);
            }, shutdownAcceptMs, TimeUnit.MILLISECONDS);
        });
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Finishes the shutdown once nothing is in flight or the time limit has passed. */
    private void awaitIdle(long startedNanos) {
        boolean idle = handover.isHandedOver()
                ? callsInFlight.isEmpty() && handover.unanswered() == 0 && submissionServer.isTerminated()
                : openMessages.isEmpty() && notices.pendingNotices() == 0 && submissionServer.isTerminated()
                        && !journal.hasDeferredRecords();
        if (idle) {
            finishShutdown();
        } else if (System.nanoTime() - startedNanos >= TimeUnit.MILLISECONDS.toNanos(shutdownLimitMs)) {
            // Answers that have arrived by now are read first, however late this check runs.
            AfterPendingReads.execute(loop, this::finishShutdown);
        } else {
            loop.schedule(() -> awaitIdle(startedNanos), SHUTDOWN_POLL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void finishShutdown() {
        submissionServer.stopReading();
        if (ownsJournal && !handover.isHandedOver()) {
            journal.writeDeferred();
        }
        events.flush();
        Log.line(config.name() + " ends; its journal holds " + openMessages.size() + " messages and "
                + notices.pendingNotices() + " notices");
        unattempted.close();
        handover.close();
        stopped.countDown();
    }

    /** Releases everything at once, the journal first, as the death of the process would. */
    void kill() {
        loop.submit(() -> {
            if (ownsJournal) {
                journal.close();
            }
            if (lock != null) {
                lock.close();
            }
        }).syncUninterruptibly();
        acceptorGroup.shutdownGracefully(1, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
        // Without a quiet period the loop may end in the pass that requests its shutdown, with connections open.
        group.shutdownGracefully(1, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
