package ebonygw.membership;

import ebonygw.membership.MemberMessage.Heartbeat;
import ebonygw.membership.MemberMessage.Hello;
import ebonygw.membership.MemberMessage.MemberDigest;
import ebonygw.membership.MemberMessage.MemberUpdates;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

/**
 * Decides the state of each process from three sources: peer connections, the platform's host list
 * and the presence keys of the key-value service.
 *
 * <p>The state that a process announces for itself takes precedence and is spread by gossip. A
 * connection that is lost or carries no messages makes a process suspected for this observer only.
 * The host list adds addresses and marks hosts that are leaving. A process is {@link
 * MemberState#GONE} only after its own graceful leave, after a greater incarnation, or when
 * connections, host list and key-value service agree that it ended. Not thread-safe.
 */
public final class Membership {
    private static final int MAX_MEMBERS_PER_MESSAGE = 256;

    /** A new connection triggers a digest only if the last digest was sent longer ago than this. */
    private static final long MIN_DIGEST_INTERVAL_NANOS = 2_000_000_000L;

    private static final double JITTER_RATIO = 0.1;

    private final MembershipOptions mOptions;
    private final RandomGenerator mRandom;
    private final MemberTable mTable = new MemberTable();

    /** All processes that are not gone, with the states that {@link #view()} shows. */
    private final Map<NodeId, Member> mVisible = new TreeMap<>();

    private final Set<NodeId> mLinked = new TreeSet<>();
    private final Set<NodeId> mLinkLostPeers = new TreeSet<>();

    /**
     * Connected processes that have sent updates or digests, and so chose this one as neighbour.
     */
    private final Set<NodeId> mGossipPeers = new TreeSet<>();

    /** Known processes that the last host list does not contain. */
    private final Set<NodeId> mUnlisted = new TreeSet<>();

    /** Incarnations of unknown processes that are connected but have not sent a {@link Hello}. */
    private final Map<NodeId, Long> mAwaitingHello = new TreeMap<>();

    private final Map<NodeId, PendingUpdate> mPendingUpdates = new TreeMap<>();
    private Member mSelf;
    private long mSettingsRevision;
    private long mSequence;
    private long mNextHeartbeatNanos = Long.MIN_VALUE;
    private long mNextGossipNanos = Long.MIN_VALUE;
    private long mNextDigestNanos = Long.MIN_VALUE;
    private long mLastDigestNanos = Long.MIN_VALUE;
    private boolean mSuperseded;
    private boolean mChanged = true;
    private boolean mViewStale = true;
    private MembershipView mView = MembershipView.EMPTY;
    private Set<NodeId> mNeighbours = Set.of();

    /**
     * Creates the membership of a process that knows only itself.
     *
     * @param options the options
     * @param random source of jitter and of the choice of the peer to send a digest to
     * @throws NullPointerException if an argument is null
     */
    public Membership(MembershipOptions options, RandomGenerator random) {
        mOptions = Objects.requireNonNull(options, "options");
        mRandom = Objects.requireNonNull(random, "random");
        mSelf = options.self();
        mTable.merge(mSelf);
        mVisible.put(mSelf.id(), mSelf);
    }

    /**
     * Announces a new state of this process to every connected process. A state that does not come
     * after the current one is ignored.
     */
    public void announce(MemberState state, long nowNanos, Outbox out) {
        if (MemberRecord.rank(state) <= MemberRecord.rank(mSelf.state())) {
            return;
        }
        mSelf = mSelf.withState(state);
        mTable.merge(mSelf);
        if (state == MemberState.GONE) {
            mVisible.remove(mSelf.id());
        } else {
            mVisible.put(mSelf.id(), mSelf);
        }
        onViewChanged();
        for (NodeId peer : mLinked) {
            out.send(peer, new Hello(mSelf, mSettingsRevision));
        }
    }

    /**
     * Announces to every connected process that this one ends now. Nothing may be sent afterwards.
     *
     * <p>Other processes treat this one as gone from then on, without waiting for its lease to
     * expire.
     */
    public void announceGone(long nowNanos, Outbox out) {
        announce(MemberState.GONE, nowNanos, out);
    }

    /** Returns whether the view has changed since the last call of {@link #view()}. */
    public boolean changed() {
        return mChanged;
    }

    /**
     * Returns whether an incarnation of a process is known to have ended for good, by its graceful
     * leave, a greater incarnation or the agreement of all sources.
     */
    public boolean isConfirmedGone(NodeId id, long incarnation) {
        Optional<Member> known = mTable.record(id).map(MemberRecord::announced);
        return known.filter(
                        member ->
                                member.incarnation() > incarnation
                                        || member.incarnation() == incarnation
                                                && member.state() == MemberState.GONE)
                .isPresent();
    }

