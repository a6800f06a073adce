package ebonygw.bench.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;

class SlopeTest {
    @Test
    void lineFittedToValuesOnALineReproducesThem() {
        Slope slope =
                new Slope(
                        "heap",
                        "bytes",
                        "process",
                        List.of(
                                new Slope.Sample(10, 120),
                                new Slope.Sample(20, 140),
                                new Slope.Sample(40, 180)));
        assertThat(slope.gradient()).isCloseTo(2, within(1e-9));
        assertThat(slope.intercept()).isCloseTo(100, within(1e-9));
        assertThat(slope.valueAt(1_000)).isCloseTo(2_100, within(1e-9));
    }

    @Test
    void valueAtIsNeverNegative() {
        List<Slope.Sample> falling = List.of(new Slope.Sample(1, 10), new Slope.Sample(2, 5));
        assertThat(new Slope("cpu", "ns", "link", falling).valueAt(10)).isZero();
    }

    @Test
    void rejectsFewerThanTwoSamples() {
        assertThatIllegalArgumentException()
                .isThrownBy(() -> new Slope("x", "y", "z", List.of(new Slope.Sample(1, 1))));
    }
}
