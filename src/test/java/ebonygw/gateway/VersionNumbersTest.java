package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.request.AdapterVersion;
import org.junit.jupiter.api.Test;

class VersionNumbersTest {
    @Test
    void aVersionKeepsItsNumber() {
        assertThat(VersionNumbers.parse(VersionNumbers.named("m/a", 7))).isEqualTo(7);
    }

    @Test
    void anyVersionIsZero() {
        assertThat(VersionNumbers.parse(VersionNumbers.named("m/a", 0))).isZero();
    }

    @Test
    void aVersionThatIsNoNumberCountsAsAny() {
        assertThat(VersionNumbers.parse(new AdapterVersion("m/a", "latest"))).isZero();
    }
}