    /**
     * Returns whether messages from an incarnation of a process may be processed: it is the
     * greatest incarnation known and not gone.
     */
    public boolean isCurrent(NodeId id, long incarnation) {
        return mTable.record(id)
                .map(MemberRecord::announced)
                .filter(member -> member.incarnation() == incarnation)
                .filter(member -> member.state() != MemberState.GONE)
                .isPresent();
    }

    /**
     * Returns whether other processes report this incarnation as gone or know a greater one. The
     * process must then stop and may restart as a new incarnation.
     */
    public boolean isSuperseded() {
        return mSuperseded;
    }

    /** Returns whether any connection is up. */
    boolean hasLinks() {
        return !mLinked.isEmpty();
    }

    /** Announces to every connected process that this one is leaving and accepts no new work. */
    public void leave(long nowNanos, Outbox out) {
        announce(MemberState.LEAVING, nowNanos, out);
    }

    /** Returns all processes that are not gone, without resetting {@link #changed()}. */
    Collection<Member> members() {
        return mVisible.values();
    }

    /** Returns the processes that this one must be connected to for the exchange of membership. */
    public Set<NodeId> neighbours() {
        rebuildView();
        return mNeighbours;
    }

    /** Records that a message of any kind was received over a connection from a process. */
    public void onContact(NodeId from, long incarnation, long nowNanos) {
        mTable.record(from)
                .ifPresent(
                        record -> {
                            record.onContact(incarnation, nowNanos);
                            updateVisibleState(record, nowNanos);
                        });
    }

    /** Applies a new host list. */
    public void onHostList(HostList hosts, long nowNanos) {
        Set<NodeId> named = new HashSet<>();
        for (HostList.Host host : hosts.hosts()) {
            Member member = host.process();
            named.add(member.id());
            if (!member.id().equals(mSelf.id())) {
                onListed(member, nowNanos);
            }
        }
        for (MemberRecord record : mTable.records()) {
            if (!named.contains(record.id())) {
                record.onUnlisted(nowNanos);
                mUnlisted.add(record.id());
                updateVisibleState(record, nowNanos);
            }
        }
        mUnlisted.removeAll(named);
        mUnlisted.remove(mSelf.id());
    }

    /**
     * Applies presence keys read from the key-value service.
     *
     * @param present processes whose presence keys exist
     * @param removed processes whose presence keys existed before and do not exist any more
     * @param changed whether the keys have just changed and are to be gossiped; false for keys read
     *     at the start or at a refresh, which reach other processes by the comparison of digests
     */
    public void onPresence(
            Collection<Member> present,
            Collection<NodeId> removed,
            boolean changed,
            long nowNanos) {
        for (Member member : present) {
            applyUpdate(member, null, changed, nowNanos);
            mTable.record(member.id())
                    .ifPresent(record -> record.onRegistration(true, member.incarnation()));
            updateVisibleState(member.id(), nowNanos);
        }
        for (NodeId id : removed) {
            mTable.record(id)
                    .ifPresent(
                            record ->
                                    record.onRegistration(false, record.announced().incarnation()));
            updateVisibleState(id, nowNanos);
        }
    }

    /**
     * Processes a message from a process.
     *
     * @param from sender of the message
     * @param incarnation incarnation of the sender on that connection; messages of an old one are
     *     dropped
     * @param message the message
     * @param nowNanos the current time
     * @param out receives the responses
     */
    public void onMessage(
            NodeId from, long incarnation, MemberMessage message, long nowNanos, Outbox out) {
        if (message instanceof Hello hello) {
            if (hello.self().id().equals(from) && hello.self().incarnation() == incarnation) {
                applyUpdate(hello.self(), from, true, nowNanos);
                registerAwaitedLink(from, incarnation, nowNanos, out);
            }
        }
        if (!isCurrent(from, incarnation)) {
            return;
        }
        onContact(from, incarnation, nowNanos);
        if (message instanceof MemberUpdates updates) {
            mGossipPeers.add(from);
            updates.members()
                    .forEach(member -> applyUpdate(member, from, updates.news(), nowNanos));
        } else if (message instanceof MemberDigest digest) {
            mGossipPeers.add(from);
            sendMembers(from, mTable.membersOfDifferingBuckets(digest.buckets()), false, out);
        }
    }

    /** Processes the loss of a connection; ignored if it belonged to an old incarnation. */
    public void onPeerDown(NodeId peer, long incarnation, long nowNanos) {
        mAwaitingHello.remove(peer, incarnation);
        Optional<MemberRecord> record = mTable.record(peer);
        if (record.isPresent() && record.get().announced().incarnation() == incarnation) {
            record.get().onLinkDown(incarnation, nowNanos);
            mLinked.remove(peer);
            mGossipPeers.remove(peer);
            mLinkLostPeers.add(peer);
            updateVisibleState(record.get(), nowNanos);
        }
    }

