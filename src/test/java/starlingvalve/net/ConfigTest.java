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

/** Configurations that nobody meant: each is taken for what it says, or ends the start with a plain line. */
class ConfigTest {
    private static final String GOOD = """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
             "limits":{"cores":1.0,"memory_mb":192,"sockets":256,"disk_mb":3},
             "known":{"generation":1,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:2"}]},
             "settings":{"classes":[{"name":"c","aim_ms":2000,"give_up_ms":9000,"repeat":"keyed","window_ms":5000}],
              "tenants":[{"name":"t"}],"flavors":["m"],"zones":["a"],"fleet_size":2,
              "family_info":{"workers":10,"batch_by_kind":[1],"separate_routes":[false],"carriage":[0.1]},
              "limits":{"most_tries":12,"second_copies":false,"cancel":true,"max_open":7,"dial_timeout_ms":1000,
               "keepalive_ms":15000},
              "rules":{"start_capacity":0.2,"warm_after_ms":12000,"fall_multiple":2,"fall_ms":1500}}}""";

    private static final DeliveryPolicy.Actions NOBODY = (DeliveryPolicy.Actions) Proxy.newProxyInstance(
            DeliveryPolicy.class.getClassLoader(), new Class<?>[] {DeliveryPolicy.Actions.class},
            (proxy, method, arguments) -> null);

    private final JsonMapper json = JsonMapper.builder().build();
    @TempDir
    private Path folder;

    private Map<String, String> env(String text) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, text);
        return new HashMap<>(Map.of("GW_CONFIG", file.toString(), "GW_STATE", folder.toString()));
    }

    /** All places of a tree, as pointers. */
    private static void places(String at, JsonNode node, List<String> all) {
        if (!at.isEmpty()) {
            all.add(at);
        }
        if (node.isObject()) {
            node.properties().forEach(e -> places(at + "/" + e.getKey(), e.getValue(), all));
        }
        for (int i = 0; node.isArray() && i < node.size(); i++) {
            places(at + "/" + i, node.get(i), all);
        }
    }

    private static void put(JsonNode whole, String at, JsonNode value) {
        int cut = at.lastIndexOf('/');
        JsonNode parent = whole.at(at.substring(0, cut));
        if (parent instanceof ObjectNode object && value.isMissingNode()) {
            object.remove(at.substring(cut + 1));
        } else if (parent instanceof ObjectNode object) {
            object.set(at.substring(cut + 1), value);
        } else if (!value.isMissingNode()) {
            ((ArrayNode) parent).set(Integer.parseInt(at.substring(cut + 1)), value);
        }
    }

    @Test
    void anyValueOutOfPlaceIsReadOrNamedAndNeverAFault() throws Exception {
        List<String> all = new ArrayList<>();
        places("", json.readTree(GOOD), all);
        assertTrue(all.size() > 40, "places: " + all.size());
        List<JsonNode> odd = new ArrayList<>();
        odd.add(json.missingNode());
        for (String value : List.of("null", "\"x\"", "\"\"", "-1", "0", "1e300", "\"NaN\"", "[]", "{}", "[[]]",
                "true")) {
            odd.add(json.readTree(value));
        }
        int named = 0;
        for (String at : all) {
            for (JsonNode value : odd) {
                JsonNode tree = json.readTree(GOOD);
                put(tree, at, value);
                try {
                    Config config = Config.read(env(tree.toString()));
                    DeliveryPolicy.create(config.settings(), config.seed(), NOBODY);
                } catch (InvalidInputException | IllegalArgumentException e) {
                    assertFalse(e.getMessage().isBlank());
                    named++;
                }
            }
        }
        assertTrue(named > 100, "turned away: " + named);
    }

    @Test
    void anUnreadableOrForeignConfigurationEndsTheStartWithOneLine() throws Exception {
        for (String text : List.of("", "{", "[]", "null", "no configuration\nat all\n", "{\"settings\":{}}", "\0\1\2",
                "{\"a\":1}", GOOD.replace("\"workers\":10", "\"workers\":0"), GOOD.replace("keyed", "maybe"),
                GOOD.replace("\"classes\":[{", "\"classes\":[7,{"))) {
            PrintStream before = System.err;
            ByteArrayOutputStream lines = new ByteArrayOutputStream();
            System.setErr(new PrintStream(lines, true, StandardCharsets.UTF_8));
            int code;
            try {
                code = Sender.serve(env(text));
            } finally {
                System.setErr(before);
            }
            String said = lines.toString(StandardCharsets.UTF_8);
            assertEquals(1, code, text);
            assertEquals(1, said.lines().count(), said);
            assertTrue(said.contains("can't start: "), said);
        }
    }
}
