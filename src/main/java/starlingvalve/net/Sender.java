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
import starlingvalve.net.PredecessorCalls.Out;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * One real sender: the event loop, the clock, and the names that the module knows by numbers. The loop's
 * thread alone touches the module and all that hangs on it, so nothing here is locked. It decides nothing.
 */
public final class Sender implements DeliveryPolicy.Actions {
    /** From SIGTERM: new connections come for so long at most. */
    static final long TAKING_MS = 450;
    /** From SIGTERM: calls out may last till here; SIGKILL may come at 3.7 s. */
    static final long CLOSING_MS = 3300;
    private static final long DRAIN_POLL_MS = 20;
    /** Longest warm-up. */
    private static final long WARM_MS = 2300;
    /** Records that the disk did not take are tried again so often. */
    private static final long JOURNAL_RETRY_MS = 100;
    /** So long it may take on a busy machine until the new process of an upgrade decides, and is heard by the platform. */
    private static final double HANDOVER_PAUSE_MS = 1000;
    /** For a moment there may be no socket to listen at. */
    private static final long LISTEN_AGAIN_MS = 20;
    private static final String ADDRESS_IN_USE = "Address already in use";
    /** A turn that a fault has broken off is followed by another after so long. */
    private static final long FAULT_RETRY_MS = 20;
    /** After so long the client of a message may come again that a fault of the program has cost its delivery. */
    private static final double FAULT_RETRY_AFTER_MS = 1000;
    /** Stands for no message in what passes between two processes. */
    private static final long NO_MESSAGE = -1;
    /** A new version that gets no list in this time takes over with the old process's list. */
    private static final long PREPARE_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    private final Config config;
    private final long takingMs;
    private final long closingMs;
    private final long warmMs;
    private final StartRetry startRetry;
    private final EventLoopGroup group;
    private final EventLoop loop;
    /** Accepts connections, and does nothing else. */
    private final EventLoopGroup acceptorGroup;
    private final EventLoop acceptor;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final long startNanos = System.nanoTime();
    private final EndpointRegistry registry = new EndpointRegistry();
    private final OpenMessages open = new OpenMessages();
    /** Ends what the module does not end in time; there is one once the journal, with its clock, is owned. */
    private DeadlineWatchdog watchdog;
    /** Time was up for these while a new process was taking over; they are this one's again if it does not come to that. */
    private final List<AcceptedMessage> overdueInHandover = new ArrayList<>();
    /** The last word on what may be sent or ended; there is one once the journal is owned. */
    private MessageRules rules;
    /** Attempts that are out, by message and attempt. */
    private final Map<Out, Endpoints.Call> calls = new HashMap<>();
    private final DeliveryPolicy relay;
    private Journal journal;
    private Endpoints endpoints;
    private Discovery discovery;
    /** Whether calls may go out by the list as it stands. */
    private ListLease listLease;
    /** The module has something to send, and a turn follows once it may. */
    private boolean turnAwaitsList;
    private NoticeClient notices;
    private SubmissionServer intake;
    private OperatorServer ops;
    /** Where the platform's agent is, by the newest settings. */
    private InetSocketAddress discoveryAddress;
    private InetSocketAddress opsAddress;
    private boolean turnOpen;
    private double clock;
    private boolean closing;
    private Handover handover;
    private Takeover takeover;
    private final PredecessorCalls inherited = new PredecessorCalls();
    private final UnattemptedMessages untried = new UnattemptedMessages();
    private StateLock lock;
    private boolean owner;
    /** Records wait for the disk, and are to be tried again. */
    private boolean catchUpDue;
    /** Nothing is decided: a new process is taking over. */
    private boolean frozen;
    private final CompletableFuture<InetSocketAddress> serving = new CompletableFuture<>();
    /** A list is known and the journal is replayed. */
    private boolean ready;
    private boolean listening;
    private final Stats stats;
    private final EventLog events = EventLog.ofThisProcess();

    Sender(Config config, long takingMs, long closingMs) throws IOException {
        this(config, takingMs, closingMs, 0, relay -> relay);
    }

    /** {@code through} is what the module is told through: tests stand between. */
    Sender(Config config, long takingMs, long closingMs, long warmMs, UnaryOperator<DeliveryPolicy> through)
            throws IOException {
        this(config, takingMs, closingMs, warmMs, new StartRetry(StartRetry.PATIENCE_MS), through);
    }

    Sender(Config config, long takingMs, long closingMs, long warmMs, StartRetry startRetry,
            UnaryOperator<DeliveryPolicy> through) throws IOException {
        this.startRetry = startRetry;
        this.group = newEventLoop();
        this.loop = group.next();
        this.acceptorGroup = newEventLoop();
        this.acceptor = acceptorGroup.next();
        this.config = config;
        this.discoveryAddress = config.discovery();
        this.warmMs = warmMs;
        this.takingMs = takingMs;
        this.closingMs = closingMs;
        this.stats = new Stats(config.classes());
        this.relay = through.apply(DeliveryPolicy.create(config.settings(), config.seed(), this));
    }

