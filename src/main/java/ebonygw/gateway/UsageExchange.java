package ebonygw.gateway;

import ebonygw.membership.Member;
import ebonygw.protocol.Locality;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import net.openhft.hashing.LongHashFunction;

/**
 * Exchanges the tokens that entries have charged through a few relays in each region, so that the
 * links and messages of an entry do not grow with the number of entries.
 *
 * <p>The relays of a region are the first entries by hash. An entry sends its usage to the first
 * relay of its region that it is linked to, its upstream, and receives the usage of all others from
 * it. A relay without an upstream receives the usage of each other region from the first relay
 * there that it is linked to. Usage is a set of registers, one for each entry and customer, each
 * with a sequence, so that losing, repeating and reordering messages does no harm; a message
 * contains what has changed since the last one on the same link.
 *
 * <p>Entries that have not been heard of for a while count as unreachable: their part of each quota
 * is set aside, and what they charge meanwhile is not counted again later. Not thread-safe.
 */
final class UsageExchange {
    /** Number of relays of a region; one more than may be lost before the others notice. */
    private static final int RELAYS_PER_REGION = 2;

    /** Minimum interval between two messages on a link: a few ticks of the control thread. */
    private static final long SEND_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Interval at which an entry renews its usage although nothing was charged. */
    private static final long RENEWAL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Age after which an entry counts as unreachable: three renewals. */
    private static final long MAX_AGE_NANOS = 3 * RENEWAL_INTERVAL_NANOS;

    /**
     * Time for which the usage of an entry is kept after its registration has lapsed, if charges
     * are accounted by entry. Without it, the total that an entry whose registration returns
     * reports next would be counted as charged at that moment. Longer than any observed outage of
     * the key-value service.
     */
    private static final long KEEP_LAPSED_NANOS = TimeUnit.MINUTES.toNanos(5);

    /** Maximum number of entries whose usage is kept. */
    private static final int MAX_ROWS = 1_024;

    /**
     * Sequence up to which an entry has started a moment ago: its totals are counted in full when
     * it is first heard of, those of an older process are not.
     */
    private static final long YOUNG_SEQUENCE = 20;

    private final NodeId mSelf;
    private final Locality mLocality;
    private final CustomerQuota mQuota;
    private final Row mOwn;
    private final Map<NodeId, Locality> mEntries = new TreeMap<>();
    private final Map<NodeId, Locality> mLapsedLocalities = new TreeMap<>();
    private final Map<String, List<NodeId>> mRelays = new TreeMap<>();
    private final Map<NodeId, Row> mRows = new TreeMap<>();
    private final Map<NodeId, Peer> mPeers = new TreeMap<>();
    private Set<NodeId> mSources = Set.of();
    private int mReachable = 1;
    private long mChange;
    private long mRenewedNanos = Long.MIN_VALUE;

    /**
     * Creates an exchange without other entries.
     *
     * @param self this entry
     * @param locality where it runs
     * @param incarnation identifies this start of the process; need not be ordered
     * @param quota supplies what this entry charges and receives what others charge
     */
    UsageExchange(NodeId self, Locality locality, long incarnation, CustomerQuota quota) {
        mSelf = Objects.requireNonNull(self, "self");
        mLocality = Objects.requireNonNull(locality, "locality");
        mQuota = Objects.requireNonNull(quota, "quota");
        mOwn = new Row(incarnation);
        mRows.put(self, mOwn);
        onEntries(List.of());
    }

    /** Returns the number of registered entries, including this one. */
    int entries() {
        return mEntries.size();
    }

    /** Returns the entries to keep links to. */
    Set<NodeId> links() {
        Set<NodeId> links = new LinkedHashSet<>(regionRelays());
        if (regionRelays().contains(mSelf)) {
            mRelays.values().forEach(links::addAll);
            mEntries.forEach(
                    (id, locality) -> {
                        if (locality.sameRegion(mLocality)) {
                            links.add(id);
                        }
                    });
        }
        links.remove(mSelf);
        return links;
    }

    /** Returns the number of entries, including this one, that count as reachable. */
    int reachable() {
        return mReachable;
    }

