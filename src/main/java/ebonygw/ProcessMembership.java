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
    /**
     * Owner number of the ids of these requests, unique within the process; see {@link
     * KeyValueRequestIds}.
     */
    private static final int REQUEST_ID_OWNER = 3;

    private final KeyValueRequestIds mRequestIds = new KeyValueRequestIds(REQUEST_ID_OWNER);
    private final KeyValueRateLimiter mRateLimiter;
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
        mRateLimiter = KeyValueRateLimiter.forFleetOf(fleetSize, random.split());
        mMembership = new Membership(MembershipOptions.of(self), random.split());
        LeaseOptions options = LeaseOptions.forFleetOf(fleetSize);
        mLease = new ProcessLease(options, mRequestIds, mRateLimiter, random.split());
        mPresence = new Presence(mMembership, mLease, mRequestIds, mRateLimiter);
        mPresenceReader =
                new PresenceReader(mMembership, mLease, mRequestIds, mRateLimiter, random.split());
    }

    /** Returns the rate limiter of requests to the key-value service. */
    KeyValueRateLimiter rateLimiter() {
        return mRateLimiter;
    }

    /** Returns the source of request ids. */
    KeyValueRequestIds requestIds() {
        return mRequestIds;
    }

    /** Returns the lease of the process. */
    ProcessLease lease() {
        return mLease;
    }

    /** Returns the membership. */
    Membership members() {
        return mMembership;
    }

    /** Handles a key-value response; returns false if this object did not send the request. */
    boolean onResponse(long requestId, KeyValueResponse response, long nowNanos) {
        return mLease.onResponse(requestId, response, nowNanos)
                || mPresence.onResponse(requestId, response, nowNanos)
                || mPresenceReader.onResponse(requestId, response, nowNanos);
    }

    /** Sends what is due: heartbeats, gossip, renewals and registrations. */
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
