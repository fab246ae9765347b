package starlingvalve.net;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import starlingvalve.net.AnswerScript.Answer;
import starlingvalve.net.AnswerScript.Ending;
import starlingvalve.net.AnswerScript.Framing;
import starlingvalve.net.AnswerScript.Spelling;
import starlingvalve.net.AnswerScript.Spoiling;
import starlingvalve.net.AnswerScript.Spoilt;

/** The bytes of a scripted answer, spoilt as its script says. */
final class AnswerBytes {
    private static final String LINE_END = "\r\n";
    private static final List<String> BAD_STATUS_LINES = List.of("HTP/1.1 %d x", "HTTP/1.1 x%d x", "%d HTTP/1.1",
            "HTTP/1.1", "HTTP/1.1 %d7 x", "no answer", "HTTP/one %d x");
    private static final List<String> BAD_CHUNK_SIZES = List.of("zz", "-1", "7fffffff", "");
    private static final List<String> BAD_LENGTHS = List.of("abc", "-5", "");

    /** All that is written. */
    final byte[] bytes;
    /** Length of the first line with its end. */
    final int firstLineLength;
    /** Length of the first line and the headers, with the empty line that ends them. */
    final int headLength;
    /** What ends the connection after the last byte, if anything. */
    final Ending ending;

    AnswerBytes(Answer answer, Spoilt spoilt, List<String> ids) {
        Framing framing = framing(answer, spoilt);
        byte[] body = body(answer, ids, needsBody(spoilt.by()));
        String statusLine = statusLine(answer, spoilt) + LINE_END;
        String head = statusLine + headers(answer, spoilt, framing, body.length) + LINE_END;
        byte[] whole = concat(bytes(head), framed(body, framing, spoilt));
        if (spoilt.by() == Spoiling.STRAY_AFTER) {
            whole = concat(whole, spoilt.stray().bytes());
        }
        boolean closes = !answer.keepAlive() || framing == Framing.UNTIL_CLOSE;
        this.ending = ending(spoilt, closes);
        this.firstLineLength = statusLine.length();
        this.headLength = head.length();
        this.bytes = spoilt.by() == Spoiling.CUT ? cut(whole, framing, spoilt) : whole;
    }

    /** Some ways of spoiling need a certain frame. */
    private static Framing framing(Answer answer, Spoilt spoilt) {
        return switch (spoilt.by()) {
            case LENGTH_TOO_LONG, LENGTH_TOO_SHORT, BAD_HEADER -> Framing.CONTENT_LENGTH;
            case BAD_CHUNK -> Framing.CHUNKED;
            case STRAY_AFTER -> answer.framing() == Framing.UNTIL_CLOSE
                    ? Framing.CONTENT_LENGTH : answer.framing();
            default -> answer.framing();
        };
    }

    private static boolean needsBody(Spoiling by) {
        return by == Spoiling.LENGTH_TOO_SHORT || by == Spoiling.BAD_CHUNK;
    }

    private static Ending ending(Spoilt spoilt, boolean closes) {
        return switch (spoilt.by()) {
            case NONE, SPLIT, STRAY_AFTER -> closes ? Ending.FIN : Ending.SILENCE;
            default -> spoilt.ending();
        };
    }

    private static byte[] body(Answer answer, List<String> ids, boolean notEmpty) {
        if (!answer.toBatchWithWords()) {
            return bytes("x".repeat(Math.max(notEmpty ? 1 : 0, answer.bodyLength())));
        }
        StringBuilder lines = new StringBuilder();
        for (int place = 0; place < ids.size(); place++) {
            lines.append(ids.get(place)).append(' ').append(answer.words().get(place).text()).append(LINE_END);
        }
        return bytes(lines.toString());
    }

    private static String statusLine(Answer answer, Spoilt spoilt) {
        if (spoilt.by() == Spoiling.BAD_STATUS_LINE) {
            String line = BAD_STATUS_LINES.get(spoilt.variant() % BAD_STATUS_LINES.size());
            return String.format(line, answer.status());
        }
        return "HTTP/1.1 " + answer.status()
                + (answer.spelling() == Spelling.MORE_HEADERS_NO_REASON ? " " : " Some Reason");
    }

    private static String headers(Answer answer, Spoilt spoilt, Framing framing, int bodyLength) {
        List<String> lines = new ArrayList<>();
        if (answer.spelling() == Spelling.MORE_HEADERS_NO_REASON) {
            lines.add(header(answer, "X-Load-Report", "TEXT x0=0.4, x1=25"));
        }
        if (answer.waitMs() > 0) {
            lines.add(header(answer, "Retry-After", Double.toString(answer.waitMs() / 1000.0)));
        }
        if (answer.noSlot()) {
            lines.add(header(answer, "X-No-Slot", "1"));
        }
        if (!answer.keepAlive() || framing == Framing.UNTIL_CLOSE) {
            lines.add(header(answer, "Connection", "close"));
        }
        if (spoilt.by() == Spoiling.BAD_HEADER) {
            lines.add(badHeader(answer, spoilt, bodyLength));
        }
        if (framing == Framing.CHUNKED) {
            lines.add(header(answer, "Transfer-Encoding", "chunked"));
        } else if (framing == Framing.CONTENT_LENGTH && !replacesLength(spoilt)) {
            lines.add(header(answer, "Content-Length", Integer.toString(toldLength(spoilt, bodyLength))));
        }
        return String.join("", lines);
    }

    private static boolean replacesLength(Spoilt spoilt) {
        return spoilt.by() == Spoiling.BAD_HEADER && spoilt.variant() % 4 == 2;
    }

    private static String badHeader(Answer answer, Spoilt spoilt, int bodyLength) {
        return switch (spoilt.variant() % 4) {
            case 0 -> "no colon here" + LINE_END;
            case 1 -> "X-\0Zero: 1" + LINE_END;
            case 2 -> header(answer, "Content-Length", BAD_LENGTHS.get(spoilt.permille() % BAD_LENGTHS.size()));
            default -> header(answer, "Content-Length", Integer.toString(bodyLength + 7));
        };
    }

    private static int toldLength(Spoilt spoilt, int bodyLength) {
        return switch (spoilt.by()) {
            case LENGTH_TOO_LONG -> bodyLength + 1 + spoilt.variant();
            case LENGTH_TOO_SHORT -> bodyLength - 1 - spoilt.permille() * (bodyLength - 1) / 1000;
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

    private static byte[] framed(byte[] body, Framing framing, Spoilt spoilt) {
        if (framing != Framing.CHUNKED) {
            return body;
        }
        // In two chunks where there is enough for two.
        int first = body.length / 2;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        if (first > 0) {
            chunk(out, body, 0, first, Integer.toHexString(first) + ";part=1");
        }
        String size = Integer.toHexString(body.length - first).toUpperCase(Locale.ROOT);
        if (spoilt.by() == Spoiling.BAD_CHUNK) {
            int ways = BAD_CHUNK_SIZES.size() + 1;
            int way = spoilt.variant() % ways;
            // The last way: the chunk holds more than its size says.
            size = way < BAD_CHUNK_SIZES.size() ? BAD_CHUNK_SIZES.get(way)
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

    /** Cut short so that it shows: a body that the close ends has no end of its own. */
    private byte[] cut(byte[] whole, Framing framing, Spoilt spoilt) {
        boolean hidden = framing == Framing.UNTIL_CLOSE && spoilt.ending() == Ending.FIN;
        int room = hidden ? headLength : whole.length;
        return Arrays.copyOf(whole, room * spoilt.permille() / 1000);
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
