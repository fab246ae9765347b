package starlingvalve.net;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import starlingvalve.net.AnswerScript.Answer;
import starlingvalve.net.AnswerScript.Corruption;
import starlingvalve.net.AnswerScript.CorruptionKind;
import starlingvalve.net.AnswerScript.Ending;
import starlingvalve.net.AnswerScript.Framing;
import starlingvalve.net.AnswerScript.Spelling;

/** The bytes of a scripted answer, with the corruption that the script specifies. */
final class AnswerBytes {
    private static final String LINE_END = "\r\n";
    private static final List<String> BAD_STATUS_LINES = List.of("HTP/1.1 %d x", "HTTP/1.1 x%d x", "%d HTTP/1.1",
            "HTTP/1.1", "HTTP/1.1 %d7 x", "no answer", "HTTP/one %d x");
    private static final List<String> BAD_CHUNK_SIZES = List.of("zz", "-1", "7fffffff", "");
    private static final List<String> BAD_LENGTHS = List.of("abc", "-5", "");

    /** All bytes that are written. */
    final byte[] bytes;
    /** Length of the status line, including its line end. */
    final int statusLineLength;
    /** Length of the status line and the headers, including the empty line after them. */
    final int headLength;
    /** What happens to the connection after the last byte. */
    final Ending ending;

    AnswerBytes(Answer answer, Corruption corruption, List<String> ids) {
        Framing framing = framing(answer, corruption);
        byte[] body = body(answer, ids, needsBody(corruption.kind()));
        String statusLine = statusLine(answer, corruption) + LINE_END;
        String head = statusLine + headers(answer, corruption, framing, body.length) + LINE_END;
        byte[] whole = concat(bytes(head), framed(body, framing, corruption));
        if (corruption.kind() == CorruptionKind.STRAY_AFTER) {
            whole = concat(whole, corruption.stray().bytes());
        }
        boolean closesConnection = !answer.keepAlive() || framing == Framing.UNTIL_CLOSE;
        this.ending = ending(corruption, closesConnection);
        this.statusLineLength = statusLine.length();
        this.headLength = head.length();
        this.bytes = corruption.kind() == CorruptionKind.TRUNCATED ? truncated(whole, framing, corruption) : whole;
    }

    /** Returns the framing that is used: some kinds of corruption require a certain one. */
    private static Framing framing(Answer answer, Corruption corruption) {
        return switch (corruption.kind()) {
            case LENGTH_TOO_LONG, LENGTH_TOO_SHORT, BAD_HEADER -> Framing.CONTENT_LENGTH;
            case BAD_CHUNK -> Framing.CHUNKED;
            case STRAY_AFTER -> answer.framing() == Framing.UNTIL_CLOSE
                    ? Framing.CONTENT_LENGTH : answer.framing();
            default -> answer.framing();
        };
    }

    private static boolean needsBody(CorruptionKind kind) {
        return kind == CorruptionKind.LENGTH_TOO_SHORT || kind == CorruptionKind.BAD_CHUNK;
    }

    private static Ending ending(Corruption corruption, boolean closesConnection) {
        return switch (corruption.kind()) {
            case NONE, SPLIT, STRAY_AFTER -> closesConnection ? Ending.FIN : Ending.SILENCE;
            default -> corruption.ending();
        };
    }

    private static byte[] body(Answer answer, List<String> ids, boolean notEmpty) {
        if (!answer.hasMessageResults()) {
            return bytes("x".repeat(Math.max(notEmpty ? 1 : 0, answer.bodyLength())));
        }
        StringBuilder lines = new StringBuilder();
        for (int index = 0; index < ids.size(); index++) {
            lines.append(ids.get(index)).append(' ').append(answer.results().get(index).text()).append(LINE_END);
        }
        return bytes(lines.toString());
    }

    private static String statusLine(Answer answer, Corruption corruption) {
        if (corruption.kind() == CorruptionKind.BAD_STATUS_LINE) {
            String line = BAD_STATUS_LINES.get(corruption.variant() % BAD_STATUS_LINES.size());
            return String.format(line, answer.status());
        }
        return "HTTP/1.1 " + answer.status()
                + (answer.spelling() == Spelling.MORE_HEADERS_NO_REASON ? " " : " Some Reason");
    }

