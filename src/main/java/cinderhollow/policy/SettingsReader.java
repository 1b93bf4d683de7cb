package cinderhollow.policy;

import cinderhollow.policy.Protocol.DedupGroup;
import cinderhollow.policy.Protocol.Effect;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.policy.Protocol.Rules;
import cinderhollow.policy.Protocol.Settings;
import cinderhollow.policy.Protocol.Tenant;
import cinderhollow.policy.Protocol.UpstreamOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reads the settings of the decision module from pairs of path and value such as {@code grades.0.name}. This is the form of the
 * simulator's protocol; a real gateway flattens its configuration into the same form. Unknown keys are ignored. A missing or
 * unreadable value causes an {@link IllegalArgumentException} that names the key.
 */
public final class SettingsReader {
    private final Map<String, String> values;

    /** Creates a reader of these pairs of path and value. */
    public SettingsReader(Map<String, String> values) {
        this.values = values;
    }

    /** Reads all settings that the module needs. */
    public Settings read() {
        return new Settings((int) number("group_size"), (int) number("my_number"), text("zone", ""),
                text("discovery").equals("subscribe"), number("resolution_ns"), classes(), tenants(),
                decimal("over_share_worth", 1), upstreamOptions(), rules());
    }

    /**
     * Returns the whole number under a key.
     *
     * @throws IllegalArgumentException if it is missing or unreadable
     */
    public long number(String name) {
        String value = text(name);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(name + " is not a whole number: '" + value + "'", e);
        }
    }

    private List<RequestClass> classes() {
        List<RequestClass> classes = new ArrayList<>();
        long count = number("grades.count");
        for (int i = 0; i < count; i++) {
            String prefix = "grades." + i + ".";
            classes.add(new RequestClass(text(prefix + "name"), effect(prefix), dedupGroup(prefix),
                    number(prefix + "window_ns", 0), number(prefix + "aim_ns"), number(prefix + "deadline_ns"),
                    decimal(prefix + "value", 1), decimal(prefix + "late_worth", 0), flag(prefix + "stream", false)));
        }
        return classes;
    }

    private Effect effect(String prefix) {
        String value = text(prefix + "semantics");
        return switch (value) {
            case "safe" -> Effect.SAFE;
            case "keyed" -> Effect.KEYED;
            case "unsafe" -> Effect.UNSAFE;
            default -> throw new IllegalArgumentException("unknown semantics '" + value + "'");
        };
    }

    private DedupGroup dedupGroup(String prefix) {
        String value = text(prefix + "dedup_scope", "all");
        return switch (value) {
            case "all" -> DedupGroup.ALL;
            case "zone" -> DedupGroup.ZONE;
            case "cell" -> DedupGroup.CELL;
            default -> throw new IllegalArgumentException("unknown dedup_scope '" + value + "'");
        };
    }

    private List<Tenant> tenants() {
        List<Tenant> tenants = new ArrayList<>();
        long count = number("accounts.count", 0);
        for (int i = 0; i < count; i++) {
            tenants.add(new Tenant(text("accounts." + i + ".name"),
                    decimal("accounts." + i + ".quota_per_s", Double.POSITIVE_INFINITY)));
        }
        return tenants;
    }

    private UpstreamOptions upstreamOptions() {
        UpstreamOptions defaults = new UpstreamOptions((int) number("allowed.max_attempts", 1), flag("allowed.may_cancel",
                false));
        return new UpstreamOptions(defaults.maxAttempts(), defaults.mayCancel(),
                number("allowed.conn_idle_ns", defaults.idleTimeoutNanos()));
    }

    private Rules rules() {
        return new Rules(number("obligations.answer_slack_ns", 0), number("obligations.drain_grace_ns"),
                number("obligations.ask_within_ns", Long.MAX_VALUE), decimal("obligations.cold_from", 1),
                number("obligations.warm_up_ns", 0), decimal("obligations.overload_factor", 1),
                number("obligations.overload_for_ns", 1));
    }

    private String text(String name) {
        String value = values.get(name);
        if (value == null) {
            throw new IllegalArgumentException("the settings lack " + name);
        }
        return value;
    }

    private String text(String name, String defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }

    /** Returns the whole number under a key, or the default value if the key is missing. */
    public long number(String name, long defaultValue) {
        return values.containsKey(name) ? number(name) : defaultValue;
    }

    private double decimal(String name, double defaultValue) {
        String value = values.get(name);
        try {
            return value == null ? defaultValue : Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(name + " is not a number: '" + value + "'", e);
        }
    }

    /** Returns whether a flag is set ("true" or "1"), or the default value if the key is missing. */
    public boolean flag(String name, boolean defaultValue) {
        String value = text(name, defaultValue ? "true" : "false");
        return value.equals("true") || value.equals("1");
    }
}
