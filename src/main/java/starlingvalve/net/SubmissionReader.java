package starlingvalve.net;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.Arrays;
import java.util.Optional;
import starlingvalve.InvalidInputException;

/** Reads the submission in a client's request. */
final class SubmissionReader {
    /**
     * A client waits this long for its answer, while the time budget of its message is running. How much of this time
     * passed before the request was read is unknown, so all of it is subtracted from the budget.
     */
    private static final long CLIENT_TIMEOUT_MS = 400;

    private final SubmissionServer.SubmissionHandler handler;

    /** {@code handler} knows the valid message classes and tenants. */
    SubmissionReader(SubmissionServer.SubmissionHandler handler) {
        this.handler = handler;
    }

    /** Reads a request whose path names {@code classInPath}; the exception says what is invalid. */
    SubmissionServer.Submission read(FullHttpRequest request, String classInPath) throws InvalidInputException {
        HttpHeaders headers = request.headers();
        String id = required(headers, "X-Call-Id");
        String messageClass = headers.get("X-Call-Class", classInPath);
        if (!messageClass.equals(classInPath)) {
            throw new InvalidInputException("the class in the path is another than in X-Call-Class");
        }
        String tenant = headers.get("X-Caller", "");
        if (!handler.knowsTenant(tenant)) {
            throw new InvalidInputException("X-Caller names no tenant");
        }
        Optional<String> key = Optional.ofNullable(headers.get("Idempotency-Key")).filter(k -> !k.isBlank());
        if (key.isEmpty() && handler.needsKey(messageClass)) {
            throw new InvalidInputException("Idempotency-Key is missing");
        }
        Optional<String> orderingKey = orderingKey(request.uri());
        long budgetMs = wholeNumber(required(headers, "X-Budget-Ms"), "X-Budget-Ms");
        if (budgetMs < 1) {
            throw new InvalidInputException("X-Budget-Ms leaves no time");
        }
        String destination = Arrays.stream(required(headers, "X-Envelope").split("[,;\\s]+"))
                .filter(part -> part.startsWith("dest=")).findFirst()
                .orElseThrow(() -> new InvalidInputException("X-Envelope names no dest")).substring("dest=".length());
        return new SubmissionServer.Submission(id, messageClass, tenant, key, orderingKey,
                wholeNumber(destination, "dest"), Math.max(1, budgetMs - CLIENT_TIMEOUT_MS),
                ByteBufUtil.getBytes(request.content()));
    }

    /**
     * The ordering key, from the query parameter {@code thread}. It is not the idempotency key: messages with the same
     * ordering key have different idempotency keys.
     */
    private static Optional<String> orderingKey(String uri) throws InvalidInputException {
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

    private static long wholeNumber(String value, String name) throws InvalidInputException {
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
