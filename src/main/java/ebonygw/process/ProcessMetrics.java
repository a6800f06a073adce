package ebonygw.process;

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
 * Metrics of a process in Prometheus form.
 *
 * <p>The numbers of the node's dump become metrics: those below a {@code counts} key as counters
 * {@code ebonygw_node_events_total}, others of the first two levels as gauges {@code
 * ebonygw_node_value}, each with its place in the dump as a label. Thread-safe.
 */
final class ProcessMetrics implements AutoCloseable {
    private static final String COUNTS = "counts";
    private static final int MAX_DEPTH = 3;

    private final PrometheusMeterRegistry mRegistry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<String, Double> mCounters = new ConcurrentHashMap<>();
    private final Map<String, Double> mGauges = new ConcurrentHashMap<>();
    private final JvmGcMetrics mCollections = new JvmGcMetrics();

    /** Creates the metrics of the Java machine. */
    ProcessMetrics() {
        new JvmMemoryMetrics().bindTo(mRegistry);
        new JvmThreadMetrics().bindTo(mRegistry);
        new ProcessorMetrics().bindTo(mRegistry);
        mCollections.bindTo(mRegistry);
    }

    @Override
    public void close() {
        mCollections.close();
        mRegistry.close();
    }

    /** Adds the metrics of a control loop. */
    void watch(ControlLoop<?> loop) {
        Gauge.builder("ebonygw.control.backlog", loop, ControlLoop::backlog)
                .description("events that wait for the control thread")
                .register(mRegistry);
        counter("ebonygw.control.events", loop, ControlLoop::handled);
        counter("ebonygw.control.refused", loop, ControlLoop::refused);
        counter("ebonygw.control.failures", loop, ControlLoop::failures);
    }

    /** Returns all metrics, with the node's numbers taken from its dump. */
    String scrape(Object nodeDump) {
        take("", nodeDump, 0, false);
        return mRegistry.scrape();
    }

    /** Returns where further metrics are registered. */
    MeterRegistry registry() {
        return mRegistry;
    }

    private static <T> String path(String prefix, T key) {
        return prefix.isEmpty() ? String.valueOf(key) : prefix + "." + key;
    }

    private <T> void counter(String name, T of, ToDoubleFunction<T> value) {
        FunctionCounter.builder(name, of, value).register(mRegistry);
    }

    private void set(String path, double value, boolean count) {
        Map<String, Double> values = count ? mCounters : mGauges;
        if (values.put(path, value) != null) {
            return;
        }
        if (count) {
            FunctionCounter.builder("ebonygw.node.events", values, map -> map.get(path))
                    .tags(Tags.of("event", path))
                    .register(mRegistry);
        } else {
            Gauge.builder("ebonygw.node.value", values, map -> map.get(path))
                    .tags(Tags.of("name", path))
                    .register(mRegistry);
        }
    }

    private void take(String path, Object value, int depth, boolean count) {
        if (value instanceof Number number && depth > 0) {
            set(path, number.doubleValue(), count);
        } else if (value instanceof Map<?, ?> map && depth < MAX_DEPTH) {
            map.forEach(
                    (key, inner) -> {
                        boolean counts = COUNTS.equals(key);
                        String at = counts ? path : path(path, key);
                        if (counts || count || depth < MAX_DEPTH - 1) {
                            take(at, inner, depth + 1, count || counts);
                        }
                    });
        }
    }
}
