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

class TokenBucketProperties {
    private static final long RATE = 50;
    private static final long CAPACITY = 300;
    private static final long STEP_NANOS = 200_000_000L;

    @Property(tries = 300, seed = "11")
    void chargesLessReturnsStayWithinCapacityAndRateHoweverLateAReturnComes(@ForAll long seed) {
        Random random = new Random(seed);
        TokenBucket bucket = new TokenBucket();
        bucket.resize(units(RATE), units(CAPACITY), 0);
        bucket.add(units(CAPACITY));
        Map<Long, long[]> ran = new HashMap<>();
        List<Long> open = new ArrayList<>();
        List<Long> lent = new ArrayList<>();
        long now = 0;
        for (long id = 1; id < 400; id++) {
            now += (long) (random.nextDouble() * STEP_NANOS);
            bucket.refill(now);
            long amount = 1 + random.nextInt(120);
            if (random.nextInt(3) == 0 && bucket.level() >= units(amount)) {
                bucket.reserve(units(amount));
                ran.put(id, new long[] {now + 900_000_000L, amount});
                lent.add(id);
            } else if (bucket.charge(id, units(amount))) {
                ran.put(id, new long[] {now, amount});
                open.add(id);
            }
            long until = now;
            lent.removeIf(
                    it -> {
                        boolean over = ran.get(it)[0] <= until;
                        if (over) {
                            bucket.release(it, units(ran.get(it)[1]), true);
                            open.add(it);
                        }
                        return over;
                    });
            if (!open.isEmpty() && random.nextInt(3) > 0) {
                long settled = open.remove(random.nextInt(open.size()));
                long[] charge = ran.get(settled);
                long back = bucket.giveBack(settled, units(random.nextInt((int) charge[1] + 1)));
                charge[1] -= back / TokenBucket.UNITS_PER_TOKEN;
                bucket.settled(settled);
            }
        }
        OverrunChecker checker = new OverrunChecker(0);
        checker.limit(0, RATE, CAPACITY);
        ran.values().forEach(it -> checker.charge(it[0], it[1]));
        assertThat(checker.worstExcess()).isZero();
    }

    private static long units(long tokens) {
        return tokens * TokenBucket.UNITS_PER_TOKEN;
    }
}
