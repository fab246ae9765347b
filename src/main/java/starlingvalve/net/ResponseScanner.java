package starlingvalve.net;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks the bytes of one answer as they arrive from the socket, in addition to the HTTP codec, which is lenient. It
 * reads the status from the status line alone, as that counts even if the rest can't be parsed; checks that each header
 * line is well-formed; and detects a second status line, which shows that bytes of another answer are mixed in. Interim
 * answers (1xx) are skipped.
 */
final class ResponseScanner {
    /** Start of each status line. None of its prefixes occurs in it again, so the matcher need not backtrack. */
    private static final byte[] VERSION = "HTTP/1.".getBytes(StandardCharsets.ISO_8859_1);
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] (\\d{3})(?: [^\\r]*)?\\r?");
    private static final int MAX_STATUS_LINE_LENGTH = 4096;
    private static final int NO_STATUS = 0;
    private static final int FIRST_FINAL_STATUS = 200;

    private enum State { STATUS_LINE, HEADERS, BODY }

    private final StringBuilder statusLine = new StringBuilder();
    private State state = State.STATUS_LINE;
    private int status = NO_STATUS;
    private boolean interim;
    private boolean malformed;
    /** Number of bytes of the current header line so far. */
    private int headerLength;
    /** Whether the colon after the name of the current header line has been read. */
    private boolean headerNameEnded;
    /** Length of the prefix of {@link #VERSION} that the last bytes match. */
    private int matchedLength;
    /** Number of status lines that start in the scanned bytes since the last interim answer. */
    private int statusLines;

    /** Scans the next bytes; does not move the reader index. */
    void scan(ByteBuf bytes) {
        bytes.forEachByte(value -> {
            scanByte(value);
            return true;
        });
    }

    /** The status of the answer; 0 until the status line is complete, or if it can't be parsed. */
    int status() {
        return status;
    }

    /**
     * Whether the scanned bytes up to the end of the answer are one well-formed answer: with a valid status line, valid
     * headers, and no other status line among them.
     *
     * @param surplusStatusLines number of the scanned status lines that start after the end of the answer
     */
    boolean isSingleAnswer(int surplusStatusLines) {
        return !malformed && status != NO_STATUS && statusLines == 1 + surplusStatusLines;
    }

    private void scanByte(byte value) {
        countStatusLines(value);
        switch (state) {
            case STATUS_LINE -> readStatusLineByte(value);
            case HEADERS -> readHeaderByte(value);
            default -> { }
        }
    }

    private void countStatusLines(byte value) {
        if (value == VERSION[matchedLength]) {
            matchedLength++;
        } else {
            matchedLength = value == VERSION[0] ? 1 : 0;
        }
        if (matchedLength == VERSION.length) {
            matchedLength = 0;
            statusLines++;
        }
    }

    private void readStatusLineByte(byte value) {
        if (value != '\n' && statusLine.length() < MAX_STATUS_LINE_LENGTH) {
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
        int parsedStatus = Integer.parseInt(matcher.group(1));
        interim = parsedStatus < FIRST_FINAL_STATUS;
        status = interim ? NO_STATUS : parsedStatus;
        state = State.HEADERS;
    }

    private void readHeaderByte(byte value) {
        if (value == '\n') {
            endHeaderLine();
        } else if (value != '\r') {
            headerLength++;
            // A name must not be empty, and must not contain spaces or control characters.
            malformed |= !headerNameEnded && (value <= ' ' || value == ':' && headerLength == 1);
            headerNameEnded |= value == ':';
        }
    }

    private void endHeaderLine() {
        boolean empty = headerLength == 0;
        malformed |= !empty && !headerNameEnded;
        headerLength = 0;
        headerNameEnded = false;
        if (empty && interim) {
            // The final answer, or another interim one, starts here.
            state = State.STATUS_LINE;
            statusLines = 0;
        } else if (empty) {
            state = State.BODY;
        }
    }
}
