package ebonygw.bench.placement;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * The report of an experiment, as a table or as JSON.
 *
 * @param seeds number of seeds
 * @param merged results of all seeds together, by strategy
 * @param bySeed results of each seed, by strategy
 */
record PlacementReport(
        Scenario scenario,
        int seeds,
        Map<String, RunResult> merged,
        List<Bound> bounds,
        List<Map<String, RunResult>> bySeed) {
    private static final double MICROS_PER_MILLISECOND = 1000;
    private static final double BYTES_PER_KIBIBYTE = 1 << 10;
    private static final double[] PERCENTILES = {50, 95, 99, 100};

    void printJson(PrintStream out) throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode root = mapper.createObjectNode();
        root.put("size", scenario.name());
        root.put("seeds", seeds);
        root.put("slots", scenario.slots());
        root.put("zipf", scenario.zipfExponent());
        root.put("requestsPerSecond", scenario.requestsPerSecond());
        ObjectNode strategies = root.putObject("strategies");
        merged.forEach((name, result) -> putResult(strategies.putObject(name), result));
        root.put("stallsOfClairvoyant", Bound.clairvoyantRatio(merged));
        ArrayNode list = root.putArray("bounds");
        for (Bound bound : bounds) {
            list.addObject()
                    .put("name", bound.name())
                    .put("required", bound.required())
                    .put("measured", bound.measured())
                    .put("seedsShort", bound.seedsShort())
                    .put("met", bound.met());
        }
        out.println(mapper.writerWithDefaultPrettyPrinter().writeValueAsString(root));
    }

    void printTable(PrintStream out) {
        out.printf(
                "%s: %d seeds, %d replicas of %d slots and batches of %d, Zipf exponent %.2f, %.1f"
                        + " model requests and %.0f loads per second%n",
                scenario.name(),
                seeds,
                scenario.replicas(),
                scenario.slots(),
                scenario.maxBatch(),
                scenario.zipfExponent(),
                scenario.requestsPerSecond(),
                scenario.storeLoadsPerSecond());
        out.printf(
                "%-22s %8s %8s %7s %7s %25s %25s %6s %6s %12s %8s %8s %8s%n",
                "strategy",
                "requests",
                "stalls",
                "%",
                "loads",
                "stall ms 50/95/99/max",
                "latency ms 50/95/99/max",
                "batch",
                "+store",
                "share",
                "refused",
                "KiB/ans",
                "breaches");
        merged.forEach((name, result) -> printRow(out, name, result));
        out.printf(
                "clairvoyant lower bound: %d stalls (%.2f%%); ebonygw has %.3f times as many"
                        + " (goal 1.5)%n",
                production().clairvoyantMisses(),
                100.0 * production().clairvoyantMisses() / production().requests(),
                Bound.clairvoyantRatio(merged));
        for (Bound bound : bounds) {
            out.printf(
                    "%-5s %-38s %-8s measured %s, missed by %d seeds%n",
                    bound.met() ? "met" : "SHORT",
                    bound.name(),
                    bound.required(),
                    bound.measured(),
                    bound.seedsShort());
        }
        if (production().breachCount() > 0) {
            out.println("breaches of invariants: " + production().breaches());
        }
    }

    private static String percentiles(Histogram micros) {
        StringBuilder text = new StringBuilder();
        for (double percentile : PERCENTILES) {
            text.append(text.isEmpty() ? "" : "/")
                    .append(
                            Math.round(
                                    micros.getValueAtPercentile(percentile)
                                            / MICROS_PER_MILLISECOND));
        }
        return text.toString();
    }

    private static void printRow(PrintStream out, String name, RunResult result) {
        out.printf(
                "%-22s %8d %8d %7.2f %7d %25s %25s %6.3f %6.3f %.3f..%.3f %8d %8.3f %8d%n",
                name,
                result.requests(),
                result.stalls(),
                100.0 * result.stalls() / result.requests(),
                result.loads(),
                percentiles(result.stallMicros()),
                percentiles(result.latencyMicros()),
                result.batchEfficiency(),
                result.batchEfficiencyWithStore(),
                result.worstShare(),
                result.bestShare(),
                result.wrongfulRefusals(),
                result.regionalBytesPerResponse() / BYTES_PER_KIBIBYTE,
                result.breachCount());
    }

    private RunResult production() {
        return merged.get(PlacementBench.PRODUCTION);
    }

    private static void putPercentiles(ObjectNode node, Histogram micros) {
        node.put("count", micros.getTotalCount());
        for (double percentile : PERCENTILES) {
            node.put("p" + (int) percentile, micros.getValueAtPercentile(percentile));
        }
    }

    private static void putResult(ObjectNode node, RunResult result) {
        node.put("requests", result.requests());
        node.put("stalls", result.stalls());
        node.put("loads", result.loads());
        node.put("clairvoyantStalls", result.clairvoyantMisses());
        putPercentiles(node.putObject("stallMicros"), result.stallMicros());
        putPercentiles(node.putObject("latencyMicros"), result.latencyMicros());
        putPercentiles(node.putObject("burstLatencyMicros"), result.burstLatencyMicros());
        node.put("batchEfficiency", result.batchEfficiency());
        node.put("batchEfficiencyWithStore", result.batchEfficiencyWithStore());
        node.put("worstShare", result.worstShare());
        node.put("bestShare", result.bestShare());
        node.put("wrongfulRefusals", result.wrongfulRefusals());
        node.put("regionalBytes", result.regionalBytes());
        ObjectNode breaches = node.putObject("breaches");
        result.breaches().forEach(breaches::put);
    }
}
