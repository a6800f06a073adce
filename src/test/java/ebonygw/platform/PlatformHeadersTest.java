package ebonygw.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import ebonygw.gateway.AttemptTerms;
import ebonygw.gateway.GatewayRequest;
import ebonygw.gateway.GatewayRequest.PromptPart;
import ebonygw.gateway.TargetLoad;
import ebonygw.gateway.TargetNotice;
import ebonygw.settings.CallerKeys;
import ebonygw.targetlimit.NamedLimit;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlatformHeadersTest {
    private static final AttemptTerms TERMS =
            new AttemptTerms(
                    1, "i-7", "10.0.0.1:80", 4, "customer-a", 2, 3, 1_500_000_000L, 1_500_000_000L);

    private final PlatformHeaders mHeaders = new PlatformHeaders();

    private GatewayRequest read(Map<String, String> headers) {
        Map<String, String> all = new HashMap<>(headers);
        all.putIfAbsent("attempt-id", "r1");
        return mHeaders.read("POST", "host.example", "/a/1?x=2", all, ByteString.EMPTY).get();
    }

    private TargetNotice notice(int status, String name, String value) {
        return mHeaders.parseResponse(status, Map.of(name, value)).notice();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "2         | 2000",
                "0.25      | 250",
                "1, 3      | 3000",
                "x, 1      | 1000",
                "-1        | 0",
                "0         | 0",
                "soon      | 0",
                "NaN       | 0",
                "''        | 0",
                "Infinity  | 86400000",
                "1e300     | 86400000",
            })
    void aPauseIsTheLongestValidNumberOfSecondsUpToADay(String value, long millis) {
        assertThat(notice(503, "retry-after", value).pauseNanos()).isEqualTo(millis * 1_000_000);
        assertThat(notice(429, "retry-after", value)).isEqualTo(TargetNotice.NONE);
    }

    // Guards against a malformed field that stops a target for ever or lifts its limit.
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "1.3       | 1.3",
                "2         | 2",
                "3, 1.5    | 1.5",
                "x, 4      | 4",
                "0         | 0.25",
                "0.0000001 | 0.25",
                "1000000   | 1000000",
                "-1        | -1",
                "1e3       | -1",
                "NaN       | -1",
                "''        | -1",
                "1.3 s     | -1",
            })
    void aLimitIsTheLowestValidDecimalNumberInItsBounds(String value, double perSecond) {
        NamedLimit limit = mHeaders.parseResponse(200, Map.of("server-limit", value)).limit();
        assertThat(limit)
                .isEqualTo(perSecond < 0 ? NamedLimit.MALFORMED : NamedLimit.of(perSecond));
        assertThat(perSecond < 0 || limit.perSecond() == perSecond).isTrue();
    }

    @Test
    void aLimitOfManyDigitsIsBoundedAndAMissingOneIsNone() {
        String digits = "9".repeat(5_000);
        assertThat(mHeaders.parseResponse(200, Map.of("server-limit", digits)).limit().perSecond())
                .isEqualTo(NamedLimit.MAX_PER_SECOND);
        assertThat(mHeaders.parseResponse(200, Map.of()).limit()).isEqualTo(NamedLimit.NONE);
    }

    @Test
    void anInstanceLeavesIfItSaysSoInAnyResponse() {
        for (int status : new int[] {200, 404, 421, 500, 503}) {
            assertThat(notice(status, "server-leaving", "1").leaving()).isTrue();
            assertThat(notice(status, "server-leaving", "1, 1").leaving()).isTrue();
            assertThat(notice(status, "server-leaving", "0").leaving()).isFalse();
        }
    }

    @Test
    void theModelFieldNamesTheAdapterAfterASlash() {
        GatewayRequest request = read(Map.of("model", "m0/a7", "token-usage", "1460,80"));

        assertThat(request.model()).isEqualTo("m0");
        assertThat(request.adapter()).isEqualTo("m0/a7");
        assertThat(request.charge(200)).isEqualTo(1540);
    }

    @Test
    void aRequestWithoutTokenUsageIsChargedTheDefault() {
        assertThat(read(Map.of()).charge(200)).isEqualTo(200);
    }

    @Test
    void theKeyIsHashedAndNeverForwarded() {
        GatewayRequest request = read(Map.of("authorization", "Bearer secret"));

        assertThat(request.keyHash()).isEqualTo(CallerKeys.hash("secret"));
        assertThat(mHeaders.write(request, TERMS)).doesNotContainKey("authorization");
    }

    @Test
    void reservedFieldsOfCallersAreIgnored() {
        GatewayRequest request =
                read(
                        Map.of(
                                "tenant", "another",
                                "pin-ms", "4000",
                                "kv-from", "10.0.0.9:80/x",
                                "kv-backup", "10.0.0.9:80",
                                "hold-request", "h1",
                                "request-priority", "0",
                                "expect-instance", "i-1",
                                "expect-version", "9"));

        assertThat(mHeaders.write(request, TERMS))
                .containsEntry("tenant", "customer-a")
                .containsEntry("expect-instance", "i-7")
                .containsEntry("expect-version", "3")
                .containsEntry("deadline-ms", "1500")
                .doesNotContainKeys("pin-ms", "kv-from", "kv-backup", "hold-request")
                .doesNotContainEntry("request-priority", "0");
    }

    @Test
    void otherFieldsAreForwardedUnchanged() {
        Map<String, String> headers =
                Map.of("prompt-prefix", "5c:800,91:410", "length-hint", "40", "x-own", "1");

        GatewayRequest request = read(headers);

        assertThat(request.promptParts())
                .containsExactly(new PromptPart("5c", 800), new PromptPart("91", 410));
        assertThat(mHeaders.write(request, TERMS)).containsAllEntriesOf(headers);
    }

    @Test
    void aMalformedNumberIsRefused() {
        Map<String, String> headers = Map.of("attempt-id", "r1", "token-usage", "many,few");

        assertThat(mHeaders.read("POST", "h", "/", headers, ByteString.EMPTY).isLeft()).isTrue();
    }

    @Test
    void onlyNotExecutedOrStatus421ReportsThatTheRequestDidNotRun() {
        assertThat(mHeaders.parseResponse(503, Map.of("not-executed", "1")).notRun()).isTrue();
        assertThat(mHeaders.parseResponse(421, Map.of()).notRun()).isTrue();
        assertThat(mHeaders.parseResponse(503, Map.of()).notRun()).isFalse();
        assertThat(mHeaders.parseResponse(500, Map.of()).notRun()).isFalse();
    }

    @Test
    void theLoadIsReadFromResponses() {
        assertThat(mHeaders.parseResponse(200, Map.of("instance-load", "3,0,8")).load())
                .contains(new TargetLoad(3, 0, 8));
        assertThat(mHeaders.parseResponse(200, Map.of("instance-load", "3")).load()).isEmpty();
    }

    @Test
    void theFourthNumberOfTheLoadIsReadAndABadOneLeavesTheOthersValid() {
        assertThat(mHeaders.parseResponse(200, Map.of("instance-load", "3,0,8, 250")).load())
                .contains(new TargetLoad(3, 0, 8, 250));
        for (String bad : new String[] {"slow", "-5", "0", "NaN", "1e9", " "}) {
            assertThat(mHeaders.parseResponse(200, Map.of("instance-load", "3,0,8," + bad)).load())
                    .as(bad)
                    .contains(new TargetLoad(3, 0, 8, TargetLoad.INVALID));
        }
    }
}
