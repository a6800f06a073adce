package ebonygw.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class FlagParserTest {
    private static final List<String> COMMON =
            List.of(
                    "--id=entry-1",
                    "--region=kingston",
                    "--data-center=kingston-1",
                    "--peer-address=127.0.0.1:7400",
                    "--key-value=http://127.0.0.1:2379,http://127.0.0.2:2379",
                    "--host-list=http://127.0.0.1:8000/hosts");

    @Test
    void flagsAreReadIntoSettings() throws Exception {
        EntrySettings settings =
                FlagParser.ofEntry().parse(with("--stop-timeout=9", "--max-links", "7"), Map.of());
        assertThat(settings.common().id()).isEqualTo("entry-1");
        assertThat(settings.common().keyValue())
                .containsExactly(
                        URI.create("http://127.0.0.1:2379"), URI.create("http://127.0.0.2:2379"));
        assertThat(settings.common().stopTimeoutNanos()).isEqualTo(TimeUnit.SECONDS.toNanos(9));
        assertThat(settings.maxTargetConnections()).isEqualTo(7);
        assertThat(settings.callerAddress().getPort()).isEqualTo(8080);
        assertThat(settings.common().operatorAddress().getAddress().isLoopbackAddress()).isTrue();
    }

    @Test
    void variablesAreReadAndFlagsTakePrecedence() throws Exception {
        Map<String, String> environment =
                Map.of(
                        "EBONYGW_STOP_TIMEOUT", "5",
                        "EBONYGW_MAX_LINKS", "8",
                        "EBONYGW_ID", "other",
                        "PATH", "/bin");
        EntrySettings settings = FlagParser.ofEntry().parse(with("--stop-timeout=9"), environment);
        assertThat(settings.common().stopTimeoutNanos()).isEqualTo(TimeUnit.SECONDS.toNanos(9));
        assertThat(settings.maxTargetConnections()).isEqualTo(8);
        assertThat(settings.common().id()).isEqualTo("entry-1");
    }

    @Test
    void booleanFlagsAreReadFromVariables() throws Exception {
        List<String> target = with("--target=127.0.0.1:9000", "--serves=llama");
        assertThat(ignoresFencing(target, Map.of())).isFalse();
        assertThat(ignoresFencing(target, Map.of("EBONYGW_IGNORES_FENCING", "true"))).isTrue();
        assertThat(ignoresFencing(target, Map.of("EBONYGW_IGNORES_FENCING", "false"))).isFalse();
    }

    @Test
    void allFaultsAreReportedTogetherWithTheirFlags() {
        List<String> args =
                List.of(
                        "--region=kingston",
                        "--data-center=kingston-1",
                        "--peer-address=kingston.example:7400",
                        "--key-value=ftp://127.0.0.1",
                        "--host-list=http://127.0.0.1:8000/hosts",
                        "--control-ring=1000",
                        "--max-links=0",
                        "--peer-key=/nowhere");
        assertThatThrownBy(() -> FlagParser.ofEntry().parse(args, Map.of()))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("--id is missing")
                .hasMessageContaining("--peer-address: not an IP number")
                .hasMessageContaining("--key-value: not a URL")
                .hasMessageContaining("--control-ring: not a power of two")
                .hasMessageContaining("--max-links: 0 is out of range, 1 to 65536 allowed")
                .hasMessageContaining("are set together or not at all")
                .hasMessageNotContaining("\n");
    }

    @Test
    void filesThatCannotBeReadAreReportedAsFaults() {
        assertThatThrownBy(
                        () ->
                                FlagParser.ofEntry()
                                        .parse(
                                                with(
                                                        "--caller-certificate=/nowhere",
                                                        "--caller-key=/nowhere"),
                                                Map.of()))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("--caller-certificate: cannot use");
    }

    @Test
    void unknownFlagsAreRejectedAndUnknownVariablesAreListed() {
        assertThatThrownBy(() -> FlagParser.ofEntry().parse(with("--no-such"), Map.of()))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("--no-such");
        assertThat(
                        FlagParser.ofEntry()
                                .unknownVariables(Set.of("EBONYGW_ID", "EBONYGW_IDD", "HOME")))
                .containsExactly("EBONYGW_IDD");
    }

    @Test
    void theUsageListsUnitsAndDefaults() {
        assertThat(FlagParser.ofTarget().usage())
                .contains("--order-timeout SECONDS")
                .contains("default: 10")
                .contains("EBONYGW_");
    }

    private static boolean ignoresFencing(List<String> args, Map<String, String> environment)
            throws SettingsException {
        return !FlagParser.ofTarget().parse(args, environment).checksFencingTokens();
    }

    private static List<String> with(String... additional) {
        List<String> args = new ArrayList<>(COMMON);
        args.addAll(List.of(additional));
        return args;
    }
}
