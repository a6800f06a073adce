package ebonygw.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SurvivalCountsTest {
    private static final long WINDOW = 1_000;

    private final SurvivalCounts mCounts = new SurvivalCounts(WINDOW, 5);

    @Test
    void survivalsCountForThisWindowAndTheNext() {
        mCounts.add("a", 900);

        assertThat(mCounts.get("a", 900)).isEqualTo(1);
        assertThat(mCounts.get("a", 1_999)).isEqualTo(1);
        assertThat(mCounts.get("a", 2_000)).isZero();
        assertThat(mCounts.get("b", 900)).isZero();
    }

    @Test
    void countsAreLimited() {
        for (int i = 0; i < 20; i++) {
            mCounts.add("a", 500);
        }
        assertThat(mCounts.get("a", 500)).isEqualTo(5);
        for (int i = 0; i < 20; i++) {
            mCounts.add("a", 1_500);
        }

        assertThat(mCounts.get("a", 1_500)).isEqualTo(5);
    }

    @Test
    void theLeastRecentlyUsedPartsAreDropped() {
        for (int i = 0; i < 10_000; i++) {
            mCounts.add("part" + i, 0);
        }

        assertThat(mCounts.get("part0", 0)).isZero();
        assertThat(mCounts.get("part9999", 0)).isEqualTo(1);
    }
}
