package ebonygw.bench.shares;

import ebonygw.admission.Admission;
import ebonygw.admission.AdmissionDecision;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Tokens and waiting requests of one customer at one entry process of a baseline. Requests are
 * admitted in the order of their arrival. Not thread-safe.
 */
final class BaselineQueue {
    private static final long MAX_WAIT_NANOS = 2 * VirtualFleet.SECOND;

    /** Waiting requests, each as its id, its tokens and its deadline in nanoseconds. */
    private final ArrayDeque<long[]> mWaiting = new ArrayDeque<>();

    private double mTokens;

    void addTokens(double tokens) {
        mTokens += tokens;
    }

    Admission admit(long requestId, long tokens, long now) {
        if (mWaiting.isEmpty() && mTokens >= tokens) {
            mTokens -= tokens;
            return Admission.ADMITTED;
        }
        mWaiting.add(new long[] {requestId, tokens, now + MAX_WAIT_NANOS});
        return Admission.WAITING;
    }

    /** Admits waiting requests that the tokens cover and refuses those past their deadline. */
    List<AdmissionDecision> decideWaiting(long now) {
        List<AdmissionDecision> decisions = new ArrayList<>();
        while (!mWaiting.isEmpty()) {
            long[] head = mWaiting.peek();
            if (now > head[2]) {
                decisions.add(new AdmissionDecision(head[0], Admission.overRate(0)));
            } else if (mTokens >= head[1]) {
                mTokens -= head[1];
                decisions.add(new AdmissionDecision(head[0], Admission.ADMITTED));
            } else {
                return decisions;
            }
            mWaiting.poll();
        }
        return decisions;
    }

    /**
     * Returns how many tokens the waiting requests lack; negative if there are more than enough.
     */
    double missingTokens() {
        return mWaiting.stream().mapToLong(it -> it[1]).sum() - mTokens;
    }

    void capTokens(double max) {
        mTokens = Math.min(mTokens, max);
    }

    double tokens() {
        return mTokens;
    }
}
