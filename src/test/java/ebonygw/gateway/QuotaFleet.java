package ebonygw.gateway;

import ebonygw.membership.Member;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.Locality;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.IntToDoubleFunction;
import java.util.function.LongFunction;
import java.util.stream.Collectors;

/**
 * Entries in three regions that exchange usage through relays in virtual time while one customer's
 * callers send bursts, return when they were told to, and give up at their deadline.
 */
final class QuotaFleet {
    static final long RATE = 60_000;
    static final long BURST = 530_000;
    static final double OVERAGE = 0.1;
    static final long TOLERANCE = 110_000;
    static final int WINDOW_MILLIS = 8_000;
    private static final long MILLI = 1_000_000L;
    private static final int TICK_MILLIS = 50;
    private static final int DEADLINE_MILLIS = 8_000;

    private final List<Long> mRetryMillis = new ArrayList<>();
    private final TreeMap<Long, Long> mReturns = new TreeMap<>();
    final SplittableRandom mRandom;
    final TreeSet<Integer> mCut = new TreeSet<>();

    /** Entries whose registration has lapsed. */
    final TreeSet<Integer> mLapsed = new TreeSet<>();

    private final LongFunction<CustomerQuota> mFactory;
    private final PriorityQueue<Task> mTasks = new PriorityQueue<>();
    private final List<Entry> mEntries = new ArrayList<>();
    private final long[] mAdmitted;
    private final long[] mArrived = new long[2];
    private final long[] mServed = new long[2];
    int mMinTokens = 200;
    int mMaxTokens = 40_000;
    long mRate = RATE;
    double mReference = BURST;
    long mNow;
    long mRefused;
    long mRefusedBelow;
    long mMaxSpread;
    private long mSpreadSum;
    private long mSpreads;
    private long mNumber;

    private record Task(long millis, long number, Runnable run) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(millis, other.millis);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    QuotaFleet(LongFunction<CustomerQuota> factory, int count, int millis, long seed) {
        mFactory = factory;
        mRandom = new SplittableRandom(seed);
        mAdmitted = new long[millis];
        for (int i = 0; i < count; i++) {
            mEntries.add(new Entry(i));
        }
        run(3_000, i -> 0);
        for (Entry entry : mEntries) {
            entry.mQuota.onUsage(Map.of("a", -BURST), mNow * MILLI);
        }
    }

    /** Runs with a demand per entry in tokens per second; arrivals come in bursts. */
    void run(int millis, IntToDoubleFunction demand) {
        double mean =
                mMaxTokens == mMinTokens
                        ? mMinTokens
                        : (mMaxTokens - mMinTokens) / Math.log((double) mMaxTokens / mMinTokens);
        for (long end = mNow + millis; mNow < end; mNow++) {
            mReference = Math.min(BURST, mReference + mRate / 1e3);
            boolean burst = (mNow / 100 * 0x9E3779B97F4A7C15L >>> 33) % 3 == 0;
            while (!mTasks.isEmpty() && mTasks.peek().millis() <= mNow) {
                mTasks.poll().run().run();
            }
            for (Entry entry : mEntries) {
                if ((mNow + entry.mIndex * 7L) % TICK_MILLIS == 0) {
                    entry.tick();
                }
                double expected = demand.applyAsDouble(entry.mIndex) / mean / 1e3;
                if (expected > 0 && mRandom.nextDouble() < expected * (burst ? 2.5 : 0.25)) {
                    double factor =
                            Math.pow((double) mMaxTokens / mMinTokens, mRandom.nextDouble());
                    long tokens = (long) (mMinTokens * factor);
                    mArrived[tokens > 4_000 ? 1 : 0]++;
                    request(entry.mIndex, tokens, mNow + DEADLINE_MILLIS);
                }
            }
            if (mNow % TICK_MILLIS == 0 && mCut.isEmpty() && mLapsed.isEmpty() && mNow > 3_000) {
                mMaxSpread = Math.max(mMaxSpread, spread());
                mSpreadSum += spread();
                mSpreads++;
            }
        }
    }

    void restart(int index) {
        mEntries.set(index, new Entry(index));
        mEntries.forEach(it -> it.mLinked.remove(new NodeId("entry-" + index)));
    }

    void limit(long rate) {
        mRate = rate;
        mEntries.forEach(it -> it.limit(rate));
    }

    /** Returns the difference between the views of the entries. */
    long spread() {
        LongSummaryStatistics views =
                mEntries.stream()
                        .collect(Collectors.summarizingLong(it -> it.mQuota.available("a")));
        return views.getMax() - views.getMin();
    }

