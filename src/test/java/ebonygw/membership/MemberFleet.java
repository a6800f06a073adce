package ebonygw.membership;

import ebonygw.keyvalue.FaultInjectingKeyValueStore;
import ebonygw.keyvalue.InMemoryKeyValueStore;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.protocol.Locality;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Simulates processes with connections, a delayed host list and a key-value service. */
final class MemberFleet {
    static final long STEP_NANOS = 100_000_000L;
    private static final long LINK_TIMEOUT_NANOS = 5_000_000_000L;
    private static final long HOST_LIST_INTERVAL_NANOS = 5_000_000_000L;

    final Map<NodeId, MemberProcess> mRunning = new TreeMap<>();
    final Map<NodeId, MemberProcess> mLatest = new TreeMap<>();
    final Set<NodeId> mCutOff = new TreeSet<>();
    final FaultInjectingKeyValueStore mService;
    final List<HostList> mHostLists = new ArrayList<>();
    long mNowNanos = 1_000_000_000_000L;
    private final Set<NodeId> mHosts = new TreeSet<>();
    private final Set<NodeId> mLeavingHosts = new TreeSet<>();
    private final Map<Pair, Long> mBrokenSince = new HashMap<>();
    private final Random mRandom;
    private long mLastIncarnation;
    private long mNextHostListNanos;

    MemberFleet(long seed) {
        mRandom = new Random(seed);
        mService = new FaultInjectingKeyValueStore(new InMemoryKeyValueStore(), mRandom);
    }

    void sendKeyValueRequest(MemberProcess from, long requestId, KeyValueRequest request) {
        String client = from.mId.name() + from.mSelf.incarnation();
        mService.submit(
                client,
                requestId,
                request,
                mNowNanos,
                response ->
                        from.mInbox.add(
                                () -> from.onKeyValueResponse(requestId, response, mNowNanos)));
    }

    void deliver(MemberProcess from, NodeId to, Message message) {
        MemberProcess receiver = mRunning.get(to);
        boolean linked =
                receiver != null
                        && from.mLinks.containsKey(to)
                        && from.mLinks.get(to) == receiver.mSelf.incarnation();
        if (linked && !isPartitioned(from.mId, to)) {
            receiver.mInbox.add(
                    () ->
                            receiver.mMembership.onMessage(
                                    from.mId,
                                    from.mSelf.incarnation(),
                                    (MemberMessage) message,
                                    mNowNanos,
                                    receiver));
        }
    }

    /**
     * Ends a process without a leave announcement.
     *
     * @param detectedAtOnce whether its peers see their connections break at the next step instead
     *     of after the connection timeout
     */
    void kill(NodeId id, boolean detectedAtOnce) {
        MemberProcess process = mRunning.remove(id);
        process.mDead = true;
        mService.dropClient(id.name() + process.mSelf.incarnation());
        for (MemberProcess other : mRunning.values()) {
            Long incarnation = other.mLinks.get(id);
            if (incarnation != null) {
                mBrokenSince.put(
                        new Pair(other.mId, id),
                        detectedAtOnce ? mNowNanos - LINK_TIMEOUT_NANOS : mNowNanos);
            }
        }
    }

    /** Ends a process after it announced that it is gone. */
    void leaveGracefully(NodeId id) {
        MemberProcess process = mRunning.get(id);
        process.mMembership.announceGone(mNowNanos, process);
        kill(id, true);
    }

    void leave(NodeId id) {
        MemberProcess process = mRunning.get(id);
        process.mMembership.leave(mNowNanos, process);
        mLeavingHosts.add(id);
    }

    /** Advances the time by one step and runs all processes that are not paused. */
    void step() {
        mNowNanos += STEP_NANOS;
        mService.advance(mNowNanos);
        if (mNowNanos >= mNextHostListNanos) {
            mNextHostListNanos = mNowNanos + HOST_LIST_INTERVAL_NANOS;
            mHostLists.add(currentHostList());
            mRunning.values()
                    .forEach(
                            process ->
                                    deliverHostList(
                                            process, mHostLists.get(mHostLists.size() - 1)));
        }
        breakLinks();
        connect();
        for (MemberProcess process : mRunning.values()) {
            if (!process.mPaused) {
                process.tick(mNowNanos);
            }
        }
    }

