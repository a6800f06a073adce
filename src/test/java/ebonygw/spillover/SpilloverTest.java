package ebonygw.spillover;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.function.DoubleUnaryOperator;
import org.junit.jupiter.api.Test;

class SpilloverTest {
    private static final long MILLI = 1_000_000;
    private static final int STEP_MILLIS = 5;
    private static final int REPORT_AGE_MILLIS = 150;
    private static final int ENTRIES = 5;
    private static final double CAPACITY = 100;
    private static final long BYTES = 20_000;
    private static final SpilloverOptions PRICE = SpilloverOptions.ofMillis(500, 5_000, 0);

    /** Two data centres whose wait is their backlog divided by their capacity. */
    private static final class Pair {
        final Spillover[][] mEntries = new Spillover[2][ENTRIES];
        final double[] mBacklog = new double[2];
        final double[] mCapacity = {CAPACITY, CAPACITY};
        final int[] mCrossed = new int[2];
        private final int[] mCrossedBefore = new int[2];
        int mWindowsBothWays;
        double mMaxWaitMillis;
        boolean mFresh = true;
        private final ArrayDeque<double[]> mReports = new ArrayDeque<>();
        private final double[] mDue = new double[2];
        private final boolean mMayLeave;
        private long mMillis;

        Pair(boolean mayLeave) {
            mMayLeave = mayLeave;
            for (Spillover[] side : mEntries) {
                for (int i = 0; i < ENTRIES; i++) {
                    side[i] = new Spillover(PRICE, 2 * MILLI, true);
                }
            }
        }

        void run(int seconds, DoubleUnaryOperator first, DoubleUnaryOperator second) {
            for (int i = 0; i < seconds * 1_000 / STEP_MILLIS; i++) {
                mMillis += STEP_MILLIS;
                mReports.add(mBacklog.clone());
                double[] seen =
                        mReports.size() > REPORT_AGE_MILLIS / STEP_MILLIS
                                ? mReports.poll()
                                : new double[2];
                double seconds1 = mMillis / 1e3;
                arrive(0, first.applyAsDouble(seconds1), seen);
                arrive(1, second.applyAsDouble(seconds1), seen);
                for (int dc = 0; dc < 2; dc++) {
                    mBacklog[dc] = Math.max(0, mBacklog[dc] - mCapacity[dc] * STEP_MILLIS / 1e3);
                    mMaxWaitMillis = Math.max(mMaxWaitMillis, 1e3 * mBacklog[dc] / CAPACITY);
                }
                if (mMillis % 250 == 0) {
                    boolean leaves = mCrossed[0] > mCrossedBefore[0];
                    mWindowsBothWays += leaves && mCrossed[1] > mCrossedBefore[1] ? 1 : 0;
                    System.arraycopy(mCrossed, 0, mCrossedBefore, 0, 2);
                }
            }
        }

        private Side side(int dc, double[] seen) {
            double millis = 30 + 1e3 * seen[dc] / mCapacity[dc];
            return mCapacity[dc] == 0
                    ? Side.NONE
                    : new Side((long) (millis * MILLI), millis > 1_030, mFresh);
        }

        private void arrive(int dc, double perSecond, double[] seen) {
            for (mDue[dc] += perSecond * STEP_MILLIS / 1e3; mDue[dc] >= 1; mDue[dc]--) {
                Spillover entry = mEntries[dc][(int) (mMillis / STEP_MILLIS % ENTRIES)];
                boolean leaves =
                        mMayLeave
                                && entry.mayLeave(
                                        side(dc, seen), side(1 - dc, seen), BYTES, mMillis * MILLI);
                mCrossed[dc] += leaves ? 1 : 0;
                mBacklog[leaves ? 1 - dc : dc]++;
            }
        }
    }

    private static Side side(double millis) {
        return new Side((long) (millis * MILLI), false, true);
    }

