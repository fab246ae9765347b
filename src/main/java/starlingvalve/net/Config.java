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
 * What a sender is told at its start, by its environment and its JSON configuration; the environment comes
 * first. Settings keep their dotted names, so that the adapter and the sender read them in one way.
 */
record Config(String name, InetSocketAddress listen, Optional<InetSocketAddress> ops,
              InetSocketAddress discovery, ListLeasePolicy listLease, Path state, Path handover, long seed, int sockets,
              long diskBytes, DeliveryPolicy.Settings settings, List<String> classes,
              List<String> tenants, List<String> kinds, List<String> zones, int maxOpen, double dialMs,
              Optional<JsonNode> known) {
    /** The journal is read in one piece at the start and files count as memory: more is never used. */
    private static final double MOST_DISK_MB = 12;
    /** Of deployments that name none. */
    private static final double DEFAULT_DRAIN_GRACE_MS = 250;
    /** Where changes of the list have to be asked for; in any other mode they are pushed. */
    private static final String ASKED_MODE = "ask";

    static Config read(Map<String, String> env) throws IOException, InvalidInputException {
        return read(env, new StartRetry(0));
    }

    /** The same; a file that is there and can't be opened for a moment is opened again. */
    static Config read(Map<String, String> env, StartRetry retry) throws IOException, InvalidInputException {
        Path file = Path.of(required(env, "GW_CONFIG"));
        boolean mayBeOpened = Files.isRegularFile(file) && Files.isReadable(file);
        byte[] bytes = mayBeOpened ? retry.runWithRetries("reading the configuration", () -> Files.readAllBytes(file))
                : Files.readAllBytes(file);
        JsonNode json = JsonMapper.builder().build().readTree(bytes);
        Map<String, String> values = new HashMap<>();
        flatten("", json.path("settings"), values);
        SettingsParser settings = new SettingsParser(values);
        JsonNode limits = json.path("limits");
        double diskMb = Math.min(limits.path("disk_mb").asDouble(MOST_DISK_MB), MOST_DISK_MB);
        return new Config(
                env.getOrDefault("GW_NAME", json.path("name").asText("sender")),
                address(env.getOrDefault("GW_LISTEN", json.path("listen").asText())),
                ops(env.getOrDefault("GW_OPS", json.path("ops").asText(""))),
                address(env.getOrDefault("GW_DISCOVERY", json.path("discovery").asText())),
                ListLeasePolicy.of(!settings.textOr("registry_mode", "").equals(ASKED_MODE),
                        settings.numberOr("rules.drain_grace_ms", DEFAULT_DRAIN_GRACE_MS)),
                Path.of(required(env, "GW_STATE")),
                handover(env),
                seed(json.path("seed").asText("0")),
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

    /** Where the configuration, which may be another by now, puts discovery. */
    static InetSocketAddress discovery(Map<String, String> env) throws IOException, InvalidInputException {
        return address(json(env).path("discovery").asText());
    }

    /** Where an old and a new process of one sender meet: its name is short, as a socket's must be. */
    private static Path handover(Map<String, String> env) throws InvalidInputException {
        Path folder = Path.of(env.getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir")));
        int which = Path.of(required(env, "GW_STATE")).toAbsolutePath().normalize().hashCode();
        return folder.resolve(String.format("handover-%08x", which));
    }

    private static Optional<InetSocketAddress> ops(String text) throws InvalidInputException {
        return text.isBlank() ? Optional.empty() : Optional.of(address(text));
    }

    private static JsonNode json(Map<String, String> env) throws IOException, InvalidInputException {
        return JsonMapper.builder().build().readTree(Files.readAllBytes(Path.of(required(env, "GW_CONFIG"))));
    }

    /** An address as {@code 10.0.0.4:7070}; there is no DNS, so a host name is an error. */
    static InetSocketAddress address(String text) throws InvalidInputException {
        int cut = text.lastIndexOf(':');
        try {
            if (cut < 1 || !text.substring(0, cut).matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
                throw new InvalidInputException("not an address with a port: '" + text + "'");
            }
            return new InetSocketAddress(InetAddress.getByName(text.substring(0, cut)),
                    Integer.parseInt(text.substring(cut + 1)));
        } catch (IOException | IllegalArgumentException e) {
            throw new InvalidInputException("not an address with a port: '" + text + "'");
        }
    }

    /** Nested JSON as the dotted names of the simulator's wire. */
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

    private static List<String> names(SettingsParser settings, String list) throws InvalidInputException {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < settings.numberOr(list + ".count", 0); i++) {
            names.add(settings.text(list + "." + i + ".name"));
        }
        return names;
    }

    private static long seed(String hex) throws InvalidInputException {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new InvalidInputException("the seed is not a hexadecimal number: " + hex);
        }
    }

    private static String required(Map<String, String> env, String name) throws InvalidInputException {
        String value = env.get(name);
        if (value == null || value.isEmpty()) {
            throw new InvalidInputException(name + " is not set");
        }
        return value;
    }
}
