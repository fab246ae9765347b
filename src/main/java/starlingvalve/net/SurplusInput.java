package starlingvalve.net;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Bytes that arrived after a complete answer, before the next request was sent on its connection: a second copy of the
 * answer, another answer, or garbage. They belong to no request.
 */
final class SurplusInput {
    /** The start of a status line; group 1 is its status if that is complete. */
    private static final Pattern STATUS_LINE_BEGIN = Pattern.compile("HTTP/1\\.(?:[01] (\\d{3})[ \\r\\n])?");
    private static final int MAX_LENGTH = 64 * 1024;

    private final StringBuilder text = new StringBuilder();

    /** Records bytes, without moving their reader index; those beyond the maximum length are dropped. */
    void add(ByteBuf bytes) {
        int remainingLength = MAX_LENGTH - text.length();
        int addedLength = Math.min(remainingLength, bytes.readableBytes());
        text.append(bytes.toString(bytes.readerIndex(), addedLength, StandardCharsets.ISO_8859_1));
    }

    boolean isEmpty() {
        return text.isEmpty();
    }

    /** Number of status lines that start in these bytes. */
    int statusLines() {
        return (int) STATUS_LINE_BEGIN.matcher(text).results().count();
    }

    /**
     * Whether these bytes certainly contain no answer with another status. If they may, it is unknown which of the two
     * answers the request. Returns false once the maximum length is reached, as bytes may have been dropped.
     */
    boolean holdsNoOtherStatus(int status) {
        Matcher statusLineMatcher = STATUS_LINE_BEGIN.matcher(text);
        while (statusLineMatcher.find()) {
            if (!Integer.toString(status).equals(statusLineMatcher.group(1))) {
                return false;
            }
        }
        return text.length() < MAX_LENGTH;
    }
}
