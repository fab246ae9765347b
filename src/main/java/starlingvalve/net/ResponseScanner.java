package starlingvalve.net;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Watches the bytes of one answer as they come from the socket, beside the HTTP codec, which forgives much: reads the
 * status from the first line alone, which counts even if the rest can't be read; checks that each header line is one;
 * and finds out whether bytes of another answer stand among them. Interim answers (1xx) are passed over.
 */
final class ResponseScanner {
    /** What each status line begins with; no prefix of it occurs in it again. */
    private static final byte[] VERSION = "HTTP/1.".getBytes(StandardCharsets.ISO_8859_1);
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] (\\d{3})(?: [^\\r]*)?\\r?");
    private static final int LONGEST_STATUS_LINE = 4096;
    private static final int NONE = 0;
    private static final int FIRST_FINAL_STATUS = 200;

    private enum State { STATUS_LINE, HEADERS, BODY }

    private final StringBuilder statusLine = new StringBuilder();
    private State state = State.STATUS_LINE;
    private int status = NONE;
    private boolean interim;
    private boolean malformed;
    /** Bytes of the header line that is being read, and whether its name has ended. */
    private int headerLength;
    private boolean nameEnded;
    /** How much of {@link #VERSION} the last bytes match. */
    private int matched;
    /** How often a status line begins in the answer. */
    private int statusLines;

    /** Takes the next bytes, which stay unread. */
    void scan(ByteBuf bytes) {
        bytes.forEachByte(value -> {
            next(value);
            return true;
        });
    }

    /** The status of the answer, or 0 until its first line is whole, or if that can't be read. */
    int status() {
        return status;
    }

    /**
     * Whether the bytes of the answer may belong to one, with a status line and headers that can be read.
     *
     * @param surplusStatusLines so many of the status lines that were scanned stand behind the end of the answer
     */
    boolean isSingleAnswer(int surplusStatusLines) {
        return !malformed && status != NONE && statusLines == 1 + surplusStatusLines;
    }

    private void next(byte value) {
        count(value);
        switch (state) {
            case STATUS_LINE -> statusLine(value);
            case HEADERS -> header(value);
            default -> { }
        }
    }

    private void count(byte value) {
        if (value == VERSION[matched]) {
            matched++;
        } else {
            matched = value == VERSION[0] ? 1 : 0;
        }
        if (matched == VERSION.length) {
            matched = 0;
            statusLines++;
        }
    }

    private void statusLine(byte value) {
        if (value != '\n' && statusLine.length() < LONGEST_STATUS_LINE) {
            statusLine.append((char) (value & 0xff));
            return;
        }
        Matcher matcher = STATUS_LINE.matcher(statusLine.toString());
        statusLine.setLength(0);
        if (!matcher.matches() || statusLines != 1) {
            malformed = true;
            state = State.BODY;
            return;
        }
        int read = Integer.parseInt(matcher.group(1));
        interim = read < FIRST_FINAL_STATUS;
        status = interim ? NONE : read;
        state = State.HEADERS;
    }

    private void header(byte value) {
        if (value == '\n') {
            headerLineEnds();
        } else if (value != '\r') {
            headerLength++;
            // A name is not empty, and holds neither spaces nor control characters.
            malformed |= !nameEnded && (value <= ' ' || value == ':' && headerLength == 1);
            nameEnded |= value == ':';
        }
    }

    private void headerLineEnds() {
        boolean empty = headerLength == 0;
        malformed |= !empty && !nameEnded;
        headerLength = 0;
        nameEnded = false;
        if (empty && interim) {
            // The answer proper begins here.
            state = State.STATUS_LINE;
            statusLines = 0;
        } else if (empty) {
            state = State.BODY;
        }
    }
}
