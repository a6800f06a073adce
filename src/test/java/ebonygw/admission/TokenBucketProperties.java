package ebonygw.admission;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.bench.shares.OverrunChecker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Charges, loans and refunds in random order, checked against rate and capacity. */
class TokenBucketProperties {
    private static final long RATE = 50;
    private static final long CAPACITY = 300;
    private static final long STEP_NANOS = 200_000_000L;

    @Property(tries = 300, seed = "11")
    void chargesLessRefundsStayWithinCapacityPlusRateHoweverLateARefundIs(@ForAll long seed) {
        Random random = new Random(seed);
        TokenBucket bucket = new TokenBucket();
        bucket.resize(units(RATE), units(CAPACITY), 0);
        bucket.add(units(CAPACITY));
        Map<Long, long[]> chargesById = new HashMap<>();
        List<Long> openCharges = new ArrayList<>();
        List<Long> loans = new ArrayList<>();
        long now = 0;
        for (long id = 1; id < 400; id++) {
            now += (long) (random.nextDouble() * STEP_NANOS);
            bucket.refill(now);
            long amount = 1 + random.nextInt(120);
            if (random.nextInt(3) == 0 && bucket.level() >= units(amount)) {
                bucket.reserve(units(amount));
                chargesById.put(id, new long[] {now + 900_000_000L, amount});
                loans.add(id);
            } else if (bucket.charge(id, units(amount))) {
                chargesById.put(id, new long[] {now, amount});
                openCharges.add(id);
            }
            long present = now;
            loans.removeIf(
                    it -> {
                        boolean due = chargesById.get(it)[0] <= present;
                        if (due) {
                            bucket.release(it, units(chargesById.get(it)[1]), true);
                            openCharges.add(it);
                        }
                        return due;
                    });
            if (!openCharges.isEmpty() && random.nextInt(3) > 0) {
                long settledId = openCharges.remove(random.nextInt(openCharges.size()));
                long[] charge = chargesById.get(settledId);
                long refunded =
                        bucket.refund(settledId, units(random.nextInt((int) charge[1] + 1)));
                charge[1] -= refunded / TokenBucket.UNITS_PER_TOKEN;
                bucket.removeCharge(settledId);
            }
        }
        OverrunChecker checker = new OverrunChecker(0);
        checker.recordLimits(0, RATE, CAPACITY);
        chargesById.values().forEach(it -> checker.recordCharge(it[0], it[1]));
        assertThat(checker.worstExcess()).isZero();
    }

    private static long units(long tokens) {
        return tokens * TokenBucket.UNITS_PER_TOKEN;
    }
}
