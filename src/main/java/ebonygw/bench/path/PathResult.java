package ebonygw.bench.path;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The figures of {@code bench path}.
 *
 * @param directP50Micros median response time of the engine directly, in microseconds
 * @param directP99Micros 99th percentile of the engine directly, in microseconds
 * @param pathP50Micros median response time through entry and target process, in microseconds
 * @param pathP99Micros 99th percentile through entry and target process, in microseconds
 * @param requestsPerSecond requests per second through the path in the load run
 * @param coresUsed processor cores that entry and target process used in the load run
 * @param requestsPerSecondPerCore requests per second through the path for each core used
 * @param failures number of failed requests, except direct warm-up requests
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
    private static final double MAX_ADDED_P50_MICROS = 1_000;
    private static final double MIN_REQUESTS_PER_SECOND_PER_CORE = 5_000;

    /** Returns the difference of the median response times, in microseconds. */
    @JsonProperty("added_p50_us")
    double addedP50Micros() {
        return pathP50Micros - directP50Micros;
    }

    /** Returns the difference of the 99th percentiles, in microseconds. */
    @JsonProperty("added_p99_us")
    double addedP99Micros() {
        return pathP99Micros - directP99Micros;
    }

    /** Returns whether added latency and throughput per core meet the performance objectives. */
    @JsonProperty("meets_targets")
    boolean meetsObjectives() {
        return addedP50Micros() < MAX_ADDED_P50_MICROS
                && requestsPerSecondPerCore >= MIN_REQUESTS_PER_SECOND_PER_CORE;
    }
}
