package ebonygw;

import ebonygw.request.RefusalCode;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Counts of an entry's requests since its start. Not thread-safe. */
final class EntryCounts {
    long mAsked;
    long mAnswered;
    long mSent;
    long mRetried;

    /** Messages of target processes that belonged to no current attempt. */
    long mDropped;

    private static final Set<RefusalCode> OWN_FAULT =
            EnumSet.of(RefusalCode.BAD_REQUEST, RefusalCode.TOO_LARGE, RefusalCode.CANCELLED);

    private final Map<RefusalCode, Long> mRefused = new EnumMap<>(RefusalCode.class);

    /** Counts a request that got no whole answer. */
    void refused(RefusalCode code) {
        mRefused.merge(code, 1L, Long::sum);
    }

    /** Returns how many requests got no whole answer for another reason than their own form. */
    long refusedOrBroken() {
        return mRefused.entrySet().stream()
                .filter(entry -> !OWN_FAULT.contains(entry.getKey()))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }

    /** Returns all counts by name. */
    Map<String, Long> toMap() {
        Map<String, Long> map = new LinkedHashMap<>();
        map.put("asked", mAsked);
        map.put("answered", mAnswered);
        map.put("sent", mSent);
        map.put("retried", mRetried);
        map.put("dropped", mDropped);
        mRefused.forEach(
                (code, count) -> map.put("refused_" + code.name().toLowerCase(Locale.ROOT), count));
        return map;
    }
}