    /** Returns the most tokens admitted in any window. */
    long maxInWindow() {
        long sum = 0;
        long max = 0;
        for (int i = 0; i < mNow; i++) {
            sum += mAdmitted[i] - (i >= WINDOW_MILLIS ? mAdmitted[i - WINDOW_MILLIS] : 0);
            max = Math.max(max, sum);
        }
        return max;
    }

    static long bound() {
        return (long) ((RATE * WINDOW_MILLIS / 1_000 + BURST) * (1 + OVERAGE)) + TOLERANCE;
    }

    long admittedSince(long fromMillis) {
        return Arrays.stream(mAdmitted, (int) fromMillis, (int) mNow).sum();
    }

    /** Returns the most callers that were told to return within the same 100 ms. */
    long mostReturns() {
        return mReturns.values().stream().mapToLong(it -> it).max().orElse(0);
    }

    /** Returns the mean number of callers that were told to return within 100 ms. */
    double meanReturns() {
        return mReturns.values().stream().mapToLong(it -> it).average().orElse(0);
    }

    /** Returns the part of the requests above 4,000 tokens that was served, or of the others. */
    double served(boolean large) {
        int size = large ? 1 : 0;
        return (double) mServed[size] / Math.max(1, mArrived[size]);
    }

    @Override
    public String toString() {
        long[] retries = mRetryMillis.stream().mapToLong(it -> it).sorted().toArray();
        long median = retries.length == 0 ? 0 : retries[retries.length / 2];
        return "max window %,d of %,d, refused %d, below the limit %d, spread mean %,d max %,d,"
                        .formatted(
                                maxInWindow(),
                                bound(),
                                mRefused,
                                mRefusedBelow,
                                mSpreadSum / Math.max(1, mSpreads),
                                mMaxSpread)
                + " served %.3f small %.3f large, retry median %d ms, most returns in 100 ms %d"
                        .formatted(served(false), served(true), median, mostReturns());
    }

    private void request(int index, long tokens, long deadline) {
        long retry = mEntries.get(index).mQuota.charge("a", tokens, 0, mNow * MILLI);
        if (retry == 0) {
            mAdmitted[(int) mNow] += tokens;
            mReference -= tokens;
            mServed[tokens > 4_000 ? 1 : 0]++;
            return;
        }
        mRefused++;
        mRefusedBelow += mReference >= tokens ? 1 : 0;
        long back = mNow + Math.max(1, retry / MILLI);
        mRetryMillis.add(back - mNow);
        if (back < deadline) {
            mReturns.merge(back / 100, 1L, Long::sum);
            mTasks.add(new Task(back, mNumber++, () -> request(index, tokens, deadline)));
        }
    }

    private final class Entry {
        private final int mIndex;
        private final Member mSelf;
        private final CustomerQuota mQuota = mFactory.apply(++mNumber);
        private final UsageExchange mExchange;
        private final TreeSet<NodeId> mLinked = new TreeSet<>();

        Entry(int index) {
            mIndex = index;
            Locality locality = new Locality("region-" + index % 3, "zone-" + index % 6);
            NodeId id = new NodeId("entry-" + index);
            mSelf = new Member(id, 0, Role.ENTRY, MemberState.LIVE, locality, "", "");
            mExchange = new UsageExchange(id, locality, ++mNumber, mQuota);
            if (mNow > 0) {
                mQuota.onEntries(1, mEntries.size(), mNow * MILLI);
            }
            limit(mRate);
        }

        void limit(long rate) {
            mQuota.onSettings(
                    List.of(new GatewayCustomer("a", 0, rate, BURST, 1, List.of())), mNow * MILLI);
        }

        void tick() {
            mExchange.onEntries(
                    mEntries.stream()
                            .filter(it -> it == this || !mLapsed.contains(it.mIndex))
                            .map(it -> it.mSelf)
                            .toList());
            for (Entry other : mEntries) {
                NodeId id = other.mSelf.id();
                boolean up =
                        (mExchange.links().contains(id)
                                        || other.mExchange.links().contains(mSelf.id()))
                                && mCut.contains(mIndex) == mCut.contains(other.mIndex);
                if (other != this && (up ? mLinked.add(id) : mLinked.remove(id))) {
                    mExchange.onLink(id, up);
                }
            }
            mExchange.onTick(mNow * MILLI, this::send);
        }

        private void send(NodeId to, Message message) {
            for (Entry other : mEntries) {
                if (other.mSelf.id().equals(to)) {
                    boolean near = other.mSelf.locality().sameRegion(mSelf.locality());
                    long at = mNow + (near ? 1 : 30);
                    mTasks.add(new Task(at, mNumber++, () -> other.receive(mSelf.id(), message)));
                }
            }
        }

        private void receive(NodeId from, Message message) {
            if (mLinked.contains(from)) {
                mExchange.onMessage(from, (GatewayMessage.Usage) message, mNow * MILLI);
            }
        }
    }
}