    /**
     * Processes a new connection; ignored if it belongs to an old incarnation.
     *
     * <p>The {@link Hello} of the process may arrive before or after this call. A connection to an
     * unknown process takes effect with its {@link Hello}.
     */
    public void onPeerUp(NodeId peer, long incarnation, long nowNanos, Outbox out) {
        mTable.record(peer)
                .map(MemberRecord::announced)
                .filter(known -> known.incarnation() < incarnation)
                .ifPresent(
                        known ->
                                applyUpdate(
                                        joiningMember(known, incarnation), peer, false, nowNanos));
        if (mTable.record(peer).isEmpty()) {
            mAwaitingHello.put(peer, incarnation);
            return;
        }
        if (isCurrent(peer, incarnation)) {
            registerLink(peer, incarnation, nowNanos, out);
        }
    }

    /** Sends the heartbeats, updates and digests that are due; to be called periodically. */
    public void onTick(long nowNanos, Outbox out) {
        if (nowNanos >= mNextHeartbeatNanos) {
            mNextHeartbeatNanos = nowNanos + jittered(mOptions.heartbeatNanos());
            heartbeat(nowNanos, out);
        }
        if (nowNanos >= mNextGossipNanos) {
            mNextGossipNanos = nowNanos + mOptions.gossipNanos();
            mLinked.forEach(peer -> updateVisibleState(peer, nowNanos));
            mLinkLostPeers.forEach(peer -> updateVisibleState(peer, nowNanos));
            mLinkLostPeers.removeIf(peer -> !isLinkLost(peer, nowNanos));
            sendPendingUpdates(out);
        }
        if (nowNanos >= mNextDigestNanos) {
            mNextDigestNanos = nowNanos + jittered(mOptions.digestNanos());
            sendDigestToRandomPeer(nowNanos, out);
            markRemovedAsGone(nowNanos);
        }
    }

    /** Returns this process with its last announced state. */
    public Member self() {
        return mSelf;
    }

    /** Sets the revision of the settings that heartbeats report. */
    public void settingsRevision(long revision) {
        mSettingsRevision = revision;
    }

    /** Returns a view of all processes that are not gone, and resets {@link #changed()}. */
    public MembershipView view() {
        mChanged = false;
        rebuildView();
        return mView;
    }

    /**
     * Applies an announced state of a process.
     *
     * @param from process that reported the state, null for the key-value service or this process
     * @param changed whether the state has just changed and is to be gossiped if it is new here
     */
    private void applyUpdate(Member member, NodeId from, boolean changed, long nowNanos) {
        if (member.id().equals(mSelf.id())) {
            boolean greater = member.incarnation() > mSelf.incarnation();
            boolean same = member.incarnation() == mSelf.incarnation();
            boolean gone = member.state() == MemberState.GONE;
            mSuperseded |= greater || same && gone && mSelf.state() != MemberState.GONE;
            return;
        }
        long before = incarnation(member.id());
        if (!mTable.merge(member)) {
            return;
        }
        if (incarnation(member.id()) != before) {
            mLinked.remove(member.id());
            mGossipPeers.remove(member.id());
        }
        if (changed && member.incarnation() != 0) {
            mPendingUpdates.put(member.id(), new PendingUpdate(member, from));
        }
        updateVisibleState(member.id(), nowNanos);
    }

    private Set<NodeId> gossipPeers() {
        Set<NodeId> peers = new TreeSet<>(mGossipPeers);
        peers.addAll(neighbours());
        return peers;
    }

    private void heartbeat(long nowNanos, Outbox out) {
        mSequence++;
        Heartbeat heartbeat = new Heartbeat(mSequence, mSettingsRevision);
        for (NodeId peer : mLinked) {
            out.send(peer, heartbeat);
        }
    }

    private long incarnation(NodeId id) {
        return mTable.record(id).map(record -> record.announced().incarnation()).orElse(0L);
    }

    private boolean isLinkLost(NodeId id, long nowNanos) {
        return mTable.record(id).filter(record -> record.isLinkLost(nowNanos)).isPresent();
    }

    private long jittered(long nanos) {
        double factor = 1 - JITTER_RATIO + 2 * JITTER_RATIO * mRandom.nextDouble();
        return (long) (nanos * factor);
    }

    /**
     * Returns a member for a newer incarnation that has connected but not announced its state yet.
     */
    private static Member joiningMember(Member known, long incarnation) {
        return new Member(
                known.id(),
                incarnation,
                known.role(),
                MemberState.JOINING,
                known.locality(),
                known.address(),
                known.serves());
    }

