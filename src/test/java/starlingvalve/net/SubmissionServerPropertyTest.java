package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tuple;

/**
 * Whatever bytes come from a client, and in whatever pieces: a message is taken once at most, and only if it was a
 * whole, valid request of its own, before anything on its connection that was none.
 */
class SubmissionServerPropertyTest {
    private static final int TRIES = 500;
    private static final int MOST_REQUESTS = 4;
    private static final int LONGEST_BODY = 64 * 1024;
    /** By then each connection that waits for more of a request is closed. */
    private static final long ALL_OVER_MS = 3000;
    private static final String LINE_END = "\r\n";

    /** What a client sends as one request. */
    private enum Form {
        /** A valid request. */
        VALID(true),
        /** A valid request, in chunks. */
        CHUNKED(true),
        /** A valid request whose body is the text of another request. */
        REQUEST_IN_BODY(true),
        /** Both Content-Length and Transfer-Encoding: which of them holds is open. */
        LENGTH_AND_CHUNKED(false),
        /** Two lengths that differ. */
        TWO_LENGTHS(false),
        /** A length that is no number. */
        BAD_LENGTH(false),
        /** A chunk size that is none. */
        BAD_CHUNK(false),
        /** A transfer encoding that nobody knows. */
        UNKNOWN_ENCODING(false),
        /** A body over the bound, with the text of another request at its end. */
        TOO_LONG(false),
        /** A first line that is none. */
        BAD_FIRST_LINE(false),
        /** A header line that is none. */
        BAD_HEADER(false),
        /** Bytes that are no request. */
        STRAY(false);

        private final boolean valid;

        Form(boolean valid) {
            this.valid = valid;
        }
    }

    /** What a client sends; {@code last} permille of the bytes of the last request are sent. */
    private record Script(List<Form> forms, int last, List<Integer> cuts) {
    }

    private final RecordingSubmissionHandler desk = new RecordingSubmissionHandler();

    @Property(seed = "20261202", tries = TRIES, edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.BOUNDED)
    void onlyWholeRequestsOfTheirOwnAreTakenAndOnce(@ForAll("scripts") Script script) {
        desk.ids.clear();
        ByteArrayOutputStream sent = new ByteArrayOutputStream();
        List<String> mayBeTaken = new ArrayList<>();
        boolean valid = true;
        for (int number = 0; number < script.forms().size(); number++) {
            Form form = script.forms().get(number);
            byte[] bytes = request(form, "id-" + number);
            boolean whole = number < script.forms().size() - 1 || script.last() == 1000;
            sent.write(bytes, 0, whole ? bytes.length : bytes.length * script.last() / 1000);
            valid &= form.valid && whole;
            if (valid) {
                mayBeTaken.add("id-" + number);
            }
        }
        send(sent.toByteArray(), script.cuts());
        assertEquals(mayBeTaken, desk.ids);
    }

    private void send(byte[] bytes, List<Integer> cuts) {
        EmbeddedChannel client = new EmbeddedChannel();
        client.freezeTime();
        client.pipeline().addLast(new SubmissionServer(new DefaultEventLoop(), 10, desk).pipeline());
        client.pipeline().fireChannelActive();
        int[] places = cuts.stream().mapToInt(cut -> (int) ((long) bytes.length * cut / 1000)).sorted().toArray();
        int from = 0;
        for (int place = 0; place <= places.length && client.isOpen(); place++) {
            int to = place < places.length ? places[place] : bytes.length;
            client.writeInbound(Unpooled.wrappedBuffer(Arrays.copyOfRange(bytes, from, to)));
            from = to;
        }
        client.advanceTimeBy(ALL_OVER_MS, TimeUnit.MILLISECONDS);
        client.runPendingTasks();
        client.finishAndReleaseAll();
    }

    private static byte[] request(Form form, String id) {
        String hidden = plain("hidden-in-" + id, "Content-Length: 0", "");
        String text = switch (form) {
            case VALID -> plain(id, "Content-Length: 5", "hello");
            case CHUNKED -> plain(id, "Transfer-Encoding: chunked", "5\r\nhello\r\n0\r\n\r\n");
            case REQUEST_IN_BODY -> plain(id, "Content-Length: " + hidden.length(), hidden);
            case LENGTH_AND_CHUNKED -> plain(id, "Content-Length: " + (5 + hidden.length())
                    + "\r\nTransfer-Encoding: chunked", "0\r\n\r\n" + hidden);
            case TWO_LENGTHS -> plain(id, "Content-Length: 0\r\nContent-Length: " + hidden.length(), hidden);
            case BAD_LENGTH -> plain(id, "Content-Length: 0x0", hidden);
            case BAD_CHUNK -> plain(id, "Transfer-Encoding: chunked", "zz\r\nhello\r\n0\r\n\r\n" + hidden);
            case UNKNOWN_ENCODING -> plain(id, "Transfer-Encoding: folded", hidden);
            case TOO_LONG -> plain(id, "Content-Length: " + (LONGEST_BODY + 1 + hidden.length()),
                    "x".repeat(LONGEST_BODY + 1) + hidden);
            case BAD_FIRST_LINE -> plain(id, "Content-Length: 0", "").replace("HTTP/1.1", "HTP/1.1");
            case BAD_HEADER -> plain(id, "no colon here\r\nContent-Length: 0", "");
            case STRAY -> "stray bytes of nobody" + LINE_END + LINE_END;
        };
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String plain(String id, String framing, String body) {
        return "POST /order HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Call-Class: order\r\n"
                + "X-Budget-Ms: 900\r\nX-Envelope: dest=7\r\n" + framing + LINE_END + LINE_END + body;
    }

    @Provide
    Arbitrary<Script> scripts() {
        Arbitrary<Form> forms = Arbitraries.frequencyOf(Tuple.of(1, Arbitraries.of(Form.class)),
                Tuple.of(1, Arbitraries.of(Form.VALID, Form.CHUNKED, Form.REQUEST_IN_BODY)));
        Arbitrary<Integer> lasts = Arbitraries.frequencyOf(Tuple.of(3, Arbitraries.just(1000)),
                Tuple.of(1, Arbitraries.integers().between(0, 990)));
        Arbitrary<List<Integer>> cuts = Arbitraries.integers().between(0, 1000).list().ofMaxSize(6);
        return Combinators.combine(forms.list().ofMinSize(1).ofMaxSize(MOST_REQUESTS), lasts, cuts).as(Script::new);
    }
}
