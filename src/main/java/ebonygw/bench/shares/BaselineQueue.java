package ebonygw.bench.shares;

import ebonygw.admission.Admission;
import ebonygw.admission.AdmissionDecision;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** Tokens and waiting requests of one customer at one process of a baseline. Not thread-safe. */
final class BaselineQueue {
    private static final long MAX_WAIT_NANOS = 2 * VirtualFleet.SECOND;

    private final ArrayDeque<long[]> mWaiting = new ArrayDeque<>();
    private double mTokens;

    void add(double tokens) {
        mTokens += tokens;
    }

    Admission admit(long ticket, long tokens, long now) {
        if (mWaiting.isEmpty() && mTokens >= tokens) {
            mTokens -= tokens;
            return Admission.ADMITTED;
        }
        mWaiting.add(new long[] {ticket, tokens, now + MAX_WAIT_NANOS});
        return Admission.WAITING;
    }

    List<AdmissionDecision> drain(long now) {
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

    /** Returns the tokens that waiting requests lack. */
    double missing() {
        return mWaiting.stream().mapToLong(it -> it[1]).sum() - mTokens;
    }

    void limit(double most) {
        mTokens = Math.min(mTokens, most);
    }

    double tokens() {
        return mTokens;
    }
}