    private EventLoopGroup newEventLoop() throws IOException {
        return startRetry.untilDone("making an event loop",
                () -> new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()));
    }

    /** Runs a sender until it is told to end; returns the exit code. */
    public static int serve(Map<String, String> env) {
        try {
            // The JVM's own answer to SIGHUP is to end. One that comes while the settings are read is heeded after.
            CompletableFuture<Sender> made = new CompletableFuture<>();
            SignalHandler before = Signal.handle(new Signal("HUP"),
                    hangUp -> made.thenAccept(sender -> sender.reconfigure(env)));
            if (before == SignalHandler.SIG_IGN) {
                // Inherited, and the JVM leaves it so.
                Log.line("what started this has SIGHUP ignored: no new configuration will be heeded");
            }
            StartRetry startRetry = new StartRetry(StartRetry.PATIENCE_MS);
            Sender sender = new Sender(Config.read(env, startRetry), TAKING_MS, CLOSING_MS, WARM_MS, startRetry,
                    relay -> relay);
            made.complete(sender);
            // SIGTERM may come at any moment: once the journal is owned, calls and clients are owed their ends.
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
     * Comes to own the journal, from an old process if one is there, and begins to serve; returns the address
     * when clients can connect to it.
     */
    InetSocketAddress start() throws IOException {
        loop.submit(this::open).syncUninterruptibly();
        if (config.ops().isPresent()) {
            opsAddress = startRetry.untilDone("listening for operators", () -> ops.listen(config.ops().get()));
            Log.line(config.name() + " takes operators' calls at " + Endpoints.hostPort(opsAddress));
        }
        if (!Files.exists(config.state().resolve("journal")) || takeover.isOwnedElsewhere()) {
            // Nobody waits for this process: clients come once it is ready, or the old one still serves.
            Warmup.run(config, loop, warmMs);
        }
        loop.execute(this::takeOver);
        try {
            InetSocketAddress address = serving.get();
            Log.line(config.name() + " listens at " + Endpoints.hostPort(address));
            return address;
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } catch (InterruptedException e) {
            throw new IOException("interrupted before it served", e);
        }
    }

    /** Told to end before it owned anything, this process is not to begin. */
    private void takeOver() {
        if (!closing) {
            takeover.begin();
        }
    }

    private void open() {
        int openAtStart = DescriptorBudget.openNow();
        DescriptorBudget budget = DescriptorBudget.divide(config.sockets(), openAtStart, config.settings().slots());
        Log.line(budget + "; " + openAtStart + " were open at the start");
        endpoints = new Endpoints(loop, config.dialMs(), config.settings().keepAliveMs(),
                config.settings().senders(), budget.idleEndpoints(), new EndpointCallbacks());
        notices = new NoticeClient(loop, new AgentConnection(loop, discoveryAddress), this::heard);
        intake = new SubmissionServer(acceptor, loop, budget.clients(), new Clients());
        ops = new OperatorServer(acceptor, loop, new Orders());
        handover = new Handover(acceptor, loop, new HandoverCallbacks());
        takeover = new Takeover(loop, config.state(), config.handover(), startRetry, new TakeoverCallbacks());
        EndpointList list = new EndpointList(this::listed, events);
        List<Discovery.Source> checks = new ArrayList<>();
        for (int i = 0; i < ListLease.MOST_CHECKS; i++) {
            checks.add(new AgentConnection(loop, discoveryAddress));
        }
        listLease = new ListLease(loop, System::nanoTime, config.listLease(), list, checks);
        discovery = new Discovery(loop, new AgentConnection(loop, discoveryAddress), new Random(config.seed()), list,
                listLease);
        discovery.start(config.known());
        listLease.start();
        new LoopMonitor(loop, events).start();
    }

    /** This process owns the journal from now on: what it holds goes on, with what the old process passed. */
    private void own(StateLock token, Optional<JsonNode> state) throws IOException {
        lock = token;
        journal = new Journal(config.state(), config.diskBytes(), config.settings().maxAttempts(), unwritten(state));
        watchdog = new DeadlineWatchdog(loop, journal.clock()::nowMs, this::overdue);
        rules = new MessageRules(journal.clock()::nowMs, this::repeats, events);
        journal.whenBehind(this::catchUpLater);
        catchUpLater();
        Optional<DeliveryPolicy.Snapshot> snapshot = state.flatMap(this::snapshot);
        if (snapshot.isPresent()) {
            state.get().path("endpoints").forEach(id -> registry.number(id.asText()));
            journal.reserve(state.get().path("numbers").asLong());
        }
        state.ifPresent(s -> discovery.inherit(s.path("list")));
        discovery.withdraw(journal.withdrawn());
        intake.drain(journal.drained());
        for (String endpoint : journal.maintained()) {
            relay.setMaintenance(openTurn(), registry.number(endpoint), true);
        }
        owner = true;
        ready = snapshot.isPresent();
        discovery.tell();
        if (snapshot.isPresent()) {
            inherit(state.get(), snapshot.get());
        }
        handover.listen(config.handover());
    }

    /** How messages of a class may be repeated, if the configuration still knows it. */
    private Optional<MessageRules.Repeats> repeats(String messageClass) {
        int number = config.classes().indexOf(messageClass);
        if (number < 0) {
            return Optional.empty();
        }
        DeliveryPolicy.MessageClass known = config.settings().classes().get(number);
        return Optional.of(new MessageRules.Repeats(known.effect(), known.dedupWindowMs()));
    }

    /** Records that the disk did not take from the old process. */
    private static byte[] unwritten(Optional<JsonNode> state) throws IOException {
        return state.isPresent() && state.get().has("unwritten") ? state.get().path("unwritten").binaryValue() : new byte[0];
    }

    /** The disk did not take a record: it is tried again until it does, whether or not anything else happens. */
    private void catchUpLater() {
        if (catchUpDue) {
            return;
        }
        catchUpDue = true;
        loop.schedule(() -> {
            catchUpDue = false;
            if (!frozen && !journal.catchUp()) {
                catchUpLater();
            }
        }, JOURNAL_RETRY_MS, TimeUnit.MILLISECONDS);
    }

    /** What the old process knew, if it can be read. */
    private Optional<DeliveryPolicy.Snapshot> snapshot(JsonNode state) {
        List<String> classes = new ArrayList<>();
        state.path("classes").forEach(name -> classes.add(name.asText()));
        try {
            DeliveryPolicy.Snapshot snapshot =
                    HandoverConnection.JSON.treeToValue(state.path("memory"), DeliveryPolicy.Snapshot.class);
            return Optional.of(classes.equals(config.classes()) ? snapshot : withOwnClasses(snapshot, classes));
        } catch (IOException | RuntimeException e) {
            Log.line("the old process's state can't be read, so this is a plain start: " + e.getMessage());
            return Optional.empty();
        }
    }

    /** By the numbers that the classes have here; messages of a class that is gone are left out, and so given up. */
    private DeliveryPolicy.Snapshot withOwnClasses(DeliveryPolicy.Snapshot snapshot, List<String> classes) {
        List<DeliveryPolicy.MessageSnapshot> messages = new ArrayList<>();
        for (DeliveryPolicy.MessageSnapshot known : snapshot.messages()) {
            int messageClass = config.classes().indexOf(classes.get(known.message().messageClass()));
            if (messageClass >= 0) {
                messages.add(known.withClass(messageClass));
            }
        }
        return new DeliveryPolicy.Snapshot(snapshot.endpoints(), messages, snapshot.keyRests(), snapshot.firstSends(),
                snapshot.copies(), snapshot.retries());
    }

    private void inherit(JsonNode state, DeliveryPolicy.Snapshot snapshot) {
        double age = Math.max(0, journal.clock().nowMs() - state.path("at").asLong());
        Set<Long> remembered = new HashSet<>();
        for (DeliveryPolicy.MessageSnapshot m : snapshot.messages()) {
            remembered.add(m.message().id());
            inherited.openCalls(m.message().id(), m.openCalls());
            for (int i = 0; i < m.attempts().size(); i++) {
                if (m.attempts().get(i).out()) {
                    inherited.out(new Out(m.message().id(), i));
                }
            }
        }
        Predicate<AcceptedMessage> heard = heardByClients(state, remembered);
        for (AcceptedMessage held : journal.held()) {
            inherited.held(held);
            if (held.over) {
                notices.owe(held);
            } else {
                addOpen(held);
                held.told = heard.test(held);
            }
        }
        event(() -> relay.restore(openTurn(), clock - age, snapshot));
        Log.line(config.name() + " took over " + open.size() + " messages, with " + inherited.size() + " calls out");
        reconcile(age);
    }

    /** Whose messages the old process has told its module; one of an earlier version names them by its module alone. */
    private static Predicate<AcceptedMessage> heardByClients(JsonNode state, Set<Long> remembered) {
        if (!state.has("unheard")) {
            return held -> remembered.contains(held.number);
        }
        Set<Long> unheard = new HashSet<>();
        state.path("unheard").forEach(number -> unheard.add(number.asLong()));
        return held -> !unheard.contains(held.number);
    }

    /**
     * The journal says what is owed, whatever came of the module's memory on its way here: what the module does not go on
     * with is resumed as after a restart, and it drops what is over.
     */
    private void reconcile(double ageMs) {
        Set<Long> inModule = relay.openMessages();
        events.add("takeover", "age_ms", Math.round(ageMs), "open", open.size(), "module", inModule.size(), "calls",
                inherited.size(), "notices", notices.owed());
        long steady = journal.clock().nowMs();
        for (AcceptedMessage held : open.all()) {
            if (held.told && !inModule.contains(held.number)) {
                events.add("takeover-not-in-module", "id", held.id, "class", held.messageClass, "attempts",
                        held.attempts.size(), "left_ms", held.deadlineMs - steady);
                resume(held, steady);
            }
        }
        inModule.stream().filter(number -> open.find(number).isEmpty())
                .forEach(number -> event(() -> relay.messageWithdrawn(openTurn(), number)));
    }

    /** Where operators call. */
    InetSocketAddress opsAddress() {
        return opsAddress;
    }

    /**
     * The configuration was replaced: of what may change, discovery's address is taken over. Signals that come close
     * together are heeded on threads of their own: what is read last has to be set last.
     */
    synchronized void reconfigure(Map<String, String> env) {
        try {
            InetSocketAddress to = ConfigReload.readDiscovery(env);
            Log.line("discovery is at " + Endpoints.hostPort(to) + " now");
            loop.execute(() -> discoveryMoved(to));
        } catch (InvalidInputException | IOException | IllegalArgumentException e) {
            Log.line("the new configuration can't be read, the old one stands: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void discoveryMoved(InetSocketAddress to) {
        discoveryAddress = to;
        if (discovery != null) {
            discovery.moved(to);
            notices.moved(to);
        }
    }

    /**
     * What an earlier life held goes back to the module, with what it did; notices owed go out again. Not
     * before a list is known: without one the module could only give all of it up.
     */
    private void replay() {
        long steady = journal.clock().nowMs();
        for (AcceptedMessage held : journal.held()) {
            if (held.over) {
                replayNotice(held, steady);
            } else {
                resume(held, steady);
            }
        }
        Log.line(config.name() + " is ready, with " + open.size() + " messages from its journal");
    }

    private void replayNotice(AcceptedMessage held, long steady) {
        notices.owe(held);
        int messageClass = config.classes().indexOf(held.messageClass);
        if (messageClass >= 0) {
            event(() -> relay.endedUnacknowledged(openTurn(), message(held, messageClass, held.deadlineMs - steady)));
        }
    }

    /** A message goes on with what the journal knows of it; what the module can't take is owed its end all the same. */
    private void resume(AcceptedMessage held, long steady) {
        addOpen(held);
        held.told = true;
        int messageClass = config.classes().indexOf(held.messageClass);
        if (messageClass < 0) {
            Log.line("class " + held.messageClass + " is gone; its message is given up");
            giveUp(held, 0);
        } else if (!FaultIsolation.run(() -> resume(held, messageClass, steady)) && !held.over) {
            giveUp(held, 0);
        }
    }

    private void resume(AcceptedMessage held, int messageClass, long steady) {
        double now = openTurn();
        double leftMs = held.deadlineMs - steady;
        List<DeliveryPolicy.EarlierAttempt> earlier = new ArrayList<>();
        for (AcceptedMessage.Attempt a : held.attempts) {
            // After another boot the clocks may disagree, and must not move a send into the future.
            double sentAt = now - Math.max(0, steady - a.sentAtMs);
            earlier.add(new DeliveryPolicy.EarlierAttempt(registry.number(a.endpoint), sentAt, !a.neverRan));
        }
        if (earlier.isEmpty()) {
            untried.found(held.number, leftMs);
        }
        relay.messageRecovered(now, message(held, messageClass, leftMs), earlier);
    }

    /** From now on this process owes a message its end. */
    private void addOpen(AcceptedMessage held) {
        open.add(held);
        watchdog.watch(held);
    }

    /** Ends what the module does not: its client may come again, after so long, if it surely has not run. */
    private void giveUp(AcceptedMessage held, double waitMs) {
        end(held, notice(held, waitMs));
        event(() -> relay.endConfirmationPending(openTurn(), held.number));
    }

    /** Time is up for a message that nobody has ended. A loop that was held up may have its end still before it. */
    private void overdue(AcceptedMessage held) {
        openTurn();
        loop.execute(() -> {
            if (held.over) {
                return;
            }
            if (!ownsMessages()) {
                overdueInHandover(held);
                return;
            }
            events.add("overdue", "id", held.id, "class", held.messageClass, "told", held.told, "attempts",
                    held.attempts.size(), "module", relay.openMessages().contains(held.number));
            giveUp(held, FAULT_RETRY_AFTER_MS);
        });
    }

    /** The new process ends it once it owns, which may be too late; two notices for one message do no harm. */
    private void overdueInHandover(AcceptedMessage held) {
        overdueInHandover.add(held);
        events.add("overdue-in-handover", "id", held.id, "class", held.messageClass, "attempts", held.attempts.size());
        held.owed = Optional.of(notice(held, FAULT_RETRY_AFTER_MS));
        notices.tellOnce(held);
    }

    /** Hands back what surely has not run, with a time to come back; fails the rest. */
    private static AcceptedMessage.Notice notice(AcceptedMessage held, double waitMs) {
        boolean neverRan = held.attempts.stream().allMatch(a -> a.neverRan);
        return new AcceptedMessage.Notice(neverRan, waitMs);
    }

    /** Whether what is open is this process's to end. */
    private boolean ownsMessages() {
        return owner && !frozen;
    }

    /** A list is known and the journal is read: this process can work. */
    private void begin() {
        ready = true;
        replay();
    }

    private DeliveryPolicy.Message message(AcceptedMessage held, int messageClass, double leftMs) {
        double left = Math.min(leftMs, config.settings().classes().get(messageClass).deadlineMs());
        return new DeliveryPolicy.Message(held.number, messageClass, Math.max(0, config.tenants().indexOf(held.tenant)),
                held.thread, left, held.destination);
    }

    // ---- the clock and turns ----

    /** The module's time: one for all events of a turn, which ends when the loop has nothing more at hand. */
    private double openTurn() {
        if (!turnOpen) {
            turnOpen = true;
            clock = elapsedMs();
            loop.execute(this::endTurn);
        }
        return clock;
    }

    /** For questions that change nothing, so that no turn has to follow. */
    private double now() {
        return turnOpen ? clock : elapsedMs();
    }

    private double elapsedMs() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    private void endTurn() {
        boolean whole = frozen || FaultIsolation.run(() -> relay.endTurn(clock));
        turnOpen = false;
        event(endpoints::flush);
        if (!whole) {
            // What it did not come to, among it the next wake, would wait for an event that may never happen.
            loop.schedule(this::openTurn, FAULT_RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** A fault in one message's handling must not take the others down with the process. */
    private static void event(Runnable told) {
        FaultIsolation.run(told);
    }

    // ---- what the module asks ----

    @Override
    public boolean mayStartCalls() {
        if (listLease.isValid()) {
            return true;
        }
        if (!turnAwaitsList) {
            turnAwaitsList = true;
            listLease.whenValid(() -> {
                turnAwaitsList = false;
                openTurn();
            });
        }
        return false;
    }

    @Override
    public void send(long message, long endpoint, double timeoutMs) {
        AcceptedMessage held = open.find(message).orElseThrow();
        int number = held.attempts.size();
        AcceptedMessage.Attempt attempt = new AcceptedMessage.Attempt(registry.id(endpoint), journal.clock().nowMs());
        attempt.listGeneration = discovery.generation();
        held.attempts.add(attempt);
        boolean begun = FaultIsolation.run(
                () -> calls.put(new Out(message, number), endpoints.call(held, number, endpoint, timeoutMs)));
        if (!begun) {
            // The module counts it as out until it has its end.
            loop.execute(() -> attemptEnded(held, number, DeliveryPolicy.Outcome.NOT_SENT, false, false, 0, 0, false));
        }
    }

    @Override
    public void cancel(long message, int attempt) {
        Endpoints.Call call = calls.get(new Out(message, attempt));
        if (call != null) {
            endpoints.cancel(call);
        } else if (inherited.isOut(new Out(message, attempt))) {
            takeover.tell(HandoverConnection.line("cancel").put("message", message).put("attempt", attempt));
        }
    }

    @Override
    public void closeIdle(long endpoint) {
        endpoints.closeIdle(endpoint);
    }

    @Override
    public boolean refuse(long message, double waitMs) {
        end(open.find(message).orElseThrow(), new AcceptedMessage.Notice(true, waitMs));
        return false;
    }

    @Override
    public boolean fail(long message) {
        end(open.find(message).orElseThrow(), new AcceptedMessage.Notice(false, 0));
        return false;
    }

    @Override
    public void wakeAt(double time) {
        long nanos = (long) (time * 1e6) - (System.nanoTime() - startNanos);
        AfterPendingReads.in(loop, Math.max(0, nanos), TimeUnit.NANOSECONDS, () -> event(() -> relay.wake(openTurn())));
    }

    @Override
    public void log(String text) {
        Log.line(text);
    }

    private void end(AcceptedMessage held, AcceptedMessage.Notice notice) {
        if (!rules.mayEnd(held)) {
            return;
        }
        over(held, notice.bounced() ? Stats.End.REFUSED : Stats.End.FAILED);
        events.add("notice-owed", "id", held.id, "class", held.messageClass, "bounced", notice.bounced(),
                "attempts", held.attempts.size(), "left_ms", held.deadlineMs - journal.clock().nowMs());
        journal.owed(held, notice);
        notices.owe(held);
    }

    // ---- what the module is told ----

    /** The endpoints' side. */
    private final class EndpointCallbacks implements Endpoints.Callbacks {
        @Override
        public boolean mayBeginAttempt(Endpoints.Call call) {
            return relay.mayBeginAttempt(now(), call.held.number, call.attempt);
        }

        @Override
        public void whenListIsCurrent(Runnable task) {
            if (listLease.isValid()) {
                task.run();
            } else {
                listLease.whenValid(task);
            }
        }

        /** Not before: an attempt whose connection was still coming up at a kill has surely not run. */
        @Override
        public boolean begins(Endpoints.Call call) {
            if (!rules.maySend(call.held, call.attempt)) {
                return false;
            }
            try {
                journal.begins(call.held, call.attempt);
            } catch (IOException e) {
                // Unrecorded it could run twice: it is not made.
                Log.line("no attempt without the journal: " + e.getMessage());
                return false;
            }
            untried.called(call.held.number);
            if (call.attempt > 0) {
                events.add("retry", "id", call.held.id, "attempt", call.attempt, "endpoint",
                        call.held.attempts.get(call.attempt).endpoint);
            }
            return true;
        }

        @Override
        public void ended(Endpoints.Call call, DeliveryPolicy.Outcome outcome, boolean gone, double waitMs,
                boolean open) {
            calls.remove(new Out(call.held.number, call.attempt));
            double took = (System.nanoTime() - call.startedNanos) / 1e6;
            if (outcome != DeliveryPolicy.Outcome.DELIVERED) {
                logUndelivered(call, outcome, gone, waitMs, took);
            }
            boolean confirm = call.report().wasPartlyLeft();
            Runnable here = () -> attemptEnded(call.held, call.attempt, outcome, gone, confirm, waitMs, took, open);
            if (handover.leaving()) {
                ObjectNode line = HandoverConnection.line("ended").put("message", call.held.number)
                        .put("attempt", call.attempt).put("outcome", outcome.name()).put("gone", gone)
                        .put("confirm", confirm).put("waitMs", waitMs).put("tookMs", took).put("open", open);
                handover.tell(line, here);
            } else {
                here.run();
            }
        }

        @Override
        public void overAfterEnd(Endpoints.Call call, boolean delivered) {
            events.add("over-after-end", "id", call.held.id, "attempt", call.attempt, "endpoint",
                    call.held.attempts.get(call.attempt).endpoint, "delivered", delivered);
            Runnable here = () -> Sender.this.overAfterEnd(call.held, delivered);
            if (handover.leaving()) {
                handover.tell(HandoverConnection.line("over").put("message", call.held.number)
                        .put("delivered", delivered), here);
            } else {
                here.run();
            }
        }

        private void logUndelivered(Endpoints.Call call, DeliveryPolicy.Outcome outcome, boolean gone, double waitMs,
                double took) {
            AttemptReport report = call.report();
            events.add("attempt-ended", "id", call.held.id, "attempt", call.attempt, "endpoint",
                    call.held.attempts.get(call.attempt).endpoint, "outcome", outcome, "cause", report.cause(),
                    "status", report.status(), "messages", report.messages(), "left", report.left(), "over", gone,
                    "wait_ms", Math.round(waitMs), "took_ms", Math.round(took), "list",
                    call.held.attempts.get(call.attempt).listGeneration);
        }

        @Override
        public void connectionClosed(long endpoint, Endpoints.CloseReason reason, boolean underRequest, String cause,
                Endpoints.ConnectionUse use) {
            events.add("connection-closed", "endpoint", registry.id(endpoint), "reason", reason, "under_request",
                    underRequest, "cause", cause, "exchanges", use.exchanges(), "surplus_bytes", use.surplusBytes(),
                    "quiet_ms", use.quietMs());
        }

        @Override
        public void retryAfterReceived(long endpoint, double waitMs) {
            Runnable here = () -> event(() -> relay.retryAfterReceived(openTurn(), endpoint, waitMs));
            if (handover.leaving()) {
                handover.tell(HandoverConnection.line("wait").put("endpoint", endpoint).put("waitMs", waitMs), here);
            } else {
                here.run();
            }
        }

        @Override
        public void written(int messages) {
            stats.attempts(messages);
        }

        @Override
        public void closed(Endpoints.Call call) {
            Runnable here = () -> event(() -> relay.callEnded(openTurn(), call.held.number));
            if (handover.leaving()) {
                handover.tell(HandoverConnection.line("closed").put("message", call.held.number), here);
            } else {
                here.run();
            }
        }
    }

    private void attemptEnded(AcceptedMessage held, int attempt, DeliveryPolicy.Outcome outcome, boolean gone,
            boolean confirm, double waitMs, double took, boolean open) {
        if (gone) {
            overByAnswer(held, FinishedMessage.Result.FAILED);
        } else if (outcome == DeliveryPolicy.Outcome.DELIVERED && confirm) {
            confirm(held);
        } else if (outcome == DeliveryPolicy.Outcome.DELIVERED) {
            overByAnswer(held, FinishedMessage.Result.DELIVERED);
        } else if (!held.over && !outcome.mayHaveRun()) {
            journal.neverRan(held, attempt);
        }
        boolean finished = held.over;
        event(() -> relay.attemptEnded(openTurn(), new DeliveryPolicy.AttemptEnd(held.number, attempt, outcome, took,
                finished, waitMs, open)));
    }

    /** An answer tells that a message is over: nothing more is owed for it, and nothing may be sent. */
    private void overByAnswer(AcceptedMessage held, FinishedMessage.Result result) {
        if (!held.over) {
            over(held, result == FinishedMessage.Result.DELIVERED ? Stats.End.SERVED : Stats.End.FAILED);
            journal.ended(held, result);
        }
    }

    /**
     * The answer to a call that a message had left tells that a message is delivered. The platform does not count each
     * such answer, so it also gets a notice, which does no harm where it does.
     */
    private void confirm(AcceptedMessage held) {
        if (!held.over) {
            over(held, Stats.End.SERVED);
            events.add("confirming", "id", held.id, "attempts", held.attempts.size());
            journal.endConfirmationPending(held);
            notices.owe(held);
            event(() -> relay.endConfirmationPending(openTurn(), held.number));
        }
    }

    /** An answer tells that a message is over whose attempt had ended otherwise before: it had left its call. */
    private void overAfterEnd(AcceptedMessage held, boolean delivered) {
        if (delivered) {
            confirm(held);
        } else if (!held.over) {
            overByAnswer(held, FinishedMessage.Result.FAILED);
            event(() -> relay.messageWithdrawn(openTurn(), held.number));
        }
    }

    /** The one place where the end of what was taken is counted. */
    private void over(AcceptedMessage held, Stats.End end) {
        stats.ended(held.messageClass, end);
        over(held);
    }

    private void over(AcceptedMessage held) {
        held.over = true;
        untried.ended(held.number);
        open.remove(held);
        watchdog.forget(held);
    }

    /** The platform has answered the notice: only now is the message over. */
    private void heard(AcceptedMessage held) {
        events.add("notice-heard", "id", held.id);
        rules.heard(held);
        journal.ended(held);
        event(() -> relay.endAcknowledged(openTurn(), held.number));
    }

    private void listed(boolean whole, List<EndpointList.Entry> entries) {
        if (!owner || handover.left()) {
            return;
        }
        List<DeliveryPolicy.Endpoint> list = new ArrayList<>();
        Set<Long> unlisted = new HashSet<>();
        if (whole) {
            unlisted.addAll(registry.listed());
            registry.clearList();
        }
        for (EndpointList.Entry e : entries) {
            long number = registry.number(e.id());
            registry.list(number, e.destination(), e.gone());
            unlisted.remove(number);
            journal.withdrawn(e.id(), !e.serving());
            int kind = Math.max(0, config.kinds().indexOf(e.kind()));
            List<DeliveryPolicy.Kind> kinds = config.settings().kinds();
            if (e.address() == null) {
                endpoints.closeIdle(number);
            } else {
                endpoints.at(number, e.address(), e.serving(), kind,
                        kinds.get(Math.min(kind, kinds.size() - 1)).batch());
            }
            list.add(new DeliveryPolicy.Endpoint(number, e.destination(), kind,
                    Math.max(0, config.zones().indexOf(e.zone())), e.serving(), e.weight()));
        }
        unlisted.forEach(number -> journal.withdrawn(registry.id(number), true));
        event(() -> relay.endpoints(openTurn(), whole, list));
        if (!ready) {
            begin();
        }
    }

    /** The clients' side. */
    private final class Clients implements SubmissionServer.SubmissionHandler {
        @Override
        public boolean ready() {
            return ready && (!closing || handover.left());
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
        public void closed(SubmissionServer.CloseReason reason, boolean underRequest, String cause) {
            events.add("client-closed", "reason", reason, "under_request", underRequest, "cause", cause);
        }

        @Override
        public void acceptFailed(Exception cause) {
            events.add("accept-failed", "cause", String.valueOf(cause.getMessage()));
        }

        @Override
        public void take(SubmissionServer.Submission s, Consumer<SubmissionServer.Verdict> then) {
            if (handover.leaving()) {
                ObjectNode line = HandoverConnection.line("submit");
                line.set("submission", HandoverConnection.JSON.valueToTree(s));
                handover.ask(line, reply -> then.accept(verdict(reply)), () -> take(s, then));
                return;
            }
            then.accept(Sender.this.take(s));
        }

        /** What the new process says; if it is gone, nobody has the message. */
        private SubmissionServer.Verdict verdict(JsonNode reply) {
            if (reply.path("failed").asBoolean()) {
                return new SubmissionServer.Verdict(SubmissionServer.Decision.FAILED, reply.path("reason").asText(), 0,
                        heard -> { });
            }
            if (!reply.path("taken").asBoolean()) {
                return SubmissionServer.Verdict.refused(reply.path("reason").asText("not now"),
                        reply.path("waitMs").asDouble());
            }
            return SubmissionServer.Verdict.taken(heard -> handover.tell(HandoverConnection.line("answered")
                    .put("message", reply.path("message").asLong()).put("heard", heard), () -> { }));
        }
    }

    private SubmissionServer.Verdict take(SubmissionServer.Submission s) {
        if (!ready) {
            return refused(s, "no room", 0);
        }
        Optional<AcceptedMessage> known = open.find(s.id());
        if (known.isPresent()) {
            return taken(known.get());
        }
        Optional<FinishedMessage> finished = journal.finished(s.id());
        return finished.map(SubmissionServer.Verdict::finished).orElseGet(() -> takeNew(s));
    }

    private SubmissionServer.Verdict takeNew(SubmissionServer.Submission s) {
        if (!registry.knowsDestination(s.destination())) {
            // Such a message could only run out of time; the list may be late, so it may be handed in again.
            return refused(s, "no endpoint of this dest is listed", 0);
        }
        if (open.size() >= config.maxOpen()) {
            return refused(s, "no room", 0);
        }
        int messageClass = config.classes().indexOf(s.messageClass());
        long budgetMs = Math.min(s.budgetMs(), (long) config.settings().classes().get(messageClass).deadlineMs());
        AcceptedMessage held =
                new AcceptedMessage(journal.nextNumber(), s.id(), s.messageClass(), s.tenant(), s.key(), s.thread(),
                        s.destination(), journal.clock().nowMs() + budgetMs, s.body());
        try {
            OptionalDouble away = relay.admissionRetryAfter(openTurn(), message(held, messageClass, budgetMs));
            if (away.isPresent()) {
                return refused(s, "no time for it here", away.getAsDouble());
            }
        } catch (RuntimeException e) {
            // Its client was read, and is owed an answer.
            FaultIsolation.report(e);
            return refused(s, "not now", FAULT_RETRY_AFTER_MS);
        }
        try {
            journal.taken(held);
        } catch (IOException e) {
            events.add("not-journalled", "id", s.id(), "cause", String.valueOf(e.getMessage()));
            return refused(s, "no room", 0);
        }
        addOpen(held);
        return taken(held);
    }

    private SubmissionServer.Verdict refused(SubmissionServer.Submission s, String reason, double waitMs) {
        stats.ended(s.messageClass(), Stats.End.REFUSED);
        events.add("refused", "id", s.id(), "class", s.messageClass(), "dest", s.destination(), "reason", reason,
                "wait_ms", Math.round(waitMs), "open", open.size());
        return SubmissionServer.Verdict.refused(reason, waitMs);
    }

    /** Each request with its id gets an answer of its own; as long as one may be heard, the message is kept. */
    private SubmissionServer.Verdict taken(AcceptedMessage held) {
        held.answers();
        return SubmissionServer.Verdict.taken(written -> {
            AcceptedMessage.Acknowledgement hearing = held.answered(written);
            if (hearing != AcceptedMessage.Acknowledgement.OPEN) {
                answered(held, hearing == AcceptedMessage.Acknowledgement.HEARD);
            }
        });
    }

    /** The client has heard that its message was taken, or never will. */
    private void answered(AcceptedMessage held, boolean heard) {
        if (handover.leaving()) {
            handover.tell(HandoverConnection.line("answered").put("message", held.number).put("heard", heard),
                    () -> answered(held, heard));
            return;
        }
        if (held.told || held.over) {
            return;
        }
        held.told = heard;
        if (!heard) {
            // A client that never heard of its being taken is owed nothing, and will come again.
            events.add("taken-unheard", "id", held.id);
            over(held);
            journal.ended(held);
            return;
        }
        int messageClass = config.classes().indexOf(held.messageClass);
        double left = held.deadlineMs - journal.clock().nowMs();
        event(() -> relay.messageAccepted(openTurn(), message(held, messageClass, left)));
    }

    /** The operators' side. */
    private final class Orders implements OperatorServer.OperatorCommands {
        @Override
        public boolean serves() {
            return ready && listening && !closing;
        }

        @Override
        public String figures() {
            Set<Long> listed = registry.listed();
            int excluded = (int) listed.stream().filter(relay::isExcluded).count();
            return stats.text(new Stats.Gauges(open.size(), listed.size(), excluded));
        }

        @Override
        public void maintain(String endpoint, boolean out, Consumer<OperatorServer.Answer> then) {
            if (!owner || handover.leaving()) {
                pass(HandoverConnection.line("maintain").put("endpoint", endpoint).put("on", out), then,
                        () -> maintain(endpoint, out, then));
                return;
            }
            OptionalLong number = registry.knownNumber(endpoint);
            boolean outNow = journal.maintained().contains(endpoint);
            if (!outNow && !(number.isPresent() && registry.isListed(number.getAsLong()))) {
                then.accept(OperatorServer.Answer.no(HttpResponseStatus.NOT_FOUND, "no endpoint " + endpoint));
                return;
            }
            order(then, "endpoint " + endpoint + (out ? " is left out" : " is put back") + " by the operators",
                    () -> {
                        if (outNow != out) {
                            journal.maintained(endpoint, out);
                            relay.setMaintenance(openTurn(), number.getAsLong(), out);
                        }
                    });
        }

        @Override
        public void drain(boolean on, Consumer<OperatorServer.Answer> then) {
            if (!owner || handover.leaving()) {
                pass(HandoverConnection.line("drain").put("on", on), answer -> {
                    if (answer.status().code() == 200) {
                        intake.drain(on);
                    }
                    then.accept(answer);
                }, () -> drain(on, then));
                return;
            }
            order(then, on ? "clients are sent away" : "clients are taken again", () -> {
                if (journal.drained() != on) {
                    journal.drained(on);
                    intake.drain(on);
                }
            });
        }

        /** The process that owns the journal carries it out: the new one, or none yet. */
        private void pass(ObjectNode line, Consumer<OperatorServer.Answer> then, Runnable here) {
            if (!owner) {
                then.accept(OperatorServer.Answer.no(HttpResponseStatus.SERVICE_UNAVAILABLE, "does not serve yet"));
                return;
            }
            handover.ask(line, reply -> then.accept(new OperatorServer.Answer(
                    HttpResponseStatus.valueOf(reply.path("status").asInt(503)),
                    reply.path("text").asText("the new process is gone\n"))), here);
        }

        private void order(Consumer<OperatorServer.Answer> then, String done, Order order) {
            try {
                order.carryOut();
                Log.line(done);
                then.accept(OperatorServer.Answer.YES);
            } catch (IOException e) {
                Log.line("an order can't be journalled, so it is not taken: " + e.getMessage());
                then.accept(OperatorServer.Answer.no(HttpResponseStatus.SERVICE_UNAVAILABLE,
                        "the journal has no room"));
            }
        }
    }

    private interface Order {
        void carryOut() throws IOException;
    }

    // ---- an upgrade ----

    /** The old side: this process hands over. */
    private final class HandoverCallbacks implements Handover.Callbacks {
        @Override
        public boolean mayLeave() {
            // What the disk did not take would not be the new process's.
            return ready && listening && !closing && !takeover.hasPartner() && journal.catchUp();
        }

        @Override
        public void freeze(Consumer<Optional<ObjectNode>> then) {
            logHandover("FREEZING");
            frozen = true;
            // What is not written yet is the new process's to send; these ends come before what follows.
            new ArrayList<>(calls.values()).forEach(call -> event(() -> endpoints.callOffUnsent(call)));
            loop.execute(() -> {
                event(() -> relay.handoverStarting(openTurn(), HANDOVER_PAUSE_MS));
                notices.pause();
                Optional<ObjectNode> state = state();
                if (state.isPresent()) {
                    logHandover("LEAVING");
                    state.get().put("unwritten", journal.pause());
                    lock.close();
                    lock = null;
                } else {
                    goOn();
                }
                then.accept(state);
            });
        }

        /** All that the new process needs beside the journal; none where a fault has made that impossible. */
        private Optional<ObjectNode> state() {
            try {
                ObjectNode state = HandoverConnection.line("state").put("at", journal.clock().nowMs())
                        .put("numbers", journal.numbers());
                state.set("classes", HandoverConnection.JSON.valueToTree(config.classes()));
                ArrayNode names = state.putArray("endpoints");
                registry.ids().forEach(names::add);
                ArrayNode unheard = state.putArray("unheard");
                open.all().stream().filter(held -> !held.told).forEach(held -> unheard.add(held.number));
                state.set("list", discovery.list());
                state.set("memory", HandoverConnection.JSON.valueToTree(relay.snapshot(openTurn())));
                return Optional.of(state);
            } catch (RuntimeException e) {
                FaultIsolation.report(e);
                return Optional.empty();
            }
        }

        @Override
        public void unfreeze() throws IOException {
            if (lock == null) {
                lock = StateLock.take(config.state()).orElseThrow(() -> new IOException("another process owns"));
            }
            journal.resume();
            goOn();
        }

        private void goOn() {
            frozen = false;
            logHandover("OWNING");
            catchUpLater();
            notices.resume();
            overdueInHandover.forEach(watchdog::watch);
            overdueInHandover.clear();
            // What waits is decided with the next turn.
            openTurn();
        }

        @Override
        public void left() {
            logHandover("LEFT");
            watchdog.suspend();
            open.clear();
            discovery.stop();
            listLease.stop();
            intake.leave();
            endpoints.keepNone();
            Log.line("the new version owns all; " + calls.size() + " calls are still out here");
        }

        @Override
        public void cancel(long message, int attempt) {
            Sender.this.cancel(message, attempt);
        }

        /** What this process has at each step: the phases are those of {@link Handover}. */
        private void logHandover(String phase) {
            events.add("handover", "phase", phase, "open", open.size(), "module", relay.openMessages().size(), "calls",
                    calls.size(), "notices", notices.owed(), "closing", closing);
        }
    }

    /** The new side: this process takes over, or just starts. */
    private final class TakeoverCallbacks implements Takeover.Callbacks {
        /** Taken for a client of the old process, which it has not answered yet. */
        private final Map<Long, Deque<SubmissionServer.Verdict>> answering = new HashMap<>();

        @Override
        public boolean prepared() {
            return discovery.answered() || System.nanoTime() - startNanos >= PREPARE_NANOS;
        }

        @Override
        public void listenBeside(Runnable then, Runnable failed) {
            listen(then, cause -> {
                if (isTakenByOldProcess(cause)) {
                    Log.line("can't listen beside the old process, and does so once that one has left");
                    then.run();
                } else {
                    failed.run();
                }
            });
        }

        /** One of the two can't share its address: the JDK finds out once, at its start, whether sockets can, by making one. */
        private static boolean isTakenByOldProcess(Throwable cause) {
            return cause instanceof BindException && String.valueOf(cause.getMessage()).contains(ADDRESS_IN_USE);
        }

        private void listen(Runnable then, Consumer<Throwable> failed) {
            if (listening) {
                then.run();
                return;
            }
            Connects.whenDone(loop, intake.listen(config.listen()), bound -> {
                if (bound.isSuccess()) {
                    listening = true;
                    then.run();
                } else {
                    Log.line("can't listen: " + bound.cause().getMessage());
                    failed.accept(bound.cause());
                }
            });
        }

        @Override
        public void listenNoMore() {
            if (listening) {
                listening = false;
                intake.listenNoMore();
            }
        }

        @Override
        public void own(StateLock token, Optional<JsonNode> state) throws IOException {
            Sender.this.own(token, state);
            listenAsOwner();
        }

        private void listenAsOwner() {
            listen(() -> serving.complete(intake.address()), cause -> {
                IOException failure = new IOException("can't listen at " + Endpoints.hostPort(config.listen()), cause);
                if (startRetry.mayRetry("listening", failure)) {
                    loop.schedule(this::listenAsOwner, LISTEN_AGAIN_MS, TimeUnit.MILLISECONDS);
                } else {
                    failed(failure);
                }
            });
        }

        @Override
        public void failed(Throwable why) {
            giveUpOwnership();
            serving.completeExceptionally(why);
        }

        /** What is half begun here is left to whoever owns next; nothing is taken on, written or sent any more. */
        private void giveUpOwnership() {
            owner = false;
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
            event(() -> report(line));
        }

        private void report(JsonNode line) {
            long message = line.path("message").asLong();
            switch (line.path("do").asText()) {
                case "ended" -> ended(new Out(message, line.path("attempt").asInt()),
                        DeliveryPolicy.Outcome.valueOf(line.path("outcome").asText()), line.path("gone").asBoolean(),
                        line.path("confirm").asBoolean(),
                        line.path("waitMs").asDouble(), line.path("tookMs").asDouble(),
                        line.path("open").asBoolean());
                case "wait" -> event(() -> relay.retryAfterReceived(openTurn(), line.path("endpoint").asLong(),
                        line.path("waitMs").asDouble()));
                case "over" -> inherited.held(message).ifPresent(
                        held -> overAfterEnd(held, line.path("delivered").asBoolean()));
                case "closed" -> closed(message);
                case "answered" -> answered(message, line.path("heard").asBoolean());
                case "submit" -> submit(line);
                case "maintain" -> new Orders().maintain(line.path("endpoint").asText(), line.path("on").asBoolean(),
                        answer -> reply(line, answer));
                case "drain" -> new Orders().drain(line.path("on").asBoolean(), answer -> reply(line, answer));
                default -> Log.line("the old process reports what this one does not know: " + line.path("do"));
            }
        }

        private void ended(Out attempt, DeliveryPolicy.Outcome outcome, boolean gone, boolean confirm, double waitMs,
                double took, boolean open) {
            if (!inherited.ended(attempt, open)) {
                return;
            }
            Optional<AcceptedMessage> held = inherited.held(attempt.message());
            if (held.isPresent()) {
                attemptEnded(held.get(), attempt.attempt(), outcome, gone, confirm, waitMs, took, open);
            } else {
                // Its message was over before the handover.
                event(() -> relay.attemptEnded(openTurn(), new DeliveryPolicy.AttemptEnd(attempt.message(),
                        attempt.attempt(), outcome, took, true, waitMs, open)));
            }
        }

        private void closed(long message) {
            if (inherited.closed(message)) {
                event(() -> relay.callEnded(openTurn(), message));
            }
        }

        private void answered(long message, boolean heard) {
            Deque<SubmissionServer.Verdict> verdicts = answering.get(message);
            if (verdicts == null) {
                inherited.held(message).ifPresent(held -> Sender.this.answered(held, heard));
                return;
            }
            SubmissionServer.Verdict verdict = verdicts.remove();
            if (verdicts.isEmpty()) {
                answering.remove(message);
            }
            verdict.answered().accept(heard);
        }

        private void submit(JsonNode line) {
            try {
                SubmissionServer.Submission s =
                        HandoverConnection.JSON.treeToValue(line.path("submission"), SubmissionServer.Submission.class);
                SubmissionServer.Verdict verdict = take(s);
                ObjectNode reply = HandoverConnection.line("reply").put("n", line.path("n").asLong())
                        .put("taken", verdict.taken());
                Optional<AcceptedMessage> held = open.find(s.id());
                if (verdict.taken() && held.isPresent()) {
                    long number = held.get().number;
                    answering.computeIfAbsent(number, message -> new ArrayDeque<>()).add(verdict);
                    takeover.tell(reply.put("message", number));
                } else if (verdict.taken()) {
                    // It has run already: nothing hangs on whether its client hears of it.
                    takeover.tell(reply.put("message", NO_MESSAGE));
                } else {
                    takeover.tell(reply.put("failed", verdict.decision() == SubmissionServer.Decision.FAILED)
                            .put("reason", verdict.reason()).put("waitMs", verdict.waitMs()));
                }
            } catch (IOException | RuntimeException e) {
                Log.line("a message that the old process passed on can't be taken: " + e);
                takeover.tell(HandoverConnection.line("reply").put("n", line.path("n").asLong())
                        .put("reason", "can't be read"));
            }
        }

        private void reply(JsonNode line, OperatorServer.Answer answer) {
            takeover.tell(HandoverConnection.line("reply").put("n", line.path("n").asLong())
                    .put("status", answer.status().code()).put("text", answer.text()));
        }

        /** Its connections broke with it: calls may have run, and clients may have heard of their messages. */
        @Override
        public void gone() {
            Log.line("the old process is gone, with " + inherited.size() + " calls out");
            events.add("predecessor-gone", "calls", inherited.size(), "open", open.size(), "module",
                    relay.openMessages().size(), "unanswered", answering.size());
            for (Out attempt : inherited.allOut()) {
                event(() -> ended(attempt, DeliveryPolicy.Outcome.BROKEN, false, false, 0, 0, false));
            }
            inherited.allOpen().forEach(this::closed);
            List<SubmissionServer.Verdict> unanswered = answering.values().stream().flatMap(Deque::stream).toList();
            answering.clear();
            unanswered.forEach(verdict -> event(() -> verdict.answered().accept(true)));
            for (AcceptedMessage held : inherited.allHeld()) {
                if (!held.over) {
                    event(() -> Sender.this.answered(held, true));
                }
            }
            inherited.clear();
        }
    }

    // ---- the end ----

    /**
     * Ends in order, within the time before SIGKILL: takes messages while new connections still come, starts
     * no call that can't end in time, and lets calls and notices out finish. The journal holds the rest.
     */
    void drain() {
        long begun = System.nanoTime();
        loop.execute(() -> {
            closing = true;
            if (handover == null) {
                // Nothing is begun, and nothing will be.
                stopped.countDown();
                return;
            }
            if (handover.left()) {
                awaitIdle(begun);
                return;
            }
            if (!owner) {
                stopped.countDown();
                return;
            }
            event(() -> relay.shutdownScheduled(openTurn(), clock + closingMs));
            loop.schedule(() -> {
                intake.close();
                awaitIdle(begun);
            }, takingMs, TimeUnit.MILLISECONDS);
        });
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitIdle(long begun) {
        boolean idle = handover.left() ? calls.isEmpty() && handover.unanswered() == 0 && intake.hasEnded()
                : open.isEmpty() && notices.owed() == 0 && intake.hasEnded() && !journal.isBehind();
        if (idle) {
            ended();
        } else if (System.nanoTime() - begun >= TimeUnit.MILLISECONDS.toNanos(closingMs)) {
            // Answers that have come by now are read first, however late this is.
            AfterPendingReads.next(loop, this::ended);
        } else {
            loop.schedule(() -> awaitIdle(begun), DRAIN_POLL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void ended() {
        intake.readNoMore();
        if (owner && !handover.left()) {
            journal.catchUp();
        }
        events.flush();
        Log.line(config.name() + " ends; its journal holds " + open.size() + " messages and "
                + notices.owed() + " notices");
        untried.close();
        handover.close();
        stopped.countDown();
    }

    /** Lets go of everything at once, as the end of the process would: the journal first. */
    void kill() {
        loop.submit(() -> {
            if (owner) {
                journal.close();
            }
            if (lock != null) {
                lock.close();
            }
        }).syncUninterruptibly();
        acceptorGroup.shutdownGracefully(1, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
        // With no quiet time at all the loop may end in the turn in which it is told, its connections still open.
        group.shutdownGracefully(1, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
