package ebonygw.bench.capacity;

import ebonygw.settings.Edit;
import ebonygw.settings.Field;
import ebonygw.settings.FieldValue.Names;
import ebonygw.settings.FieldValue.Text;
import ebonygw.settings.FieldValue.Whole;
import ebonygw.settings.LoggedChange;
import ebonygw.settings.NodeKey;
import ebonygw.settings.SettingsChange;
import ebonygw.settings.SettingsMessage;
import ebonygw.settings.SettingsState;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Measures the cost of the settings per adapter, customer and change. */
final class SettingsCost {
    private static final int[] ADAPTER_COUNTS = {1_000, 4_000, 16_000};
    private static final int[] CUSTOMER_COUNTS = {100, 400, 1_600};
    private static final int EDITS_PER_CHANGE = 1_000;
    private static final int CHANGES = 200;
    private static final NodeKey ROOT = NodeKey.parse("organisation/root");

    private int mChanges;

    /** Measures all slopes. */
    List<Slope> measure() {
        List<Slope.Sample> adapterHeap = new ArrayList<>();
        List<Slope.Sample> customerHeap = new ArrayList<>();
        List<Slope.Sample> cpu = new ArrayList<>();
        List<Slope.Sample> bytes = new ArrayList<>();
        for (int adapters : ADAPTER_COUNTS) {
            adapterHeap.add(new Slope.Sample(adapters, Meter.heapBytes(() -> state(20, adapters))));
            SettingsState[] state = {state(20, adapters)};
            long[] size = {0};
            double nanos =
                    Meter.cpuNanos(
                            CHANGES,
                            () -> {
                                LoggedChange change = change(state[0]);
                                size[0] =
                                        Meter.wireBytes(
                                                new SettingsMessage.Changes(
                                                        List.of(change.stored())));
                                state[0] = apply(state[0], change);
                            });
            cpu.add(new Slope.Sample(adapters, nanos));
            bytes.add(new Slope.Sample(adapters, size[0]));
        }
        for (int customers : CUSTOMER_COUNTS) {
            customerHeap.add(
                    new Slope.Sample(customers, Meter.heapBytes(() -> state(customers, 100))));
        }
        return List.of(
                new Slope("settings heap per adapter", "bytes", "adapter", adapterHeap),
                new Slope("settings heap per customer", "bytes", "customer", customerHeap),
                new Slope("settings change, processor", "ns", "adapter", cpu),
                new Slope("settings change, bytes", "bytes", "adapter", bytes));
    }

    private static SettingsState apply(SettingsState state, LoggedChange change) {
        return state.apply(change)
                .getOrElseThrow(reasons -> new IllegalStateException(reasons.toString()));
    }

    private LoggedChange change(SettingsState state) {
        NodeKey customer = NodeKey.parse("customer/c1");
        long rate = 1_000_000 + mChanges;
        return logged(state, List.of(new Edit.Assign(customer, Field.RATE, new Whole(rate))));
    }

    private LoggedChange logged(SettingsState state, List<Edit> edits) {
        SettingsChange change =
                new SettingsChange(
                        "change-" + mChanges++, "ada", "capacity", state.revision(), 0, edits);
        return state.preview(change, version -> false)
                .getOrElseThrow(reasons -> new IllegalStateException(reasons.toString()))
                .logged();
    }

    /**
     * Returns settings with customers and adapters, which are distributed evenly over customers.
     */
    SettingsState state(int customers, int adapters) {
        List<Edit> edits = new ArrayList<>();
        edits.add(
                new Edit.Create(
                        ROOT,
                        null,
                        Map.of(
                                Field.RATE, new Whole(1_000_000),
                                Field.BURST, new Whole(1_000_000),
                                Field.MODEL, new Text("model"))));
        for (int i = 0; i < customers; i++) {
            edits.add(new Edit.Create(NodeKey.parse("customer/c" + i), ROOT, Map.of()));
        }
        for (int i = 0; i < adapters; i++) {
            edits.add(
                    new Edit.Create(
                            NodeKey.parse("adapter/a" + i),
                            NodeKey.parse("customer/c" + i % customers),
                            Map.of(
                                    Field.VERSIONS, new Names(Set.of("1", "2")),
                                    Field.DEFAULT_VERSION, new Text("2"))));
        }
        SettingsState state = SettingsState.EMPTY;
        for (int from = 0; from < edits.size(); from += EDITS_PER_CHANGE) {
            int to = Math.min(edits.size(), from + EDITS_PER_CHANGE);
            state = apply(state, logged(state, edits.subList(from, to)));
        }
        return state;
    }
}
