package ebonygw.bench.placement;

import ebonygw.request.AdapterVersion;
import ebonygw.request.Refusal;
import ebonygw.request.RequestId;
import ebonygw.request.Verdict;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks the invariants of a run at the simulated engines, independently of the strategy, and
 * counts breaches by kind. None may occur.
 */
final class InvariantChecker {
    /**
     * Time after a restart within which the scheduler receives the engine's next report. Engines
     * report every 0.5 s, with a delay of 0.3 s.
     */
    private static final long RESTART_DETECTION_NANOS = 1_000_000_000L;

    private final Map<String, Integer> mBreaches = new TreeMap<>();
    private final Map<RequestId, Integer> mRunCounts = new HashMap<>();
    private final Set<RequestId> mEnded = new HashSet<>();
    private final Set<Attempt> mStartedAttempts = new HashSet<>();

    Map<String, Integer> breaches() {
        return mBreaches;
    }

    /** Checks that a request ends only once. */
    void onEnded(Request request) {
        if (!mEnded.add(request.mWork.id())) {
            recordBreach("request ended twice");
        }
    }

    /** Checks at the end of a run that each request has ended. */
    void onFinish(Iterable<Request> requests) {
        for (Request request : requests) {
            if (!mEnded.contains(request.mWork.id())) {
                recordBreach("request lost");
            }
        }
    }

    /**
     * Checks that a load had a free slot.
     *
     * @param hadSlot whether the engine accepted the load
     */
    void onLoad(FakeEngine engine, boolean hadSlot) {
        if (!hadSlot || engine.resident().size() > engine.slots()) {
            recordBreach("load without a slot");
        }
    }

    /** Checks that an attempt refused as not run was not sent to an engine. */
    void onRefused(RequestId id, int attempt, Refusal refusal) {
        if (refusal.verdict() == Verdict.NOT_RUN
                && mStartedAttempts.contains(new Attempt(id, attempt))) {
            recordBreach("untrue not run");
        }
    }

    /**
     * Checks an attempt that is sent to an engine. An engine refuses an attempt whose adapter it
     * has not loaded; this may happen only after a restart that its report has not shown yet.
     *
     * @param ranOn the version that the attempt names; null for a request to a plain service
     */
    void onStart(
            FakeEngine engine, Request request, AdapterVersion ranOn, int attempt, long nowNanos) {
        RequestId id = request.mWork.id();
        mStartedAttempts.add(new Attempt(id, attempt));
        int runCount = mRunCounts.merge(id, 1, Integer::sum);
        if (runCount > 1 && !request.mWork.idempotent()) {
            recordBreach("not idempotent ran twice");
        }
        if (mEnded.contains(id)) {
            recordBreach("ran after its end");
        }
        if (ranOn == null ? request.mAdapter != null : !ranOn.equals(request.mAdapter)) {
            recordBreach("wrong adapter");
        }
        boolean justRestarted = nowNanos - engine.startedAtNanos() < RESTART_DETECTION_NANOS;
        if (ranOn != null && !engine.isResident(ranOn) && !justRestarted) {
            recordBreach("adapter not resident");
        }
    }

    /** Checks that no request runs on a version that is unloaded. */
    void onUnload(FakeEngine engine, AdapterVersion adapter) {
        if (engine.runningOn(adapter) > 0) {
            recordBreach("evicted in use");
        }
    }

    private void recordBreach(String kind) {
        mBreaches.merge(kind, 1, Integer::sum);
    }

    private record Attempt(RequestId id, int attempt) {}
}
