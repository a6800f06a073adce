package ebonygw;

import ebonygw.keyvalue.KeyValueRequestIds;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.membership.KeyValueRateLimiter;
import ebonygw.membership.LeaseOptions;
import ebonygw.membership.Member;
import ebonygw.membership.Membership;
import ebonygw.membership.MembershipOptions;
import ebonygw.membership.Presence;
import ebonygw.membership.PresenceReader;
import ebonygw.membership.ProcessLease;
import ebonygw.protocol.Outbox;
import java.util.SplittableRandom;

/**
 * The membership functions that entry and target processes share: the members that a process knows,
 * its lease, and its registration in the key-value service.
 *
 * <p>Not thread-safe.
 */
final class ProcessMembership {
    /** Namespace of the ids of membership requests, unique within the process. */
    private static final int CALL_ID_NAMESPACE = 3;

    private final KeyValueRequestIds mCallIds = new KeyValueRequestIds(CALL_ID_NAMESPACE);
    private final KeyValueRateLimiter mBudget;
    private final Membership mMembership;
    private final ProcessLease mLease;
    private final Presence mPresence;
    private final PresenceReader mPresenceReader;

    /**
     * Creates the membership of a process that knows no other process.
     *
     * @param self the process
     * @param fleetSize approximate number of processes in the fleet
     * @param random random source, for jitter
     */
    ProcessMembership(Member self, int fleetSize, SplittableRandom random) {
        mBudget = KeyValueRateLimiter.forFleetOf(fleetSize, random.split());
        mMembership = new Membership(MembershipOptions.of(self), random.split());
        LeaseOptions options = LeaseOptions.forFleetOf(fleetSize);
        mLease = new ProcessLease(options, mCallIds, mBudget, random.split());
        mPresence = new Presence(mMembership, mLease, mCallIds, mBudget);
        mPresenceReader =
                new PresenceReader(mMembership, mLease, mCallIds, mBudget, random.split());
    }

    /** Returns the budget of requests to the key-value service. */
    KeyValueRateLimiter budget() {
        return mBudget;
    }

    /** Returns the source of correlation ids. */
    KeyValueRequestIds callIds() {
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

    /** Handles a key-value response; returns false if the request was not sent here. */
    boolean onResponse(long callId, KeyValueResponse response, long nowNanos) {
        return mLease.onResponse(callId, response, nowNanos)
                || mPresence.onResponse(callId, response, nowNanos)
                || mPresenceReader.onResponse(callId, response, nowNanos);
    }

    /** Advances time. */
    void onTick(long nowNanos, Outbox out) {
        mMembership.onTick(nowNanos, out);
        mLease.onTick(nowNanos, out);
        mPresence.onTick(nowNanos, out);
        mPresenceReader.onTick(nowNanos, out);
    }

    /** Releases the lease and sends a graceful leave to every connected process. */
    void release(long nowNanos, Outbox out) {
        mLease.release(nowNanos, out);
        mMembership.announceGone(nowNanos, out);
    }
}
