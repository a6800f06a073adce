package ebonygw;

import java.util.LinkedHashMap;
import java.util.Map;

/** Counts of a target process's attempts since its start. Not thread-safe. */
final class TargetCounts {
    long mAsked;
    long mStarted;
    long mAnswered;
    long mFailed;
    long mRefused;

    /** Messages that were late, doubled or crossed. */
    long mDropped;

    /** Returns all counts by name. */
    Map<String, Long> toMap() {
        Map<String, Long> map = new LinkedHashMap<>();
        map.put("asked", mAsked);
        map.put("started", mStarted);
        map.put("answered", mAnswered);
        map.put("failed", mFailed);
        map.put("refused", mRefused);
        map.put("dropped", mDropped);
        return map;
    }
}
