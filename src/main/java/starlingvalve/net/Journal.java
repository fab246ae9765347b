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
 * The accepted messages and their progress, in a file that outlives the process. Records are appended, each with its
 * length and checksum, and are in the operating system's page cache before the step that they record is taken. The page
 * cache survives any end of the process, so nothing is forced to disk.
 *
 * <p>The journal's files never take up more than the configured number of bytes. Before an append would leave no room
 * for a compacted copy beside the file, the records that are still needed, the live records, are written to a new file,
 * which then replaces the old one.
 * New messages are rejected while the live records, together with the later records that their messages may need, fill
 * half of these bytes.
 */
final class Journal implements AutoCloseable {
    /** Upper limit of a valid record: a greater length is read from a torn record or from foreign bytes. */
    private static final int MAX_RECORD_BYTES = 1 << 20;
    /** Bytes reserved for the later records of a message: for each attempt, and for its end. */
    private static final int ATTEMPT_RESERVE_BYTES = 128;
    private static final int END_RESERVE_BYTES = 256;
    /** Files take up whole blocks of 512 bytes: one partly filled block for each of two files, and one to spare. */
    private static final int BLOCK_RESERVE_BYTES = 3 * 512;
    /** Records of ended messages take up at most this fraction (1/16) of the bytes. */
    private static final int FINISHED_DIVISOR = 16;
    /** Records of endpoints that take no new work take up at most this fraction (1/32) of the bytes. */
    private static final int WITHDRAWN_DIVISOR = 32;

    private final JournalFile file;
    private final SteadyClock clock;
    /** The base of the clock that an earlier process recorded. */
    private Optional<SteadyClock.Base> recordedClockBase = Optional.empty();
    /** Whether the base of the clock is in the file: it must precede every record with a time of this clock. */
    private boolean clockRecorded;
    /** Limit of the bytes of the file and of a compacted copy together. */
    private final long maxBytes;
    /** Bytes reserved for the later records of one message. */
    private final long messageReserveBytes;
    /** The messages that have not ended or whose notice is not acknowledged yet, by number. */
    private final Map<Long, AcceptedMessage> liveMessages = new TreeMap<>();
    private final FinishedMessages finished;
    /** Bytes of the records of all live messages. */
    private long liveBytes;
    private long firstUnusedNumber;
    /** Whether operators drain this sender; like {@link #inMaintenance}, it stays in force after a restart. */
    private boolean drained;
    private final Set<String> inMaintenance = new LinkedHashSet<>();
    private final WithdrawnEndpoints withdrawn;
    /** Length of {@link #header}. */
    private long headerBytes;
    private Runnable onWriteDeferred = () -> { };
    /** Whether another process may be writing the file. */
    private boolean paused;
    /** Whether another process has written the file or may have: it must be replaced before anything is appended. */
    private boolean outdated;

    Journal(Path folder, long diskBytes, int maxAttempts) throws IOException {
        this(folder, diskBytes, maxAttempts, JournalFile.Disk.REAL, TimeSource.SYSTEM);
    }

    /**
     * Opens the journal that a predecessor has {@linkplain #pause paused}; {@code unwritten} are the records that the
     * predecessor could not write.
     */
    Journal(Path folder, long diskBytes, int maxAttempts, byte[] unwritten) throws IOException {
        this(folder, diskBytes, maxAttempts, unwritten, JournalFile.Disk.REAL, TimeSource.SYSTEM);
    }

    /** For tests: with another disk and other clocks. */
    Journal(Path folder, long diskBytes, int maxAttempts, JournalFile.Disk disk, TimeSource time) throws IOException {
        this(folder, diskBytes, maxAttempts, new byte[0], disk, time);
    }

