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
 * Measures callers' requests from the event that asks to the effect that ends them, by outcome.
 *
 * <p>Not thread-safe: used on the control thread.
 */
final class RequestTimes {
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
    private final Map<Long, Long> mAskedAtNanos = new HashMap<>();

    /** Creates timers in a registry. */
    RequestTimes(MeterRegistry registry) {
        mRegistry = registry;
    }

    /** Notes an event. */
    void onEvent(EntryEvent event, long nowNanos) {
        if (event instanceof EntryEvent.CallerAsked asked) {
            mAskedAtNanos.put(asked.exchange(), nowNanos);
        } else if (event instanceof EntryEvent.CallerGone gone) {
            end(gone.exchange(), "gone", nowNanos);
        }
    }

    /** Notes an effect. */
    void onEffect(EntryEffect effect, long nowNanos) {
        if (effect instanceof EntryEffect.AnswerEnded ended) {
            end(ended.exchange(), "answered", nowNanos);
        } else if (effect instanceof EntryEffect.AnswerBroken broken) {
            end(broken.exchange(), "broken", nowNanos);
        } else if (effect instanceof EntryEffect.Refused refused) {
            String code = refused.refusal().code().name().toLowerCase(Locale.ROOT);
            end(refused.exchange(), code, nowNanos);
        }
    }

    private void end(long exchange, String outcome, long nowNanos) {
        Long askedAt = mAskedAtNanos.remove(exchange);
        if (askedAt != null) {
            mTimers.computeIfAbsent(outcome, this::timer)
                    .record(nowNanos - askedAt, TimeUnit.NANOSECONDS);
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
