package ebonygw.bench.placement;

import java.util.List;
import java.util.Map;
import java.util.function.DoublePredicate;
import java.util.function.ToDoubleFunction;

/**
 * A bound on a figure of the production strategy, and whether it was met.
 *
 * @param name the figure that is bounded
 * @param required the condition that the figure must meet
 * @param measured the figure over all seeds together
 * @param seedsShort number of seeds that miss the bound when checked alone
 * @param met whether the bound is met by all seeds together and by each seed alone
 */
record Bound(String name, String required, String measured, int seedsShort, boolean met) {
    /** Maximum of stalls, and of their 95th percentile, over those of the better LRU baseline. */
    private static final double MAX_RATIO_TO_LRU = 0.5;

    private static final double MIN_BATCH_EFFICIENCY = 0.9;
    private static final double MIN_SHARE = 0.95;

    /** Maximum difference between the shares of the best-served and the worst-served customer. */
    private static final double MAX_SHARE_DIFFERENCE = 0.05;

    private static final List<Rule> RULES =
            List.of(
                    new Rule(
                            "stalls, of better LRU baseline",
                            "<= 0.5",
                            Bound::stallRatioToLru,
                            x -> x <= MAX_RATIO_TO_LRU),
                    new Rule(
                            "stall p95, of better LRU baseline",
                            "<= 0.5",
                            Bound::stallP95RatioToLru,
                            x -> x <= MAX_RATIO_TO_LRU),
                    new Rule(
                            "stalls, of plain rendezvous",
                            "< 1",
                            Bound::stallRatioToRendezvous,
                            x -> x < 1),
                    new Rule(
                            "stall p95, of plain rendezvous",
                            "< 1",
                            Bound::stallP95RatioToRendezvous,
                            x -> x < 1),
                    new Rule(
                            "batch efficiency while work waits",
                            ">= 0.9",
                            m -> production(m).batchEfficiency(),
                            x -> x >= MIN_BATCH_EFFICIENCY),
                    new Rule(
                            "worst-served customer's share",
                            ">= 0.95",
                            m -> production(m).worstShare(),
                            x -> x >= MIN_SHARE),
                    new Rule(
                            "best-served less worst-served",
                            "<= 0.05",
                            m -> production(m).bestShare() - production(m).worstShare(),
                            x -> x <= MAX_SHARE_DIFFERENCE),
                    new Rule(
                            "regional traffic an answer, of best baseline",
                            "< 1",
                            Bound::trafficRatioToBestBaseline,
                            x -> x < 1),
                    new Rule(
                            "breaches of invariants",
                            "0",
                            m -> production(m).breachCount(),
                            x -> x == 0));

    /**
     * Checks all bounds.
     *
     * @param bySeed results by strategy, for each seed
     * @param merged results by strategy, of all seeds together
     */
    static List<Bound> check(List<Map<String, RunResult>> bySeed, Map<String, RunResult> merged) {
        return RULES.stream().map(rule -> check(rule, bySeed, merged)).toList();
    }

    /**
     * Returns the ratio of the production strategy's stalls to the clairvoyant lower bound. It has
     * a goal but no bound that fails the run.
     */
    static double clairvoyantRatio(Map<String, RunResult> results) {
        return (double) production(results).stalls()
                / Math.max(1, production(results).clairvoyantMisses());
    }

    private static Bound check(
            Rule rule, List<Map<String, RunResult>> bySeed, Map<String, RunResult> merged) {
        int seedsShort = (int) bySeed.stream().filter(m -> !rule.isMet(m)).count();
        String measured = String.format("%.3f", rule.value().applyAsDouble(merged));
        boolean met = seedsShort == 0 && rule.isMet(merged);
        return new Bound(rule.name(), rule.required(), measured, seedsShort, met);
    }

    private static RunResult production(Map<String, RunResult> results) {
        return results.get(PlacementBench.PRODUCTION);
    }

    private static double stallP95RatioToLru(Map<String, RunResult> results) {
        double betterLru =
                Math.min(
                        results.get(PlacementBench.RANDOM).stallP95Micros(),
                        results.get(PlacementBench.LEAST_OUTSTANDING).stallP95Micros());
        return production(results).stallP95Micros() / betterLru;
    }

    private static double stallP95RatioToRendezvous(Map<String, RunResult> results) {
        return production(results).stallP95Micros()
                / results.get(PlacementBench.RENDEZVOUS).stallP95Micros();
    }

    private static double stallRatioToLru(Map<String, RunResult> results) {
        double betterLru =
                Math.min(
                        results.get(PlacementBench.RANDOM).stalls(),
                        results.get(PlacementBench.LEAST_OUTSTANDING).stalls());
        return production(results).stalls() / betterLru;
    }

    private static double stallRatioToRendezvous(Map<String, RunResult> results) {
        double rendezvous = results.get(PlacementBench.RENDEZVOUS).stalls();
        return production(results).stalls() / rendezvous;
    }

    private static double trafficRatioToBestBaseline(Map<String, RunResult> results) {
        double best =
                results.entrySet().stream()
                        .filter(e -> !e.getKey().equals(PlacementBench.PRODUCTION))
                        .mapToDouble(e -> e.getValue().regionalBytesPerResponse())
                        .min()
                        .orElseThrow();
        return production(results).regionalBytesPerResponse() / best;
    }

    /**
     * The definition of a bound.
     *
     * @param value computes the bounded figure from the results by strategy
     * @param met whether a value of the figure meets the bound
     */
    private record Rule(
            String name,
            String required,
            ToDoubleFunction<Map<String, RunResult>> value,
            DoublePredicate met) {
        boolean isMet(Map<String, RunResult> results) {
            return met.test(value.applyAsDouble(results));
        }
    }
}
