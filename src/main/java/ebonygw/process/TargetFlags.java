package ebonygw.process;

import java.util.concurrent.TimeUnit;
import org.kohsuke.args4j.Option;

/** Command-line flags of a target process. */
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
            usage = "kind of the target: a model engine or a plain service")
    private String mKind = ENGINE;

    @Option(
            name = "--serves",
            metaVar = "NAME",
            usage = "name of the base model or plain service that the target serves")
    private String mServes;

    @Option(
            name = "--ignores-fencing",
            usage = "the engine does not reject orders with an outdated fencing token")
    private boolean mIgnoresFencing;

    @Option(
            name = "--reachable-elsewhere",
            usage = "hosts other than this one can reach the target too")
    private boolean mReachableElsewhere;

    @Option(
            name = "--weight-store",
            metaVar = "NAME",
            usage =
                    "weight store that the engine loads from, none if its loads are not limited by"
                            + " a shared budget")
    private String mWeightStore = "";

    @Option(
            name = "--max-queue",
            metaVar = "COUNT",
            usage = "maximum number of requests queued in the process")
    private int mMaxQueue = 1_000;

    @Option(
            name = "--concurrency",
            metaVar = "COUNT",
            usage = "initial limit of concurrent requests to the target")
    private int mConcurrency = 32;

    @Option(
            name = "--order-timeout",
            metaVar = "SECONDS",
            usage = "maximum duration of an order to load or unload an adapter")
    private int mOrderTimeoutSeconds = 10;

    /** Creates flags with their default values. */
    public TargetFlags() {}

    @Override
    public TargetSettings settings(FlagReader reader) {
        if (!mKind.equals(ENGINE) && !mKind.equals(SERVICE)) {
            reader.addFault("--kind: must be engine or service, was " + mKind);
        }
        reader.checkRange("--max-queue", mMaxQueue, 1, 1_000_000);
        reader.checkRange("--concurrency", mConcurrency, 1, 65_536);
        reader.checkRange("--order-timeout", mOrderTimeoutSeconds, 1, 600);
        return new TargetSettings(
                commonSettings(reader),
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
