package ebonygw.gateway;

import com.google.protobuf.ByteString;
import ebonygw.gateway.GatewayRequest.PromptPart;
import ebonygw.protocol.NodeId;
import ebonygw.routing.RouterOptions;
import ebonygw.spillover.SpilloverOptions;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures one choice among 36 replicas, without and with their learnt speeds; limit 2 us. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class TargetChooserBenchmark {
    private static final int TARGETS = 36;

    /** Whether the targets report how long work takes. */
    @Param({"false", "true"})
    public boolean mReporting;

    /** Adapter of the requests: none, one that all replicas hold, one that none holds. */
    @Param({"", "m0/a1", "m0/none"})
    public String mAdapter;

    /** Whether the traffic between data centres has a price; needs reporting targets. */
    @Param({"false"})
    public boolean mPriced;

    private final ChooserOptions mCosts = ChooserOptions.defaults(GatewayFixture.KINGSTON);
    private final TargetTable mTable =
            new TargetTable(RouterOptions.defaults(new NodeId("e"), GatewayFixture.KINGSTON));
    private TargetChooser mChooser;
    private GatewayRequest mRequest;
    private long mNow = TimeUnit.SECONDS.toNanos(1);

    /** Registers the targets, which hold the adapter and have cached some prompts. */
    @Setup
    public void fill() {
        GatewayOutbox out = new GatewayOutbox();
        TargetSpeeds speeds = new TargetSpeeds(mCosts, mTable, 1, out);
        Optional<SpilloverCosts> spillover =
                Optional.of(SpilloverOptions.ofMillis(20, 500, 0))
                        .filter(it -> mPriced)
                        .map(it -> new SpilloverCosts(it, mCosts.locality(), new FleetSize(), out));
        mChooser = new TargetChooser(mCosts, Optional.of(speeds), spillover);
        GatewayRequest base = GatewayFixture.request("r", "/ask/1", GatewayFixture.KEY, mAdapter);
        mRequest =
                new GatewayRequest(
                        "r",
                        base.method(),
                        base.host(),
                        base.path(),
                        base.keyHash(),
                        base.model(),
                        mAdapter,
                        826,
                        36,
                        List.of(new PromptPart("system", 400), new PromptPart("own", 426)),
                        base.callerTimeoutNanos(),
                        "",
                        Map.of(),
                        ByteString.EMPTY);
        String owner = mAdapter.isEmpty() ? "m0" : mAdapter;
        for (int i = 0; i < TARGETS; i++) {
            TargetRecord record =
                    new TargetRecord(
                            "t" + i,
                            1,
                            "model",
                            "10.2.0." + i + ":80",
                            i % 2 == 0 ? GatewayFixture.KINGSTON : GatewayFixture.MONTEGO,
                            64,
                            false,
                            Map.of("m0", 1L),
                            Map.of("m0/a1", 1L, "m0/b" + i, 1L));
            GatewayTarget target = mTable.put(record, mNow);
            target.onLoaderUp();
            target.onLoad(new TargetLoad(i, i % 3, 64), mNow);
            target.promptCache().onPromptSent(owner, List.of(new PromptPart("system", 400)));
            if (mReporting) {
                speeds.onReport(target, 90 + i, mNow);
            }
        }
    }

    /** Chooses a target. */
    @Benchmark
    public Object choose() {
        mNow += 1_000;
        return mChooser.choose(mRequest, 0, mTable.ofService("model"), Set.of(), "", 300, mNow);
    }
}
