package ebonygw;

import java.util.LinkedHashMap;
import java.util.Map;

/** Attempt counters of a target process since its start. Not thread-safe. */
final class TargetCounts {
    /** Attempts received from entry processes. */
    long mReceived;

    /** Attempts sent to the target. */
    long mStarted;

    /** Attempts that got a complete response. */
    long mCompleted;

    /** Attempts that were sent to the target and got no complete response. */
    long mFailed;

    /** Attempts that were refused before they were sent to the target. */
    long mRefused;

    /** Messages of entry processes that were duplicate, unexpected or of another incarnation. */
    long mDropped;

    /** Returns all counters by name. */
    Map<String, Long> toMap() {
        Map<String, Long> map = new LinkedHashMap<>();
        map.put("asked", mReceived);
        map.put("started", mStarted);
        map.put("answered", mCompleted);
        map.put("failed", mFailed);
        map.put("refused", mRefused);
        map.put("dropped", mDropped);
        return map;
    }
}
