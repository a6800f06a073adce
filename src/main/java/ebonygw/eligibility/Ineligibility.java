package ebonygw.eligibility;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Why a target takes no requests, or not a given one.
 *
 * @param reason the reason
 * @param sinceNanos when it came into effect at this process
 * @param untilNanos when it ends, empty if that is not known
 * @param source how this process knows
 * @param ageMillis time since the source last confirmed it, -1 if it never did
 */
public record Ineligibility(
        Reason reason, long sinceNanos, OptionalLong untilNanos, Source source, long ageMillis) {
    /**
     * Creates a reason.
     *
     * @throws NullPointerException if an argument is null
     */
    public Ineligibility {
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(untilNanos, "untilNanos");
        Objects.requireNonNull(source, "source");
    }

    /** Kinds of reasons, in the order in which they are checked. */
    public enum Reason {
        /** The target is about to stop. */
        LEAVING,
        /** The request may not run in the region of the target. */
        OUTSIDE_REGIONS,
        /** Operators have evacuated its data centre. */
        EVACUATED,
        /** It asked for a pause. */
        PAUSED,
        /** It failed several times in a row. */
        EJECTED,
        /** It rejected a request a moment ago. */
        REJECTED,
        /** It started a short while ago, and this process may not send to it yet. */
        COLD,
        /** It names a limit, and this process may not send to it yet. */
        LIMITED;

        /** Returns whether the target takes a limited number of requests from all entries. */
        public boolean isLimit() {
            return this == COLD || this == LIMITED;
        }

        /** Returns whether the reason lasts until an operator changes it. */
        public boolean isSetByOperators() {
            return this == OUTSIDE_REGIONS || this == EVACUATED;
        }
    }

    /** How a process knows a reason. */
    public enum Source {
        /** The registration of the target. */
        REGISTRATION,
        /** A response of the target. */
        RESPONSE,
        /** The outcome of this process's own attempts. */
        ATTEMPTS,
        /** The configuration in force. */
        CONFIGURATION,
        /** The key that requests the evacuation. */
        EVACUATION_KEY
    }

    /** Returns the age of what a process knows by a source. */
    @FunctionalInterface
    public interface SourceAge {
        /**
         * Returns the time since a source was last confirmed.
         *
         * @param sinceNanos when the reason came into effect
         * @return the age in milliseconds, -1 if the source was never confirmed
         */
        long millis(Source source, long sinceNanos, long nowNanos);
    }

    /** Returns the values for a dump. */
    public Map<String, Object> dump(long nowNanos) {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("reason", reason);
        dump.put("sinceMillis", TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos));
        untilNanos.ifPresent(
                until ->
                        dump.put(
                                "remainingMillis",
                                TimeUnit.NANOSECONDS.toMillis(until - nowNanos)));
        dump.put("source", source);
        dump.put("ageMillis", ageMillis);
        return dump;
    }
}
