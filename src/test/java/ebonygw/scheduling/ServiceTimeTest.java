package ebonygw.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ServiceTimeTest {
    private static final long SECOND = 1_000_000_000L;

    private final ServiceTime mTime = new ServiceTime();

    @Test
    void shortAnswersSayLittleAboutALargeRequest() {
        for (int i = 0; i < 100; i++) {
            mTime.onAnswer(10, 10, SECOND / 10);
        }

        assertThat(mTime.leastNanos(190_000, 0, 1, 1)).isLessThan(SECOND);
    }

    @Test
    void aQueueAheadThatTakesLongerThanTheTimeLeftIsSeen() {
        for (int i = 0; i < 100; i++) {
            mTime.onAnswer(100, 100, SECOND);
        }

        assertThat(mTime.leastNanos(100, 10_000, 1, 1)).isGreaterThan(40 * SECOND);
    }

    @Test
    void nothingIsClaimedBeforeTheFirstAnswer() {
        assertThat(mTime.leastNanos(1_000_000, 1_000_000, 1, 1)).isZero();
    }
}
