package starlingvalve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Settings that are unusual or missing. */
class SettingsParserTest {
    private static Map<String, String> withoutFallMs() {
        return new HashMap<>(Map.of("classes.count", "1", "classes.0.aim_ms", "1000", "classes.0.give_up_ms", "5000",
                "classes.0.repeat", "safe", "fleet_size", "3", "family_info.workers", "4", "limits.most_tries", "8",
                "rules.start_capacity", "0.2", "rules.warm_after_ms", "1000", "rules.fall_multiple", "2"));
    }

    @Test
    void fleetSizeZeroCountsAsOneAndKindsDefaultToOne() throws InvalidInputException {
        Map<String, String> values = withoutFallMs();
        values.put("rules.fall_ms", "1500");
        values.put("fleet_size", "0");
        DeliveryPolicy.Settings settings = new SettingsParser(values).settings();
        assertEquals(1, settings.senders());
        assertEquals(1, settings.kinds().size());
    }

    @Test
    void missingRequiredSettingIsNamedInTheException() {
        assertEquals("setting rules.fall_ms is missing",
                assertThrows(InvalidInputException.class, () -> new SettingsParser(withoutFallMs()).settings())
                        .getMessage());
    }
}
