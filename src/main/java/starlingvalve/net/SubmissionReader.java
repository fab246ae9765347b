package starlingvalve.net;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.Arrays;
import java.util.Optional;
import starlingvalve.InvalidInputException;

/** Reads from a client's request what it hands in. */
final class SubmissionReader {
    /**
     * A client waits so long for its answer. Its message's time has run meanwhile, and nothing tells how much of
     * that went by before its request was read, so all of it counts as gone.
     */
    private static final long UNSEEN_MS = 400;

    private final SubmissionServer.SubmissionHandler desk;

    /** {@code desk} knows the classes and tenants. */
    SubmissionReader(SubmissionServer.SubmissionHandler desk) {
        this.desk = desk;
    }

    /** What a request asks for, where the path names this class; throws what is wrong with it. */
    SubmissionServer.Submission read(FullHttpRequest request, String inPath) throws InvalidInputException {
        HttpHeaders headers = request.headers();
        String id = required(headers, "X-Call-Id");
        String messageClass = headers.get("X-Call-Class", inPath);
        if (!messageClass.equals(inPath)) {
            throw new InvalidInputException("the class in the path is another than in X-Call-Class");
        }
        String tenant = headers.get("X-Caller", "");
        if (!desk.knowsTenant(tenant)) {
            throw new InvalidInputException("X-Caller names no tenant");
        }
        Optional<String> key = Optional.ofNullable(headers.get("Idempotency-Key")).filter(k -> !k.isBlank());
        if (key.isEmpty() && desk.needsKey(messageClass)) {
            throw new InvalidInputException("Idempotency-Key is missing");
        }
        Optional<String> thread = thread(request.uri());
        long budgetMs = whole(required(headers, "X-Budget-Ms"), "X-Budget-Ms");
        if (budgetMs < 1) {
            throw new InvalidInputException("X-Budget-Ms leaves no time");
        }
        String destination = Arrays.stream(required(headers, "X-Envelope").split("[,;\\s]+"))
                .filter(part -> part.startsWith("dest=")).findFirst()
                .orElseThrow(() -> new InvalidInputException("X-Envelope names no dest")).substring("dest=".length());
        return new SubmissionServer.Submission(id, messageClass, tenant, key, thread, whole(destination, "dest"),
                Math.max(1, budgetMs - UNSEEN_MS), ByteBufUtil.getBytes(request.content()));
    }

    /** The key of order, which is not the idempotency key: messages of one thread have keys of their own. */
    private static Optional<String> thread(String uri) throws InvalidInputException {
        try {
            return Optional.ofNullable(new QueryStringDecoder(uri).parameters().get("thread"))
                    .map(values -> values.get(0)).filter(value -> !value.isBlank());
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException("the query can't be read");
        }
    }

    private static String required(HttpHeaders headers, String name) throws InvalidInputException {
        String value = headers.get(name);
        if (value == null || value.isBlank()) {
            throw new InvalidInputException(name + " is missing");
        }
        return value;
    }

    private static long whole(String value, String name) throws InvalidInputException {
        try {
            long number = Long.parseLong(value.trim());
            if (number < 0) {
                throw new InvalidInputException(name + " is negative");
            }
            return number;
        } catch (NumberFormatException e) {
            throw new InvalidInputException(name + " is not a whole number");
        }
    }
}
