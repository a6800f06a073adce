package ebonygw.bench.placement;

import java.util.List;
import java.util.Map;
import java.util.function.DoublePredicate;
import java.util.function.ToDoubleFunction;

/**
 * A stated bound and whether it was met.
 *
 * @param name what is bounded
 * @param required how far
 * @param measured the figure over all seeds together
 * @param seedsShort seeds that fell short by themselves
 * @param met whether all seeds together and each by itself met it
 */
record Bound(String name, String required, String measured, int seedsShort, boolean met) {
    private static final double STALLS_OF_LRU = 0.5;
    private static final double LEAST_EFFICIENCY = 0.9;
    private static final double LEAST_SHARE = 0.95;
    private static final double SHARE_APART = 0.05;
    private static final List<Rule> RULES =
            List.of(
                    new Rule(
                            "stalls, of better LRU baseline",
                            "<= 0.5",
                            Bound::stallsOfLru,
                            x -> x <= STALLS_OF_LRU),
                    new Rule(
                            "stall p95, of better LRU baseline",
                            "<= 0.5",
                            Bound::p95OfLru,
                            x -> x <= STALLS_OF_LRU),
                    new Rule(
                            "stalls, of plain rendezvous",
                            "< 1",
                            Bound::stallsOfRendezvous,
                            x -> x < 1),
                    new Rule(
                            "stall p95, of plain rendezvous",
                            "< 1",
                            Bound::p95OfRendezvous,
                            x -> x < 1),
                    new Rule(
                            "batch efficiency while work waits",
                            ">= 0.9",
                            m -> ours(m).batchEfficiency(),
                            x -> x >= LEAST_EFFICIENCY),
                    new Rule(
                            "worst-served customer's share",
                            ">= 0.95",
                            m -> ours(m).worstShare(),
                            x -> x >= LEAST_SHARE),
                    new Rule(
                            "best-served less worst-served",
                            "<= 0.05",
                            m -> ours(m).bestShare() - ours(m).worstShare(),
                            x -> x <= SHARE_APART),
                    new Rule(
                            "regional traffic an answer, of best baseline",
                            "< 1",
                            Bound::trafficOfBest,
                            x -> x < 1),
                    new Rule(
                            "breaches of invariants",
                            "0",
                            m -> ours(m).breachCount(),
                            x -> x == 0));

    /** Checks all bounds on the figures of each seed and of all together. */
    static List<Bound> check(List<Map<String, RunResult>> bySeed, Map<String, RunResult> merged) {
        return RULES.stream().map(rule -> check(rule, bySeed, merged)).toList();
    }

    /** Returns the stalls of the decision classes in clairvoyant ones, which has an aim only. */
    static double ofClairvoyant(Map<String, RunResult> results) {
        return (double) ours(results).stalls() / Math.max(1, ours(results).clairvoyantMisses());
    }

    private static Bound check(
            Rule rule, List<Map<String, RunResult>> bySeed, Map<String, RunResult> merged) {
        int tooFew = (int) bySeed.stream().filter(m -> !rule.isMet(m)).count();
        String measured = String.format("%.3f", rule.figure().applyAsDouble(merged));
        boolean met = tooFew == 0 && rule.isMet(merged);
        return new Bound(rule.name(), rule.required(), measured, tooFew, met);
    }

    private static RunResult ours(Map<String, RunResult> results) {
        return results.get(PlacementBench.DECISIONS);
    }

    private static double p95OfLru(Map<String, RunResult> results) {
        double better =
                Math.min(
                        results.get(PlacementBench.RANDOM).stallP95Micros(),
                        results.get(PlacementBench.LEAST).stallP95Micros());
        return ours(results).stallP95Micros() / better;
    }

    private static double p95OfRendezvous(Map<String, RunResult> results) {
        return ours(results).stallP95Micros()
                / results.get(PlacementBench.RENDEZVOUS).stallP95Micros();
    }

    private static double stallsOfLru(Map<String, RunResult> results) {
        double better =
                Math.min(
                        results.get(PlacementBench.RANDOM).stalls(),
                        results.get(PlacementBench.LEAST).stalls());
        return ours(results).stalls() / better;
    }

    private static double stallsOfRendezvous(Map<String, RunResult> results) {
        double plain = results.get(PlacementBench.RENDEZVOUS).stalls();
        return ours(results).stalls() / plain;
    }

    private static double trafficOfBest(Map<String, RunResult> results) {
        double best =
                results.entrySet().stream()
                        .filter(e -> !e.getKey().equals(PlacementBench.DECISIONS))
                        .mapToDouble(e -> e.getValue().regionalBytesPerAnswer())
                        .min()
                        .orElseThrow();
        return ours(results).regionalBytesPerAnswer() / best;
    }

    /** What is bounded and how. */
    private record Rule(
            String name,
            String required,
            ToDoubleFunction<Map<String, RunResult>> figure,
            DoublePredicate met) {
        boolean isMet(Map<String, RunResult> results) {
            return met.test(figure.applyAsDouble(results));
        }
    }
}
