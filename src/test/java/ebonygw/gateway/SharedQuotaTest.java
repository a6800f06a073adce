package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.membership.Member;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestReporter;

/** Compares the accounting by shares with that by whole buckets, and checks the former's bounds. */
class SharedQuotaTest {
    /** Usual demand: 0.6 of the rate, so that ten times the usual is six times the rate. */
    private static final double USUAL = 36_000;

    private static final double DEMAND = 10 * USUAL;
    private static final long START_MILLIS = 13_000;
    private static final LongFunction<CustomerQuota> WHOLE =
            seed -> new FleetQuota(QuotaFleet.TOLERANCE, QuotaFleet.OVERAGE);
    private static final LongFunction<CustomerQuota> SHARED = SharedQuotaTest::quota;

    private static SharedQuota quota(long seed) {
        return new SharedQuota(QuotaFleet.TOLERANCE, QuotaFleet.OVERAGE, seed, line -> {});
    }

    private static QuotaFleet run(
            LongFunction<CustomerQuota> quota, int entries, Consumer<QuotaFleet> load) {
        QuotaFleet fleet = new QuotaFleet(quota, entries, 60_000, 5);
        fleet.run(5_000, i -> USUAL / entries);
        load.accept(fleet);
        return fleet;
    }

    /** Returns a load in which something happens and is undone after a while. */
    private static Consumer<QuotaFleet> disturbed(int millis, Consumer<QuotaFleet> disturbance) {
        return fleet -> {
            fleet.run(8_000, i -> DEMAND / 28);
            disturbance.accept(fleet);
            fleet.run(millis, i -> DEMAND / 28);
            fleet.mCut.clear();
            fleet.mLapsed.clear();
            fleet.run(8_000, i -> DEMAND / 28);
        };
    }

    private static Consumer<QuotaFleet> ofSize(int minTokens, int maxTokens) {
        return fleet -> {
            fleet.mMinTokens = minTokens;
            fleet.mMaxTokens = maxTokens;
            fleet.run(20_000, i -> DEMAND / 28);
        };
    }

    private static Map<String, Consumer<QuotaFleet>> scenarios() {
        List<Integer> third = IntStream.range(0, 28).filter(i -> i % 3 == 0).boxed().toList();
        Map<String, Consumer<QuotaFleet>> scenarios = new LinkedHashMap<>();
        scenarios.put("all entries", ofSize(200, 40_000));
        scenarios.put(
                "two entries, then two others",
                fleet -> {
                    fleet.run(8_000, i -> i < 2 ? DEMAND / 2 : 0);
                    fleet.run(12_000, i -> i == 10 || i == 11 ? DEMAND / 2 : 0);
                });
        scenarios.put("a third cut off", disturbed(8_000, it -> it.mCut.addAll(third)));
        scenarios.put(
                "registrations of a third lapse",
                disturbed(17_000, it -> it.mLapsed.addAll(third)));
        scenarios.put(
                "a third restarts", disturbed(4_000, it -> third.forEach(i -> it.restart(i))));
        scenarios.put("requests of 40,000 tokens", ofSize(39_999, 40_000));
        scenarios.put("requests of 200 tokens", ofSize(200, 200));
        return scenarios;
    }

    /** Guards against entries that admit on outdated views: up to 1.9 million in a window. */
    @Test
    void inEachDisturbanceAllEntriesTogetherStayBelowTheBoundAndCloseToTheLimit(
            TestReporter reporter) {
        scenarios()
                .forEach(
                        (name, load) -> {
                            QuotaFleet whole = run(WHOLE, 28, load);
                            QuotaFleet shared = run(SHARED, 28, load);
                            reporter.publishEntry(name + ", whole buckets", whole.toString());
                            reporter.publishEntry(name + ", shares", shared.toString());
                            String what = name + ": " + shared;
                            assertThat(shared.maxInWindow())
                                    .as(what)
                                    .isLessThanOrEqualTo(QuotaFleet.bound());
                            long millis = shared.mNow - START_MILLIS;
                            assertThat(shared.admittedSince(START_MILLIS))
                                    .as(what)
                                    .isGreaterThan(QuotaFleet.RATE * millis / 1_000 * 95 / 100);
                            assertThat(shared.spread()).as(what).isLessThan(QuotaFleet.TOLERANCE);
                            assertThat(shared.mRefusedBelow)
                                    .as(what)
                                    .isLessThanOrEqualTo(shared.mRefused / 100);
                        });
    }

    @Test
    void aHundredEntriesOfWhichAThirdIsCutOffStayBelowTheBound() {
        QuotaFleet fleet =
                run(
                        SHARED,
                        100,
                        it -> {
                            it.run(3_000, i -> DEMAND / 100);
                            for (int i = 0; i < 100; i += 3) {
                                it.mCut.add(i);
                            }
                            it.run(12_000, i -> DEMAND / 100);
                        });

        assertThat(fleet.maxInWindow()).as("%s", fleet).isLessThanOrEqualTo(QuotaFleet.bound());
        assertThat(fleet.admittedSince(START_MILLIS))
                .as("%s", fleet)
                .isGreaterThan(QuotaFleet.RATE * 95 / 100 * 10);
    }

    @Test
    void theUsualDemandIsNeverRefusedWithRequestsOfAllSizes() {
        QuotaFleet fleet = run(SHARED, 28, it -> it.run(20_000, i -> USUAL / 28));

        assertThat(fleet.mRefused).as("%s", fleet).isZero();
    }