    private Journal(Path folder, long diskBytes, int maxAttempts, byte[] unwritten, JournalFile.Disk disk,
            TimeSource time) throws IOException {
        this.maxBytes = diskBytes - BLOCK_RESERVE_BYTES;
        this.finished = new FinishedMessages(maxBytes / FINISHED_DIVISOR);
        this.withdrawn = new WithdrawnEndpoints(maxBytes / WITHDRAWN_DIVISOR);
        this.messageReserveBytes = (long) maxAttempts * ATTEMPT_RESERVE_BYTES + END_RESERVE_BYTES;
        this.file = new JournalFile(folder.resolve("journal"), folder.resolve("journal.next"), disk);
        readFile();
        replay(unwritten);
        file.defer(unwritten);
        this.clock = recordedClockBase.map(base -> SteadyClock.resume(time, base))
                .orElseGet(() -> SteadyClock.fromWallClock(time));
        clockRecorded = recordedClockBase.equals(Optional.of(clock.base()));
        finished.removeExpired(clock.nowMs());
        header();
    }

    /** Reads the file and cuts off a torn tail, which would hide all records appended after it. */
    private void readFile() throws IOException {
        try {
            file.truncateTo(replay(file.read()));
        } catch (IOException e) {
            file.close();
            throw e;
        }
    }

    /** Returns the clock of all times in the journal. */
    SteadyClock clock() {
        return clock;
    }

    /** Returns all messages that have not ended or whose notice is not acknowledged yet, in the order of acceptance. */
    Collection<AcceptedMessage> liveMessages() {
        return new ArrayList<>(liveMessages.values());
    }

    /** Returns the number for the next message, which is above all used ones. */
    long nextNumber() {
        return firstUnusedNumber++;
    }

    /** Records that a message is accepted; if this throws, the message must be rejected. */
    void accepted(AcceptedMessage message) throws IOException {
        byte[] record = JournalRecord.accepted(message);
        long reserved = headerBytes + maxBytes / FINISHED_DIVISOR + maxBytes / WITHDRAWN_DIVISOR;
        long needed = reserved + liveBytes + record.length + messageReserveBytes * (liveMessages.size() + 1L);
        if (2 * needed > maxBytes) {
            throw new IOException("the journal has no room for another message");
        }
        append(message, record);
        liveMessages.put(message.number, message);
    }

    /**
     * Records that the attempt's first byte is about to be written: from now on the attempt counts as one that may have
     * run. If this throws, the attempt must not be made.
     */
    void attemptStarting(AcceptedMessage message, int attempt) throws IOException {
        AcceptedMessage.Attempt started = message.attempts.get(attempt);
        if (attempt < message.journalledAttempts) {
            append(message, JournalRecord.attemptMark(JournalRecord.ATTEMPT_STARTED, message, attempt));
        } else {
            recordAttempts(message, attempt);
            append(message, JournalRecord.attempt(message, started, true));
            message.journalledAttempts++;
        }
        started.neverRan = false;
    }

    /**
     * Records that an attempt ended before its first byte was written, or that its outcome proves that it never ran. If
     * this record is lost, an attempt that was started counts as one that may have run.
     */
    void neverRan(AcceptedMessage message, int attempt) {
        if (attempt >= message.journalledAttempts) {
            recordAttempts(message, attempt + 1);
        } else if (!message.attempts.get(attempt).neverRan) {
            message.attempts.get(attempt).neverRan = true;
            appendOrDefer(message, JournalRecord.attemptMark(JournalRecord.NEVER_RAN, message, attempt));
        }
    }

    /**
     * Records the first {@code attempts} attempts, those without a record so far as not started: later records refer to
     * an attempt by its index.
     */
    private void recordAttempts(AcceptedMessage message, int attempts) {
        while (message.journalledAttempts < attempts) {
            appendOrDefer(message,
                    JournalRecord.attempt(message, message.attempts.get(message.journalledAttempts), false));
            message.journalledAttempts++;
        }
    }

    /** Records that the message has ended with a notice, which is not acknowledged yet. */
    void noticePending(AcceptedMessage message, AcceptedMessage.Notice notice) {
        noticePending(message, notice, FinishedMessage.endedByNotice(message, notice));
    }

    /** Records that the message was delivered, which a notice that is not acknowledged yet confirms. */
    void endConfirmationPending(AcceptedMessage message) {
        noticePending(message, AcceptedMessage.Notice.CONFIRMATION,
                FinishedMessage.endedByAnswer(message, FinishedMessage.Result.DELIVERED));
    }

