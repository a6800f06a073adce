package ebonygw;

import ebonygw.request.RefusalCode;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Counts of an entry's requests since its start. Not thread-safe. */
final class EntryCounts {
    long mAsked;
    long mAnswered;
    long mSent;
    long mRetried;

    /** Messages of target processes that belonged to no current attempt. */
    long mDropped;

    private final Map<RefusalCode, Long> mRefused = new EnumMap<>(RefusalCode.class);

    /** Counts a request that got no whole answer. */
    void refused(RefusalCode code) {
        mRefused.merge(code, 1L, Long::sum);
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
