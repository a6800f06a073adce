package ebonygw.platform;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * What a replica says of itself with its responses, and a check that each entry heeds it.
 *
 * <p>Thread-safe.
 */
final class SoakNotices {
    /** Time after which an entry that knows of a leaving replica sends it nothing. */
    private static final long DRAIN_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Time in which requests that were sent before may reach a replica that pauses. */
    private static final long PAUSE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Requests of one entry that a replica may get in a pause. */
    private static final int MAX_PAUSED_REQUESTS = 2;

    private final String mName;
    private final SoakRecorder mRecorder;
    private final Map<Integer, Long> mLeavingToldNanos = new HashMap<>();
    private final Map<Integer, Long> mPauseToldNanos = new HashMap<>();
    private final Map<Integer, Integer> mPausedRequests = new HashMap<>();
    private boolean mLeaving;
    private long mPauseEndNanos = System.nanoTime();

    SoakNotices(String name, SoakRecorder recorder) {
        mName = name;
        mRecorder = recorder;
    }

    /** Starts to say that the replica leaves, or stops it with the start of another instance. */
    synchronized void setLeaving(boolean on) {
        mLeaving = on;
        mLeavingToldNanos.clear();
    }

    /** Starts to turn requests away. */
    synchronized void pause(long millis) {
        mPauseEndNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        mPauseToldNanos.clear();
        mPausedRequests.clear();
    }

    /** Returns how many entries have been told that the replica leaves, or pauses. */
    synchronized int toldCount() {
        return mLeavingToldNanos.size() + mPauseToldNanos.size();
    }

    /**
     * Checks a request and adds the notices to its response.
     *
     * @return whether the request is turned away
     */
    synchronized boolean apply(HttpServerExchange exchange, String id, long nowNanos) {
        int entry = SoakCaller.entry(id);
        if (mLeaving) {
            exchange.getResponseHeaders().put(new HttpString("Server-Leaving"), "1");
            Long told = mLeavingToldNanos.putIfAbsent(entry, nowNanos);
            if (told != null && nowNanos - told > DRAIN_NANOS) {
                mRecorder.recordViolation(
                        "request "
                                + id
                                + " reached "
                                + mName
                                + ", which leaves, of entry "
                                + entry);
            }
        }
        if (nowNanos - mPauseEndNanos >= 0) {
            return false;
        }
        Long told = mPauseToldNanos.putIfAbsent(entry, nowNanos);
        if (told != null
                && nowNanos - told > PAUSE_GRACE_NANOS
                && mPausedRequests.merge(entry, 1, Integer::sum) > MAX_PAUSED_REQUESTS) {
            mRecorder.recordViolation(
                    "request " + id + " reached " + mName + ", which pauses, of entry " + entry);
        }
        double seconds = (mPauseEndNanos - nowNanos) / 1e9;
        exchange.getResponseHeaders().put(new HttpString("Retry-After"), Double.toString(seconds));
        exchange.getResponseHeaders().put(new HttpString("Not-Executed"), "1");
        exchange.setStatusCode(503);
        return true;
    }
}
