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
 * Watches a run from the engines' side, independent of the deciding classes.
 *
 * <p>It counts breaches by kind, and none may occur.
 */
final class InvariantChecker {
    /** Time within which an engine's report tells of a restart. */
    private static final long REPORT_NANOS = 1_000_000_000L;

    private final Map<String, Integer> mBreaches = new TreeMap<>();
    private final Map<RequestId, Integer> mRuns = new HashMap<>();
    private final Set<RequestId> mEnded = new HashSet<>();
    private final Set<Attempt> mStarted = new HashSet<>();

    Map<String, Integer> breaches() {
        return mBreaches;
    }

    void onEnded(Request request) {
        if (!mEnded.add(request.mWork.id())) {
            breach("request ended twice");
        }
    }

    /** Checks at the end of a run that each request got one end. */
    void onFinish(Iterable<Request> requests) {
        for (Request request : requests) {
            if (!mEnded.contains(request.mWork.id())) {
                breach("request lost");
            }
        }
    }

    void onLoad(FakeEngine engine, boolean hadRoom) {
        if (!hadRoom || engine.resident().size() > engine.slots()) {
            breach("load without a slot");
        }
    }

    void onRefused(RequestId id, int attempt, Refusal refusal) {
        if (refusal.verdict() == Verdict.NOT_RUN && mStarted.contains(new Attempt(id, attempt))) {
            breach("untrue not run");
        }
    }

    /**
     * Checks work that is sent to an engine. An engine refuses work on an adapter that it has not
     * loaded; that may happen only until its report tells that it has restarted.
     */
    void onStart(
            FakeEngine engine, Request request, AdapterVersion ranOn, int attempt, long nowNanos) {
        RequestId id = request.mWork.id();
        mStarted.add(new Attempt(id, attempt));
        int runs = mRuns.merge(id, 1, Integer::sum);
        if (runs > 1 && !request.mWork.idempotent()) {
            breach("not idempotent ran twice");
        }
        if (mEnded.contains(id)) {
            breach("ran after its end");
        }
        if (ranOn == null ? request.mAdapter != null : !ranOn.equals(request.mAdapter)) {
            breach("wrong adapter");
        }
        boolean justRestarted = nowNanos - engine.startedAtNanos() < REPORT_NANOS;
        if (ranOn != null && !engine.isResident(ranOn) && !justRestarted) {
            breach("adapter not resident");
        }
    }

    void onUnload(FakeEngine engine, AdapterVersion adapter) {
        if (engine.runningOn(adapter) > 0) {
            breach("evicted in use");
        }
    }

    private void breach(String kind) {
        mBreaches.merge(kind, 1, Integer::sum);
    }

    private record Attempt(RequestId id, int attempt) {}
}