    void deliverHostList(MemberProcess process, HostList list) {
        process.mInbox.add(() -> process.mMembership.onHostList(list, mNowNanos));
    }

    /** Advances the time and runs a check after each step. */
    void advance(long nanos, Runnable check) {
        long endNanos = mNowNanos + nanos;
        while (mNowNanos < endNanos) {
            step();
            check.run();
        }
    }

    void removeHost(NodeId id) {
        mHosts.remove(id);
    }

    MemberProcess start(String name, String region) {
        mLastIncarnation++;
        MemberProcess process = new MemberProcess(this, name, region, mLastIncarnation, mRandom);
        mRunning.put(process.mId, process);
        mLatest.put(process.mId, process);
        mHosts.add(process.mId);
        mLeavingHosts.remove(process.mId);
        process.mMembership.announce(MemberState.LIVE, mNowNanos, process);
        return process;
    }

    private void breakLinks() {
        for (MemberProcess process : mRunning.values()) {
            for (Map.Entry<NodeId, Long> link : Set.copyOf(process.mLinks.entrySet())) {
                breakLink(process, link.getKey(), link.getValue());
            }
        }
    }

    /** Reports a connection as lost once it has been broken for the connection timeout. */
    private void breakLink(MemberProcess process, NodeId peer, long incarnation) {
        Pair pair = new Pair(process.mId, peer);
        MemberProcess other = mRunning.get(peer);
        boolean broken =
                isPartitioned(process.mId, peer)
                        || other == null
                        || other.mSelf.incarnation() != incarnation;
        if (!broken) {
            mBrokenSince.remove(pair);
            return;
        }
        long sinceNanos = mBrokenSince.computeIfAbsent(pair, key -> mNowNanos);
        if (mNowNanos - sinceNanos >= LINK_TIMEOUT_NANOS) {
            mBrokenSince.remove(pair);
            process.mLinks.remove(peer);
            process.mInbox.add(() -> process.mMembership.onPeerDown(peer, incarnation, mNowNanos));
        }
    }

    private void connect() {
        for (MemberProcess process : mRunning.values()) {
            if (process.mPaused) {
                continue;
            }
            Set<NodeId> neighbours = new HashSet<>(process.mMembership.neighbours());
            for (NodeId id : neighbours) {
                MemberProcess other = mRunning.get(id);
                if (other != null && !other.mPaused && !isPartitioned(process.mId, id)) {
                    linkUp(process, other);
                    linkUp(other, process);
                }
            }
        }
    }

    /** Connects one end of a connection, in place of one to an older incarnation. */
    private void linkUp(MemberProcess process, MemberProcess other) {
        Long linked = process.mLinks.get(other.mId);
        long incarnation = other.mSelf.incarnation();
        if (linked != null && linked == incarnation) {
            return;
        }
        if (linked != null) {
            process.mInbox.add(() -> process.mMembership.onPeerDown(other.mId, linked, mNowNanos));
        }
        process.mLinks.put(other.mId, incarnation);
        process.mInbox.add(
                () -> process.mMembership.onPeerUp(other.mId, incarnation, mNowNanos, process));
    }

    /** Returns whether exactly one of two processes is cut off. */
    private boolean isPartitioned(NodeId one, NodeId other) {
        return mCutOff.contains(one) != mCutOff.contains(other);
    }

    private HostList currentHostList() {
        List<HostList.Host> hosts = new ArrayList<>();
        for (NodeId id : mHosts) {
            Member self = mLatest.get(id).mSelf;
            MemberState state = mLeavingHosts.contains(id) ? MemberState.LEAVING : MemberState.LIVE;
            Locality locality = self.locality();
            hosts.add(
                    new HostList.Host(
                            new Member(
                                    id,
                                    0,
                                    self.role(),
                                    state,
                                    locality,
                                    self.address(),
                                    self.serves())));
        }
        return new HostList(hosts);
    }

    private record Pair(NodeId from, NodeId to) {}
}
