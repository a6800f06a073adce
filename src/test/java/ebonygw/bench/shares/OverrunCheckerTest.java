package ebonygw.bench.shares;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class OverrunCheckerTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    void allowsBurstPlusRateButNotOneTokenMore() {
        OverrunChecker checker = checker();
        checker.recordCharge(0, 100);
        checker.recordCharge(5 * SECOND, 50);
        assertThat(checker.worstExcess()).isZero();
        checker.recordCharge(5 * SECOND, 1);
        assertThat(checker.worstExcess()).isEqualTo(1);
    }

    @Test
    void findsExcessInShortIntervalBetweenIdlePeriods() {
        OverrunChecker checker = checker();
        checker.recordCharge(100 * SECOND, 60);
        checker.recordCharge(101 * SECOND, 60);
        checker.recordCharge(300 * SECOND, 1);
        assertThat(checker.worstExcess()).isEqualTo(10);
    }

    @Test
    void lowerLimitAppliesAfterGracePeriod() {
        OverrunChecker checker = new OverrunChecker(2 * SECOND);
        checker.recordLimits(0, 10, 100);
        checker.recordLimits(10 * SECOND, 0, 50);
        checker.recordCharge(13 * SECOND, 60);
        assertThat(checker.worstExcess()).isEqualTo(10);
    }

    private static OverrunChecker checker() {
        OverrunChecker checker = new OverrunChecker(0);
        checker.recordLimits(0, 10, 100);
        return checker;
    }
}
