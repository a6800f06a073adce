package ebonygw.process;

import ebonygw.gateway.GatewayEffect;
import ebonygw.gateway.RequestKind;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Latency histograms of the requests of an entry, by kind and outcome.
 *
 * <p>Recording does not wait for {@link #register} and needs no registry: gauges are registered
 * only when metrics are read. Thread-safe.
 */
final class LatencyTable {
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(10);
    private static final double[] QUANTILES = {0.5, 0.95, 0.99};

    private final Map<Key, ConcurrentHistogram> mHistograms = new ConcurrentHashMap<>();
    private final Set<Key> mRegistered = new HashSet<>();

    /** Labels of a histogram; {@code what} is the interval measured, "start" or "total". */
    private record Key(String what, RequestKind kind, String outcome) {}

    /** Records the latencies of a finished request. */
    void record(GatewayEffect.Ended ended) {
        add(new Key("total", ended.kind(), ended.outcome()), ended.totalNanos());
        if (ended.startNanos() >= 0) {
            add(new Key("start", ended.kind(), ended.outcome()), ended.startNanos());
        }
    }

    /** Registers gauges for all histograms that are not registered yet. */
    synchronized void register(MeterRegistry registry) {
        mHistograms.forEach(
                (key, histogram) -> {
                    if (!mRegistered.add(key)) {
                        return;
                    }
                    Tags tags =
                            Tags.of(
                                    "until", key.what(),
                                    "kind", key.kind().name().toLowerCase(Locale.ROOT),
                                    "outcome", key.outcome());
                    for (double quantile : QUANTILES) {
                        Gauge.builder(
                                        "ebonygw.request.seconds",
                                        histogram,
                                        it -> it.getValueAtPercentile(100 * quantile) / 1e6)
                                .tags(tags.and("quantile", Double.toString(quantile)))
                                .register(registry);
                    }
                    Gauge.builder("ebonygw.request.count", histogram, it -> it.getTotalCount())
                            .tags(tags)
                            .register(registry);
                });
    }

    private void add(Key key, long nanos) {
        long micros = TimeUnit.NANOSECONDS.toMicros(Math.max(0, nanos));
        mHistograms
                .computeIfAbsent(key, k -> new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS))
                .recordValue(Math.min(MAX_MICROS, micros));
    }
}
