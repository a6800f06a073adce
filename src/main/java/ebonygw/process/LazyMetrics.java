package ebonygw.process;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.Objects;
import java.util.function.Consumer;

/**
 * Metrics of a process, whose registry is created when they are first read.
 *
 * <p>Thread-safe.
 */
final class LazyMetrics {
    private final NodeRuntime<?> mRuntime;
    private final Consumer<MeterRegistry> mAdditionalMetrics;
    private ProcessMetrics mMetrics;

    /**
     * Creates metrics.
     *
     * @param runtime runtime whose control loop and node are measured
     * @param additional registers additional metrics, called before each read
     */
    LazyMetrics(NodeRuntime<?> runtime, Consumer<MeterRegistry> additional) {
        mRuntime = Objects.requireNonNull(runtime, "runtime");
        mAdditionalMetrics = Objects.requireNonNull(additional, "additional");
    }

    /** Returns all metrics in the Prometheus text format. */
    synchronized String scrape() throws InterruptedException {
        if (mMetrics == null) {
            mMetrics = new ProcessMetrics();
            mMetrics.addControlLoop(mRuntime.loop());
        }
        mAdditionalMetrics.accept(mMetrics.registry());
        return mMetrics.scrape(mRuntime.dump().get("node"));
    }
}
