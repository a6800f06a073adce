package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Checks that several entries together stay within a quota under excess demand while reports are
 * delayed, one entry is cut off from the others for a while and restarts.
 */
class FleetQuotaProperties {
    private static final long MILLI = 1_000_000L;
    private static final int TICK_MILLIS = 50;
    private static final int EXCHANGE_MILLIS = 200;
    private static final int DELAY_MILLIS = 50;
    private static final long RATE = 10_000;
    private static final long BURST = 10_000;
    private static final long TOLERANCE = 12_000;
    private static final double OVERAGE = 1.1;
    private static final int WINDOW_MILLIS = 8_000;
    private static final int REQUEST_TOKENS = 400;

    private record InFlight(int from, int to, long atMillis, Map<String, Long> usage) {}

    @Property(tries = 200, seed = "11")
    void noWindowAdmitsMoreThanQuotaOverageAndTolerance(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int entries) {
        SplittableRandom random = new SplittableRandom(seed);
        List<FleetQuota> quotas = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            quotas.add(start(entries));
        }
        int isolatedEntry = random.nextInt(entries);
        int cutFromMillis = random.nextInt(10_000);
        int cutToMillis = cutFromMillis + random.nextInt(10_000);
        int restartMillis = random.nextInt(20_000);
        ArrayDeque<InFlight> inFlight = new ArrayDeque<>();
        long[] admitted = new long[20_000 / TICK_MILLIS];
        for (int tick = 0; tick < admitted.length; tick++) {
            long nowMillis = (long) tick * TICK_MILLIS;
            boolean cut = nowMillis >= cutFromMillis && nowMillis < cutToMillis;
            for (int i = 0; i < entries; i++) {
                int reachable =
                        entries == 1 ? 1 : !cut ? entries : i == isolatedEntry ? 1 : entries - 1;
                quotas.get(i).onEntries(reachable, entries, nowMillis * MILLI);
            }
            if (nowMillis <= restartMillis && restartMillis < nowMillis + TICK_MILLIS) {
                quotas.set(isolatedEntry, start(entries));
            }
            while (!inFlight.isEmpty() && inFlight.peek().atMillis() <= nowMillis) {
                InFlight report = inFlight.poll();
                if (!cut || report.from() != isolatedEntry && report.to() != isolatedEntry) {
                    quotas.get(report.to()).onUsage(report.usage(), nowMillis * MILLI);
                }
            }
            for (FleetQuota quota : quotas) {
                for (int n = 0; n < 4; n++) {
                    if (quota.charge("a", REQUEST_TOKENS, nowMillis * MILLI) == 0) {
                        admitted[tick] += REQUEST_TOKENS;
                    }
                }
            }
            if (nowMillis % EXCHANGE_MILLIS == 0) {
                exchange(quotas, inFlight, nowMillis);
            }
        }
        long max = (long) ((RATE * WINDOW_MILLIS / 1000 + BURST) * OVERAGE) + TOLERANCE;
        assertThat(maxInWindow(admitted)).isLessThanOrEqualTo(max);
    }

    private static void exchange(
            List<FleetQuota> quotas, ArrayDeque<InFlight> inFlight, long nowMillis) {
        for (int from = 0; from < quotas.size(); from++) {
            Map<String, Long> usage = quotas.get(from).drainUnreported();
            for (int to = 0; to < quotas.size(); to++) {
                if (to != from && !usage.isEmpty()) {
                    inFlight.add(new InFlight(from, to, nowMillis + DELAY_MILLIS, usage));
                }
            }
        }
    }

    private static long maxInWindow(long[] admitted) {
        int length = WINDOW_MILLIS / TICK_MILLIS;
        long max = 0;
        for (int first = 0; first + length <= admitted.length; first++) {
            long sum = 0;
            for (int i = first; i < first + length; i++) {
                sum += admitted[i];
            }
            max = Math.max(max, sum);
        }
        return max;
    }

    private static FleetQuota start(int entries) {
        FleetQuota quota = new FleetQuota(TOLERANCE, OVERAGE - 1);
        quota.onEntries(entries, entries, 0);
        quota.onSettings(List.of(new GatewayCustomer("a", -1, RATE, BURST, 1, List.of())), 0);
        return quota;
    }
}
