package ebonygw.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class WireNamesTest {
    /** Names of the platform; the search ignores case. */
    private static final List<String> NAMES =
            List.of(
                    "attempt-id",
                    "not-executed",
                    "server-signature",
                    "expect-instance",
                    "instance-load",
                    "token-usage",
                    "prompt-prefix",
                    "weight-versions",
                    "deadline-ms",
                    "kv-txn",
                    "kv-watch",
                    "kv-range",
                    "op/config",
                    "op/version",
                    "\"servers/",
                    "fencing_token\":",
                    "ebonygw_config",
                    "quota_tolerance",
                    "retry_budget_ratio",
                    "cold_remaining_ms",
                    "cold-remaining-ms",
                    "cold_per_s",
                    "cold_start_s",
                    "cold_overage");

    @Test
    void platformNamesAppearOnlyInThePlatformPackage() throws IOException {
        List<String> found = new ArrayList<>();
        try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
            files.filter(file -> file.toString().endsWith(".java"))
                    .forEach(
                            file -> {
                                String text = read(file).toLowerCase(Locale.ROOT);
                                NAMES.stream()
                                        .filter(text::contains)
                                        .forEach(name -> found.add(file + ": " + name));
                            });
        }
        assertThat(found).isEmpty();
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        }
    }
}
