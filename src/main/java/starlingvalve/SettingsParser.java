package starlingvalve;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The settings of one sender by their dotted names, and their conversion to the settings of the delivery policy.
 * The simulator's adapter and the real sender share it, so that both read a setting alike. Unknown settings are
 * ignored.
 */
public record SettingsParser(Map<String, String> values) {
    /** The settings of the delivery policy. */
    public DeliveryPolicy.Settings settings() throws InvalidInputException {
        List<DeliveryPolicy.MessageClass> classes = new ArrayList<>();
        for (int i = 0; i < number("classes.count"); i++) {
            String prefix = "classes." + i + ".";
            DeliveryPolicy.Effect effect = switch (text(prefix + "repeat")) {
                case "safe" -> DeliveryPolicy.Effect.SAFE;
                case "keyed" -> DeliveryPolicy.Effect.KEYED;
                case "unsafe" -> DeliveryPolicy.Effect.UNSAFE;
                default -> throw new InvalidInputException("unknown value of " + prefix + "repeat");
            };
            classes.add(new DeliveryPolicy.MessageClass(number(prefix + "aim_ms"), number(prefix + "give_up_ms"),
                    numberOr(prefix + "worth", 1), numberOr(prefix + "late_worth", 0), effect,
                    !textOr(prefix + "dedup_scope", "all").equals("all"), numberOr(prefix + "window_ms", 0),
                    flag(prefix + "sequential")));
        }
        List<DeliveryPolicy.Kind> kinds = new ArrayList<>();
        List<String> separateRoutes = list("family_info.separate_routes");
        List<String> batches = list("family_info.batch_by_kind");
        for (int i = 0; i < Math.max(1, Math.max(separateRoutes.size(), batches.size())); i++) {
            kinds.add(new DeliveryPolicy.Kind(i < separateRoutes.size() && separateRoutes.get(i).equals("true"),
                    i < batches.size() ? (int) parse(batches.get(i)) : 1));
        }
        List<Double> fees = new ArrayList<>();
        for (String fee : list("family_info.carriage")) {
            fees.add(parse(fee));
        }
        DeliveryPolicy.Decay decay = textOr("family_info.decay", "line").equals("halves")
                ? DeliveryPolicy.Decay.HALVING : DeliveryPolicy.Decay.LINEAR;
        DeliveryPolicy.ColdStart coldStart = new DeliveryPolicy.ColdStart(number("rules.start_capacity"),
                number("rules.warm_after_ms"), number("rules.fall_multiple"), number("rules.fall_ms"));
        boolean ratesListed = !textOr("weight_kind", "none").equals("none");
        return new DeliveryPolicy.Settings(classes, kinds, ratesListed, decay, fees,
                Math.max(1, (int) number("fleet_size")), (int) number("family_info.workers"),
                (int) number("limits.most_tries"), flag("limits.second_copies"), flag("limits.cancel"),
                numberOr("rules.order_pause_ms", 0), numberOr("limits.keepalive_ms", 0), coldStart);
    }

    /** The value of a required setting. */
    public String text(String name) throws InvalidInputException {
        String value = values.get(name);
        if (value == null) {
            throw new InvalidInputException("setting " + name + " is missing");
        }
        return value;
    }

    /** The value of a setting, or the default if it is absent. */
    public String textOr(String name, String defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }

    /** The number in a required setting. */
    public double number(String name) throws InvalidInputException {
        return parse(text(name));
    }

    /** The number in a setting, or the default if it is absent. */
    public double numberOr(String name, double defaultValue) throws InvalidInputException {
        return values.containsKey(name) ? number(name) : defaultValue;
    }

    /** Whether a flag is set; an absent one is not. */
    public boolean flag(String name) {
        return textOr(name, "false").equals("true");
    }

    /** The parts of a comma-separated list; none if it is absent or {@code -}. */
    public List<String> list(String name) {
        String value = textOr(name, "");
        return value.isEmpty() || value.equals("-") ? List.of() : List.of(value.split(","));
    }

    private static double parse(String value) throws InvalidInputException {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Rejected below, like an infinite value or NaN.
        }
        throw new InvalidInputException("not a number among the settings: " + value);
    }
}
