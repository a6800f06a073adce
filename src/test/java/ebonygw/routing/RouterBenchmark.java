package ebonygw.routing;

import ebonygw.WorkFixtures;
import ebonygw.membership.Member;
import ebonygw.membership.MemberMessage.TargetReport;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import ebonygw.request.AdapterVersion;
import ebonygw.request.Work;
import ebonygw.settings.AdapterSettings;
import ebonygw.settings.RouteSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures one routing decision at 10,000 replicas and 21,000 adapters. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 5, time = 2)
@Fork(1)
public class RouterBenchmark {
    private static final int REPLICAS = 10_000;
    private static final int ADAPTERS = 21_000;
    private static final int SLOTS = 32;
    private static final long SECOND = 1_000_000_000L;
    private static final long STEP_NANOS = 20_000;

    private final Router mRouter =
            new Router(RouterOptions.defaults(new NodeId("entry"), locality(0)));
    private final RouteSettings mRoute =
            new RouteSettings("r", "", false, "model", "", true, SECOND, 0, 0, Set.of());
    private final AdapterSettings mAdapter =
            new AdapterSettings("a", "", "model", Set.of("1"), "1");
    private Work[] mWorks;
    private int mNext;
    private long mNow = SECOND;

    /** Adds the targets with their residency, and demand for each adapter. */
    @Setup
    public void fill() {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < REPLICAS; i++) {
            members.add(
                    new Member(
                            new NodeId("target-" + i),
                            1,
                            Role.TARGET,
                            MemberState.LIVE,
                            locality(i % 3),
                            "",
                            "model"));
        }
        mRouter.onMembers(members, mNow);
        for (int i = 0; i < REPLICAS; i++) {
            List<AdapterVersion> resident = new ArrayList<>();
            for (int slot = 0; slot < SLOTS; slot++) {
                int adapter = (int) (((long) i * SLOTS + slot) * 7919 % ADAPTERS);
                resident.add(new AdapterVersion("adapter-" + adapter, "1"));
            }
            mRouter.onReport(
                    new NodeId("target-" + i),
                    1,
                    new TargetReport(1, i % 8, 0, 8, 0, resident, List.of()),
                    mNow);
        }
        mWorks = new Work[ADAPTERS];
        for (int i = 0; i < ADAPTERS; i++) {
            mWorks[i] = WorkFixtures.modelRequest(i, "customer-" + i % 5, "adapter-" + i);
            choose();
        }
    }

    /** Chooses a target for work on the next adapter. */
    @Benchmark
    public Object choose() {
        mNext = (mNext + 1) % ADAPTERS;
        mNow += STEP_NANOS;
        Work work = mWorks[mNext];
        return work == null
                ? null
                : mRouter.choose(work, mRoute, mAdapter, Set.of(), mNow + 30 * SECOND, mNow);
    }

    private static Locality locality(int region) {
        return new Locality("region-" + region, "a");
    }
}