    private void noticePending(AcceptedMessage message, AcceptedMessage.Notice notice, FinishedMessage end) {
        message.pendingNotice = Optional.of(notice);
        addFinished(end);
        ByteArrayOutputStream records = new ByteArrayOutputStream();
        records.writeBytes(JournalRecord.noticePending(message, notice));
        records.writeBytes(JournalRecord.finished(end));
        appendOrDefer(message, records.toByteArray());
    }

    /**
     * Records that nothing more is due for the message: the platform has acknowledged the notice of its end, or no
     * client has received the answer that it was accepted.
     */
    void ended(AcceptedMessage message) {
        ended(message, message.pendingNotice.map(notice -> finished.find(message.id, Long.MIN_VALUE)
                .orElseGet(() -> FinishedMessage.endedByNotice(message, notice))));
    }

    /** Records that the message has ended without a notice. */
    void ended(AcceptedMessage message, FinishedMessage.Result result) {
        ended(message, Optional.of(FinishedMessage.endedByAnswer(message, result)));
    }

    private void ended(AcceptedMessage message, Optional<FinishedMessage> end) {
        end.ifPresent(this::addFinished);
        if (liveMessages.remove(message.number) != null) {
            liveBytes -= message.bytes;
            // Written in one piece, so that no end of the process leaves one of the two records without the other.
            ByteArrayOutputStream records = new ByteArrayOutputStream();
            records.writeBytes(JournalRecord.ended(message));
            end.map(JournalRecord::finished).ifPresent(records::writeBytes);
            appendOrDefer(records.toByteArray());
        }
    }

    private void addFinished(FinishedMessage message) {
        finished.add(message, JournalRecord.finished(message).length, clock.nowMs());
    }

    /** Returns how the message with this id has ended, if it has and its id may still be submitted again. */
    Optional<FinishedMessage> finished(String id) {
        return finished.find(id, clock.nowMs());
    }

    /** Records that operators drain this sender, so that clients are rejected, or that they end the drain. */
    void drained(boolean on) throws IOException {
        append(JournalRecord.drained(on));
        drained = on;
        header();
    }

    /** Returns whether operators drain this sender. */
    boolean drained() {
        return drained;
    }

    /** Records that operators put an endpoint in maintenance, or back in service. */
    void inMaintenance(String endpoint, boolean on) throws IOException {
        append(JournalRecord.inMaintenance(endpoint, on));
        if (on) {
            inMaintenance.add(endpoint);
        } else {
            inMaintenance.remove(endpoint);
        }
        header();
    }

    /** Returns the endpoints in maintenance. */
    Set<String> inMaintenance() {
        return Set.copyOf(inMaintenance);
    }

    /**
     * Records whether an endpoint takes new work, as received from discovery: {@code on} if it takes none. The record
     * outlives the process, since the list with which the next process starts may be older.
     */
    void withdrawn(String endpoint, boolean on) {
        if (withdrawn.set(endpoint, on)) {
            appendOrDefer(JournalRecord.withdrawn(endpoint, on));
        }
    }

    /** Returns the endpoints that take no new work, as last received from discovery. */
    Set<String> withdrawn() {
        return withdrawn.ids();
    }

    /**
     * Returns the first records of a compacted copy: the base of the clock and the operators' orders in force. Also
     * updates {@link #headerBytes}.
     */
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

    /** Sets the task that runs each time a record of something that has happened is deferred, as the write failed. */
    void onWriteDeferred(Runnable task) {
        onWriteDeferred = task;
    }

    /** Tries to write the deferred records; returns whether all records are in the file now. */
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

    /** Returns whether a record of something that has happened is not in the file, as its write failed. */
    boolean hasDeferredRecords() {
        return file.unwrittenBytes() > 0;
    }

    /**
     * Closes the file, since another process may write it from now on: nothing is written until {@link #resume}.
     * Returns the records that could not be written, which the other process needs.
     */
    byte[] pause() {
        writeDeferred();
        paused = true;
        close();
        return file.unwritten();
    }

    /**
     * Resumes writing after a {@link #pause} when the other process did not take over. If that process may have written
     * the file, the whole state is written anew before the next append.
     */
    void resume() {
        paused = false;
        outdated = !file.reopenUnchanged();
    }

