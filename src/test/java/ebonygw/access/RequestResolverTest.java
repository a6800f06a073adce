package ebonygw.access;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import ebonygw.request.AdapterVersion;
import ebonygw.request.CallerRequest;
import ebonygw.request.Payload;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.Verdict;
import ebonygw.settings.FakeSettings;
import io.vavr.control.Either;
import java.util.Map;
import org.junit.jupiter.api.Test;

class RequestResolverTest {
    private static final long NOW = 1_000_000_000L;

    private final FakeSettings mSettings =
            new FakeSettings()
                    .withCustomer("harbour", 100, 100)
                    .withCustomer("atlas", 100, 100)
                    .withKey("k1", "harbour")
                    .withModelRoute("completions", "", false, "base")
                    .withModelRoute("public", "atlas", true, "base")
                    .withModelRoute("private", "atlas", false, "base")
                    .withServiceRoute("bookings", "booking", false)
                    .withAdapter("summary", "harbour", "base", "v2", "v1")
                    .withAdapter("kilt", "atlas", "base", "v1");

    @Test
    void aKeyResolvesToItsCustomerAndTheRequestedVersion() {
        ResolvedRequest resolved = resolve("hash-k1", "completions", "summary@v1").get();

        assertThat(resolved.customer().customer()).isEqualTo("harbour");
        assertThat(resolved.keyId()).isEqualTo("k1");
        assertThat(resolved.version()).contains(new AdapterVersion("summary", "v1"));
    }

    @Test
    void aRequestWithoutAVersionGetsTheDefaultVersion() {
        assertThat(resolve("hash-k1", "completions", "summary").get().version())
                .contains(new AdapterVersion("summary", "v2"));
    }

    @Test
    void anUnknownVersionIsRefusedInsteadOfReplacedByTheDefault() {
        assertRefused("hash-k1", "completions", "summary@v9", RefusalCode.NOT_FOUND);
    }

    @Test
    void anotherCustomersAdapterIsForbidden() {
        assertRefused("hash-k1", "completions", "kilt", RefusalCode.FORBIDDEN);
    }

    @Test
    void anotherCustomersRouteIsForbidden() {
        assertRefused("hash-k1", "private", "summary", RefusalCode.FORBIDDEN);
    }

    @Test
    void aWithdrawnKeyIsAlsoRefusedOnOpenRoutes() {
        mSettings.withoutKey("k1");

        assertRefused("hash-k1", "completions", "summary", RefusalCode.UNAUTHENTICATED);
        assertRefused("hash-k1", "public", "kilt", RefusalCode.UNAUTHENTICATED);
    }

    @Test
    void anOpenRouteWithoutAKeyRunsForTheRoutesOwner() {
        ResolvedRequest resolved = resolve("", "public", "kilt").get();

        assertThat(resolved.customer().customer()).isEqualTo("atlas");
        assertThat(resolved.keyId()).isEmpty();
    }

    @Test
    void aRouteThatIsNotOpenNeedsAKey() {
        assertRefused("", "completions", "summary", RefusalCode.UNAUTHENTICATED);
    }

    @Test
    void aModelRouteNeedsAnAdapter() {
        assertRefused("hash-k1", "completions", "", RefusalCode.NOT_FOUND);
    }

    @Test
    void aPlainServiceNeedsNoAdapter() {
        assertThat(resolve("hash-k1", "bookings", "").get().version()).isEmpty();
    }

    private void assertRefused(String hash, String route, String model, RefusalCode code) {
        Refusal refusal = resolve(hash, route, model).getLeft();
        assertThat(refusal.code()).isEqualTo(code);
        assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
    }

    private Either<Refusal, ResolvedRequest> resolve(String hash, String route, String model) {
        Payload payload = new Payload("POST", "/", Map.of(), ByteString.EMPTY);
        CallerRequest request = new CallerRequest(hash, route, model, 1, 1, 0, false, 0, payload);
        return RequestResolver.resolve(request, mSettings, NOW);
    }
}
