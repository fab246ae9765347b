package starlingvalve.net;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * What this sender has taken on, in a file that outlasts its process. Records are appended, each with its
 * length and checksum, and reach the system's cache before the step that they stand for: that survives any
 * end of the process, so nothing is forced to disk.
 *
 * <p>The folder never holds more than its bound: before an append would leave no room for a compacted copy
 * beside the file, the live records are written to a new file, which then takes the old one's place. New
 * messages are turned away while what is live, with the records that it may still need, fills half the bound.
 */
final class Journal implements AutoCloseable {
    /** Longest record that is believed: a longer one is a torn or foreign length. */
    private static final int LONGEST = 1 << 20;
    /** Room for the later records of a message: for each attempt, and for its end. */
    private static final int ATTEMPT_ROOM = 128;
    private static final int END_ROOM = 256;
    /** Files count in whole blocks: two files, and a block to spare. */
    private static final int BLOCKS = 3 * 512;
    /** Share of the bound that messages which have ended may take up. */
    private static final int FINISHED_SHARE = 16;
    /** Share of the bound that endpoints which take no new work may take up. */
    private static final int WITHDRAWN_SHARE = 32;

    private final JournalFile file;
    private final SteadyClock clock;
    /** The base of the clock that an earlier process has left. */
    private Optional<SteadyClock.Base> earlierBase = Optional.empty();
    /** The base of the clock is in the file, where it has to be before any time by it. */
    private boolean clockRecorded;
    private final long bound;
    private final long messageRoom;
    private final Map<Long, AcceptedMessage> live = new TreeMap<>();
    private final FinishedMessages finished;
    private long liveBytes;
    private long firstUnusedNumber;
    /** What the operators have ordered, which a later life keeps to. */
    private boolean drained;
    private final Set<String> inMaintenance = new LinkedHashSet<>();
    private final WithdrawnEndpoints withdrawn;
    private long headerBytes;
    private Runnable onWriteDeferred = () -> { };
    /** Another process may write the file. */
    private boolean paused;
    /** Another process has written the file, or may have: nothing may be appended to it before it is replaced. */
    private boolean outdated;

    Journal(Path folder, long diskBytes, int maxAttempts) throws IOException {
        this(folder, diskBytes, maxAttempts, JournalFile.Disk.REAL, TimeSource.SYSTEM);
    }

    /** Goes on where another process has {@linkplain #pause paused}, which could not write these records. */
    Journal(Path folder, long diskBytes, int maxAttempts, byte[] unwritten) throws IOException {
        this(folder, diskBytes, maxAttempts, unwritten, JournalFile.Disk.REAL, TimeSource.SYSTEM);
    }

    /** On a disk and with clocks of its own, for tests. */
    Journal(Path folder, long diskBytes, int maxAttempts, JournalFile.Disk disk, TimeSource time) throws IOException {
        this(folder, diskBytes, maxAttempts, new byte[0], disk, time);
    }

    private Journal(Path folder, long diskBytes, int maxAttempts, byte[] unwritten, JournalFile.Disk disk,
            TimeSource time) throws IOException {
        this.bound = diskBytes - BLOCKS;
        this.finished = new FinishedMessages(bound / FINISHED_SHARE);
        this.withdrawn = new WithdrawnEndpoints(bound / WITHDRAWN_SHARE);
        this.messageRoom = (long) maxAttempts * ATTEMPT_ROOM + END_ROOM;
        this.file = new JournalFile(folder.resolve("journal"), folder.resolve("journal.next"), disk);
        readFile();
        replay(unwritten);
        file.defer(unwritten);
        this.clock = earlierBase.map(base -> SteadyClock.resume(time, base))
                .orElseGet(() -> SteadyClock.fromWallClock(time));
        clockRecorded = earlierBase.equals(Optional.of(clock.base()));
        finished.removeExpired(clock.nowMs());
        header();
    }

    /** A torn tail would hide all that is appended behind it. */
    private void readFile() throws IOException {
        try {
            file.truncateTo(replay(file.read()));
        } catch (IOException e) {
            file.close();
            throw e;
        }
    }

    /** The clock by which all times here are kept. */
    SteadyClock clock() {
        return clock;
    }

    /** What was held when the last process ended, in the order taken. */
    Collection<AcceptedMessage> held() {
        return new ArrayList<>(live.values());
    }

    /** A number for the next message, above all that were used. */
    long nextNumber() {
        return firstUnusedNumber++;
    }