    /** Returns the number below which all numbers count as used. */
    long firstUnusedNumber() {
        return firstUnusedNumber;
    }

    /** Marks all numbers below {@code used} as used, even those that no record in the file mentions any more. */
    void reserveNumbersBelow(long used) {
        firstUnusedNumber = Math.max(firstUnusedNumber, used);
    }

    /** Returns the file's current length in bytes. */
    long size() {
        return file.size();
    }

    @Override
    public void close() {
        file.close();
    }

    // ---- writing ----

    /** Records what is about to happen to a message; if this throws, it must not happen. */
    private void append(AcceptedMessage message, byte[] record) throws IOException {
        append(record);
        countBytes(message, record.length);
    }

    /** Writes a record after the deferred ones; writes the base of the clock before it if the file lacks the base. */
    private void append(byte[] record) throws IOException {
        prepareToWrite();
        makeRoom(record.length);
        if (file.size() + file.unwrittenBytes() + record.length > maxBytes) {
            throw new IOException("the journal is full");
        }
        if (!clockRecorded) {
            file.append(JournalRecord.clock(clock.base()));
            clockRecorded = true;
        }
        file.append(record);
    }

    /** Records what has happened to a message: a record that can't be written now is deferred. */
    private void appendOrDefer(AcceptedMessage message, byte[] record) {
        appendOrDefer(record);
        countBytes(message, record.length);
    }

    private void appendOrDefer(byte[] record) {
        try {
            append(record);
        } catch (IOException e) {
            file.defer(record, e);
            onWriteDeferred.run();
        }
    }

    /** Throws while another process may own the file; replaces the file if another process may have written it. */
    private void prepareToWrite() throws IOException {
        if (paused) {
            throw new IOException("another process may own the journal");
        }
        if (outdated) {
            compact();
        }
    }

    /** Compacts the file if a record of this length would leave no room for a compacted copy beside it. */
    private void makeRoom(int recordLength) throws IOException {
        if (file.size() + file.unwrittenBytes() + compactedBytes() + 2L * recordLength > maxBytes) {
            compact();
        }
    }

    /** Returns the length of a compacted copy. */
    private long compactedBytes() {
        return headerBytes + withdrawn.bytes() + finished.bytes() + liveBytes;
    }

