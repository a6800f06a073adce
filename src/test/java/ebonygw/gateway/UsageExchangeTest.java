package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.membership.Member;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.Locality;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class UsageExchangeTest {
    private static final long MILLI = 1_000_000L;
    private static final long TICK_MILLIS = 50;
    private static final long INTER_REGION_MILLIS = 30;
    private static final long BURST = 1_000_000;

    private final Map<NodeId, Entry> mEntries = new TreeMap<>();
    private final Set<String> mCutLinks = new TreeSet<>();
    private final PriorityQueue<Transit> mTransits = new PriorityQueue<>();
    private long mNowMillis = 1_000;
    private long mTransitCount;

    @Test
    void chargesReachAllEntriesWithinTheExchangeTime() {
        start(33);
        run(2_000);
        fillQuotas();
        NodeId charging = id(7);

        mEntries.get(charging).mQuota.charge("a", 5_000, now());
        run(500);

        long left = available(charging);
        assertThat(left).isBetween(BURST - 5_000, BURST - 4_999);
        mEntries.keySet().forEach(id -> assertThat(available(id)).as("%s", id).isEqualTo(left));
    }

    @Test
    void theLinksAndMessagesOfMostEntriesDoNotGrowWithTheirNumber() {
        for (int count : new int[] {33, 330}) {
            mEntries.clear();
            start(count);
            run(2_000);
            mEntries.values().forEach(entry -> entry.mSent = 0);
            for (int step = 0; step < 20; step++) {
                mEntries.values().forEach(entry -> entry.mQuota.charge("a", 1, now()));
                run(TICK_MILLIS);
            }

            List<Entry> members =
                    mEntries.values().stream()
                            .filter(entry -> entry.mExchange.links().size() <= 2)
                            .toList();
            assertThat(members).hasSize(count - 3 * 2);
            assertThat(members).allSatisfy(it -> assertThat(it.mSent).isLessThanOrEqualTo(10));
        }
    }

    @Test
    void theLossOfARelayLosesNoChargeOnceTheOtherRelayIsUsed() {
        start(33);
        run(2_000);
        fillQuotas();
        NodeId relay =
                mEntries.values().stream()
                        .filter(entry -> entry.mExchange.links().size() > 2)
                        .findFirst()
                        .orElseThrow()
                        .mId;
        mEntries.values().forEach(entry -> entry.mQuota.charge("a", 100, now()));
        remove(relay);
        run(1_000);

        mEntries.keySet()
                .forEach(
                        id ->
                                assertThat(available(id))
                                        .as("%s", id)
                                        .isBetween(BURST - 3_300, BURST - 3_190));
    }

    @Test
    void aRestartedEntryIsCountedAnewWhateverItsClockSays() {
        start(6);
        run(2_000);
        fillQuotas();
        mEntries.get(id(1)).mQuota.charge("a", 1_000, now());
        run(500);

        remove(id(1));
        add(id(1), locality(1));
        run(2_500);
        mEntries.get(id(1)).mQuota.charge("a", 1_000, now());
        run(500);

        assertThat(available(id(2))).isBetween(BURST - 2_000, BURST - 1_990);
    }

    @Test
    void theQuotaOfEntriesThatAreCutOffIsSetAside() {
        start(6);
        run(2_000);
        cutRegion(locality(0).region());
        run(2_500);
        fillQuotas();

        for (Entry entry : mEntries.values()) {
            long total = entry.mLocality.equals(locality(0)) ? 2 : 4;
            assertThat(available(entry.mId))
                    .isBetween(BURST * total / 6 - 5, BURST * total / 6 + 5);
        }
    }

    @Test
    void whatAnEntryChargedWhileItWasCutOffIsNotCountedAgain() {
        start(6);
        run(2_000);
        cutRegion(locality(0).region());
        run(2_500);
        mEntries.get(id(0)).mQuota.charge("a", 700, now());
        run(500);
        mCutLinks.clear();
        run(2_000);
        fillQuotas();

        mEntries.get(id(0)).mQuota.charge("a", 500, now());
        run(500);

        assertThat(available(id(1))).isBetween(BURST - 500, BURST - 499);
    }

    private void add(NodeId id, Locality locality) {
        mEntries.put(id, new Entry(id, locality));
    }

    private long available(NodeId id) {
        return mEntries.get(id).mQuota.available("a");
    }

    private void cutRegion(String region) {
        for (Entry one : mEntries.values()) {
            for (Entry other : mEntries.values()) {
                if (one.mLocality.region().equals(region)
                        != other.mLocality.region().equals(region)) {
                    mCutLinks.add(one.mId + ">" + other.mId);
                }
            }
        }
    }

    /** Fills the buckets, which start with one entry's part, up to their capacity. */
    private void fillQuotas() {
        mEntries.values().forEach(entry -> entry.mQuota.onUsage(Map.of("a", -BURST), now()));
    }

    private static NodeId id(int number) {
        return new NodeId("entry-" + number);
    }

    private static Locality locality(int number) {
        return new Locality("region-" + number % 3, "a");
    }

    private long now() {
        return mNowMillis * MILLI;
    }

    private void remove(NodeId id) {
        mEntries.remove(id);
        mEntries.values().forEach(entry -> entry.setLinked(id, false));
    }

    /** Advances the time in ticks: updates links, delivers messages and ticks all entries. */
    private void run(long millis) {
        long end = mNowMillis + millis;
        while (mNowMillis < end) {
            mNowMillis += TICK_MILLIS;
            updateLinks();
            while (!mTransits.isEmpty() && mTransits.peek().millis() <= mNowMillis) {
                Transit transit = mTransits.poll();
                Entry to = mEntries.get(transit.to());
                if (to != null && to.mLinked.contains(transit.from())) {
                    to.mExchange.onMessage(
                            transit.from(), (GatewayMessage.Usage) transit.message(), now());
                }
            }
            for (Entry entry : mEntries.values()) {
                entry.mExchange.onTick(now(), (to, message) -> send(entry, to, message));
            }
        }
    }

    private void send(Entry from, NodeId to, Message message) {
        from.mSent++;
        Entry receiver = mEntries.get(to);
        if (receiver != null) {
            long delay = receiver.mLocality.sameRegion(from.mLocality) ? 1 : INTER_REGION_MILLIS;
            mTransits.add(new Transit(mNowMillis + delay, mTransitCount++, from.mId, to, message));
        }
    }

    private void start(int count) {
        for (int i = 0; i < count; i++) {
            add(id(i), locality(i));
        }
    }

    private void updateLinks() {
        Collection<Member> members = new ArrayList<>();
        mEntries.values()
                .forEach(
                        entry ->
                                members.add(
                                        new Member(
                                                entry.mId,
                                                0,
                                                Role.ENTRY,
                                                MemberState.LIVE,
                                                entry.mLocality,
                                                "",
                                                "")));
        Set<String> wanted = new TreeSet<>();
        for (Entry entry : mEntries.values()) {
            if (entry.mExchange.entries() != members.size()) {
                entry.mExchange.onEntries(members);
            }
            for (NodeId to : entry.mExchange.links()) {
                wanted.add(entry.mId + ">" + to);
                wanted.add(to + ">" + entry.mId);
            }
        }
        for (Entry one : mEntries.values()) {
            Set<NodeId> linked = new TreeSet<>(one.mLinked);
            mEntries.keySet().forEach(other -> updateLink(one, other, wanted));
            linked.removeAll(mEntries.keySet());
            linked.forEach(gone -> one.setLinked(gone, false));
        }
    }

    private void updateLink(Entry one, NodeId other, Set<String> wanted) {
        String name = one.mId + ">" + other;
        one.setLinked(other, wanted.contains(name) && !mCutLinks.contains(name));
    }

    /** One entry with its quota and exchange. */
    private final class Entry {
        private final NodeId mId;
        private final Locality mLocality;
        private final FleetQuota mQuota = new FleetQuota(0, 0);
        private final UsageExchange mExchange;
        private final Set<NodeId> mLinked = new TreeSet<>();
        private int mSent;

        Entry(NodeId id, Locality locality) {
            mId = id;
            mLocality = locality;
            mQuota.onSettings(List.of(new GatewayCustomer("a", 0, 1, BURST, 0, List.of())), now());
            mExchange = new UsageExchange(id, locality, ++mTransitCount, mQuota);
        }

        void setLinked(NodeId other, boolean linked) {
            if (linked ? mLinked.add(other) : mLinked.remove(other)) {
                mExchange.onLink(other, linked);
            }
        }
    }

    /** A message on its way. */
    private record Transit(long millis, long number, NodeId from, NodeId to, Message message)
            implements Comparable<Transit> {
        @Override
        public int compareTo(Transit other) {
            int byTime = Long.compare(millis, other.millis);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }
}
