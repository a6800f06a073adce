package ebonygw.bench.path;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * What the benchmark of the path measured.
 *
 * @param directP50Micros median time of the direct engine, in microseconds
 * @param directP99Micros 99th percentile of the direct engine, in microseconds
 * @param pathP50Micros median time through entry and target process, in microseconds
 * @param pathP99Micros 99th percentile through entry and target process, in microseconds
 * @param requestsPerSecond requests a second through the path under load
 * @param coresUsed processor cores that entry and target process used under load
 * @param requestsPerSecondPerCore requests a second for each core used
 * @param failures requests of all runs without a whole answer
 */
record PathResult(
        @JsonProperty("direct_p50_us") double directP50Micros,
        @JsonProperty("direct_p99_us") double directP99Micros,
        @JsonProperty("path_p50_us") double pathP50Micros,
        @JsonProperty("path_p99_us") double pathP99Micros,
        @JsonProperty("requests_per_second") double requestsPerSecond,
        @JsonProperty("cores_used") double coresUsed,
        @JsonProperty("requests_per_second_per_core") double requestsPerSecondPerCore,
        @JsonProperty("failures") long failures) {
    private static final double MOST_ADDED_P50_MICROS = 1_000;
    private static final double LEAST_REQUESTS_PER_SECOND_PER_CORE = 5_000;

    /** Returns the median time that the path adds, in microseconds. */
    @JsonProperty("added_p50_us")
    double addedP50Micros() {
        return pathP50Micros - directP50Micros;
    }

    /** Returns the time that the path adds at the 99th percentile, in microseconds. */
    @JsonProperty("added_p99_us")
    double addedP99Micros() {
        return pathP99Micros - directP99Micros;
    }

    /** Returns whether the figures keep the targets of the path. */
    @JsonProperty("meets_targets")
    boolean meetsTargets() {
        return addedP50Micros() < MOST_ADDED_P50_MICROS
                && requestsPerSecondPerCore >= LEAST_REQUESTS_PER_SECOND_PER_CORE;
    }
}
