package ebonygw.platform;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What callers and replicas have seen of each request, and the promises that were broken.
 *
 * <p>Thread-safe.
 */
final class SoakLedger {
    private final Map<String, AtomicInteger> mRuns = new ConcurrentHashMap<>();
    private final Map<String, String> mSent = new ConcurrentHashMap<>();
    private final Map<String, Integer> mRefused = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> mCounts = new ConcurrentHashMap<>();
    private final Queue<String> mBroken = new ConcurrentLinkedQueue<>();

    /** Returns the body that a replica answers a request with. */
    static String body(String id) {
        return ("answer of " + id + ' ').repeat(20);
    }

    void broken(String what) {
        mBroken.add(what);
    }

    void count(String what) {
        mCounts.computeIfAbsent(what, w -> new AtomicInteger()).incrementAndGet();
    }

    Map<String, AtomicInteger> counts() {
        return mCounts;
    }

    /** Returns whether a replica began to run a request. */
    boolean hasRun(String id) {
        return mRuns.containsKey(id);
    }

    /** Notes that a caller was told that its request has not run and never will. */
    void refused(String id, int status) {
        mRefused.put(id, status);
    }

    /** Notes that a replica began to run a request. */
    void run(String id, String kind) {
        if (!kind.equals(mSent.get(id))) {
            broken("request " + id + " ran as " + kind + ", sent as " + mSent.get(id));
        }
        int runs = mRuns.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
        if (runs > 1 && !kind.equals(SoakCaller.LOOK)) {
            broken("request " + id + " of kind " + kind + " ran " + runs + " times");
        }
    }

    /** Notes a request before it is sent. */
    void sent(String id, String kind) {
        mSent.put(id, kind);
    }

    /** Returns the broken promises once no request is under way any more. */
    List<String> settle() {
        mRefused.forEach(
                (id, status) -> {
                    if (mRuns.containsKey(id)) {
                        broken("request " + id + " was refused with " + status + " and ran");
                    }
                });
        return List.copyOf(mBroken);
    }
}
