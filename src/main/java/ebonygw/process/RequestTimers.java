package ebonygw.process;

import ebonygw.EntryEffect;
import ebonygw.EntryEvent;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Measures the duration of callers' requests by outcome, from the event with which a request
 * arrives to the event or effect that ends it.
 *
 * <p>Not thread-safe: used on the control thread only.
 */
final class RequestTimers {
    private static final Duration[] BUCKETS = {
        Duration.ofMillis(1),
        Duration.ofMillis(5),
        Duration.ofMillis(20),
        Duration.ofMillis(100),
        Duration.ofMillis(500),
        Duration.ofSeconds(2),
        Duration.ofSeconds(10),
        Duration.ofSeconds(60)
    };

    private final MeterRegistry mRegistry;
    private final Map<String, Timer> mTimers = new HashMap<>();

    /** Arrival time of each open request, by id of its exchange. */
    private final Map<Long, Long> mReceivedAtNanos = new HashMap<>();

    /** Creates timers that are registered in the given registry. */
    RequestTimers(MeterRegistry registry) {
        mRegistry = registry;
    }

    /** Records the start of a request, or its end if the caller has disconnected. */
    void onEvent(EntryEvent event, long nowNanos) {
        if (event instanceof EntryEvent.RequestReceived request) {
            mReceivedAtNanos.put(request.exchangeId(), nowNanos);
        } else if (event instanceof EntryEvent.CallerDisconnected disconnected) {
            end(disconnected.exchangeId(), "gone", nowNanos);
        }
    }

    /** Records the end of a request if the effect ends one. */
    void onEffect(EntryEffect effect, long nowNanos) {
        if (effect instanceof EntryEffect.ResponseEnded ended) {
            end(ended.exchangeId(), "answered", nowNanos);
        } else if (effect instanceof EntryEffect.ResponseAborted aborted) {
            end(aborted.exchangeId(), "broken", nowNanos);
        } else if (effect instanceof EntryEffect.Refused refused) {
            String code = refused.refusal().code().name().toLowerCase(Locale.ROOT);
            end(refused.exchangeId(), code, nowNanos);
        }
    }

    private void end(long exchangeId, String outcome, long nowNanos) {
        Long receivedAtNanos = mReceivedAtNanos.remove(exchangeId);
        if (receivedAtNanos != null) {
            mTimers.computeIfAbsent(outcome, this::timer)
                    .record(nowNanos - receivedAtNanos, TimeUnit.NANOSECONDS);
        }
    }

    private Timer timer(String outcome) {
        return Timer.builder("ebonygw.requests")
                .description("time from a caller's whole request to the end of its answer")
                .tag("outcome", outcome)
                .serviceLevelObjectives(BUCKETS)
                .register(mRegistry);
    }
}
