package ebonygw.bench.shares;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class OverrunCheckerTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    void allowsBurstPlusRateButNotOneTokenMore() {
        OverrunChecker checker = checker();
        checker.charge(0, 100);
        checker.charge(5 * SECOND, 50);
        assertThat(checker.worstExcess()).isZero();
        checker.charge(5 * SECOND, 1);
        assertThat(checker.worstExcess()).isEqualTo(1);
    }

    @Test
    void findsExcessInShortIntervalBetweenIdlePeriods() {
        OverrunChecker checker = checker();
        checker.charge(100 * SECOND, 60);
        checker.charge(101 * SECOND, 60);
        checker.charge(300 * SECOND, 1);
        assertThat(checker.worstExcess()).isEqualTo(10);
    }

    @Test
    void lowerLimitAppliesAfterGracePeriod() {
        OverrunChecker checker = new OverrunChecker(2 * SECOND);
        checker.limit(0, 10, 100);
        checker.limit(10 * SECOND, 0, 50);
        checker.charge(13 * SECOND, 60);
        assertThat(checker.worstExcess()).isEqualTo(10);
    }

    private static OverrunChecker checker() {
        OverrunChecker checker = new OverrunChecker(0);
        checker.limit(0, 10, 100);
        return checker;
    }
}
