package ebonygw.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import ebonygw.process.SettingsException;
import ebonygw.spillover.SpilloverOptions;
import java.util.Map;
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

    /** Guards against prices that operators cannot set, as the platform writes the file. */
    @Test
    void variablesOfTheEnvironmentSetThePriceOfTrafficAndGoBeforeTheFile() throws Exception {
        Map<String, String> environment =
                Map.of(
                        "EBONYGW_SPILLOVER_REGION_MS_PER_MB", "700",
                        "EBONYGW_SPILLOVER_DATA_CENTER_MS_PER_MB", "30",
                        "PATH", "/bin");
        PlatformSettings settings =
                PlatformSettings.parse("zone=a\nspillover.region_ms_per_mb=1")
                        .withEnvironment(environment);

        assertThat(settings.spillover()).contains(SpilloverOptions.ofMillis(30, 700, 0));
        assertThat(settings.has("path")).isFalse();
    }
}
