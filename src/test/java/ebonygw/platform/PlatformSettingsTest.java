package ebonygw.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import ebonygw.process.SettingsException;
import ebonygw.spillover.SpilloverOptions;
import org.junit.jupiter.api.Test;

class PlatformSettingsTest {
    private static final String PRICES =
            "spillover.data_center_ms_per_mb=20\nspillover.region_ms_per_mb=500\n";

    @Test
    void withoutAPriceOfTrafficTheConstantsStay() throws SettingsException {
        assertThat(PlatformSettings.parse("zone=a").spillover()).isEmpty();
        assertThat(PlatformSettings.parse(PRICES).spillover())
                .contains(SpilloverOptions.ofMillis(20, 500, 0));
    }

    @Test
    void aMalformedPriceOrASinglePriceIsRefusedAtTheStart() {
        for (String bad :
                new String[] {
                    "spillover.region_ms_per_mb=1",
                    "spillover.cap_bytes_per_s=1",
                    "spillover.data_center_ms_per_mb=NaN\nspillover.region_ms_per_mb=1",
                    PRICES + "spillover.cap_bytes_per_s=-1",
                    PRICES + "spillover.cap_bytes_per_s=much"
                }) {
            assertThatThrownBy(() -> PlatformSettings.parse(bad).spillover())
                    .isInstanceOf(SettingsException.class);
        }
    }
}
