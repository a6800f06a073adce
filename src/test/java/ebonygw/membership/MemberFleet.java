package ebonygw.membership;

import ebonygw.keyvalue.FaultyKeyValue;
import ebonygw.keyvalue.KeyValueCall;
import ebonygw.keyvalue.MemoryKeyValue;
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

/** A few processes with links, a host list that lags and a key-value service, in virtual time. */
final class MemberFleet {
    static final long STEP_NANOS = 100_000_000L;
    private static final long LINK_TIMEOUT_NANOS = 5_000_000_000L;
    private static final long LIST_NANOS = 5_000_000_000L;

    final Map<NodeId, MemberProcess> mRunning = new TreeMap<>();
    final Map<NodeId, MemberProcess> mLatest = new TreeMap<>();
    final Set<NodeId> mCutOff = new TreeSet<>();
    final FaultyKeyValue mService;
    final List<HostList> mLists = new ArrayList<>();
    long mNowNanos = 1_000_000_000_000L;
    private final Set<NodeId> mHosts = new TreeSet<>();
    private final Set<NodeId> mLeavingHosts = new TreeSet<>();
    private final Map<Pair, Long> mBrokenSince = new HashMap<>();
    private final Random mRandom;
    private long mIncarnations;
    private long mNextListNanos;

    MemberFleet(long seed) {
        mRandom = new Random(seed);
        mService = new FaultyKeyValue(new MemoryKeyValue(), mRandom);
    }

    void call(MemberProcess from, long callId, KeyValueCall call) {
        String client = from.mId.name() + from.mSelf.incarnation();
        mService.call(
                client,
                callId,
                call,
                mNowNanos,
                reply -> from.mInbox.add(() -> from.reply(callId, reply, mNowNanos)));
    }

    void carry(MemberProcess from, NodeId to, Message message) {
        MemberProcess receiver = mRunning.get(to);
        boolean linked =
                receiver != null
                        && from.mLinks.containsKey(to)
                        && from.mLinks.get(to) == receiver.mSelf.incarnation();
        if (linked && !isCut(from.mId, to)) {
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

    /** Ends a process without a word; its links are seen to break at once, or after a while. */
    void kill(NodeId id, boolean seen) {
        MemberProcess process = mRunning.remove(id);
        process.mDead = true;
        mService.dropClient(id.name() + process.mSelf.incarnation());
        for (MemberProcess other : mRunning.values()) {
            Long incarnation = other.mLinks.get(id);
            if (incarnation != null) {
                mBrokenSince.put(
                        new Pair(other.mId, id), seen ? mNowNanos - LINK_TIMEOUT_NANOS : mNowNanos);
            }
        }
    }

    /** Ends a process with its farewell. */
    void end(NodeId id) {
        MemberProcess process = mRunning.get(id);
        process.mMembership.farewell(mNowNanos, process);
        kill(id, true);
    }

    void leave(NodeId id) {
        MemberProcess process = mRunning.get(id);
        process.mMembership.leave(mNowNanos, process);
        mLeavingHosts.add(id);
    }

    /** Lets a step pass for everything. */
    void step() {
        mNowNanos += STEP_NANOS;
        mService.advance(mNowNanos);
        if (mNowNanos >= mNextListNanos) {
            mNextListNanos = mNowNanos + LIST_NANOS;
            mLists.add(list());
            mRunning.values().forEach(process -> give(process, mLists.get(mLists.size() - 1)));
        }
        breakLinks();
        connect();
        for (MemberProcess process : mRunning.values()) {
            if (!process.mPaused) {
                process.tick(mNowNanos);
            }
        }
    }

    void give(MemberProcess process, HostList list) {
        process.mInbox.add(() -> process.mMembership.onHostList(list, mNowNanos));
    }

    void pass(long nanos, Runnable check) {
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
        mIncarnations++;
        MemberProcess process = new MemberProcess(this, name, region, mIncarnations, mRandom);
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

    private void breakLink(MemberProcess process, NodeId peer, long incarnation) {
        Pair pair = new Pair(process.mId, peer);
        MemberProcess other = mRunning.get(peer);
        boolean broken =
                isCut(process.mId, peer)
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
            Set<NodeId> wanted = new HashSet<>(process.mMembership.neighbours());
            for (NodeId id : wanted) {
                MemberProcess other = mRunning.get(id);
                if (other != null && !other.mPaused && !isCut(process.mId, id)) {
                    up(process, other);
                    up(other, process);
                }
            }
        }
    }

    private void up(MemberProcess process, MemberProcess other) {
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

    private boolean isCut(NodeId one, NodeId other) {
        return mCutOff.contains(one) != mCutOff.contains(other);
    }

    private HostList list() {
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
