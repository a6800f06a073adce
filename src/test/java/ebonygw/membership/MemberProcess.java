package ebonygw.membership;

import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueRequestIds;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.protocol.Locality;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/** A process of a {@link MemberFleet} with its membership, lease and presence. */
final class MemberProcess implements Outbox {
    final NodeId mId;
    final Member mSelf;
    final Membership mMembership;
    final Map<NodeId, Long> mLinks = new TreeMap<>();
    final Deque<Runnable> mInbox = new ArrayDeque<>();
    boolean mPaused;
    boolean mDead;
    private final MemberFleet mFleet;
    private final ProcessLease mLease;
    private final Presence mPresence;
    private final PresenceReader mReader;

    MemberProcess(MemberFleet fleet, String name, String region, long incarnation, Random random) {
        mFleet = fleet;
        mId = new NodeId(name);
        mSelf =
                new Member(
                        mId,
                        incarnation,
                        Role.TARGET,
                        MemberState.JOINING,
                        new Locality(region, "a"),
                        "10.0.0.1:7000",
                        "model");
        mMembership = new Membership(MembershipOptions.of(mSelf), random);
        KeyValueRateLimiter rateLimiter = new KeyValueRateLimiter(10, 5, 5_000_000_000L, random);
        KeyValueRequestIds requestIds = new KeyValueRequestIds(3);
        mLease =
                new ProcessLease(
                        new LeaseOptions(15, 1_000, 1_000_000_000L),
                        requestIds,
                        rateLimiter,
                        random);
        mPresence = new Presence(mMembership, mLease, requestIds, rateLimiter);
        mReader = new PresenceReader(mMembership, mLease, requestIds, rateLimiter, random);
    }

    /** Returns whether this process would send new work to another one. */
    boolean routesTo(MemberProcess other) {
        boolean live =
                mMembership
                        .view()
                        .member(other.mId)
                        .filter(member -> member.state() == MemberState.LIVE)
                        .filter(member -> member.incarnation() == other.mSelf.incarnation())
                        .isPresent();
        Long linked = mLinks.get(other.mId);
        return live && linked != null && linked == other.mSelf.incarnation();
    }

    @Override
    public void sendKeyValueRequest(long requestId, KeyValueRequest request) {
        mFleet.sendKeyValueRequest(this, requestId, request);
    }

    @Override
    public void send(NodeId to, Message message) {
        mFleet.deliver(this, to, message);
    }

    void onKeyValueResponse(long requestId, KeyValueResponse response, long nowNanos) {
        if (!mLease.onResponse(requestId, response, nowNanos)
                && !mPresence.onResponse(requestId, response, nowNanos)) {
            mReader.onResponse(requestId, response, nowNanos);
        }
    }

    void tick(long nowNanos) {
        while (!mInbox.isEmpty()) {
            mInbox.poll().run();
        }
        mMembership.onTick(nowNanos, this);
        mLease.onTick(nowNanos, this);
        mPresence.onTick(nowNanos, this);
        mReader.onTick(nowNanos, this);
    }
}
