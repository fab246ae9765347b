package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import starlingvalve.DeliveryPolicy;
import starlingvalve.InvalidInputException;

/** Tests invalid and unusual configurations: each is either accepted or rejected with a clear error message. */
class ConfigTest {
    private static final String VALID = """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
             "limits":{"cores":1.0,"memory_mb":192,"sockets":256,"disk_mb":3},
             "known":{"generation":1,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:2"}]},
             "settings":{"classes":[{"name":"c","aim_ms":2000,"give_up_ms":9000,"repeat":"keyed","window_ms":5000}],
              "tenants":[{"name":"t"}],"flavors":["m"],"zones":["a"],"fleet_size":2,
              "family_info":{"workers":10,"batch_by_kind":[1],"separate_routes":[false],"carriage":[0.1]},
              "limits":{"most_tries":12,"second_copies":false,"cancel":true,"max_open":7,"dial_timeout_ms":1000,
               "keepalive_ms":15000},
              "rules":{"start_capacity":0.2,"warm_after_ms":12000,"fall_multiple":2,"fall_ms":1500}}}""";

    private static final DeliveryPolicy.Actions NO_ACTIONS = (DeliveryPolicy.Actions) Proxy.newProxyInstance(
            DeliveryPolicy.class.getClassLoader(), new Class<?>[] {DeliveryPolicy.Actions.class},
            (proxy, method, arguments) -> null);

    private final JsonMapper json = JsonMapper.builder().build();
    @TempDir
    private Path folder;

    /** Writes the configuration file and returns the environment that names it. */
    private Map<String, String> env(String text) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, text);
        return new HashMap<>(Map.of("GW_CONFIG", file.toString(), "GW_STATE", folder.toString()));
    }

    /** Adds the JSON pointers of all nodes below a node to {@code pointers}. */
    private static void collectPointers(String pointer, JsonNode node, List<String> pointers) {
        if (!pointer.isEmpty()) {
            pointers.add(pointer);
        }
        if (node.isObject()) {
            node.properties().forEach(e -> collectPointers(pointer + "/" + e.getKey(), e.getValue(), pointers));
        }
        for (int i = 0; node.isArray() && i < node.size(); i++) {
            collectPointers(pointer + "/" + i, node.get(i), pointers);
        }
    }

    /** Replaces the node at a pointer, or removes it if {@code value} is a missing node. */
    private static void put(JsonNode tree, String pointer, JsonNode value) {
        int slash = pointer.lastIndexOf('/');
        JsonNode parent = tree.at(pointer.substring(0, slash));
        if (parent instanceof ObjectNode object && value.isMissingNode()) {
            object.remove(pointer.substring(slash + 1));
        } else if (parent instanceof ObjectNode object) {
            object.set(pointer.substring(slash + 1), value);
        } else if (!value.isMissingNode()) {
            ((ArrayNode) parent).set(Integer.parseInt(pointer.substring(slash + 1)), value);
        }
    }

    @Test
    void anyReplacedValueIsAcceptedOrRejectedWithAMessage() throws Exception {
        List<String> pointers = new ArrayList<>();
        collectPointers("", json.readTree(VALID), pointers);
        assertTrue(pointers.size() > 40, "pointers: " + pointers.size());
        List<JsonNode> replacements = new ArrayList<>();
        replacements.add(json.missingNode());
        for (String value : List.of("null", "\"x\"", "\"\"", "-1", "0", "1e300", "\"NaN\"", "[]", "{}", "[[]]",
                "true")) {
            replacements.add(json.readTree(value));
        }
        int rejected = 0;
        for (String pointer : pointers) {
            for (JsonNode value : replacements) {
                JsonNode tree = json.readTree(VALID);
                put(tree, pointer, value);
                try {
                    Config config = Config.read(env(tree.toString()));
                    DeliveryPolicy.create(config.settings(), config.seed(), NO_ACTIONS);
                } catch (InvalidInputException | IllegalArgumentException e) {
                    assertFalse(e.getMessage().isBlank());
                    rejected++;
                }
            }
        }
        assertTrue(rejected > 100, "rejected: " + rejected);
    }

    @Test
    void unreadableOrForeignConfigurationFailsTheStartWithOneLine() throws Exception {
        for (String text : List.of("", "{", "[]", "null", "no configuration\nat all\n", "{\"settings\":{}}", "\0\1\2",
                "{\"a\":1}", VALID.replace("\"workers\":10", "\"workers\":0"), VALID.replace("keyed", "maybe"),
                VALID.replace("\"classes\":[{", "\"classes\":[7,{"))) {
            PrintStream previousErr = System.err;
            ByteArrayOutputStream lines = new ByteArrayOutputStream();
            System.setErr(new PrintStream(lines, true, StandardCharsets.UTF_8));
            int code;
            try {
                code = Sender.serve(env(text));
            } finally {
                System.setErr(previousErr);
            }
            String output = lines.toString(StandardCharsets.UTF_8);
            assertEquals(1, code, text);
            assertEquals(1, output.lines().count(), output);
            assertTrue(output.contains("can't start: "), output);
        }
    }
}
