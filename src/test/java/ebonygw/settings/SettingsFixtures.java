package ebonygw.settings;

import ebonygw.settings.FieldValue.Names;
import ebonygw.settings.FieldValue.Text;
import ebonygw.settings.FieldValue.Whole;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Settings that are shared by several tests. */
public final class SettingsFixtures {
    public static final NodeKey ORGANISATION = NodeKey.parse("organisation/harbourside");
    public static final NodeKey REGION = NodeKey.parse("region/kingston");
    private static final int EDITS_PER_CHANGE = 1500;

    private SettingsFixtures() {}

    public static Edit adapter(String name, NodeKey parent) {
        return new Edit.Create(
                NodeKey.parse("adapter/" + name),
                parent,
                Map.of(
                        Field.VERSIONS,
                        new Names(Set.of("1", "2")),
                        Field.DEFAULT_VERSION,
                        new Text("2")));
    }

    public static List<Edit> base() {
        return List.of(
                new Edit.Create(
                        ORGANISATION,
                        null,
                        Map.of(
                                Field.RATE,
                                new Whole(1000),
                                Field.BURST,
                                new Whole(5000),
                                Field.MODEL,
                                new Text("llama"))),
                new Edit.Create(REGION, ORGANISATION, Map.of()),
                new Edit.Create(customer(0), ORGANISATION, Map.of()),
                new Edit.Create(customer(1), REGION, Map.of(Field.RATE, new Whole(200))));
    }

    public static SettingsChange change(String id, long base, List<Edit> edits) {
        return new SettingsChange(id, "ada", "test", base, 0, edits);
    }

    public static NodeKey customer(int number) {
        return NodeKey.parse("customer/c" + number);
    }

    /**
     * Returns a state with the given numbers of customers and of adapters, which are divided evenly
     * among the customers.
     */
    public static SettingsState large(int customers, int adapters) {
        List<Edit> edits = new ArrayList<>(base().subList(0, 2));
        for (int i = 0; i < customers; i++) {
            edits.add(new Edit.Create(customer(i), ORGANISATION, Map.of()));
        }
        for (int i = 0; i < adapters; i++) {
            edits.add(adapter("a" + i, customer(i % customers)));
        }
        SettingsState state = SettingsState.EMPTY;
        for (int from = 0; from < edits.size(); from += EDITS_PER_CHANGE) {
            int to = Math.min(edits.size(), from + EDITS_PER_CHANGE);
            state = with(state, "large-" + from, edits.subList(from, to));
        }
        return state;
    }

    /** Returns the state after a change, which must be valid. */
    public static SettingsState with(SettingsState state, String id, List<Edit> edits) {
        LoggedChange logged =
                state.preview(change(id, state.revision(), edits), version -> false)
                        .getOrElseThrow(reasons -> new AssertionError(reasons.toString()))
                        .logged();
        return state.apply(logged)
                .getOrElseThrow(reasons -> new AssertionError(reasons.toString()));
    }
}