    /** Applies the registered entries. */
    void onEntries(Collection<Member> entries) {
        Map<NodeId, Locality> before = Map.copyOf(mEntries);
        mEntries.clear();
        mEntries.put(mSelf, mLocality);
        entries.forEach(entry -> mEntries.put(entry.id(), entry.locality()));
        dropLapsed(before);
        mRelays.clear();
        mEntries.forEach(
                (id, locality) ->
                        mRelays.computeIfAbsent(locality.region(), r -> new ArrayList<>()).add(id));
        mRelays.replaceAll(
                (region, ids) ->
                        ids.stream()
                                .sorted(Comparator.comparingLong(UsageExchange::hash))
                                .limit(RELAYS_PER_REGION)
                                .toList());
        updateSources();
    }

    /** Handles that the link to an entry is up or down. */
    void onLink(NodeId peer, boolean up) {
        if (up) {
            mPeers.put(peer, new Peer());
        } else {
            mPeers.remove(peer);
        }
        updateSources();
    }

    /** Applies a message of another entry. */
    void onMessage(NodeId from, GatewayMessage.Usage usage, long nowNanos) {
        Peer peer = mPeers.get(from);
        if (peer == null) {
            return;
        }
        if (usage.wanted() && !peer.mWantsUsage) {
            peer.mSentChange = 0;
        }
        peer.mWantsUsage = usage.wanted();
        for (GatewayMessage.EntryUsage entry : usage.entries()) {
            boolean known =
                    mEntries.containsKey(entry.entry())
                            || mQuota.accountsByEntry() && mRows.containsKey(entry.entry());
            if (!entry.entry().equals(mSelf) && known) {
                apply(from, entry, nowNanos);
            }
        }
        // After all charges, so that the reported levels are compared with one that includes them.
        for (GatewayMessage.EntryUsage entry : usage.entries()) {
            if (mRows.containsKey(entry.entry()) && !entry.entry().equals(mSelf)) {
                entry.charged()
                        .forEach(
                                it ->
                                        mQuota.onStanding(
                                                entry.entry(),
                                                it.customer(),
                                                it.standing(),
                                                nowNanos));
            }
        }
    }

    /** Applies the reachable entries to the quota and sends the messages that are due. */
    void onTick(long nowNanos, BiConsumer<NodeId, Message> out) {
        mReachable = 1;
        for (Map.Entry<NodeId, Row> row : mRows.entrySet()) {
            if (row.getValue() != mOwn) {
                boolean registered = mEntries.containsKey(row.getKey());
                if (registered) {
                    row.getValue().mLapsedNanos = Long.MAX_VALUE;
                } else if (row.getValue().mLapsedNanos == Long.MAX_VALUE) {
                    row.getValue().mLapsedNanos = nowNanos;
                }
                row.getValue().mReachable = row.getValue().isRecent(nowNanos);
                if (mQuota.accountsByEntry() && row.getValue().mSequence > 0) {
                    mQuota.onReachable(row.getKey(), row.getValue().mReachable, nowNanos);
                }
                mReachable += row.getValue().mReachable ? 1 : 0;
            }
        }
        mRows.entrySet()
                .removeIf(
                        row -> {
                            boolean ended =
                                    row.getValue().mLapsedNanos != Long.MAX_VALUE
                                            && nowNanos - row.getValue().mLapsedNanos
                                                    > KEEP_LAPSED_NANOS;
                            if (ended) {
                                mQuota.onRemoved(row.getKey());
                            }
                            return ended;
                        });
        mQuota.onEntries(mReachable, Math.max(mReachable, mEntries.size()), nowNanos);
        updateOwn(nowNanos);
        mPeers.forEach((id, peer) -> sendIfDue(id, peer, nowNanos, out));
    }

