package ebonygw;

import ebonygw.keyvalue.CallIds;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.membership.LeaseOptions;
import ebonygw.membership.Member;
import ebonygw.membership.Membership;
import ebonygw.membership.MembershipOptions;
import ebonygw.membership.Presence;
import ebonygw.membership.PresenceReader;
import ebonygw.membership.ProcessLease;
import ebonygw.membership.ServiceBudget;
import ebonygw.protocol.Outbox;
import java.util.SplittableRandom;

/**
 * What every process does to know the others and to be known: membership, lease and registration.
 *
 * <p>Not thread-safe.
 */
final class ProcessMembership {
    private static final int CALL_OWNER = 3;

    private final CallIds mCallIds = new CallIds(CALL_OWNER);
    private final ServiceBudget mBudget;
    private final Membership mMembership;
    private final ProcessLease mLease;
    private final Presence mPresence;
    private final PresenceReader mReader;

    /**
     * Creates the membership of a process that knows only itself.
     *
     * @param self the process
     * @param fleetSize about how many processes the fleet has
     * @param random source of jitter
     */
    ProcessMembership(Member self, int fleetSize, SplittableRandom random) {
        mBudget = ServiceBudget.forFleetOf(fleetSize, random.split());
        mMembership = new Membership(MembershipOptions.of(self), random.split());
        LeaseOptions options = LeaseOptions.forFleetOf(fleetSize);
        mLease = new ProcessLease(options, mCallIds, mBudget, random.split());
        mPresence = new Presence(mMembership, mLease, mCallIds, mBudget);
        mReader = new PresenceReader(mMembership, mLease, mCallIds, mBudget, random.split());
    }

    /** Returns the budget of calls of the key-value service. */
    ServiceBudget budget() {
        return mBudget;
    }

    /** Returns the source of identifiers of calls. */
    CallIds callIds() {
        return mCallIds;
    }

    /** Returns the lease of the process. */
    ProcessLease lease() {
        return mLease;
    }

    /** Returns the membership. */
    Membership members() {
        return mMembership;
    }

    /** Takes a reply; returns whether the call was one of these. */
    boolean onReply(long callId, KeyValueReply reply, long nowNanos) {
        return mLease.onReply(callId, reply, nowNanos)
                || mPresence.onReply(callId, reply, nowNanos)
                || mReader.onReply(callId, reply, nowNanos);
    }

    /** Lets time pass. */
    void onTick(long nowNanos, Outbox out) {
        mMembership.onTick(nowNanos, out);
        mLease.onTick(nowNanos, out);
        mPresence.onTick(nowNanos, out);
        mReader.onTick(nowNanos, out);
    }

    /** Gives the lease back and tells every linked process that this one ends. */
    void release(long nowNanos, Outbox out) {
        mLease.release(nowNanos, out);
        mMembership.farewell(nowNanos, out);
    }
}
