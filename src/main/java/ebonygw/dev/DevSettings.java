package ebonygw.dev;

import ebonygw.settings.Edit;
import ebonygw.settings.Field;
import ebonygw.settings.FieldValue;
import ebonygw.settings.KeySettings;
import ebonygw.settings.NodeKey;
import ebonygw.settings.SettingsChange;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The initial settings of a {@link DevFleet}: one customer with a key, a few adapters and routes.
 */
public final class DevSettings {
    /** Base model of the engines. */
    public static final String MODEL = "base-1";

    /** Name of the plain service and of its route, whose requests are not idempotent. */
    public static final String SERVICE = "bookings";

    /** Prefix of the adapter names; a number from 1 follows. */
    public static final String ADAPTER_PREFIX = "adapter-";

    private static final int ADAPTER_COUNT = 12;
    private static final long RATE_TOKENS_PER_SECOND = 50_000;
    private static final long BURST_TOKENS = 200_000;
    private static final NodeKey ROOT = NodeKey.parse("organisation/dev");

    private DevSettings() {}

    /**
     * Returns the change that creates the initial settings.
     *
     * @param customer name of the customer that a key is issued to
     * @param keyHash SHA-256 of the key in lower-case hexadecimal
     */
    public static SettingsChange initialChange(String customer, String keyHash) {
        List<Edit> edits = new ArrayList<>();
        edits.add(
                new Edit.Create(
                        ROOT,
                        null,
                        Map.of(
                                Field.RATE,
                                new FieldValue.Whole(RATE_TOKENS_PER_SECOND),
                                Field.BURST,
                                new FieldValue.Whole(BURST_TOKENS))));
        edits.add(new Edit.Create(NodeKey.parse("customer/" + customer), ROOT, Map.of()));
        edits.add(
                new Edit.Create(
                        NodeKey.parse("route/completions"),
                        ROOT,
                        Map.of(
                                Field.MODEL,
                                new FieldValue.Text(MODEL),
                                Field.IDEMPOTENT,
                                new FieldValue.Flag(true))));
        edits.add(
                new Edit.Create(
                        NodeKey.parse("route/" + SERVICE),
                        ROOT,
                        Map.of(Field.SERVICE, new FieldValue.Text(SERVICE))));
        for (int i = 1; i <= ADAPTER_COUNT; i++) {
            edits.add(adapter(ADAPTER_PREFIX + i));
        }
        edits.add(
                new Edit.IssueKey(
                        new KeySettings(customer + "-1", customer, keyHash, Long.MAX_VALUE)));
        return new SettingsChange("first-" + customer, "dev", "first settings", -1, 0, edits);
    }

    private static Edit adapter(String name) {
        return new Edit.Create(
                NodeKey.parse("adapter/" + name),
                ROOT,
                Map.of(
                        Field.MODEL,
                        new FieldValue.Text(MODEL),
                        Field.VERSIONS,
                        new FieldValue.Names(Set.of("1", "2")),
                        Field.DEFAULT_VERSION,
                        new FieldValue.Text("2")));
    }
}
