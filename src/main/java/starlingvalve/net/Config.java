package starlingvalve.net;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import starlingvalve.DeliveryPolicy;
import starlingvalve.InvalidInputException;
import starlingvalve.SettingsParser;

/**
 * Configuration of a sender, read at its start from environment variables and a JSON file; a variable overrides the
 * file. Settings keep their dotted names, so that the simulator's adapter and the sender read them in the same way.
 *
 * @param file the configuration file
 * @param name name of the sender in its log
 * @param listen address at which clients submit messages
 * @param ops address of the operators' HTTP server, which doesn't listen if this is empty
 * @param discovery address of discovery's agent
 * @param discoveryInFile the same address as the file has it, if it has one
 * @param listLease rules for the time for which the endpoint list may be used
 * @param state folder of the journal
 * @param handover path of the Unix domain socket at which a successor process asks this one to hand over
 * @param seed seed of the random numbers
 * @param maxSockets number of file descriptors that the process may open
 * @param diskBytes size limit of the journal
 * @param settings settings of the delivery policy
 * @param classes names of the message classes, by number
 * @param tenants names of the tenants, by number
 * @param kinds machine types of endpoints, by number
 * @param zones zones of endpoints, by number
 * @param maxOpenMessages number of open messages at which further submissions are rejected
 * @param dialTimeoutMs time-out of connecting to an endpoint
 * @param knownList endpoint list to use until discovery sends one
 */