    private static String headers(Answer answer, Corruption corruption, Framing framing, int bodyLength) {
        List<String> lines = new ArrayList<>();
        if (answer.spelling() == Spelling.MORE_HEADERS_NO_REASON) {
            lines.add(header(answer, "X-Load-Report", "TEXT x0=0.4, x1=25"));
        }
        if (answer.retryAfterMs() > 0) {
            lines.add(header(answer, "Retry-After", Double.toString(answer.retryAfterMs() / 1000.0)));
        }
        if (answer.noSlot()) {
            lines.add(header(answer, "X-No-Slot", "1"));
        }
        if (!answer.keepAlive() || framing == Framing.UNTIL_CLOSE) {
            lines.add(header(answer, "Connection", "close"));
        }
        if (corruption.kind() == CorruptionKind.BAD_HEADER) {
            lines.add(badHeader(answer, corruption, bodyLength));
        }
        if (framing == Framing.CHUNKED) {
            lines.add(header(answer, "Transfer-Encoding", "chunked"));
        } else if (framing == Framing.CONTENT_LENGTH && !replacesLength(corruption)) {
            lines.add(header(answer, "Content-Length", Integer.toString(declaredLength(corruption, bodyLength))));
        }
        return String.join("", lines);
    }

    private static boolean replacesLength(Corruption corruption) {
        return corruption.kind() == CorruptionKind.BAD_HEADER && corruption.variant() % 4 == 2;
    }

    private static String badHeader(Answer answer, Corruption corruption, int bodyLength) {
        return switch (corruption.variant() % 4) {
            case 0 -> "no colon here" + LINE_END;
            case 1 -> "X-\0Zero: 1" + LINE_END;
            case 2 -> header(answer, "Content-Length", BAD_LENGTHS.get(corruption.permille() % BAD_LENGTHS.size()));
            default -> header(answer, "Content-Length", Integer.toString(bodyLength + 7));
        };
    }

    private static int declaredLength(Corruption corruption, int bodyLength) {
        return switch (corruption.kind()) {
            case LENGTH_TOO_LONG -> bodyLength + 1 + corruption.variant();
            case LENGTH_TOO_SHORT -> bodyLength - 1 - corruption.permille() * (bodyLength - 1) / 1000;
            default -> bodyLength;
        };
    }

    private static String header(Answer answer, String name, String value) {
        String line = switch (answer.spelling()) {
            case LOWER_CASE -> name.toLowerCase(Locale.ROOT) + ": " + value;
            case UPPER_CASE_NO_SPACE -> name.toUpperCase(Locale.ROOT) + ":" + value;
            case TABS_AND_SPACES -> name + ":\t  " + value + " \t";
            default -> name + ": " + value;
        };
        return line + LINE_END;
    }

    private static byte[] framed(byte[] body, Framing framing, Corruption corruption) {
        if (framing != Framing.CHUNKED) {
            return body;
        }
        // Two chunks, if the body is long enough.
        int first = body.length / 2;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        if (first > 0) {
            chunk(out, body, 0, first, Integer.toHexString(first) + ";part=1");
        }
        String size = Integer.toHexString(body.length - first).toUpperCase(Locale.ROOT);
        if (corruption.kind() == CorruptionKind.BAD_CHUNK) {
            int variants = BAD_CHUNK_SIZES.size() + 1;
            int variant = corruption.variant() % variants;
            // The last variant: the chunk is longer than its declared size.
            size = variant < BAD_CHUNK_SIZES.size() ? BAD_CHUNK_SIZES.get(variant)
                    : Integer.toHexString(body.length - first - 1);
        }
        if (body.length > first) {
            chunk(out, body, first, body.length - first, size);
        }
        out.writeBytes(bytes("0" + LINE_END + LINE_END));
        return out.toByteArray();
    }

    private static void chunk(ByteArrayOutputStream out, byte[] body, int from, int length, String size) {
        out.writeBytes(bytes(size + LINE_END));
        out.write(body, from, length);
        out.writeBytes(bytes(LINE_END));
    }

    /**
     * Truncates an answer in such a way that a client can detect it: the truncation of a body that ends with the
     * connection could not be detected, so there only the head is truncated.
     */
    private byte[] truncated(byte[] whole, Framing framing, Corruption corruption) {
        boolean undetectable = framing == Framing.UNTIL_CLOSE && corruption.ending() == Ending.FIN;
        int visibleLength = undetectable ? headLength : whole.length;
        return Arrays.copyOf(whole, visibleLength * corruption.permille() / 1000);
    }

    private static byte[] concat(byte[] first, byte[] second) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(first);
        out.writeBytes(second);
        return out.toByteArray();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
