package ebonygw.scheduling;

import ebonygw.request.AdapterVersion;
import java.util.HashMap;
import java.util.Map;

/** Backoff and bounded attempts of loads that fail. Not thread-safe. */
final class LoadFailures {
    private static final int MAX_REMEMBERED = 4096;

    private final SchedulerOptions mOptions;
    private final Map<AdapterVersion, Failure> mFailures = new HashMap<>();

    LoadFailures(SchedulerOptions options) {
        mOptions = options;
    }

    /** Returns until when the version is refused at once, 0 if it is not. */
    long givenUpUntil(AdapterVersion adapter, long nowNanos) {
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

    boolean mayLoad(AdapterVersion adapter, long nowNanos) {
        Failure failure = mFailures.get(adapter);
        return failure == null || nowNanos >= failure.mNotBeforeNanos;
    }

    /** Records a failed load and returns whether the attempts are used up. */
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

    private static final class Failure {
        private int mAttempts;
        private long mNotBeforeNanos;
    }
}
