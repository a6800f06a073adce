package ebonygw.bench.capacity;

import java.util.List;
import java.util.Objects;

/**
 * A quantity measured at several sizes, with the straight line through the values.
 *
 * @param name what was measured
 * @param unit unit of the values
 * @param per what the sizes count
 * @param samples the values, at least two of different sizes
 */
record Slope(String name, String unit, String per, List<Sample> samples) {
    /**
     * Creates a slope.
     *
     * @throws IllegalArgumentException if there are fewer than two samples
     */
    Slope {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(unit, "unit");
        Objects.requireNonNull(per, "per");
        samples = List.copyOf(samples);
        if (samples.size() < 2) {
            throw new IllegalArgumentException("fewer than two samples");
        }
    }

    /** Returns the value of the line at size 0. */
    double base() {
        return meanValue() - each() * meanSize();
    }

    /** Returns what each unit of size adds, by least squares. */
    double each() {
        double covariance = 0;
        double variance = 0;
        for (Sample sample : samples) {
            double distance = sample.size() - meanSize();
            covariance += distance * (sample.value() - meanValue());
            variance += distance * distance;
        }
        return covariance / variance;
    }

    /** Returns the line's value at a size, never less than 0. */
    double at(double size) {
        return Math.max(0, base() + each() * size);
    }

    private double meanSize() {
        return samples.stream().mapToDouble(Sample::size).average().orElseThrow();
    }

    private double meanValue() {
        return samples.stream().mapToDouble(Sample::value).average().orElseThrow();
    }

    /**
     * One measured value.
     *
     * @param size the size
     * @param value the value
     */
    record Sample(double size, double value) {}
}
