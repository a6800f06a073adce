package ebonygw.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class LoadShedderTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final LoadShedder mShedder = new LoadShedder(3);
    private long mNowNanos = TimeUnit.SECONDS.toNanos(100);
    private long mExchange;

    private HeldRequest request(String customer, int priority, long bytes) {
        return new HeldRequest(
                ++mExchange, "desk", customer, priority, 1, bytes, mNowNanos + mExchange);
    }

    /** Releases one request every 10 ms for a time, with or without a backlog. */
    private void drain(int millis, boolean backlogged) {
        for (int i = 0; i < millis; i += 10) {
            mShedder.onBacklog("desk", backlogged, mNowNanos);
            HeldRequest request = request("a", 0, 0);
            mShedder.hold(request);
            mNowNanos += 10 * MILLI;
            mShedder.release(request.exchange(), mNowNanos);
        }
    }

    /** Guards against refusals at the start of a burst, when only the offered load was seen. */
    @Test
    void aRateWithoutABacklogPredictsNoWait() {
        drain(5_000, false);

        assertThat(mShedder.predictedWaitNanos(request("a", 0, 0), mNowNanos)).isEmpty();
    }

    /** Guards against a wait that does not follow the requests ahead and the measured rate. */
    @Test
    void theWaitIsTheNumberOfRequestsAheadDividedByTheRate() {
        drain(3_000, true);
        for (int i = 0; i < 50; i++) {
            mShedder.hold(request("a", 1, 0));
        }

        long less = mShedder.predictedWaitNanos(request("a", 1, 0), mNowNanos).orElseThrow();
        long urgent = mShedder.predictedWaitNanos(request("a", 0, 0), mNowNanos).orElseThrow();

        assertThat(less).isBetween(450 * MILLI, 550 * MILLI);
        assertThat(urgent).isZero();
    }

    /** Guards against a rate measured over the time in which the process did not run. */
    @Test
    void aFreezeDoesNotLowerTheMeasuredRate() {
        drain(3_000, true);
        mNowNanos += 5_000 * MILLI;
        drain(100, true);
        mShedder.hold(request("a", 0, 0));

        assertThat(mShedder.predictedWaitNanos(request("a", 0, 0), mNowNanos).orElseThrow())
                .isLessThan(15 * MILLI);
    }

    /** Guards against refused callers that return together or too late to be served. */
    @Test
    void retryDelaysDifferAndTakeAtMostAThirdOfTheTimeLeft() {
        Set<Long> delays = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            delays.add(mShedder.retryNanos(200 * MILLI, 2_000 * MILLI));
        }

        assertThat(delays).hasSizeGreaterThan(90);
        assertThat(delays).allMatch(it -> it >= 200 * MILLI && it <= 300 * MILLI);
        assertThat(mShedder.retryNanos(2_000 * MILLI, 900 * MILLI))
                .isBetween(200 * MILLI, 300 * MILLI);
    }

    /** Guards against a queue that grows without bound, and against the wrong victim. */
    @Test
    void beyondTheBoundTheLeastUrgentWorkOfTheLargestCustomerIsShed() {
        mShedder.hold(request("small", 2, 0));
        for (int i = 0; i < LoadShedder.MAX_REQUESTS - 2; i++) {
            mShedder.hold(request("large", i % 2, 0));
        }
        assertThat(mShedder.overflow()).isEmpty();
        mShedder.hold(request("small", 0, 0));
        mShedder.hold(request("small", 0, 0));

        HeldRequest victim = mShedder.overflow().orElseThrow();

        assertThat(victim.customer()).isEqualTo("large");
        assertThat(victim.priority()).isEqualTo(1);
    }

    /** Guards against bodies that fill the memory of an entry with few requests. */
    @Test
    void beyondTheBoundInBytesARequestIsShedUntilItIsMet() {
        mShedder.hold(request("a", 0, LoadShedder.MAX_BYTES));
        HeldRequest last = request("b", 0, 1);
        mShedder.hold(last);

        assertThat(mShedder.overflow()).isPresent();
        mShedder.remove(last.exchange());
        assertThat(mShedder.overflow()).isEmpty();
    }

    /** Guards against queues at plain targets that grow until they reject. */
    @Test
    void aWindowShrinksOnWaitsAndRejectionsAndGrowsBackWhileItIsFull() {
        ConcurrencyWindow window = new ConcurrencyWindow(6);
        long objective = 228 * MILLI;
        window.onResponse(18 * MILLI, objective, 1, mNowNanos);
        assertThat(window.size()).isEqualTo(6);
        window.onResponse(100 * MILLI, objective, 6, mNowNanos);
        assertThat(window.size()).isEqualTo(4);
        window.onRejected(mNowNanos + 200 * MILLI);
        assertThat(window.size()).isEqualTo(2);
        for (int i = 0; i < 200; i++) {
            window.onResponse(20 * MILLI, objective, window.size(), mNowNanos);
        }
        assertThat(window.size()).isBetween(15, 30);
        assertThat(window.hasRoom(5, 30)).isFalse();
        assertThat(window.hasRoom(0, 30)).isTrue();
    }
}