    /** Takes a message on, or throws: then it must be refused. */
    void accepted(AcceptedMessage held) throws IOException {
        byte[] record = JournalRecord.accepted(held);
        long reserved = headerBytes + bound / FINISHED_SHARE + bound / WITHDRAWN_SHARE;
        long needed = reserved + liveBytes + record.length + messageRoom * (live.size() + 1L);
        if (2 * needed > bound) {
            throw new IOException("the journal has no room for another message");
        }
        append(held, record);
        live.put(held.number, held);
    }

    /** The attempt's first byte is about to be written: it counts as one that may have run from here on. */
    void begins(AcceptedMessage held, int attempt) throws IOException {
        AcceptedMessage.Attempt begun = held.attempts.get(attempt);
        if (attempt < held.recorded) {
            append(held, JournalRecord.mark(JournalRecord.BEGUN, held, attempt));
        } else {
            record(held, attempt);
            append(held, JournalRecord.attempt(held, begun, true));
            held.recorded++;
        }
        begun.neverRan = false;
    }

    /** It ended before it began, or its end proved that it never ran; if this is lost, a begun one may have. */
    void neverRan(AcceptedMessage held, int attempt) {
        if (attempt >= held.recorded) {
            record(held, attempt + 1);
        } else if (!held.attempts.get(attempt).neverRan) {
            held.attempts.get(attempt).neverRan = true;
            record(held, JournalRecord.mark(JournalRecord.NEVER_RAN, held, attempt));
        }
    }

    /** Records so many attempts, those that were not as not begun: later records know them by their places. */
    private void record(AcceptedMessage held, int attempts) {
        while (held.recorded < attempts) {
            record(held, JournalRecord.attempt(held, held.attempts.get(held.recorded), false));
            held.recorded++;
        }
    }

    /** The message has ended by a notice that is still to be heard. */
    void owed(AcceptedMessage held, AcceptedMessage.Notice notice) {
        owed(held, notice, FinishedMessage.noticed(held, notice));
    }

    /** The message was delivered, which a notice that is still to be heard confirms. */
    void confirming(AcceptedMessage held) {
        owed(held, AcceptedMessage.Notice.CONFIRMATION, FinishedMessage.ended(held, FinishedMessage.Result.DELIVERED));
    }

    private void owed(AcceptedMessage held, AcceptedMessage.Notice notice, FinishedMessage end) {
        held.owed = Optional.of(notice);
        keep(end);
        ByteArrayOutputStream records = new ByteArrayOutputStream();
        records.writeBytes(JournalRecord.owed(held, notice));
        records.writeBytes(JournalRecord.finished(end));
        record(held, records.toByteArray());
    }

    /** Nothing more is owed for the message: a notice of its end was heard, or nobody ever heard it was taken. */
    void ended(AcceptedMessage held) {
        ended(held, held.owed.map(notice -> finished.find(held.id, Long.MIN_VALUE)
                .orElseGet(() -> FinishedMessage.noticed(held, notice))));
    }

    /** The message has ended without a notice. */
    void ended(AcceptedMessage held, FinishedMessage.Result result) {
        ended(held, Optional.of(FinishedMessage.ended(held, result)));
    }

    private void ended(AcceptedMessage held, Optional<FinishedMessage> end) {
        end.ifPresent(this::keep);
        if (live.remove(held.number) != null) {
            liveBytes -= held.bytes;
            // In one piece, so that no end of the process leaves the one without the other.
            ByteArrayOutputStream records = new ByteArrayOutputStream();
            records.writeBytes(JournalRecord.ended(held));
            end.map(JournalRecord::finished).ifPresent(records::writeBytes);
            record(records.toByteArray());
        }
    }

    private void keep(FinishedMessage message) {
        finished.add(message, JournalRecord.finished(message).length, clock.nowMs());
    }

    /** How the message with this id has ended, if it did and its id may still come again. */
    Optional<FinishedMessage> finished(String id) {
        return finished.find(id, clock.nowMs());
    }

    /** Clients are sent away from now on, or taken again. */
    void drained(boolean on) throws IOException {
        append(JournalRecord.drained(on));
        drained = on;
        header();
    }

    boolean drained() {
        return drained;
    }

    /** An endpoint is left out from now on, or put back. */
    void inMaintenance(String endpoint, boolean out) throws IOException {
        append(JournalRecord.inMaintenance(endpoint, out));
        if (out) {
            inMaintenance.add(endpoint);
        } else {
            inMaintenance.remove(endpoint);
        }
        header();
    }

    /** Endpoints that operators have left out. */
    Set<String> inMaintenance() {
        return Set.copyOf(inMaintenance);
    }

    /**
     * Discovery has told whether an endpoint takes new work. That outlasts the process, as the list with which the next
     * one starts may be older.
     */
    void withdrawn(String endpoint, boolean on) {
        if (withdrawn.set(endpoint, on)) {
            record(JournalRecord.withdrawn(endpoint, on));
        }
    }

