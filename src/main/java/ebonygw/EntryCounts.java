package ebonygw;

import ebonygw.request.RefusalCode;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Request counters of an entry process since its start. Not thread-safe. */
final class EntryCounts {
    /** Requests received from callers. */
    long mReceived;

    /** Requests that got a complete response. */
    long mCompleted;

    /** Attempts sent to target processes. */
    long mSent;

    /** Failed attempts after which the request was retried. */
    long mRetried;

    /** Messages from target processes that match no current attempt. */
    long mDropped;

    private static final Set<RefusalCode> CALLER_FAULTS =
            EnumSet.of(RefusalCode.BAD_REQUEST, RefusalCode.TOO_LARGE, RefusalCode.CANCELLED);

    private final Map<RefusalCode, Long> mFailures = new EnumMap<>(RefusalCode.class);

    /** Counts a request that got no complete response. */
    void addFailure(RefusalCode code) {
        mFailures.merge(code, 1L, Long::sum);
    }

    /** Returns the number of failed requests, without those that the caller caused. */
    long failuresNotCausedByCaller() {
        return mFailures.entrySet().stream()
                .filter(entry -> !CALLER_FAULTS.contains(entry.getKey()))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }

    /** Returns all counters by name. */
    Map<String, Long> toMap() {
        Map<String, Long> map = new LinkedHashMap<>();
        map.put("asked", mReceived);
        map.put("answered", mCompleted);
        map.put("sent", mSent);
        map.put("retried", mRetried);
        map.put("dropped", mDropped);
        mFailures.forEach(
                (code, count) -> map.put("refused_" + code.name().toLowerCase(Locale.ROOT), count));
        return map;
    }
}
