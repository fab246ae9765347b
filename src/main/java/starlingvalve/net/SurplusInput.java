package starlingvalve.net;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What came behind a whole answer, before anything else was asked over its connection: a second copy of it, or noise.
 * It belongs to no request.
 */
final class SurplusInput {
    /** Where a status line begins, with its status if that is whole. */
    private static final Pattern STATUS_LINE_BEGIN = Pattern.compile("HTTP/1\\.(?:[01] (\\d{3})[ \\r\\n])?");
    private static final int LONGEST = 64 * 1024;

    private final StringBuilder text = new StringBuilder();

    void add(ByteBuf bytes) {
        int room = LONGEST - text.length();
        int taken = Math.min(room, bytes.readableBytes());
        text.append(bytes.toString(bytes.readerIndex(), taken, StandardCharsets.ISO_8859_1));
    }

    boolean isEmpty() {
        return text.isEmpty();
    }

    /** How often a status line begins in it. */
    int statusLines() {
        return (int) STATUS_LINE_BEGIN.matcher(text).results().count();
    }

    /** Whether it surely holds no answer of another status, to which the one before it may have been the surplus. */
    boolean holdsNoOtherStatus(int status) {
        Matcher lines = STATUS_LINE_BEGIN.matcher(text);
        while (lines.find()) {
            if (!Integer.toString(status).equals(lines.group(1))) {
                return false;
            }
        }
        return text.length() < LONGEST;
    }
}