record Config(Path file, String name, InetSocketAddress listen, Optional<InetSocketAddress> ops,
              InetSocketAddress discovery, Optional<DiscoveryAddress.Reading> discoveryInFile,
              ListLeasePolicy listLease, Path state, Path handover, long seed,
              int maxSockets, long diskBytes, DeliveryPolicy.Settings settings, List<String> classes,
              List<String> tenants, List<String> kinds, List<String> zones, int maxOpenMessages, double dialTimeoutMs,
              Optional<JsonNode> knownList) {
    /** Upper bound of the disk limit: the journal is read as a whole at the start, and files count as memory. */
    private static final double MAX_DISK_MB = 12;
    /** Grace period for calls to a draining endpoint, in deployments that configure none. */
    private static final double DEFAULT_DRAIN_GRACE_MS = 250;
    /** Registry mode in which the sender asks for changes of the endpoint list; otherwise they are pushed. */
    private static final String ASK_MODE = "ask";

    /** Reads the configuration that the environment names; a file that can't be opened is not retried. */
    static Config read(Map<String, String> env) throws IOException, InvalidInputException {
        return read(env, new StartRetry(0));
    }

    /** Reads the configuration; if the file exists but can't be read for a moment, {@code retry} reads it again. */
    static Config read(Map<String, String> env, StartRetry retry) throws IOException, InvalidInputException {
        Path file = Path.of(required(env, "GW_CONFIG"));
        boolean readable = Files.isRegularFile(file) && Files.isReadable(file);
        long readAtMs = TimeSource.SYSTEM.monotonicMs();
        byte[] bytes = readable ? retry.runWithRetries("reading the configuration", () -> Files.readAllBytes(file))
                : Files.readAllBytes(file);
        JsonNode json = JsonMapper.builder().build().readTree(bytes);
        Map<String, String> values = new HashMap<>();
        flatten("", json.path("settings"), values);
        SettingsParser settings = new SettingsParser(values);
        JsonNode limits = json.path("limits");
        double diskMb = Math.min(limits.path("disk_mb").asDouble(MAX_DISK_MB), MAX_DISK_MB);
        return new Config(
                file,
                env.getOrDefault("GW_NAME", json.path("name").asText("sender")),
                address(env.getOrDefault("GW_LISTEN", json.path("listen").asText())),
                optionalAddress(env.getOrDefault("GW_OPS", json.path("ops").asText(""))),
                address(env.getOrDefault("GW_DISCOVERY", json.path("discovery").asText())),
                discoveryInFile(json, readAtMs),
                ListLeasePolicy.of(!settings.textOr("registry_mode", "").equals(ASK_MODE),
                        settings.numberOr("rules.drain_grace_ms", DEFAULT_DRAIN_GRACE_MS)),
                Path.of(required(env, "GW_STATE")),
                handoverSocket(env),
                parseSeed(json.path("seed").asText("0")),
                limits.path("sockets").asInt(1024),
                (long) (diskMb * 1_000_000),
                settings.settings(),
                names(settings, "classes"),
                names(settings, "tenants"),
                settings.list("flavors"),
                settings.list("zones"),
                (int) settings.numberOr("limits.max_open", Integer.MAX_VALUE),
                settings.numberOr("limits.dial_timeout_ms", 1000),
                json.path("known").path("instances").isArray()
                        ? Optional.of(json.path("known")) : Optional.empty());
    }

    /** Reads discovery's address from a configuration file, which may have been replaced since the start. */
    static DiscoveryAddress.Reading readDiscovery(Path file) throws IOException, InvalidInputException {
        long readAtMs = TimeSource.SYSTEM.monotonicMs();
        JsonNode json = JsonMapper.builder().build().readTree(Files.readAllBytes(file));
        return new DiscoveryAddress.Reading(address(json.path("discovery").asText()), readAtMs);
    }

    /** Returns the address in the file, if it has a valid one; the environment may have the only one. */
    private static Optional<DiscoveryAddress.Reading> discoveryInFile(JsonNode json, long readAtMs) {
        try {
            return Optional.of(
                    new DiscoveryAddress.Reading(address(json.path("discovery").asText()), readAtMs));
        } catch (InvalidInputException noAddress) {
            return Optional.empty();
        }
    }

    /**
     * Path of the Unix domain socket that a process of a sender and its successor use for the handover. Such a path
     * must be short, so the file name contains a hash of the state folder's path.
     */
    private static Path handoverSocket(Map<String, String> env) throws InvalidInputException {
        Path folder = Path.of(env.getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir")));
        int stateHash = Path.of(required(env, "GW_STATE")).toAbsolutePath().normalize().hashCode();
        return folder.resolve(String.format("handover-%08x", stateHash));
    }

    private static Optional<InetSocketAddress> optionalAddress(String text) throws InvalidInputException {
        return text.isBlank() ? Optional.empty() : Optional.of(address(text));
    }

    /** Parses an address such as {@code 10.0.0.4:7070}; host names are invalid, since there is no DNS. */
    static InetSocketAddress address(String text) throws InvalidInputException {
        int colon = text.lastIndexOf(':');
        try {
            if (colon < 1 || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
                throw new InvalidInputException("not an address with a port: '" + text + "'");
            }
            return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (IOException | IllegalArgumentException e) {
            throw new InvalidInputException("not an address with a port: '" + text + "'");
        }
    }

    /** Adds nested JSON to {@code values} as settings with dotted names, the form in which the simulator sends them. */
    static void flatten(String name, JsonNode node, Map<String, String> values) {
        if (node.isObject()) {
            String prefix = name.isEmpty() ? "" : name + ".";
            node.properties().forEach(e -> flatten(prefix + e.getKey(), e.getValue(), values));
        } else if (node.isArray() && (node.isEmpty() || !node.get(0).isObject())) {
            List<String> items = new ArrayList<>();
            node.forEach(item -> items.add(item.asText()));
            values.put(name, String.join(",", items));
        } else if (node.isArray()) {
            values.put(name + ".count", Integer.toString(node.size()));
            for (int i = 0; i < node.size(); i++) {
                flatten(name + "." + i, node.get(i), values);
            }
        } else if (!node.isNull()) {
            values.put(name, node.asText());
        }
    }

    /** Names of the entries of a list of settings, such as {@code classes}. */
    private static List<String> names(SettingsParser settings, String list) throws InvalidInputException {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < settings.numberOr(list + ".count", 0); i++) {
            names.add(settings.text(list + "." + i + ".name"));
        }
        return names;
    }

    private static long parseSeed(String hex) throws InvalidInputException {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new InvalidInputException("the seed is not a hexadecimal number: " + hex);
        }
    }

    /** The value of a variable that must be set. */
    private static String required(Map<String, String> env, String name) throws InvalidInputException {
        String value = env.get(name);
        if (value == null || value.isEmpty()) {
            throw new InvalidInputException(name + " is not set");
        }
        return value;
    }
}