    /** Replaces the file by a copy with only the live records. */
    private void compact() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream((int) compactedBytes());
        bytes.write(header());
        for (String endpoint : withdrawn.ids()) {
            bytes.write(JournalRecord.withdrawn(endpoint, true));
        }
        for (AcceptedMessage message : liveMessages.values()) {
            bytes.write(JournalRecord.accepted(message));
            for (AcceptedMessage.Attempt attempt : message.attempts.subList(0, message.journalledAttempts)) {
                bytes.write(JournalRecord.attempt(message, attempt, !attempt.neverRan));
            }
            if (message.pendingNotice.isPresent()) {
                bytes.write(JournalRecord.noticePending(message, message.pendingNotice.get()));
            }
        }
        // After the notices, which alone don't tell whether their messages were delivered.
        for (FinishedMessage message : finished.unexpired(clock.nowMs())) {
            bytes.write(JournalRecord.finished(message));
        }
        file.replace(bytes.toByteArray());
        clockRecorded = true;
        outdated = false;
    }

    // ---- reading ----

    /** Applies all records up to the first incomplete one; returns the position of that one, or the end. */
    private long replay(byte[] bytes) {
        int position = 0;
        while (bytes.length - position >= JournalRecord.PREFIX_BYTES) {
            ByteBuffer prefix = ByteBuffer.wrap(bytes, position, JournalRecord.PREFIX_BYTES);
            int length = prefix.getInt();
            long checksum = prefix.getLong();
            if (length < 1 || length > MAX_RECORD_BYTES || length > bytes.length - position - JournalRecord.PREFIX_BYTES
                    || JournalRecord.checksum(bytes, position + JournalRecord.PREFIX_BYTES, length) != checksum) {
                break;
            }
            try {
                apply(new DataInputStream(
                        new ByteArrayInputStream(bytes, position + JournalRecord.PREFIX_BYTES, length)),
                        JournalRecord.PREFIX_BYTES + length);
            } catch (IOException | RuntimeException e) {
                // The checksum matches, so the record is not torn: another version wrote it, or a faulty one. The
                // records after it still count.
                Log.line("a record of the journal is passed over: " + e.getMessage());
            }
            position += JournalRecord.PREFIX_BYTES + length;
        }
        return position;
    }

    private void apply(DataInputStream in, int length) throws IOException {
        int type = in.readByte();
        long number = in.readLong();
        if (type == JournalRecord.FINISHED) {
            applyFinished(in);
            return;
        }
        if (type == JournalRecord.CLOCK) {
            recordedClockBase = Optional.of(new SteadyClock.Base(in.readUTF(), in.readLong(), in.readLong()));
            return;
        }
        if (type == JournalRecord.WITHDRAWN) {
            withdrawn.set(in.readUTF(), in.readBoolean());
            return;
        }
        if (type == JournalRecord.DRAINED || type == JournalRecord.IN_MAINTENANCE) {
            applyOperatorOrder(type, in);
            return;
        }
        firstUnusedNumber = Math.max(firstUnusedNumber, number + 1);
        if (type == JournalRecord.ACCEPTED) {
            String id = in.readUTF();
            String messageClass = in.readUTF();
            String tenant = in.readUTF();
            boolean keyed = in.readBoolean();
            String key = in.readUTF();
            long destination = in.readLong();
            long deadlineMs = in.readLong();
            byte[] body = in.readNBytes(in.readInt());
            // The ordering key was added later, as the last part: older records end with the body.
            Optional<String> orderingKey = in.available() == 0 ? Optional.empty()
                    : Optional.of(in.readUTF()).filter(text -> !text.isEmpty());
            AcceptedMessage message =
                    new AcceptedMessage(number, id, messageClass, tenant, keyed ? Optional.of(key) : Optional.empty(),
                            orderingKey, destination, deadlineMs, body);
            liveMessages.put(number, message);
            countBytes(message, length);
            return;
        }
        AcceptedMessage message = liveMessages.get(number);
        if (message == null) {
            return;
        }
        switch (type) {
            case JournalRecord.STARTED_ATTEMPT, JournalRecord.UNSTARTED_ATTEMPT -> {
                AcceptedMessage.Attempt attempt = new AcceptedMessage.Attempt(in.readUTF(), in.readLong());
                attempt.neverRan = type == JournalRecord.UNSTARTED_ATTEMPT;
                message.attempts.add(attempt);
                message.journalledAttempts++;
            }
            case JournalRecord.ATTEMPT_STARTED, JournalRecord.NEVER_RAN ->
                    message.attempts.get(in.readInt()).neverRan = type == JournalRecord.NEVER_RAN;
            case JournalRecord.NOTICE_PENDING -> {
                message.pendingNotice = Optional.of(new AcceptedMessage.Notice(in.readBoolean(), in.readDouble()));
                message.ended = true;
                addFinishedBeforeClock(FinishedMessage.endedByNotice(message, message.pendingNotice.get()));
            }
            case JournalRecord.ENDED -> {
                liveMessages.remove(number);
                liveBytes -= message.bytes;
                return;
            }
            default -> throw new IOException("unknown record type " + type);
        }
        countBytes(message, length);
    }

    private void applyFinished(DataInputStream in) throws IOException {
        String id = in.readUTF();
        int result = in.readByte();
        FinishedMessage.Result[] results = FinishedMessage.Result.values();
        if (result < 0 || result >= results.length) {
            throw new IOException("unknown result " + result);
        }
        addFinishedBeforeClock(new FinishedMessage(id, results[result], in.readDouble(), in.readLong()));
    }

    /** Adds an ended message while records are read; the clock isn't known then, so expired ones are removed later. */
    private void addFinishedBeforeClock(FinishedMessage message) {
        finished.add(message, JournalRecord.finished(message).length, Long.MIN_VALUE);
    }

    private void applyOperatorOrder(int type, DataInputStream in) throws IOException {
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

    /** Adds the length of a record to the bytes of its message and of all live records. */
    private void countBytes(AcceptedMessage message, int length) {
        message.bytes += length;
        liveBytes += length;
    }
}
