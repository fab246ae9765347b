package starlingvalve.net;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/** What a scripted endpoint does in one exchange: the answer it means to give, and how that answer is spoilt. */
final class AnswerScript {
    private AnswerScript() {
    }

    /** How the end of an answer's body is told. */
    enum Framing { CONTENT_LENGTH, CHUNKED, UNTIL_CLOSE }

    /** How header lines are spelled; HTTP allows each of these. */
    enum Spelling { PLAIN, LOWER_CASE, UPPER_CASE_NO_SPACE, TABS_AND_SPACES, MORE_HEADERS_NO_REASON }

    /** How one message of a batch fared, by the protocol's words. */
    enum Word {
        ACCEPTED, FAULT, DEFERRED, EXPIRED, NO_MORE;

        String text() {
            return name().toLowerCase(Locale.ROOT);
        }

        /** Whether the endpoint ran the message, as far as a clean answer with this word tells. */
        boolean ran() {
            return this == ACCEPTED || this == FAULT;
        }
    }

    /** What is done to an answer on its way. */
    enum Spoiling {
        /** Nothing. */
        NONE,
        /** It is written in several pieces, which changes nothing. */
        SPLIT,
        /** It ends before its last byte. */
        CUT,
        /** More bytes follow at once. */
        STRAY_AFTER,
        /** Content-Length promises more bytes than come. */
        LENGTH_TOO_LONG,
        /** Content-Length promises fewer bytes than come. */
        LENGTH_TOO_SHORT,
        /** A chunk's frame is wrong. */
        BAD_CHUNK,
        /** The first line is none. */
        BAD_STATUS_LINE,
        /** A header line is none, or Content-Length makes no sense. */
        BAD_HEADER;

        /** Whether the answer stays one that the protocol allows. */
        boolean clean() {
            return this == NONE || this == SPLIT;
        }
    }

    /** What follows the last byte that is written of a spoilt answer. */
    enum Ending { FIN, RESET, SILENCE }

    /** When stray bytes come on a connection that waits for its next call. */
    enum Moment {
        /** Never. */
        NONE,
        /** On a resting connection; the client has read them when the next call starts. */
        RESTING_READ,
        /** On a resting connection; they lie unread in the client's socket when the next call starts. */
        RESTING_UNREAD,
        /** On a new connection, before its first request is written. */
        AT_ACCEPT
    }

    /** Bytes that belong to no answer. */
    record Stray(byte[] bytes) {
        static Stray of(String text) {
            return new Stray(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Whether an answer of another status may begin in it. */
        boolean mayTellOtherThan(int status) {
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

    /** An answer; {@code words} tells how each message fared, for a batch that is answered 200. */
    record Answer(int status, boolean noSlot, int waitMs, List<Word> words, int bodyLength, Framing framing,
            boolean keepAlive, Spelling spelling) {
        boolean toBatchWithWords() {
            return status == 200 && words.size() > 1;
        }

        /** Whether the endpoint ran the message at this place of the call, as a clean answer tells. */
        boolean ran(int place) {
            return toBatchWithWords() ? words.get(place).ran() : status == 200 || status == 500;
        }

        boolean isRefusal() {
            return status == 429 || status == 503;
        }
    }

    /** How an answer is spoilt; {@code permille} is the place in it, and {@code variant} one of several ways. */
    record Spoilt(Spoiling by, int permille, int variant, Ending ending, Stray stray) {
    }

    /** One exchange: stray bytes before it, a call of {@code size} messages, and what becomes of its answer. */
    record Step(int size, Moment moment, Stray before, Answer answer, Spoilt spoilt) {
        /** Whether the answer counts: nothing is done to it, but for bytes behind it that are not of another one. */
        boolean isCleanAnswer() {
            boolean bringsMore = spoilt.by() == Spoiling.STRAY_AFTER;
            return spoilt.by().clean()
                    || bringsMore && (answer.toBatchWithWords() || !spoilt.stray().mayTellOtherThan(answer.status()));
        }

        /** The same; bytes behind its length are on the wire what comes behind a whole answer, but a list of words is cut. */
        boolean tellsWhatRan() {
            return isCleanAnswer() || spoilt.by() == Spoiling.LENGTH_TOO_SHORT && !answer.toBatchWithWords();
        }

        /** Whether the end of the connection is all that tells the end of the answer. */
        boolean endsWithConnection() {
            return answer.framing() == Framing.UNTIL_CLOSE && spoilt.by() != Spoiling.STRAY_AFTER;
        }
    }
}