    /** Endpoints that take no new work, as discovery told last. */
    Set<String> withdrawn() {
        return withdrawn.ids();
    }

    /** The base of the clock and the orders that stand, as a compacted copy begins with them. */
    private byte[] header() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(JournalRecord.clock(clock.base()));
        if (drained) {
            bytes.writeBytes(JournalRecord.drained(true));
        }
        for (String endpoint : inMaintenance) {
            bytes.writeBytes(JournalRecord.inMaintenance(endpoint, true));
        }
        headerBytes = bytes.size();
        return bytes.toByteArray();
    }

    /** Called each time that something which has happened is not in the file, as the disk did not take it. */
    void onWriteDeferred(Runnable task) {
        onWriteDeferred = task;
    }

    /** Tries to write what the disk did not take; whether all is in the file now. */
    boolean writeDeferred() {
        try {
            prepareToWrite();
            makeRoom(0);
            file.writeDeferred();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Whether something that has happened is not in the file, as the disk did not take it. */
    boolean hasDeferredRecords() {
        return file.unwrittenBytes() > 0;
    }

    /**
     * Lets go of the file, since another process may write it now: nothing is written until {@link #resume}. Returns the
     * records that the disk has not taken, which that process has to know.
     */
    byte[] pause() {
        writeDeferred();
        paused = true;
        close();
        return file.unwritten();
    }

    /** That process never came to serve: if it has written on its way, all that is known here is written anew first. */
    void resume() {
        paused = false;
        outdated = !file.reopenUnchanged();
    }

    /** All numbers below this one are used. */
    long firstUnusedNumber() {
        return firstUnusedNumber;
    }

    /** Numbers below this one are used, whether the file still knows of them or not. */
    void reserveNumbersBelow(long used) {
        firstUnusedNumber = Math.max(firstUnusedNumber, used);
    }

    /** Bytes of the file now. */
    long size() {
        return file.size();
    }

    @Override
    public void close() {
        file.close();
    }

    // ---- writing ----

    /** What is about to happen to a message; throws if it can't be written, and then must not happen. */
    private void append(AcceptedMessage held, byte[] record) throws IOException {
        append(record);
        count(held, record.length);
    }

    private void append(byte[] record) throws IOException {
        prepareToWrite();
        makeRoom(record.length);
        if (file.size() + file.unwrittenBytes() + record.length > bound) {
            throw new IOException("the journal is full");
        }
        if (!clockRecorded) {
            file.append(JournalRecord.clock(clock.base()));
            clockRecorded = true;
        }
        file.append(record);
    }

    /** What has happened to a message. */
    private void record(AcceptedMessage held, byte[] record) {
        record(record);
        count(held, record.length);
    }

    private void record(byte[] record) {
        try {
            append(record);
        } catch (IOException e) {
            file.defer(record, e);
            onWriteDeferred.run();
        }
    }

    private void prepareToWrite() throws IOException {
        if (paused) {
            throw new IOException("another process may own the journal");
        }
        if (outdated) {
            compact();
        }
    }

    /** Compacts the file where otherwise this record would leave no room for a compacted copy beside it. */
    private void makeRoom(int recordLength) throws IOException {
        if (file.size() + file.unwrittenBytes() + compactedBytes() + 2L * recordLength > bound) {
            compact();
        }
    }

    /** What a compacted copy takes up. */
    private long compactedBytes() {
        return headerBytes + withdrawn.bytes() + finished.bytes() + liveBytes;
    }

    private void compact() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream((int) compactedBytes());
        bytes.write(header());
        for (String endpoint : withdrawn.ids()) {
            bytes.write(JournalRecord.withdrawn(endpoint, true));
        }
        for (AcceptedMessage held : live.values()) {
            bytes.write(JournalRecord.accepted(held));
            for (AcceptedMessage.Attempt attempt : held.attempts.subList(0, held.recorded)) {
                bytes.write(JournalRecord.attempt(held, attempt, !attempt.neverRan));
            }
            if (held.owed.isPresent()) {
                bytes.write(JournalRecord.owed(held, held.owed.get()));
            }
        }
        // Behind the notices, which alone don't tell whether their messages were delivered.
        for (FinishedMessage message : finished.unexpired(clock.nowMs())) {
            bytes.write(JournalRecord.finished(message));
        }
        file.replace(bytes.toByteArray());
        clockRecorded = true;
        outdated = false;
    }

    // ---- reading ----

    /** Reads up to the first record that is not whole; returns where it begins. */
    private long replay(byte[] bytes) {
        int at = 0;
        while (bytes.length - at >= JournalRecord.HEAD) {
            ByteBuffer head = ByteBuffer.wrap(bytes, at, JournalRecord.HEAD);
            int length = head.getInt();
            long checksum = head.getLong();
            if (length < 1 || length > LONGEST || length > bytes.length - at - JournalRecord.HEAD
                    || JournalRecord.checksum(bytes, at + JournalRecord.HEAD, length) != checksum) {
                break;
            }
            try {
                apply(new DataInputStream(new ByteArrayInputStream(bytes, at + JournalRecord.HEAD, length)),
                        JournalRecord.HEAD + length);
            } catch (IOException | RuntimeException e) {
                // It is whole, so it is not torn: another version's, or a fault of one. Those behind it count.
                Log.line("a record of the journal is passed over: " + e.getMessage());
            }
            at += JournalRecord.HEAD + length;
        }
        return at;
    }

    private void apply(DataInputStream in, int length) throws IOException {
        int type = in.readByte();
        long number = in.readLong();
        if (type == JournalRecord.FINISHED) {
            applyFinished(in);
            return;
        }
        if (type == JournalRecord.CLOCK) {
            earlierBase = Optional.of(new SteadyClock.Base(in.readUTF(), in.readLong(), in.readLong()));
            return;
        }
        if (type == JournalRecord.WITHDRAWN) {
            withdrawn.set(in.readUTF(), in.readBoolean());
            return;
        }
        if (type == JournalRecord.DRAINED || type == JournalRecord.MAINTAINED) {
            applyOrder(type, in);
            return;
        }
        firstUnusedNumber = Math.max(firstUnusedNumber, number + 1);
        if (type == JournalRecord.TAKEN) {
            String id = in.readUTF();
            String messageClass = in.readUTF();
            String tenant = in.readUTF();
            boolean keyed = in.readBoolean();
            String key = in.readUTF();
            long destination = in.readLong();
            long deadlineMs = in.readLong();
            byte[] body = in.readNBytes(in.readInt());
            // The thread came last and later: records of before end with the body.
            Optional<String> thread = in.available() == 0 ? Optional.empty()
                    : Optional.of(in.readUTF()).filter(t -> !t.isEmpty());
            AcceptedMessage held =
                    new AcceptedMessage(number, id, messageClass, tenant, keyed ? Optional.of(key) : Optional.empty(),
                            thread, destination, deadlineMs, body);
            live.put(number, held);
            count(held, length);
            return;
        }
        AcceptedMessage held = live.get(number);
        if (held == null) {
            return;
        }
        switch (type) {
            case JournalRecord.ATTEMPT, JournalRecord.UNBEGUN -> {
                AcceptedMessage.Attempt attempt = new AcceptedMessage.Attempt(in.readUTF(), in.readLong());
                attempt.neverRan = type == JournalRecord.UNBEGUN;
                held.attempts.add(attempt);
                held.recorded++;
            }
            case JournalRecord.BEGUN, JournalRecord.NEVER_RAN ->
                    held.attempts.get(in.readInt()).neverRan = type == JournalRecord.NEVER_RAN;
            case JournalRecord.OWED -> {
                held.owed = Optional.of(new AcceptedMessage.Notice(in.readBoolean(), in.readDouble()));
                held.over = true;
                keepUnexpired(FinishedMessage.noticed(held, held.owed.get()));
            }
            case JournalRecord.ENDED -> {
                live.remove(number);
                liveBytes -= held.bytes;
                return;
            }
            default -> throw new IOException("unknown record " + type);
        }
        count(held, length);
    }

    private void applyFinished(DataInputStream in) throws IOException {
        String id = in.readUTF();
        int result = in.readByte();
        FinishedMessage.Result[] results = FinishedMessage.Result.values();
        if (result < 0 || result >= results.length) {
            throw new IOException("unknown end " + result);
        }
        keepUnexpired(new FinishedMessage(id, results[result], in.readDouble(), in.readLong()));
    }

    /** While records are read the clock is not known yet: what has expired is forgotten after. */
    private void keepUnexpired(FinishedMessage message) {
        finished.add(message, JournalRecord.finished(message).length, Long.MIN_VALUE);
    }

    private void applyOrder(int type, DataInputStream in) throws IOException {
        if (type == JournalRecord.DRAINED) {
            drained = in.readBoolean();
            return;
        }
        String endpoint = in.readUTF();
        if (in.readBoolean()) {
            inMaintenance.add(endpoint);
        } else {
            inMaintenance.remove(endpoint);
        }
    }

    private void count(AcceptedMessage held, int length) {
        held.bytes += length;
        liveBytes += length;
    }
}
