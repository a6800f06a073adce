package ebonygw.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ServiceQueueTest {
    private final ServiceQueue mQueue = new ServiceQueue();
    private long mExchange;

    private HeldRequest add(String customer, int priority, long charge, long deadlineNanos) {
        HeldRequest request =
                new HeldRequest(
                        ++mExchange, "model", customer, priority, charge, 10, deadlineNanos);
        mQueue.add(request);
        return request;
    }

    private HeldRequest release() {
        HeldRequest first = mQueue.first().orElseThrow();
        mQueue.release(first);
        return first;
    }

    /** Guards against starvation of digests behind a permanent queue of chats. */
    @Test
    void aLessUrgentPriorityGetsATenthOfTheReleases() {
        int digests = 0;
        for (int i = 0; i < 300; i++) {
            add("a", 0, 800, i);
            add("a", 2, 9_000, i);
        }
        for (int i = 0; i < 100; i++) {
            digests += release().priority() == 2 ? 1 : 0;
        }

        assertThat(digests).isBetween(9, 10);
    }

    /** Guards against an order of dispatch that differs from the order of single releases. */
    @Test
    void theOrderOfAllRequestsIsThatOfSingleReleases() {
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 200; i++) {
            add("c" + random.nextInt(4), random.nextInt(3), random.nextInt(1, 9_000), i);
        }

        List<HeldRequest> expected = mQueue.inOrder(it -> true);
        List<HeldRequest> released = new ArrayList<>();
        while (mQueue.size() > 0) {
            released.add(release());
        }

        assertThat(released).isEqualTo(expected);
    }

    /** Guards against a customer with a burst that makes others wait for all of it. */
    @Test
    void aCustomerWithALongQueueDelaysOthersByTheirShareOnly() {
        for (int i = 0; i < 1_000; i++) {
            add("large", 0, 900, i);
        }
        HeldRequest small = add("small", 0, 900, 5_000);

        assertThat(mQueue.inOrder(it -> true).subList(0, 2)).contains(small);
        assertThat(mQueue.requestsAhead(small)).isLessThan(4);
    }

    /** Guards against long prompts that wait until no shorter one is left. */
    @Test
    void theLargestTenthOfPromptsIsReleasedAtLeastHalfAsOftenAsTheRest() {
        SplittableRandom random = new SplittableRandom(7);
        int[] added = new int[2];
        int[] released = new int[2];
        for (int i = 0; i < 2_000; i++) {
            boolean large = random.nextInt(10) == 0;
            added[large ? 1 : 0]++;
            add("c" + random.nextInt(16), 1, large ? 40_000 : 900, i);
        }
        for (int i = 0; i < 1_000; i++) {
            released[release().charge() > 900 ? 1 : 0]++;
        }

        double largeShare = released[1] / (double) added[1];
        assertThat(largeShare).isGreaterThan(released[0] / (double) added[0] / 2);
    }

    /** Guards against a deadline missed for a request that arrived earlier but has more time. */
    @Test
    void withinACustomerTheEarliestDeadlineGoesFirst() {
        add("a", 1, 1, 300);
        HeldRequest earliest = add("a", 1, 9_000, 100);
        add("a", 1, 1, 200);

        assertThat(mQueue.first()).contains(earliest);
    }
}
