package ebonygw.bench.capacity;

import java.util.List;
import java.util.Objects;

/**
 * A quantity measured at several sizes, with the straight line fitted to the values by least
 * squares.
 *
 * @param name what was measured
 * @param unit unit of the values
 * @param per what the sizes count
 * @param samples the measured values, of at least two different sizes
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
            throw new IllegalArgumentException(
                    "a slope needs at least two samples, got " + samples.size());
        }
    }

    /** Returns the line's value at size 0. */
    double intercept() {
        return meanValue() - gradient() * meanSize();
    }

    /** Returns by how much the line rises per unit of size. */
    double gradient() {
        double covariance = 0;
        double variance = 0;
        for (Sample sample : samples) {
            double deviation = sample.size() - meanSize();
            covariance += deviation * (sample.value() - meanValue());
            variance += deviation * deviation;
        }
        return covariance / variance;
    }

    /** Returns the line's value at a size, never less than 0. */
    double valueAt(double size) {
        return Math.max(0, intercept() + gradient() * size);
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
     * @param size what was measured at, in the unit {@code per}
     * @param value the value, in the unit {@code unit}
     */
    record Sample(double size, double value) {}
}
