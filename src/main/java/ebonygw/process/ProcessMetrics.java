package ebonygw.process;

import ebonygw.http.ResponseMemory;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToDoubleFunction;

/**
 * Metrics of a process in the Prometheus text format.
 *
 * <p>The numbers in the dump of the node are exported as metrics: those below a {@code counts} key
 * as counters {@code ebonygw_node_events_total}, others on the first two levels as gauges {@code
 * ebonygw_node_value}. A label holds the path of the number in the dump. Thread-safe.
 */
final class ProcessMetrics implements AutoCloseable {
    private static final String COUNTS_KEY = "counts";
    private static final int MAX_DEPTH = 3;

    private final PrometheusMeterRegistry mRegistry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<String, Double> mCounters = new ConcurrentHashMap<>();
    private final Map<String, Double> mGauges = new ConcurrentHashMap<>();
    private final JvmGcMetrics mGcMetrics = new JvmGcMetrics();

    /** Creates metrics with those of the JVM. */
    ProcessMetrics() {
        new JvmMemoryMetrics().bindTo(mRegistry);
        new JvmThreadMetrics().bindTo(mRegistry);
        new ProcessorMetrics().bindTo(mRegistry);
        mGcMetrics.bindTo(mRegistry);
        ResponseMemory responses = ResponseMemory.ofProcess();
        counter("ebonygw.http.responses.given.up", responses, ResponseMemory::givenUp);
        counter("ebonygw.http.responses.unproved", responses, ResponseMemory::unproved);
        Gauge.builder(
                        "ebonygw.http.unparsed.reserved.bytes",
                        responses,
                        ResponseMemory::reservedBytes)
                .description("memory reserved for unparsed bytes of long responses")
                .register(mRegistry);
    }

    /** Adds the metrics of a control loop. */
    void addControlLoop(ControlLoop<?> loop) {
        Gauge.builder("ebonygw.control.backlog", loop, ControlLoop::backlog)
                .description("events that wait for the control thread")
                .register(mRegistry);
        counter("ebonygw.control.events", loop, ControlLoop::handled);
        counter("ebonygw.control.refused", loop, ControlLoop::refused);
        counter("ebonygw.control.failures", loop, ControlLoop::failures);
    }

    @Override
    public void close() {
        mGcMetrics.close();
        mRegistry.close();
    }

    /**
     * Returns all metrics in the Prometheus text format.
     *
     * @param nodeDump dump of the node, whose numbers are exported too
     */
    String scrape(Object nodeDump) {
        collect("", nodeDump, 0, false);
        return mRegistry.scrape();
    }

    /** Returns the registry, to which other metrics can be added. */
    MeterRegistry registry() {
        return mRegistry;
    }

    private static <T> String path(String prefix, T key) {
        return prefix.isEmpty() ? String.valueOf(key) : prefix + "." + key;
    }

    private void collect(String path, Object value, int depth, boolean isCounter) {
        if (value instanceof Number number && depth > 0) {
            set(path, number.doubleValue(), isCounter);
        } else if (value instanceof Map<?, ?> map && depth < MAX_DEPTH) {
            map.forEach(
                    (key, inner) -> {
                        boolean isCountsKey = COUNTS_KEY.equals(key);
                        String innerPath = isCountsKey ? path : path(path, key);
                        if (isCountsKey || isCounter || depth < MAX_DEPTH - 1) {
                            collect(innerPath, inner, depth + 1, isCounter || isCountsKey);
                        }
                    });
        }
    }

    private <T> void counter(String name, T source, ToDoubleFunction<T> value) {
        FunctionCounter.builder(name, source, value).register(mRegistry);
    }

    private void set(String path, double value, boolean isCounter) {
        Map<String, Double> values = isCounter ? mCounters : mGauges;
        if (values.put(path, value) != null) {
            return;
        }
        if (isCounter) {
            FunctionCounter.builder("ebonygw.node.events", values, map -> map.get(path))
                    .tags(Tags.of("event", path))
                    .register(mRegistry);
        } else {
            Gauge.builder("ebonygw.node.value", values, map -> map.get(path))
                    .tags(Tags.of("name", path))
                    .register(mRegistry);
        }
    }
}