    /** Marks processes as gone if all sources agree that they ended. */
    private void markRemovedAsGone(long nowNanos) {
        for (NodeId id : mUnlisted) {
            MemberRecord record = mTable.record(id).orElseThrow();
            if (record.isRemoved(nowNanos, mOptions.removalNanos())) {
                applyUpdate(record.announced().withState(MemberState.GONE), null, true, nowNanos);
            }
        }
    }

    private void onListed(Member member, long nowNanos) {
        boolean leaving = member.state() == MemberState.LEAVING;
        if (mTable.record(member.id()).isEmpty()) {
            mTable.merge(member.withState(MemberState.JOINING));
        }
        MemberRecord record = mTable.record(member.id()).orElseThrow();
        Member before = record.announced();
        record.onListed(leaving, member.incarnation());
        if (mTable.updateDigest(before, record.announced())) {
            mPendingUpdates.put(member.id(), new PendingUpdate(record.announced(), null));
        }
        updateVisibleState(record, nowNanos);
    }

    private void onViewChanged() {
        mChanged = true;
        mViewStale = true;
    }

    /** Rebuilds the view and the neighbours if a visible state has changed. */
    private void rebuildView() {
        if (mViewStale) {
            mViewStale = false;
            mView = new MembershipView(mVisible.values());
            mNeighbours = Neighbours.choose(mSelf, mVisible.values());
        }
    }

    /** Registers a connection that was reported before the {@link Hello} of an unknown process. */
    private void registerAwaitedLink(NodeId peer, long incarnation, long nowNanos, Outbox out) {
        Long awaited = mAwaitingHello.get(peer);
        if (awaited != null && awaited == incarnation) {
            mAwaitingHello.remove(peer);
            onPeerUp(peer, incarnation, nowNanos, out);
        }
    }

    private void registerLink(NodeId peer, long incarnation, long nowNanos, Outbox out) {
        MemberRecord record = mTable.record(peer).orElseThrow();
        record.onLinkUp(incarnation, nowNanos);
        mLinked.add(peer);
        updateVisibleState(record, nowNanos);
        out.send(peer, new Hello(mSelf, mSettingsRevision));
        if (nowNanos - mLastDigestNanos > MIN_DIGEST_INTERVAL_NANOS || mLastDigestNanos < 0) {
            sendDigest(peer, nowNanos, out);
        }
    }

    private void sendDigest(NodeId peer, long nowNanos, Outbox out) {
        mLastDigestNanos = nowNanos;
        out.send(peer, new MemberDigest(mTable.digest()));
    }

    private void sendDigestToRandomPeer(long nowNanos, Outbox out) {
        List<NodeId> candidates = new ArrayList<>(mLinked);
        candidates.retainAll(gossipPeers());
        if (!candidates.isEmpty()) {
            sendDigest(candidates.get(mRandom.nextInt(candidates.size())), nowNanos, out);
        }
    }

    private void sendMembers(NodeId peer, List<Member> members, boolean changed, Outbox out) {
        for (int from = 0; from < members.size(); from += MAX_MEMBERS_PER_MESSAGE) {
            int end = Math.min(from + MAX_MEMBERS_PER_MESSAGE, members.size());
            out.send(peer, new MemberUpdates(members.subList(from, end), changed));
        }
    }

    private void sendPendingUpdates(Outbox out) {
        if (mPendingUpdates.isEmpty()) {
            return;
        }
        Set<NodeId> peers = gossipPeers();
        peers.retainAll(mLinked);
        for (NodeId peer : peers) {
            List<Member> members = new ArrayList<>();
            for (PendingUpdate update : mPendingUpdates.values()) {
                if (!peer.equals(update.from()) && !peer.equals(update.member().id())) {
                    members.add(update.member());
                }
            }
            sendMembers(peer, members, true, out);
        }
        mPendingUpdates.clear();
    }

    private void updateVisibleState(NodeId id, long nowNanos) {
        mTable.record(id).ifPresent(record -> updateVisibleState(record, nowNanos));
    }

    /** Updates the state in which {@link #view()} shows a process. */
    private void updateVisibleState(MemberRecord record, long nowNanos) {
        if (record.id().equals(mSelf.id())) {
            return;
        }
        MemberState state = record.state(nowNanos, mOptions.suspectAfterNanos());
        if (state == MemberState.GONE) {
            if (mVisible.remove(record.id()) != null) {
                onViewChanged();
            }
            return;
        }
        Member before = mVisible.get(record.id());
        Member announced = record.announced();
        if (before == null
                || before.state() != state
                || before.incarnation() != announced.incarnation()) {
            mVisible.put(record.id(), announced.withState(state));
            onViewChanged();
        }
    }

    /** A changed state to gossip, and the process that reported it, null if none did. */
    private record PendingUpdate(Member member, NodeId from) {}
}
