package ebonygw.process;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.Objects;
import java.util.function.Consumer;

/**
 * Metrics of a process that cost nothing until they are first read.
 *
 * <p>Thread-safe.
 */
final class LazyMetrics {
    private final NodeRuntime<?> mRuntime;
    private final Consumer<MeterRegistry> mFurther;
    private ProcessMetrics mMetrics;

    /**
     * Creates metrics.
     *
     * @param runtime the runtime whose control thread and node they show
     * @param further registers what has been measured besides, before each reading
     */
    LazyMetrics(NodeRuntime<?> runtime, Consumer<MeterRegistry> further) {
        mRuntime = Objects.requireNonNull(runtime, "runtime");
        mFurther = Objects.requireNonNull(further, "further");
    }

    /** Returns all metrics as text. */
    synchronized String scrape() throws InterruptedException {
        if (mMetrics == null) {
            mMetrics = new ProcessMetrics();
            mMetrics.watch(mRuntime.loop());
        }
        mFurther.accept(mMetrics.registry());
        return mMetrics.scrape(mRuntime.dump().get("node"));
    }
}
