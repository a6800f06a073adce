package ebonygw.process;

import java.util.concurrent.TimeUnit;
import org.kohsuke.args4j.Option;

/** Flags of a target process. */
public final class TargetFlags extends CommonFlags implements Flags<TargetSettings> {
    private static final String ENGINE = "engine";
    private static final String SERVICE = "service";

    @Option(
            name = "--target",
            metaVar = "IP:PORT",
            usage = "address of the model engine or plain service")
    private String mTarget;

    @Option(
            name = "--kind",
            metaVar = "engine|service",
            usage = "whether the target is a model engine or a plain service")
    private String mKind = ENGINE;

    @Option(
            name = "--serves",
            metaVar = "NAME",
            usage = "base model or plain service behind this process")
    private String mServes;

    @Option(
            name = "--ignores-fencing",
            usage = "the engine does not refuse orders with an old fencing token")
    private boolean mIgnoresFencing;

    @Option(
            name = "--reachable-elsewhere",
            usage = "other hosts than this one can reach the target too")
    private boolean mReachableElsewhere;

    @Option(
            name = "--weight-store",
            metaVar = "NAME",
            usage = "weight store that the engine loads from, none if its loads are not divided")
    private String mWeightStore = "";

    @Option(
            name = "--max-queue",
            metaVar = "COUNT",
            usage = "most requests that wait in the process")
    private int mMaxQueue = 1_000;

    @Option(
            name = "--concurrency",
            metaVar = "COUNT",
            usage = "requests that the target runs well together, until it reports")
    private int mConcurrency = 32;

    @Option(
            name = "--order-timeout",
            metaVar = "SECONDS",
            usage = "longest time of an order to load or unload an adapter")
    private int mOrderTimeoutSeconds = 10;

    /** Creates flags with their defaults. */
    public TargetFlags() {}

    @Override
    public TargetSettings settings(FlagReader reader) {
        if (!mKind.equals(ENGINE) && !mKind.equals(SERVICE)) {
            reader.fault("--kind: neither engine nor service: " + mKind);
        }
        reader.bounds("--max-queue", mMaxQueue, 1, 1_000_000);
        reader.bounds("--concurrency", mConcurrency, 1, 65_536);
        reader.bounds("--order-timeout", mOrderTimeoutSeconds, 1, 600);
        return new TargetSettings(
                common(reader),
                reader.address("--target", mTarget),
                reader.text("--serves", mServes),
                mKind.equals(ENGINE),
                !mIgnoresFencing,
                !mReachableElsewhere,
                mWeightStore,
                mMaxQueue,
                mConcurrency,
                TimeUnit.SECONDS.toNanos(mOrderTimeoutSeconds));
    }
}
