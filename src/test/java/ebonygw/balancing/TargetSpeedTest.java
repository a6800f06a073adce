package ebonygw.balancing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TargetSpeedTest {
    private static final long NOMINAL = TimeUnit.MILLISECONDS.toNanos(100);
    private static final TargetSpeed.Prior PRIOR = TargetSpeed.Prior.NONE;

    private final TargetSpeed mSpeed = new TargetSpeed(BalancingOptions.defaults());
    private long mNow = TimeUnit.SECONDS.toNanos(1_000);
    private long mExchange;

    private long send() {
        NominalTime.Parts parts = new NominalTime.Parts(NOMINAL, 0, 0);
        mSpeed.onSent(++mExchange, parts, NOMINAL, NOMINAL, 0, mNow);
        return mExchange;
    }

    private void complete(int times, double factor) {
        for (int i = 0; i < times; i++) {
            long exchange = send();
            mNow += (long) (factor * NOMINAL);
            mSpeed.onStarted(exchange, PRIOR, mNow);
        }
    }

    private double factor() {
        return mSpeed.factor(PRIOR, mNow);
    }

    @Test
    void theFactorFollowsCompletionsAndReturnsToTheMedianWithinSeconds() {
        complete(20, 1.8);
        assertThat(factor()).isCloseTo(1.8, within(0.2));

        mNow += TimeUnit.SECONDS.toNanos(30);
        assertThat(factor()).isCloseTo(1, within(0.4));
    }

    @Test
    void aSingleOutlierDoesNotDoubleTheEstimate() {
        complete(5, 1);
        complete(1, 50);

        assertThat(factor()).isLessThan(1.5);
    }

    @Test
    void aReportScalesTheEstimateAndFadesAsItAges() {
        complete(10, 1);
        mSpeed.onReport(500, mNow);
        assertThat(factor()).isCloseTo(5, within(0.3));

        mNow += TimeUnit.MILLISECONDS.toNanos(300);
        assertThat(factor()).isCloseTo(3, within(0.3));

        mNow += TimeUnit.MILLISECONDS.toNanos(300);
        assertThat(factor()).isCloseTo(1, within(0.1));
    }

    @Test
    void aTargetThatAlwaysReportsTheSameWrongNumberIsEstimatedByItsCompletions() {
        for (int i = 0; i < 60; i++) {
            mSpeed.onReport(20, mNow);
            complete(1, 1);
        }
        mSpeed.onReport(20, mNow);

        assertThat(factor()).isCloseTo(1, within(0.15));
    }

    @Test
    void anErrorThatComesFastDoesNotMakeATargetLookFast() {
        complete(10, 1);
        for (int i = 0; i < 50; i++) {
            long exchange = send();
            mNow += NOMINAL / 100;
            mSpeed.onAbandoned(exchange);
        }

        assertThat(factor()).isCloseTo(1, within(0.05));
    }

    @Test
    void anOverdueResponseRaisesTheEstimateBeforeItArrives() {
        complete(10, 1);
        send();
        mNow += 4 * NOMINAL;

        assertThat(factor()).isCloseTo(4, within(0.1));
    }
}
