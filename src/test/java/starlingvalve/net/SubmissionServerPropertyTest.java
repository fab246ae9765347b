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
 * For any input of a client, split into any pieces: a message is accepted at most once, and only if it was a complete,
 * valid request of its own, with no invalid or incomplete request before it on the connection.
 */
class SubmissionServerPropertyTest {
    private static final int RUNS = 500;
    private static final int MAX_REQUESTS = 4;
    private static final int MAX_BODY_BYTES = 64 * 1024;
    /** After this time each connection that waits for the rest of a request is closed. */
    private static final long AFTER_TIMEOUTS_MS = 3000;
    private static final String LINE_END = "\r\n";

    /** What a client sends as one request. */
    private enum Form {
        /** A valid request. */
        VALID(true),
        /** A valid request, in chunks. */
        CHUNKED(true),
        /** A valid request whose body is the text of another request. */
        REQUEST_IN_BODY(true),
        /** Both Content-Length and Transfer-Encoding, so the framing is ambiguous. */
        LENGTH_AND_CHUNKED(false),
        /** Two different values of Content-Length. */
        TWO_LENGTHS(false),
        /** A Content-Length that is not a decimal number. */
        BAD_LENGTH(false),
        /** A chunk size that is not a number. */
        BAD_CHUNK(false),
        /** An unknown transfer encoding. */
        UNKNOWN_ENCODING(false),
        /** A body over the size limit, with the text of another request at its end. */
        TOO_LONG(false),
        /** As before, sent by a client that expects a 100 and does not wait for it. */
        TOO_LONG_EXPECTING_CONTINUE(false),
        /** A body in chunks over the size limit, by such a client, with the text of another request at its end. */
        TOO_LONG_CHUNKED_EXPECTING_CONTINUE(false),
        /** A valid request by such a client. */
        VALID_EXPECTING_CONTINUE(true),
        /** An expectation that is not known, with a body that is the text of another request. */
        UNKNOWN_EXPECTATION(false),
        /** An invalid request line. */
        BAD_FIRST_LINE(false),
        /** An invalid header line. */
        BAD_HEADER(false),
        /** Bytes that are not a request. */
        STRAY(false);

        private final boolean valid;

        Form(boolean valid) {
            this.valid = valid;
        }
    }

    /**
     * The input of a client.
     *
     * @param sentPermille how much of the last request is sent
     * @param splits where the input is split into pieces, in permille of its length
     */
    private record Script(List<Form> forms, int sentPermille, List<Integer> splits) {
    }

    private final RecordingSubmissionHandler handler = new RecordingSubmissionHandler();

    @Property(seed = "20261202", tries = RUNS, edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.BOUNDED)
    void onlyCompleteRequestsAreAcceptedAndOnlyOnce(@ForAll("scripts") Script script) {
        handler.ids.clear();
        ByteArrayOutputStream sent = new ByteArrayOutputStream();
        List<String> expected = new ArrayList<>();
        boolean valid = true;
        for (int number = 0; number < script.forms().size(); number++) {
            Form form = script.forms().get(number);
            byte[] bytes = request(form, "id-" + number);
            boolean complete = number < script.forms().size() - 1 || script.sentPermille() == 1000;
            sent.write(bytes, 0, complete ? bytes.length : bytes.length * script.sentPermille() / 1000);
            valid &= form.valid && complete;
            if (valid) {
                expected.add("id-" + number);
            }
        }
        send(sent.toByteArray(), script.splits());
        assertEquals(expected, handler.ids);
    }

    private void send(byte[] bytes, List<Integer> splits) {
        EmbeddedChannel client = new EmbeddedChannel();
        client.freezeTime();
        client.pipeline().addLast(new SubmissionServer(new DefaultEventLoop(), 10, handler).pipeline());
        client.pipeline().fireChannelActive();
        int[] offsets = splits.stream().mapToInt(split -> (int) ((long) bytes.length * split / 1000)).sorted()
                .toArray();
        int from = 0;
        for (int piece = 0; piece <= offsets.length && client.isOpen(); piece++) {
            int to = piece < offsets.length ? offsets[piece] : bytes.length;
            client.writeInbound(Unpooled.wrappedBuffer(Arrays.copyOfRange(bytes, from, to)));
            from = to;
        }
        client.advanceTimeBy(AFTER_TIMEOUTS_MS, TimeUnit.MILLISECONDS);
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
            case TOO_LONG -> plain(id, "Content-Length: " + (MAX_BODY_BYTES + 1 + hidden.length()),
                    "x".repeat(MAX_BODY_BYTES + 1) + hidden);
            case TOO_LONG_EXPECTING_CONTINUE -> plain(id, "Expect: 100-continue\r\nContent-Length: "
                    + (MAX_BODY_BYTES + 1 + hidden.length()), hidden + "x".repeat(MAX_BODY_BYTES + 1));
            case TOO_LONG_CHUNKED_EXPECTING_CONTINUE -> plain(id,
                    "Expect: 100-continue\r\nTransfer-Encoding: chunked", "10001\r\n" + "x".repeat(MAX_BODY_BYTES + 1)
                    + "\r\n0\r\n\r\n" + hidden);
            case VALID_EXPECTING_CONTINUE -> plain(id, "Expect: 100-continue\r\nContent-Length: 5", "hello");
            case UNKNOWN_EXPECTATION -> plain(id, "Expect: wonders\r\nContent-Length: " + hidden.length(), hidden);
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
        Arbitrary<Integer> sentPermilles = Arbitraries.frequencyOf(Tuple.of(3, Arbitraries.just(1000)),
                Tuple.of(1, Arbitraries.integers().between(0, 990)));
        Arbitrary<List<Integer>> splits = Arbitraries.integers().between(0, 1000).list().ofMaxSize(6);
        return Combinators.combine(forms.list().ofMinSize(1).ofMaxSize(MAX_REQUESTS), sentPermilles, splits)
                .as(Script::new);
    }
}
