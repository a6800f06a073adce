package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.request.AdapterVersion;
import org.junit.jupiter.api.Test;

class VersionNumbersTest {
    @Test
    void aVersionNumberSurvivesConversionInBothDirections() {
        assertThat(VersionNumbers.parse(VersionNumbers.toAdapterVersion("m/a", 7))).isEqualTo(7);
    }

    @Test
    void zeroStandsForAnyVersion() {
        assertThat(VersionNumbers.parse(VersionNumbers.toAdapterVersion("m/a", 0))).isZero();
    }

    @Test
    void aNonNumericVersionCountsAsAnyVersion() {
        assertThat(VersionNumbers.parse(new AdapterVersion("m/a", "latest"))).isZero();
    }
}
