package starlingvalve.net;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/** Types that describe what a scripted endpoint does in one exchange: its answer, and how that is corrupted. */
final class AnswerScript {
    private AnswerScript() {
    }

    /** How the end of an answer's body is marked. */
    enum Framing { CONTENT_LENGTH, CHUNKED, UNTIL_CLOSE }

    /** How header lines are written; HTTP allows each of these. */
    enum Spelling { PLAIN, LOWER_CASE, UPPER_CASE_NO_SPACE, TABS_AND_SPACES, MORE_HEADERS_NO_REASON }

    /** The result of one message of a batch, with the names of the protocol. */
    enum MessageResult {
        ACCEPTED, FAULT, DEFERRED, EXPIRED, NO_MORE;

        /** The name of this result on the wire. */
        String text() {
            return name().toLowerCase(Locale.ROOT);
        }

        /** Whether the endpoint ran the message, if a valid answer reports this result. */
        boolean ran() {
            return this == ACCEPTED || this == FAULT;
        }
    }

    /** What is done to an answer before it is written. */
    enum CorruptionKind {
        /** Nothing. */
        NONE,
        /** It is written in several pieces, which does not change its meaning. */
        SPLIT,
        /** It ends before its last byte. */
        TRUNCATED,
        /** More bytes follow immediately. */
        STRAY_AFTER,
        /** Content-Length declares more bytes than are written. */
        LENGTH_TOO_LONG,
        /** Content-Length declares fewer bytes than are written. */
        LENGTH_TOO_SHORT,
        /** The framing of a chunk is invalid. */
        BAD_CHUNK,
        /** The first line is not a valid status line. */
        BAD_STATUS_LINE,
        /** A header line is invalid, or the value of Content-Length is. */
        BAD_HEADER;

        /** Whether the answer remains valid by the protocol. */
        boolean isHarmless() {
            return this == NONE || this == SPLIT;
        }
    }

    /** What follows the last byte of an answer: the connection is closed, reset, or left open. */
    enum Ending { FIN, RESET, SILENCE }

    /** When stray bytes arrive on a connection without a call. */
    enum StrayTiming {
        /** Never. */
        NONE,
        /** On an idle connection; the client has read them when the next call starts. */
        IDLE_READ,
        /** On an idle connection; they are still unread in the client's socket when the next call starts. */
        IDLE_UNREAD,
        /** On a new connection, before its first request is written. */
        AT_ACCEPT
    }

    /** Bytes that do not belong to any answer. */
    record StrayBytes(byte[] bytes) {
        static StrayBytes of(String text) {
            return new StrayBytes(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Whether these bytes may contain the start of an answer with another status. */
        boolean mayContainOtherStatus(int status) {
            String text = new String(bytes, StandardCharsets.ISO_8859_1);
            return text.replace("HTTP/1.1 " + status + " ", "").contains("HTTP/1.");
        }

        @Override
        public String toString() {
            StringBuilder text = new StringBuilder("'");
            for (byte b : bytes) {
                text.append(b >= ' ' && b < 127 ? String.valueOf((char) b) : String.format("\\x%02x", b));
            }
            return text.append("'").toString();
        }
    }

    /** An answer; {@code results} has one result for each message of the call, used if a batch is answered with 200. */
    record Answer(int status, boolean noSlot, int retryAfterMs, List<MessageResult> results, int bodyLength,
            Framing framing, boolean keepAlive, Spelling spelling) {
        boolean hasMessageResults() {
            return status == 200 && results.size() > 1;
        }

        /** Whether the endpoint ran the message with this index in the call, if the answer is valid. */
        boolean ran(int index) {
            return hasMessageResults() ? results.get(index).ran() : status == 200 || status == 500;
        }

        boolean isRefusal() {
            return status == 429 || status == 503;
        }
    }

    /**
     * How an answer is corrupted.
     *
     * @param permille the position in the answer, in thousandths of its length
     * @param variant selects one of several forms of this kind of corruption
     * @param stray the bytes that follow an answer with {@link CorruptionKind#STRAY_AFTER}
     */
    record Corruption(CorruptionKind kind, int permille, int variant, Ending ending, StrayBytes stray) {
    }

    /** One exchange: stray bytes before it, a call with {@code size} messages, its answer and how that is corrupted. */
    record Step(int size, StrayTiming strayTiming, StrayBytes strayBefore, Answer answer, Corruption corruption) {
        /** Whether the answer is valid: not corrupted, except by trailing bytes that can't be another answer. */
        boolean isValidAnswer() {
            boolean hasTrailingBytes = corruption.kind() == CorruptionKind.STRAY_AFTER;
            return corruption.kind().isHarmless()
                    || hasTrailingBytes && (answer.hasMessageResults()
                            || !corruption.stray().mayContainOtherStatus(answer.status()));
        }

        /**
         * Whether the answer proves which messages ran. Besides valid answers this holds for one whose Content-Length
         * is too short: on the wire this is a complete answer with trailing bytes. In the answer to a batch, though, it
         * truncates the list of results.
         */
        boolean provesWhatRan() {
            return isValidAnswer()
                    || corruption.kind() == CorruptionKind.LENGTH_TOO_SHORT && !answer.hasMessageResults();
        }

        /** Whether the end of the answer is marked only by the end of the connection. */
        boolean endsWithConnection() {
            return answer.framing() == Framing.UNTIL_CLOSE && corruption.kind() != CorruptionKind.STRAY_AFTER;
        }
    }
}
