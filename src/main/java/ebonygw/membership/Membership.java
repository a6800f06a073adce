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
 * Decides the state of each process from peer links, host list and the service's presence keys.
 *
 * <p>What a process says of itself counts most and travels from neighbour to neighbour; silence and
 * lost links make this process alone suspect another one; the host list adds addresses and leaving
 * hosts. {@link MemberState#GONE} is decided only by a process's own farewell, by a greater
 * incarnation, or when links, host list and service agree. Not thread-safe.
 */
public final class Membership {
    private static final int MEMBERS_PER_MESSAGE = 256;
    private static final long MIN_DIGEST_GAP_NANOS = 2_000_000_000L;
    private static final double JITTER = 0.1;

    private final MembershipOptions mOptions;
    private final RandomGenerator mRandom;
    private final MemberTable mTable = new MemberTable();
    private final Map<NodeId, Member> mVisible = new TreeMap<>();
    private final Set<NodeId> mLinked = new TreeSet<>();
    private final Set<NodeId> mLinkLost = new TreeSet<>();
    private final Set<NodeId> mGossipPeers = new TreeSet<>();
    private final Set<NodeId> mUnlisted = new TreeSet<>();
    private final Map<NodeId, Long> mAwaitingHello = new TreeMap<>();
    private final Map<NodeId, News> mNews = new TreeMap<>();
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
     * @param random source of jitter and of the choice of neighbours to compare with
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
     * Announces a new state of this process to every linked process; a state behind the present one
     * is ignored.
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
        viewChanged();
        for (NodeId peer : mLinked) {
            out.send(peer, new Hello(mSelf, mSettingsRevision));
        }
    }

    /** Returns whether the view has changed since the last call of {@link #view()}. */
    public boolean changed() {
        return mChanged;
    }

    /**
     * Tells every linked process that this one ends now; nothing may be sent afterwards.
     *
     * <p>This is the proof by which others count it as gone.
     */
    public void farewell(long nowNanos, Outbox out) {
        announce(MemberState.GONE, nowNanos, out);
    }

    /**
     * Returns whether a message from this incarnation of a process may be acted on: it is the
     * newest known and not gone.
     */
    public boolean isCurrent(NodeId id, long incarnation) {
        return mTable.record(id)
                .map(MemberRecord::announced)
                .filter(member -> member.incarnation() == incarnation)
                .filter(member -> member.state() != MemberState.GONE)
                .isPresent();
    }

    /**
     * Returns whether an incarnation of a process is known to be over for good, by its farewell, a
     * greater incarnation or the agreement of all sources.
     */
    public boolean isProvenGone(NodeId id, long incarnation) {
        Optional<Member> known = mTable.record(id).map(MemberRecord::announced);
        return known.filter(
                        member ->
                                member.incarnation() > incarnation
                                        || member.incarnation() == incarnation
                                                && member.state() == MemberState.GONE)
                .isPresent();
    }

    /**
     * Returns whether others hold this incarnation for gone or know a greater one; it must stop and
     * may come back as a new incarnation.
     */
    public boolean isSuperseded() {
        return mSuperseded;
    }

    /** Returns whether any link is up. */
    boolean hasLinks() {
        return !mLinked.isEmpty();
    }

    /** Tells every linked process that this one leaves and takes no new work. */
    public void leave(long nowNanos, Outbox out) {
        announce(MemberState.LEAVING, nowNanos, out);
    }

    /** Returns all processes that are not gone, without resetting {@link #changed()}. */
    Collection<Member> members() {
        return mVisible.values();
    }

    /** Returns the processes that this one needs links to for the exchange of membership. */
    public Set<NodeId> neighbours() {
        rebuild();
        return mNeighbours;
    }

    /** Takes in a new host list. */
    public void onHostList(HostList hosts, long nowNanos) {
        Set<NodeId> named = new HashSet<>();
        for (HostList.Host host : hosts.hosts()) {
            Member member = host.process();
            named.add(member.id());
            if (!member.id().equals(mSelf.id())) {
                listed(member, nowNanos);
            }
        }
        for (MemberRecord record : mTable.records()) {
            if (!named.contains(record.id())) {
                record.unlisted(nowNanos);
                mUnlisted.add(record.id());
                refresh(record, nowNanos);
            }
        }
        mUnlisted.removeAll(named);
        mUnlisted.remove(mSelf.id());
    }

    /**
     * Takes in presence keys of the service.
     *
     * @param present processes whose keys are there
     * @param removed processes whose keys were there and are not any more
     * @param news whether the keys have just changed, so that neighbours are told; what was there
     *     before reaches them by the comparison of tables
     * @param nowNanos the present time
     */
    public void onLeases(
            Collection<Member> present, Collection<NodeId> removed, boolean news, long nowNanos) {
        for (Member member : present) {
            learn(member, null, news, nowNanos);
            mTable.record(member.id())
                    .ifPresent(record -> record.registered(true, member.incarnation()));
            refresh(member.id(), nowNanos);
        }
        for (NodeId id : removed) {
            mTable.record(id)
                    .ifPresent(
                            record -> record.registered(false, record.announced().incarnation()));
            refresh(id, nowNanos);
        }
    }

    /**
     * Takes in a message from a process.
     *
     * @param from the process
     * @param incarnation its incarnation on that link; messages of an old one are dropped
     * @param message the message
     * @param nowNanos the present time
     * @param out takes the answers
     */
    public void onMessage(
            NodeId from, long incarnation, MemberMessage message, long nowNanos, Outbox out) {
        if (message instanceof Hello hello) {
            if (hello.self().id().equals(from) && hello.self().incarnation() == incarnation) {
                learn(hello.self(), from, true, nowNanos);
                linkAwaited(from, incarnation, nowNanos, out);
            }
        }
        if (!isCurrent(from, incarnation)) {
            return;
        }
        onHeard(from, incarnation, nowNanos);
        if (message instanceof MemberUpdates updates) {
            mGossipPeers.add(from);
            updates.members().forEach(member -> learn(member, from, updates.news(), nowNanos));
        } else if (message instanceof MemberDigest digest) {
            mGossipPeers.add(from);
            sendMembers(from, mTable.differing(digest.buckets()), false, out);
        }
    }

    /** Takes in any other sign of life that came over a link from a process. */
    public void onHeard(NodeId from, long incarnation, long nowNanos) {
        mTable.record(from)
                .ifPresent(
                        record -> {
                            record.heard(incarnation, nowNanos);
                            refresh(record, nowNanos);
                        });
    }

    /** Takes in the loss of a link. */
    public void onPeerDown(NodeId peer, long incarnation, long nowNanos) {
        mAwaitingHello.remove(peer, incarnation);
        Optional<MemberRecord> record = mTable.record(peer);
        if (record.isPresent() && record.get().announced().incarnation() == incarnation) {
            record.get().linkDown(incarnation, nowNanos);
            mLinked.remove(peer);
            mGossipPeers.remove(peer);
            mLinkLost.add(peer);
            refresh(record.get(), nowNanos);
        }
    }

    /**
     * Takes in a new link; links of an old incarnation are ignored.
     *
     * <p>The process's {@link Hello} follows as a message or has been given before.
     */
    public void onPeerUp(NodeId peer, long incarnation, long nowNanos, Outbox out) {
        mTable.record(peer)
                .map(MemberRecord::announced)
                .filter(known -> known.incarnation() < incarnation)
                .ifPresent(known -> learn(joining(known, incarnation), peer, false, nowNanos));
        if (mTable.record(peer).isEmpty()) {
            mAwaitingHello.put(peer, incarnation);
            return;
        }
        if (isCurrent(peer, incarnation)) {
            link(peer, incarnation, nowNanos, out);
        }
    }

    /** Lets time pass: sends heartbeats, news and digests that are due. */
    public void onTick(long nowNanos, Outbox out) {
        if (nowNanos >= mNextHeartbeatNanos) {
            mNextHeartbeatNanos = nowNanos + jittered(mOptions.heartbeatNanos());
            heartbeat(nowNanos, out);
        }
        if (nowNanos >= mNextGossipNanos) {
            mNextGossipNanos = nowNanos + mOptions.gossipNanos();
            mLinked.forEach(peer -> refresh(peer, nowNanos));
            mLinkLost.forEach(peer -> refresh(peer, nowNanos));
            mLinkLost.removeIf(peer -> !isLinkLost(peer, nowNanos));
            sendNews(out);
        }
        if (nowNanos >= mNextDigestNanos) {
            mNextDigestNanos = nowNanos + jittered(mOptions.digestNanos());
            compareWithOne(nowNanos, out);
            removeGone(nowNanos);
        }
    }

    /** Returns this process as it last announced itself. */
    public Member self() {
        return mSelf;
    }

    /** Sets the revision of the settings that heartbeats tell. */
    public void settingsRevision(long revision) {
        mSettingsRevision = revision;
    }

    /** Returns all processes that are not gone, and resets {@link #changed()}. */
    public MembershipView view() {
        mChanged = false;
        rebuild();
        return mView;
    }

    private static Member joining(Member known, long incarnation) {
        return new Member(
                known.id(),
                incarnation,
                known.role(),
                MemberState.JOINING,
                known.locality(),
                known.address(),
                known.serves());
    }

    private void compareWithOne(long nowNanos, Outbox out) {
        List<NodeId> candidates = new ArrayList<>(mLinked);
        candidates.retainAll(gossipPeers());
        if (!candidates.isEmpty()) {
            sendDigest(candidates.get(mRandom.nextInt(candidates.size())), nowNanos, out);
        }
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

    private long jittered(long nanos) {
        double factor = 1 - JITTER + 2 * JITTER * mRandom.nextDouble();
        return (long) (nanos * factor);
    }

    private boolean isLinkLost(NodeId id, long nowNanos) {
        return mTable.record(id).filter(record -> record.isLinkLost(nowNanos)).isPresent();
    }

    private void learn(Member member, NodeId from, boolean news, long nowNanos) {
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
        if (news && member.incarnation() != 0) {
            mNews.put(member.id(), new News(member, from));
        }
        refresh(member.id(), nowNanos);
    }

    private long incarnation(NodeId id) {
        return mTable.record(id).map(record -> record.announced().incarnation()).orElse(0L);
    }

    private void link(NodeId peer, long incarnation, long nowNanos, Outbox out) {
        MemberRecord record = mTable.record(peer).orElseThrow();
        record.linkUp(incarnation, nowNanos);
        mLinked.add(peer);
        refresh(record, nowNanos);
        out.send(peer, new Hello(mSelf, mSettingsRevision));
        if (nowNanos - mLastDigestNanos > MIN_DIGEST_GAP_NANOS || mLastDigestNanos < 0) {
            sendDigest(peer, nowNanos, out);
        }
    }

    private void linkAwaited(NodeId peer, long incarnation, long nowNanos, Outbox out) {
        Long awaited = mAwaitingHello.get(peer);
        if (awaited != null && awaited == incarnation) {
            mAwaitingHello.remove(peer);
            onPeerUp(peer, incarnation, nowNanos, out);
        }
    }

    private void listed(Member member, long nowNanos) {
        boolean leaving = member.state() == MemberState.LEAVING;
        if (mTable.record(member.id()).isEmpty()) {
            mTable.merge(member.withState(MemberState.JOINING));
        }
        MemberRecord record = mTable.record(member.id()).orElseThrow();
        Member before = record.announced();
        record.listed(leaving, member.incarnation());
        if (mTable.rehash(before, record.announced())) {
            mNews.put(member.id(), new News(record.announced(), null));
        }
        refresh(record, nowNanos);
    }

    private void rebuild() {
        if (mViewStale) {
            mViewStale = false;
            mView = new MembershipView(mVisible.values());
            mNeighbours = Neighbours.choose(mSelf, mVisible.values());
        }
    }

    private void refresh(NodeId id, long nowNanos) {
        mTable.record(id).ifPresent(record -> refresh(record, nowNanos));
    }

    private void refresh(MemberRecord record, long nowNanos) {
        if (record.id().equals(mSelf.id())) {
            return;
        }
        MemberState state = record.state(nowNanos, mOptions.suspectAfterNanos());
        if (state == MemberState.GONE) {
            if (mVisible.remove(record.id()) != null) {
                viewChanged();
            }
            return;
        }
        Member before = mVisible.get(record.id());
        Member announced = record.announced();
        if (before == null
                || before.state() != state
                || before.incarnation() != announced.incarnation()) {
            mVisible.put(record.id(), announced.withState(state));
            viewChanged();
        }
    }

    private void removeGone(long nowNanos) {
        for (NodeId id : mUnlisted) {
            MemberRecord record = mTable.record(id).orElseThrow();
            if (record.isRemoved(nowNanos, mOptions.removalNanos())) {
                learn(record.announced().withState(MemberState.GONE), null, true, nowNanos);
            }
        }
    }

    private void sendDigest(NodeId peer, long nowNanos, Outbox out) {
        mLastDigestNanos = nowNanos;
        out.send(peer, new MemberDigest(mTable.digest()));
    }

    private void sendMembers(NodeId peer, List<Member> members, boolean news, Outbox out) {
        for (int from = 0; from < members.size(); from += MEMBERS_PER_MESSAGE) {
            int end = Math.min(from + MEMBERS_PER_MESSAGE, members.size());
            out.send(peer, new MemberUpdates(members.subList(from, end), news));
        }
    }

    private void sendNews(Outbox out) {
        if (mNews.isEmpty()) {
            return;
        }
        Set<NodeId> peers = gossipPeers();
        peers.retainAll(mLinked);
        for (NodeId peer : peers) {
            List<Member> members = new ArrayList<>();
            for (News news : mNews.values()) {
                if (!peer.equals(news.from()) && !peer.equals(news.member().id())) {
                    members.add(news.member());
                }
            }
            sendMembers(peer, members, true, out);
        }
        mNews.clear();
    }

    private void viewChanged() {
        mChanged = true;
        mViewStale = true;
    }

    private record News(Member member, NodeId from) {}
}