    private void apply(NodeId from, GatewayMessage.EntryUsage usage, long nowNanos) {
        Row row = mRows.computeIfAbsent(usage.entry(), id -> new Row(usage.incarnation()));
        boolean isNew = row.mSequence == 0;
        if (row.mIncarnation != usage.incarnation()) {
            if (row.mEndedIncarnations.contains(usage.incarnation())) {
                return;
            }
            row.restart(usage.incarnation());
            isNew = true;
            // What was set aside for the former process may have been used without a report.
            mQuota.onRemoved(usage.entry());
        }
        if (isNew) {
            row.mBaselineSequence = usage.sequence() > YOUNG_SEQUENCE ? usage.sequence() : 0;
        }
        boolean isNewer = usage.sequence() > row.mSequence;
        if (usage.sequence() > row.mSequence) {
            row.mSequence = usage.sequence();
            row.mReceivedNanos = nowNanos;
            row.mSource = from;
            row.mChange = ++mChange;
        }
        Map<String, Long> charged = new HashMap<>();
        for (GatewayMessage.CustomerTokens tokens : usage.charged()) {
            // A value set later than that is what the customer has used since.
            boolean isBaseline =
                    tokens.sequence() <= row.mBaselineSequence
                            && !row.mCells.containsKey(tokens.customer());
            Cell cell = row.mCells.computeIfAbsent(tokens.customer(), c -> new Cell());
            if (tokens.sequence() > cell.mSequence) {
                if (!isBaseline || !mQuota.accountsByEntry()) {
                    charged.merge(tokens.customer(), tokens.tokens() - cell.mTokens, Long::sum);
                }
                cell.mStanding = tokens.standing();
                cell.mTokens = tokens.tokens();
                cell.mSequence = tokens.sequence();
                cell.mChange = ++mChange;
                row.mChange = mChange;
                row.mSource = from;
            }
        }
        if (mQuota.accountsByEntry()) {
            if (isNewer) {
                mQuota.onReachable(usage.entry(), true, nowNanos);
            }
            mQuota.onUsage(charged, nowNanos);
        } else if (row.mReachable) {
            // The part of an unreachable entry was set aside, which covers what it has charged.
            mQuota.onUsage(charged, nowNanos);
        }
    }

    /** Drops the usage of entries that are not registered, unless it is still needed. */
    private void dropLapsed(Map<NodeId, Locality> before) {
        if (mQuota.accountsByEntry()) {
            mLapsedLocalities.putAll(before);
        } else {
            mRows.keySet().retainAll(mEntries.keySet());
        }
        mLapsedLocalities.keySet().retainAll(mRows.keySet());
        mRows.keySet()
                .removeIf(
                        id -> {
                            boolean excess = mRows.size() > MAX_ROWS && !mEntries.containsKey(id);
                            if (excess) {
                                mQuota.onRemoved(id);
                            }
                            return excess;
                        });
    }

    private static long hash(NodeId id) {
        return LongHashFunction.xx().hashChars(id.name());
    }

    private boolean isInRegion(NodeId entry) {
        Locality locality = mEntries.getOrDefault(entry, mLapsedLocalities.get(entry));
        return locality != null && locality.sameRegion(mLocality);
    }

    private List<NodeId> regionRelays() {
        return mRelays.getOrDefault(mLocality.region(), List.of());
    }

    /** Sends what has changed since the last message to a peer. */
    private void sendIfDue(NodeId id, Peer peer, long nowNanos, BiConsumer<NodeId, Message> out) {
        boolean wanted = mSources.contains(id);
        boolean unchanged = peer.mSentChange == mChange && peer.mSentWanted == wanted;
        boolean early =
                peer.mSentNanos != Long.MIN_VALUE
                        && nowNanos - peer.mSentNanos < SEND_INTERVAL_NANOS;
        boolean isEntry = mEntries.containsKey(id) || mLapsedLocalities.containsKey(id);
        if (unchanged || early || !isEntry) {
            return;
        }
        boolean isUpstream = wanted && isInRegion(id);
        List<GatewayMessage.EntryUsage> changed = new ArrayList<>();
        mRows.forEach(
                (entry, row) -> {
                    boolean inRegion = isInRegion(entry);
                    boolean needed =
                            isUpstream && inRegion
                                    || peer.mWantsUsage && (inRegion || isInRegion(id));
                    if (needed && row.mChange > peer.mSentChange && !id.equals(row.mSource)) {
                        changed.add(row.changedSince(entry, peer.mSentChange));
                    }
                });
        peer.mSentChange = mChange;
        if (!changed.isEmpty() || wanted != peer.mSentWanted) {
            peer.mSentNanos = nowNanos;
            peer.mSentWanted = wanted;
            out.accept(id, new GatewayMessage.Usage(wanted, changed));
        }
    }

