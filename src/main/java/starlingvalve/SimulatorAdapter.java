package starlingvalve;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * Translates between the simulator's line protocol and {@link DeliveryPolicy}, for any number of policy instances. It
 * makes no decisions of its own.
 */
final class SimulatorAdapter {
    private final BufferedReader in;
    private final PrintStream out;
    private final PrintStream err;
    private final Map<String, DeliveryPolicy> instances = new HashMap<>();
    private final Map<Integer, List<DeliveryPolicy.Endpoint>> lists = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private long lineNumber;
    private double now;

    SimulatorAdapter(InputStream in, PrintStream out, PrintStream err) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
        this.err = err;
    }

    /** Answers batches until the input ends; returns the exit code: 0, or 1 after input that can't be parsed. */
    int run() {
        try {
            for (String line = nextLine(); line != null; line = nextLine()) {
                if (!line.isEmpty()) {
                    processBatch(new Fields(line));
                }
            }
            return 0;
        } catch (InvalidInputException | IOException e) {
            err.println("line " + lineNumber + ": " + e.getMessage());
            return 1;
        }
    }

    private String nextLine() throws IOException {
        lineNumber++;
        return in.readLine();
    }

    private void processBatch(Fields head) throws IOException, InvalidInputException {
        head.expect("BATCH");
        now = head.number("clock");
        long batch = head.wholeNumber("batch");
        Set<String> instancesWithEvents = new LinkedHashSet<>();
        reply.setLength(0);
        for (String line = nextLine(); !"FLUSH".equals(line); line = nextLine()) {
            if (line == null) {
                throw new InvalidInputException("input ends inside batch " + batch);
            }
            Fields fields = new Fields(line);
            String name = fields.text("event");
            if (name.equals("ROSTER")) {
                readList(fields);
                continue;
            }
            String instance = fields.text("instance");
            if (name.equals("KILLED")) {
                instances.remove(instance);
                instancesWithEvents.remove(instance);
                continue;
            }
            Runnable event = parseEvent(name, instance, fields);
            instancesWithEvents.add(instance);
            reportingFaults(instance, event);
        }
        for (String instance : instancesWithEvents) {
            reportingFaults(instance, () -> policy(instance).endTurn(now));
        }
        out.print(reply);
        out.print("YIELD " + batch + "\n");
        out.flush();
    }

    /** Runs an event; an exception thrown by the policy is reported as a {@code BUG} action, its text on one line. */
    private void reportingFaults(String instance, Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            writeAction("BUG", instance, e.toString().replaceAll("\\s+", " "));
        }
    }

    private Runnable parseEvent(String name, String instance, Fields fields) throws InvalidInputException {
        switch (name) {
            case "SPAWN": {
                long seed = fields.wholeNumber("entropy");
                DeliveryPolicy.Settings settings = fields.settingsParser().settings();
                return () -> instances.put(instance, DeliveryPolicy.create(settings, seed, new ActionWriter(instance)));
            }
            case "UPDATE":
                return parseUpdate(instance, fields);
            case "SUBMIT":
                return parseSubmit(instance, fields);
            case "ATTEMPT_END":
                return parseAttemptEnd(instance, fields);
            case "CLIENT_LEFT": {
                long message = fields.wholeNumber("req");
                return () -> policy(instance).messageWithdrawn(now, message);
            }
            case "TIMER":
                return () -> policy(instance).wake(now);
            case "HEADERS":
            case "CHECK_RESULT":
            case "HEARD":
                return () -> policy(instance).wake(now);
            default:
                throw new InvalidInputException("unknown event " + name);
        }
    }

    private DeliveryPolicy policy(String instance) {
        DeliveryPolicy policy = instances.get(instance);
        if (policy == null) {
            throw new IllegalStateException("event for an instance that does not run: " + instance);
        }
        return policy;
    }

    private void readList(Fields fields) throws IOException, InvalidInputException {
        int listNumber = fields.index("list");
        long count = fields.wholeNumber("entries");
        List<DeliveryPolicy.Endpoint> endpoints = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            String line = nextLine();
            if (line == null) {
                throw new InvalidInputException("input ends inside list " + listNumber);
            }
            Fields row = new Fields(line);
            row.expect("ROW");
            long id = row.wholeNumber("endpoint");
            int zone = row.index("failure_domain");
            int kind = row.index("kind");
            long destination = row.wholeNumber("belongs_to");
            String condition = row.text("condition");
            double rate = row.numberOr("scale", 0);
            endpoints.add(
                    new DeliveryPolicy.Endpoint(id, destination, kind, zone, condition.equals("SERVING"), rate));
        }
        lists.put(listNumber, endpoints);
    }

    private Runnable parseUpdate(String instance, Fields fields) throws InvalidInputException {
        String mode = fields.text("mode");
        if (mode.equals("refused")) {
            return () -> policy(instance).wake(now);
        }
        fields.text("serial");
        List<DeliveryPolicy.Endpoint> entries = lists.get(fields.index("list"));
        if (entries == null) {
            throw new InvalidInputException("UPDATE names a list that was not given");
        }
        boolean wholeList = switch (mode) {
            case "all", "remembered" -> true;
            case "changes" -> false;
            default -> throw new InvalidInputException("unknown list mode " + mode);
        };
        return () -> policy(instance).endpoints(now, wholeList, entries);
    }

    private Runnable parseSubmit(String instance, Fields fields) throws InvalidInputException {
        long id = fields.wholeNumber("req");
        int messageClass = fields.index("kind");
        int tenant = (int) fields.numberOr("billing", 0);
        Optional<String> key = fields.optional("affinity");
        double timeLeftMs = fields.number("time_left_ms");
        fields.text("predicted_ms");
        long destination = fields.wholeNumber("to_dest");
        DeliveryPolicy.Message message =
                new DeliveryPolicy.Message(id, messageClass, tenant, key, timeLeftMs, destination);
        return () -> {
            OptionalDouble retryAfterMs = policy(instance).admissionRetryAfter(now, message);
            if (retryAfterMs.isPresent()) {
                writeAction("BOUNCE", instance, id, retryAfterMs.getAsDouble());
            } else {
                policy(instance).messageAccepted(now, message);
            }
        };
    }

    private Runnable parseAttemptEnd(String instance, Fields fields) throws InvalidInputException {
        long message = fields.wholeNumber("req");
        int attempt = fields.index("round_no");
        fields.text("endpoint");
        DeliveryPolicy.Outcome outcome = parseOutcome(fields.text("state_code"));
        double tookMs = fields.number("wait_time_ms");
        boolean messageEnded = fields.wholeNumber("no_more") != 0;
        double holdMs = fields.numberOr("hold_ms", 0);
        double retryAfterMs = outcome == DeliveryPolicy.Outcome.FULL ? holdMs : 0;
        DeliveryPolicy.AttemptEnd end = new DeliveryPolicy.AttemptEnd(message, attempt, outcome, tookMs, messageEnded,
                retryAfterMs, false);
        return () -> policy(instance).attemptEnded(now, end);
    }

    private static DeliveryPolicy.Outcome parseOutcome(String code) throws InvalidInputException {
        return switch (code) {
            case "success" -> DeliveryPolicy.Outcome.DELIVERED;
            case "failure" -> DeliveryPolicy.Outcome.ERROR;
            case "overloaded" -> DeliveryPolicy.Outcome.FULL;
            case "timed_out" -> DeliveryPolicy.Outcome.TIMED_OUT;
            case "unreachable" -> DeliveryPolicy.Outcome.UNREACHABLE;
            case "broken" -> DeliveryPolicy.Outcome.BROKEN;
            case "withdrawn" -> DeliveryPolicy.Outcome.CANCELLED;
            case "void" -> DeliveryPolicy.Outcome.NOT_SENT;
            default -> throw new InvalidInputException("unknown outcome " + code);
        };
    }

    private void writeAction(String name, String instance, Object... values) {
        reply.append(name).append(' ').append(instance);
        for (Object value : values) {
            reply.append(' ').append(value);
        }
        reply.append('\n');
    }

    /** Writes the actions of one instance as lines of the reply. */
    private final class ActionWriter implements DeliveryPolicy.Actions {
        private final String instance;

        ActionWriter(String instance) {
            this.instance = instance;
        }

        @Override
        public void send(long message, long endpoint, double timeoutMs) {
            writeAction("SUBMIT_TO", instance, message, timeoutMs, endpoint);
        }

        @Override
        public void cancel(long message, int attempt) {
            writeAction("UNDO_SEND", instance, message, attempt);
        }

        @Override
        public void closeIdle(long endpoint) {
            writeAction("HANG_UP", instance, endpoint);
        }

        @Override
        public boolean refuse(long message, double retryAfterMs) {
            writeAction("BOUNCE", instance, message, retryAfterMs);
            return true;
        }

        @Override
        public boolean fail(long message) {
            writeAction("DROP_REQUEST", instance, message);
            return true;
        }

        @Override
        public void wakeAt(double time) {
            writeAction("NOTIFY_ME", instance, time, 0);
        }

        @Override
        public void log(String text) {
            writeAction("DEBUG", instance, text);
        }
    }

    /** Reads the space-separated fields of one line, one after the other. */
    private static final class Fields {
        private final String line;
        private int position;

        Fields(String line) {
            this.line = line;
        }

        String text(String field) throws InvalidInputException {
            if (position > line.length() || line.isEmpty()) {
                throw new InvalidInputException("field " + field + " is missing");
            }
            int end = line.indexOf(' ', position);
            end = end < 0 ? line.length() : end;
            String value = line.substring(position, end);
            position = end + 1;
            if (value.isEmpty()) {
                throw new InvalidInputException("field " + field + " is empty");
            }
            return value;
        }

        void expect(String expected) throws InvalidInputException {
            String found = text("name");
            if (!found.equals(expected)) {
                throw new InvalidInputException("expected " + expected + ", found " + found);
            }
        }

        Optional<String> optional(String field) throws InvalidInputException {
            String value = text(field);
            return value.equals("-") ? Optional.empty() : Optional.of(value);
        }

        double number(String field) throws InvalidInputException {
            String value = text(field);
            try {
                return Double.parseDouble(value);
            } catch (NumberFormatException e) {
                throw new InvalidInputException("field " + field + " is not a number: " + value);
            }
        }

        double numberOr(String field, double defaultValue) throws InvalidInputException {
            int start = position;
            if (optional(field).isEmpty()) {
                return defaultValue;
            }
            position = start;
            return number(field);
        }

        long wholeNumber(String field) throws InvalidInputException {
            String value = text(field);
            try {
                return Long.parseLong(value);
            } catch (NumberFormatException e) {
                throw new InvalidInputException("field " + field + " is not a whole number: " + value);
            }
        }

        int index(String field) throws InvalidInputException {
            long value = wholeNumber(field);
            if (value < 0 || value > Integer.MAX_VALUE) {
                throw new InvalidInputException("field " + field + " is out of range: " + value);
            }
            return (int) value;
        }

        SettingsParser settingsParser() throws InvalidInputException {
            Map<String, String> values = new HashMap<>();
            while (position < line.length()) {
                String pair = text("setting");
                int separator = pair.indexOf('=');
                if (separator < 1) {
                    throw new InvalidInputException("setting without a value: " + pair);
                }
                values.put(pair.substring(0, separator), pair.substring(separator + 1));
            }
            return new SettingsParser(values);
        }
    }
}
