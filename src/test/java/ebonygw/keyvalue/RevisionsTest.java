package ebonygw.keyvalue;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class RevisionsTest {
    @Test
    void anyRevisionOfALaterEraIsGreater() {
        assertThat(Revisions.of(2, 1)).isGreaterThan(Revisions.of(1, 1_000_000_000_000L));
    }

    @Test
    void eraAndNumberAreReadBack() {
        long revision = Revisions.of(Revisions.MAX_ERA, 123_456_789_012L);

        assertThat(Revisions.era(revision)).isEqualTo(Revisions.MAX_ERA);
        assertThat(Revisions.number(revision)).isEqualTo(123_456_789_012L);
    }

    @Test
    void aRevisionOfTheFirstEraIsItsNumber() {
        assertThat(Revisions.of(0, 42)).isEqualTo(42);
    }

    @Test
    void numbersThatDoNotFitAreRejected() {
        assertThatThrownBy(() -> Revisions.of(0, 1L << 40))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("out of bounds: 0, 1099511627776");
        assertThatThrownBy(() -> Revisions.of(Revisions.MAX_ERA + 1, 0))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
