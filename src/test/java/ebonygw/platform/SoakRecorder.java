package ebonygw.platform;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Records what callers and replicas observe of each request, and the violated invariants.
 *
 * <p>Thread-safe.
 */
final class SoakRecorder {
    private final Map<String, AtomicInteger> mRuns = new ConcurrentHashMap<>();
    private final Map<String, String> mSent = new ConcurrentHashMap<>();
    private final Map<String, Integer> mRefused = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> mCounts = new ConcurrentHashMap<>();
    private final Queue<String> mViolations = new ConcurrentLinkedQueue<>();

    /** Returns the body of a replica's response to a request. */
    static String responseBody(String id) {
        return ("answer of " + id + ' ').repeat(20);
    }

    void count(String event) {
        mCounts.computeIfAbsent(event, e -> new AtomicInteger()).incrementAndGet();
    }

    Map<String, AtomicInteger> counts() {
        return mCounts;
    }

    /** Returns whether a replica started to run a request. */
    boolean hasRun(String id) {
        return mRuns.containsKey(id);
    }

    /**
     * Records a refusal, by which the entry reports that the request has not run and never will.
     */
    void recordRefusal(String id, int status) {
        mRefused.put(id, status);
    }

    /** Records that a replica starts to run a request. */
    void recordRun(String id, String kind) {
        if (!kind.equals(mSent.get(id))) {
            recordViolation(
                    "request " + id + " ran as " + kind + " but was sent as " + mSent.get(id));
        }
        int runs = mRuns.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
        if (runs > 1 && !kind.equals(SoakCaller.IDEMPOTENT)) {
            recordViolation("request " + id + " of kind " + kind + " ran " + runs + " times");
        }
    }

    /** Records a request; to be called before it is sent. */
    void recordSent(String id, String kind) {
        mSent.put(id, kind);
    }

    void recordViolation(String text) {
        mViolations.add(text);
    }

    /**
     * Returns the violated invariants, including requests that ran although they were refused; to
     * be called when no request is pending.
     */
    List<String> violations() {
        mRefused.forEach(
                (id, status) -> {
                    if (mRuns.containsKey(id)) {
                        recordViolation(
                                "request "
                                        + id
                                        + " was refused with status "
                                        + status
                                        + " but ran");
                    }
                });
        return List.copyOf(mViolations);
    }
}
