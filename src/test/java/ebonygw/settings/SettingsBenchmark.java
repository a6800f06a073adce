package ebonygw.settings;

import ebonygw.settings.Edit.Assign;
import ebonygw.settings.FieldValue.Text;
import ebonygw.settings.FieldValue.Whole;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures look-ups, changes and snapshots of settings with 21,000 adapters. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class SettingsBenchmark {
    private static final int ADAPTERS = 21_000;
    private static final int CUSTOMERS = 50;

    private final SettingsState mState = SettingsFixtures.large(CUSTOMERS, ADAPTERS);
    private final SettingsSnapshot mSnapshot = SettingsSnapshot.of(mState);
    private final String[] mNames = new String[ADAPTERS];
    private final LoggedChange mLeafChange =
            logged(new Assign(NodeKey.parse("adapter/a77"), Field.DEFAULT_VERSION, new Text("1")));
    private final LoggedChange mCustomerChange =
            logged(new Assign(SettingsFixtures.customer(3), Field.RATE, new Whole(9)));
    private final LoggedChange mRootChange =
            logged(new Assign(SettingsFixtures.ORGANISATION, Field.MODEL, new Text("other")));
    private int mNext;

    public SettingsBenchmark() {
        for (int i = 0; i < ADAPTERS; i++) {
            mNames[i] = new String("a" + (i * 7919L % ADAPTERS));
        }
    }

    @Benchmark
    @OutputTimeUnit(TimeUnit.NANOSECONDS)
    public AdapterSettings lookUpAdapter() {
        mNext = mNext + 1 == ADAPTERS ? 0 : mNext + 1;
        Optional<AdapterSettings> adapter = mState.view().adapter(mNames[mNext]);
        return adapter.get();
    }

    @Benchmark
    @OutputTimeUnit(TimeUnit.MICROSECONDS)
    public SettingsState applyChangeOfOneAdapter() {
        return mState.apply(mLeafChange).get();
    }

    @Benchmark
    @OutputTimeUnit(TimeUnit.MICROSECONDS)
    public SettingsState applyChangeOfOneCustomer() {
        return mState.apply(mCustomerChange).get();
    }

    @Benchmark
    @OutputTimeUnit(TimeUnit.MILLISECONDS)
    public SettingsState applyChangeThatReachesEveryAdapter() {
        return mState.apply(mRootChange).get();
    }

    @Benchmark
    @OutputTimeUnit(TimeUnit.MILLISECONDS)
    public SettingsState restoreSnapshot() throws IOException {
        return mSnapshot.restore();
    }

    @Benchmark
    @OutputTimeUnit(TimeUnit.MILLISECONDS)
    public SettingsSnapshot writeSnapshot() {
        return SettingsSnapshot.of(mState);
    }

    /** Prints the memory that the settings use and the size of their snapshot. */
    public static void main(String[] args) throws IOException {
        SettingsSnapshot snapshot =
                SettingsSnapshot.of(SettingsFixtures.large(CUSTOMERS, ADAPTERS));
        SettingsState[] kept = new SettingsState[1];
        long before = usedBytes();
        kept[0] = snapshot.restore();
        long restored = usedBytes();
        SettingsState first = kept[0];
        for (int i = 0; i < 1000; i++) {
            Assign edit =
                    new Assign(
                            NodeKey.parse("adapter/a" + i), Field.DEFAULT_VERSION, new Text("1"));
            kept[0] = SettingsFixtures.with(kept[0], "change-" + i, List.of(edit));
        }
        long changed = usedBytes();
        System.out.println("snapshot size in bytes: " + snapshot.bytes().size());
        System.out.println("memory used after a restore, in bytes: " + (restored - before));
        System.out.println(
                "additional memory for 1000 changes with their log and the first state, in bytes: "
                        + (changed - restored));
        System.out.println(
                "first and last revision: " + first.revision() + " " + kept[0].revision());
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 5; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private LoggedChange logged(Edit edit) {
        return mState.preview(
                        SettingsFixtures.change("x", mState.revision(), List.of(edit)),
                        version -> false)
                .get()
                .logged();
    }
}