    @Test
    void aLimitLoweredDuringTrafficHoldsInTheNextWindow() {
        long lowered = QuotaFleet.RATE / 2;
        QuotaFleet fleet =
                run(
                        SHARED,
                        28,
                        it -> {
                            it.run(8_000, i -> DEMAND / 28);
                            it.limit(lowered);
                            it.run(8_000, i -> DEMAND / 28);
                        });

        assertThat(fleet.admittedSince(fleet.mNow - 8_000))
                .as("%s", fleet)
                .isBetween(lowered * 8 * 9 / 10, lowered * 8 * 11 / 10 + QuotaFleet.TOLERANCE);
    }

    @Test
    void smallRequestsGoBeforeLargeOnesUnderOverload() {
        QuotaFleet fleet = run(SHARED, 28, ofSize(200, 40_000));

        assertThat(fleet.served(false)).as("%s", fleet).isGreaterThan(2 * fleet.served(true));
        assertThat(fleet.served(true)).as("%s", fleet).isPositive();
    }

    @Test
    void requestsOfALessUrgentPriorityLeaveAReserveToMoreUrgentOnes() {
        SharedQuota quota = quota(1);
        quota.onSettings(List.of(customer()), 0);
        for (int i = 0; i < 1_000; i++) {
            quota.charge("a", 1_000, 2, 0);
        }

        assertThat(quota.charge("a", 1_000, 0, 0)).isZero();
        assertThat(quota.charge("a", 1_000, 2, 0)).isPositive();
    }

    /** Guards against a fixed delay, after which all refused callers return at once. */
    @Test
    void refusedCallersDoNotReturnAtTheSameTime() {
        QuotaFleet fleet = run(SHARED, 28, ofSize(200, 200));

        assertThat((double) fleet.mostReturns())
                .as("%s", fleet)
                .isLessThan(3 * fleet.meanReturns());
    }

    @Test
    void anInvalidStandingOfAnotherEntryIsIgnoredAndCounted() {
        SharedQuota quota = quota(1);
        quota.onSettings(List.of(customer()), 0);

        quota.onStanding(new NodeId("b"), "a", new QuotaStanding(Long.MAX_VALUE, 0, 0), 0);

        assertThat(quota.dump().get("invalidStandings")).isEqualTo(1L);
        assertThat(quota.charge("a", 40_000, 0, 0)).isZero();
    }

    /** Guards against tokens that are counted twice by entries which lose sight of each other. */
    @Property(tries = 20, seed = "17")
    void noHistoryOfCutsLapsesAndRestartsAdmitsMoreThanTheBound(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int entries = random.nextInt(2, 40);
        QuotaFleet fleet = new QuotaFleet(SHARED, entries, 60_000, seed);
        for (int step = 0; step < 20; step++) {
            int entry = random.nextInt(entries);
            switch (random.nextInt(5)) {
                case 0 -> fleet.mCut.add(entry);
                case 1 -> fleet.mLapsed.add(entry);
                case 2 -> fleet.restart(entry);
                default -> {
                    fleet.mCut.clear();
                    fleet.mLapsed.clear();
                }
            }
            double demand = random.nextDouble(2) * DEMAND;
            int busy = random.nextInt(1, entries + 1);
            fleet.run(random.nextInt(2_000), i -> i < busy ? demand / busy : 0);
        }

        assertThat(fleet.maxInWindow()).as("%s", fleet).isLessThanOrEqualTo(QuotaFleet.bound());
    }

    private static GatewayCustomer customer() {
        return new GatewayCustomer("a", 0, QuotaFleet.RATE, QuotaFleet.BURST, 1, List.of());
    }

    // Guards against a customer's first charges at an older entry that a younger one takes for a
    // total of long ago, so that both use the whole quota.
    @Test
    void theFirstChargeOfALongRunningEntryForACustomerIsCounted() {
        NodeId peer = new NodeId("e2");
        Locality here = new Locality("r", "dc");
        SharedQuota quota = new SharedQuota(0, 0, 1, line -> {});
        quota.onSettings(List.of(new GatewayCustomer("y", 0, 1, 530_000, 1, List.of())), 0);
        UsageExchange exchange = new UsageExchange(new NodeId("e1"), here, 1, quota);
        exchange.onEntries(
                List.of(new Member(peer, 1, Role.ENTRY, MemberState.LIVE, here, "10.0.0.2:1", "")));
        exchange.onLink(peer, true);
        long now = 0;
        for (int sequence = 100; sequence < 400; sequence++) {
            now += 100_000_000L;
            if (sequence == 399) {
                long before = quota.available("y");
                exchange.onMessage(peer, usage(peer, sequence, 500_000), now);
                assertThat(quota.available("y")).isLessThan(before - 400_000);
            } else {
                exchange.onMessage(peer, usage(peer, sequence, 0), now);
            }
        }
    }

    private static GatewayMessage.Usage usage(NodeId entry, long sequence, long tokens) {
        List<GatewayMessage.CustomerTokens> charged =
                tokens == 0
                        ? List.of()
                        : List.of(
                                new GatewayMessage.CustomerTokens(
                                        "y", tokens, sequence, QuotaStanding.NONE));
        return new GatewayMessage.Usage(
                true, List.of(new GatewayMessage.EntryUsage(entry, 7, sequence, charged)));
    }
}