    @Test
    void dataCentresWithLoadInOppositePhaseHelpEachOtherWithoutSwappingLoad() {
        DoubleUnaryOperator rise = t -> 85 * (1 + 0.55 * Math.sin(2 * Math.PI * t / 15));
        DoubleUnaryOperator fall = t -> 85 * (1 - 0.55 * Math.sin(2 * Math.PI * t / 15));
        Pair apart = new Pair(false);
        Pair pair = new Pair(true);
        apart.run(60, rise, fall);
        pair.run(60, rise, fall);

        assertThat(pair.mMaxWaitMillis).isLessThan(apart.mMaxWaitMillis / 2);
        assertThat(pair.mWindowsBothWays).isZero();
    }

    @Test
    void onlyTheExcessLeavesWhenTheCallersOfADataCentreMoveToAnother() {
        Pair pair = new Pair(true);
        pair.run(10, t -> 70, t -> 70);
        assertThat(pair.mCrossed).containsOnly(0);

        pair.run(30, t -> 70 * 1.65, t -> 70 * 0.35);
        // 15.5 requests a second exceed the capacity; the other data centre has 75 left.
        assertThat(pair.mCrossed[0]).isBetween((int) (15.5 * 30 / 2), 30 * 35);
        assertThat(pair.mCrossed[1]).isZero();
        assertThat(pair.mBacklog[0]).isLessThan(CAPACITY);
    }

    @Test
    void requestsGoElsewhereWhenTheTargetsOfADataCentreAreGone() {
        Pair pair = new Pair(true);
        pair.mCapacity[0] = 0;
        pair.run(5, t -> 20, t -> 20);

        assertThat(pair.mBacklog[0]).isZero();
        assertThat(pair.mCrossed[0]).isGreaterThan(90);
    }

    @Test
    void nothingLeavesWhenBothDataCentresAreFull() {
        Pair pair = new Pair(true);
        pair.mBacklog[0] = 5 * CAPACITY;
        pair.mBacklog[1] = 3 * CAPACITY;
        pair.run(10, t -> 100, t -> 100);

        assertThat(pair.mCrossed).containsOnly(0);
    }

    @Test
    void nothingLeavesWithoutFreshInformationAboutTheOtherSide() {
        Pair pair = new Pair(true);
        pair.mFresh = false;
        pair.run(10, t -> 150, t -> 10);

        assertThat(pair.mCrossed).containsOnly(0);
    }

    @Test
    void aLargeRequestStaysAndOneWithMuchWorkForEachByteLeavesFirst() {
        Spillover spillover = new Spillover(PRICE, 2 * MILLI, true);
        int small = 0;
        int large = 0;
        for (int i = 0; i < 400; i++) {
            boolean isLarge = i % 2 == 0;
            boolean leaves =
                    spillover.mayLeave(
                            side(300), side(30), isLarge ? 80_000 : 2_000, i * 10 * MILLI);
            small += leaves && !isLarge ? 1 : 0;
            large += leaves && isLarge ? 1 : 0;
        }
        assertThat(small).isPositive();
        assertThat(large).isZero();
        // A megabyte is worth 500 ms, more than the request would save.
        assertThat(spillover.mayLeave(side(300), side(30), 1_000_000, 4_001 * MILLI)).isFalse();
    }

    @Test
    void theCapHoldsOverAllEntriesInEverySecondAndAfterARestart() {
        SpilloverOptions capped = SpilloverOptions.ofMillis(0, 0, 1_000_000);
        Spillover entry = new Spillover(capped, 2 * MILLI, true);
        assertThat(entry.withinCap(1, 0, 0)).isFalse();
        assertThat(entry.withinCap(1, ENTRIES, 0)).isFalse();
        long sent = 0;
        for (long millis = 1; millis <= 10_000; millis++) {
            if (entry.withinCap(BYTES, ENTRIES, millis * MILLI)) {
                entry.onSent(BYTES);
                sent += BYTES;
            }
            assertThat(sent).isLessThanOrEqualTo(1_000_000 / ENTRIES * millis / 1_000);
        }
        assertThat(sent).isGreaterThan(1_900_000);
    }
}
