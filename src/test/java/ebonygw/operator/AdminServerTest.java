package ebonygw.operator;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import ebonygw.cli.Command;
import ebonygw.cli.Main;
import ebonygw.settings.CallerKeys;
import ebonygw.settings.ChangeOutcome;
import ebonygw.settings.Edit;
import ebonygw.settings.SettingsChange;
import ebonygw.settings.SettingsFixtures;
import ebonygw.settings.SettingsJson;
import ebonygw.settings.SettingsState;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class AdminServerTest {
    private static final String TOKEN = "egw_operator-token";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @TempDir Path mFolder;
    private final AtomicReference<SettingsState> mState =
            new AtomicReference<>(
                    SettingsFixtures.with(SettingsState.EMPTY, "base", SettingsFixtures.base()));
    private ChangeOutcome mForcedOutcome;
    private AdminServer mServer;
    private String mOut;
    private String mErr;

    @BeforeEach
    void start() throws Exception {
        Path credentials = mFolder.resolve("credentials");
        Files.writeString(credentials, "# operators\nada " + CallerKeys.hash(TOKEN) + "\n");
        Files.writeString(mFolder.resolve("token"), TOKEN + "\n");
        Files.writeString(mFolder.resolve("wrong"), "egw_other\n");
        mServer =
                new AdminServer(
                        new AdminServerOptions(new InetSocketAddress("127.0.0.1", 0), credentials),
                        mState::get,
                        this::decide,
                        version -> false);
    }

    @AfterEach
    void stop() {
        mServer.close();
    }

    @Test
    void aFieldIsSetExplainedAndReverted() throws Exception {
        JsonNode set = ok("settings", "set", "customer/c0", "rate", "70", "--comment", "less");
        assertThat(set.path("revision").asLong()).isEqualTo(2);

        JsonNode explained = ok("settings", "explain", "customer/c0", "rate");
        assertThat(explained.path("explanations").path(0).path("origin").asText())
                .isEqualTo("customer/c0");
        assertThat(explained.path("explanations").path(0).path("revision").asLong()).isEqualTo(2);

        JsonNode difference = ok("settings", "diff", "1", "2");
        assertThat(difference.path("differences").path(0).path("after").asText()).isEqualTo("70");

        ok("settings", "revert", "2");
        assertThat(mState.get().view().customer("c0").orElseThrow().ratePerSecond())
                .isEqualTo(1000);
        JsonNode history = ok("settings", "history");
        assertThat(history.path("changes")).hasSize(3);
        assertThat(history.path("changes").path(1).path("author").asText()).isEqualTo("ada");
    }

    @Test
    void aDryRunListsTheAffectedCustomersAndChangesNothing() throws Exception {
        JsonNode shown = ok("settings", "set", "region/kingston", "burst", "9", "--dry-run");

        assertThat(shown.path("customers").toString()).isEqualTo("[\"c1\"]");
        JsonNode effect = shown.path("effects").path(0);
        assertThat(effect.path("before").path("burst").asLong()).isEqualTo(5000);
        assertThat(effect.path("after").path("burst").asLong()).isEqualTo(9);
        assertThat(mState.get().revision()).isEqualTo(1);
    }

    @Test
    void aRefusedFileOfEditsIsReportedWithAllReasons() throws Exception {
        List<Edit> edits = new ArrayList<>();
        edits.add(new Edit.Remove(SettingsFixtures.customer(7)));
        edits.add(new Edit.Remove(SettingsFixtures.REGION));
        Path file = mFolder.resolve("edits.json");
        Files.writeString(file, SettingsJson.writeEdits(edits).toString());

        int status = run("settings", "apply", file.toString());

        assertThat(status).isEqualTo(Command.FAILED);
        assertThat(MAPPER.readTree(mOut).path("reasons")).hasSize(2);
    }

    @Test
    void anIssuedKeyIsShownOnceAndIsValidUntilWithdrawn() throws Exception {
        JsonNode issued = ok("keys", "issue", "c0", "--ends", "2999-01-01T00:00:00Z");
        String key = issued.path("key").asText();
        String keyId = issued.path("keyId").asText();
        assertThat(mState.get().view().keyByHash(CallerKeys.hash(key))).isPresent();

        JsonNode listed = ok("keys", "list", "c0");
        assertThat(listed.path("keys")).hasSize(1);
        assertThat(mOut).doesNotContain(key).doesNotContain(CallerKeys.hash(key));

        ok("keys", "withdraw", keyId);
        assertThat(mState.get().view().keyByHash(CallerKeys.hash(key))).isEmpty();
        assertThat(run("settings", "revert", "3")).isEqualTo(Command.FAILED);
    }

    @Test
    void anUnavailableOutcomeStatesWhetherTheChangeMayHaveTakenEffect() throws Exception {
        mForcedOutcome = new ChangeOutcome.Unavailable(true, "timeout");
        assertThat(run("settings", "set", "customer/c0", "rate", "70")).isEqualTo(Command.FAILED);
        assertThat(MAPPER.readTree(mOut).path("mayHaveTakenEffect").asBoolean()).isTrue();

        mForcedOutcome = new ChangeOutcome.Unavailable(false, "down");
        run("settings", "set", "customer/c0", "rate", "70");
        assertThat(mOut).contains("nothing was changed");
    }

    @Test
    void aRequestWithAnInvalidTokenIsUnauthorizedAndRevealsNoSettings() {
        assertThat(runWithToken("wrong", "settings", "get")).isEqualTo(Command.FAILED);
        assertThat(mOut).contains("unauthorized").doesNotContain("c0");
    }

    @Test
    void invalidArgumentsEndWithTheUsageStatus() {
        assertThat(run("settings", "set", "customer/c0", "rat", "70")).isEqualTo(Command.USAGE);
        assertThat(mErr).contains("unknown field rat");
        assertThat(run("keys", "withdraw", "../x")).isEqualTo(Command.USAGE);
    }

    private CompletableFuture<ChangeOutcome> decide(SettingsChange change) {
        if (mForcedOutcome != null) {
            return CompletableFuture.completedFuture(mForcedOutcome);
        }
        var preview = mState.get().preview(change, version -> false);
        if (preview.isLeft()) {
            return CompletableFuture.completedFuture(new ChangeOutcome.Refused(preview.getLeft()));
        }
        mState.set(mState.get().apply(preview.get().logged()).get());
        return CompletableFuture.completedFuture(
                new ChangeOutcome.Accepted(mState.get().revision()));
    }

    private JsonNode ok(String... args) throws Exception {
        int status = run(args);
        assertThat(status).as("%s %s", mOut, mErr).isEqualTo(Command.OK);
        return MAPPER.readTree(mOut);
    }

    private int run(String... args) {
        return runWithToken("token", args);
    }

    private int runWithToken(String token, String... args) {
        List<String> line = new ArrayList<>(List.of(args));
        line.add("--admin");
        line.add(mServer.endpoint().toString());
        line.add("--token-file");
        line.add(mFolder.resolve(token).toString());
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        try {
            return Main.run(line, new PrintStream(out), new PrintStream(err));
        } catch (Exception e) {
            throw new AssertionError(e);
        } finally {
            mOut = out.toString(StandardCharsets.UTF_8);
            mErr = err.toString(StandardCharsets.UTF_8);
        }
    }
}
