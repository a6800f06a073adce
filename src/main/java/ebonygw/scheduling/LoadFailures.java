package ebonygw.scheduling;

import ebonygw.request.AdapterVersion;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks failed loads: exponential backoff between attempts, and a refusal period after the maximum
 * number of attempts. Not thread-safe.
 */
final class LoadFailures {
    private static final int MAX_REMEMBERED = 4096;

    private final SchedulerOptions mOptions;
    private final Map<AdapterVersion, Failure> mFailures = new HashMap<>();

    LoadFailures(SchedulerOptions options) {
        mOptions = options;
    }

    boolean mayLoad(AdapterVersion adapter, long nowNanos) {
        Failure failure = mFailures.get(adapter);
        return failure == null || nowNanos >= failure.mNotBeforeNanos;
    }

    /** Records a failed load; returns whether the maximum number of attempts is reached. */
    boolean onFailed(AdapterVersion adapter, long nowNanos) {
        if (mFailures.size() >= MAX_REMEMBERED) {
            mFailures.values().removeIf(f -> nowNanos >= f.mNotBeforeNanos);
        }
        Failure failure = mFailures.computeIfAbsent(adapter, a -> new Failure());
        failure.mAttempts++;
        if (failure.mAttempts >= mOptions.maxLoadAttempts()) {
            failure.mNotBeforeNanos = nowNanos + mOptions.loadRetryAfterNanos();
            return true;
        }
        failure.mNotBeforeNanos =
                nowNanos + (mOptions.loadBackoffNanos() << (failure.mAttempts - 1));
        return false;
    }

    void onLoaded(AdapterVersion adapter) {
        mFailures.remove(adapter);
    }

    /**
     * Returns the time until which work on the version is refused at once, 0 if it is not refused.
     */
    long refusedUntil(AdapterVersion adapter, long nowNanos) {
        Failure failure = mFailures.get(adapter);
        if (failure == null || failure.mAttempts < mOptions.maxLoadAttempts()) {
            return 0;
        }
        if (nowNanos >= failure.mNotBeforeNanos) {
            mFailures.remove(adapter);
            return 0;
        }
        return failure.mNotBeforeNanos;
    }

    private static final class Failure {
        private int mAttempts;
        private long mNotBeforeNanos;
    }
}