    /** Returns a cell of the own row, marked as changed now. */
    private Cell changedCell(String customer) {
        Cell cell = mOwn.mCells.computeIfAbsent(customer, c -> new Cell());
        cell.mSequence = mOwn.mSequence;
        cell.mChange = mChange;
        return cell;
    }

    /** Adds what this entry has charged to its own row. */
    private void updateOwn(long nowNanos) {
        Map<String, Long> charged = mQuota.drainUnreported();
        boolean due =
                mRenewedNanos == Long.MIN_VALUE
                        || nowNanos - mRenewedNanos >= RENEWAL_INTERVAL_NANOS;
        Map<String, QuotaStanding> standings = mQuota.standings(nowNanos);
        if (charged.isEmpty() && standings.isEmpty() && !due) {
            return;
        }
        mRenewedNanos = nowNanos;
        mOwn.mSequence++;
        mOwn.mChange = ++mChange;
        charged.forEach((customer, tokens) -> changedCell(customer).mTokens += tokens);
        standings.forEach((customer, standing) -> changedCell(customer).mStanding = standing);
    }

    /** Chooses the peers that this entry receives usage from. */
    private void updateSources() {
        Set<NodeId> sources = new HashSet<>();
        boolean hasUpstream = false;
        for (NodeId relay : regionRelays()) {
            if (relay.equals(mSelf)) {
                break;
            }
            if (mPeers.containsKey(relay)) {
                sources.add(relay);
                hasUpstream = true;
                break;
            }
        }
        if (!hasUpstream) {
            mRelays.forEach(
                    (region, relays) -> {
                        if (!region.equals(mLocality.region())) {
                            relays.stream()
                                    .filter(mPeers::containsKey)
                                    .findFirst()
                                    .ifPresent(sources::add);
                        }
                    });
        }
        for (NodeId source : sources) {
            if (!mSources.contains(source) && mPeers.containsKey(source)) {
                mPeers.get(source).mSentChange = 0;
            }
        }
        mSources = sources;
    }

    /** State of the link to another entry. */
    private static final class Peer {
        private boolean mWantsUsage;
        private boolean mSentWanted;
        private long mSentChange;
        private long mSentNanos = Long.MIN_VALUE;
    }

    /** All tokens that one entry has charged for one customer. */
    private static final class Cell {
        private long mTokens;
        private QuotaStanding mStanding = QuotaStanding.NONE;
        private long mSequence;
        private long mChange;
    }

    /** What is known of the usage of one entry. */
    private static final class Row {
        private final Set<Long> mEndedIncarnations = new HashSet<>();
        private final Map<String, Cell> mCells = new HashMap<>();
        private long mIncarnation;
        private long mSequence;
        private long mReceivedNanos;

        /** When the registration was first seen to be missing, MAX_VALUE if it is there. */
        private long mLapsedNanos = Long.MAX_VALUE;

        /**
         * Sequence at which the entry was first heard of, if it had charged for a while by then;
         * else 0. What is first heard of a customer and was set up to then is a total, not a
         * charge.
         */
        private long mBaselineSequence;

        private boolean mReachable;

        /** Number of the last change, which orders the changes of all rows. */
        private long mChange;

        /** Peer that sent the last change, null for the own row. */
        private NodeId mSource;

        Row(long incarnation) {
            mIncarnation = incarnation;
        }

        GatewayMessage.EntryUsage changedSince(NodeId entry, long change) {
            List<GatewayMessage.CustomerTokens> charged = new ArrayList<>();
            mCells.forEach(
                    (customer, cell) -> {
                        if (cell.mChange > change) {
                            charged.add(
                                    new GatewayMessage.CustomerTokens(
                                            customer,
                                            cell.mTokens,
                                            cell.mSequence,
                                            cell.mStanding));
                        }
                    });
            return new GatewayMessage.EntryUsage(entry, mIncarnation, mSequence, charged);
        }

        boolean isRecent(long nowNanos) {
            return mSequence > 0 && nowNanos - mReceivedNanos <= MAX_AGE_NANOS;
        }

        void restart(long incarnation) {
            mEndedIncarnations.add(mIncarnation);
            mIncarnation = incarnation;
            mSequence = 0;
            mCells.clear();
        }
    }
}
