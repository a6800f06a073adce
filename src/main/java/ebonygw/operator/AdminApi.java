package ebonygw.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ebonygw.request.AdapterVersion;
import ebonygw.settings.CallerKeys;
import ebonygw.settings.ChangeOutcome;
import ebonygw.settings.Edit;
import ebonygw.settings.Field;
import ebonygw.settings.LoggedChange;
import ebonygw.settings.NodeKey;
import ebonygw.settings.Reason;
import ebonygw.settings.Reversal;
import ebonygw.settings.SettingsChange;
import ebonygw.settings.SettingsJson;
import ebonygw.settings.SettingsState;
import ebonygw.settings.SettingsTree;
import ebonygw.settings.TreeDifference;
import ebonygw.settings.TreeNode;
import io.undertow.util.StatusCodes;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Implements the operations of the administration API, independent of the HTTP server.
 *
 * <p>Reads are served at once from the settings state of this process; changes are submitted to the
 * control thread. Thread-safe.
 */
final class AdminApi {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int DEFAULT_HISTORY_LIMIT = 20;

    private final Supplier<SettingsState> mState;
    private final ChangeSubmitter mSubmitter;
    private final Predicate<AdapterVersion> mInUse;
    private final LongSupplier mEpochMillis;
    private final RandomGenerator mRandom;

    AdminApi(
            Supplier<SettingsState> state,
            ChangeSubmitter submitter,
            Predicate<AdapterVersion> inUse,
            LongSupplier epochMillis,
            RandomGenerator random) {
        mState = Objects.requireNonNull(state, "state");
        mSubmitter = Objects.requireNonNull(submitter, "submitter");
        mInUse = Objects.requireNonNull(inUse, "inUse");
        mEpochMillis = Objects.requireNonNull(epochMillis, "epochMillis");
        mRandom = Objects.requireNonNull(random, "random");
    }

    /**
     * Handles a request; the future completes with the response.
     *
     * @param author name of the authenticated operator, recorded as author of a change
     * @param method HTTP method
     * @param path request path without the query string
     * @param query query parameters
     * @param body request body, empty if there is none
     */
    CompletableFuture<AdminResponse> handle(
            String author, String method, String path, Map<String, String> query, byte[] body) {
        try {
            if (method.equals("GET")) {
                return CompletableFuture.completedFuture(read(path, query));
            }
            if (!method.equals("POST")) {
                return completed(
                        AdminJson.error(
                                StatusCodes.METHOD_NOT_ALLOWED, "badMethod", "GET or POST"));
            }
            JsonNode json = MAPPER.readTree(body);
            if (json == null || !json.isObject()) {
                return completed(badRequest("the body is not a JSON object"));
            }
            return write(author, path, json);
        } catch (IOException | IllegalArgumentException e) {
            return completed(badRequest(e.getMessage()));
        }
    }

    private static AdminResponse badRequest(String detail) {
        return AdminJson.error(StatusCodes.BAD_REQUEST, "badRequest", detail);
    }

    private static CompletableFuture<AdminResponse> completed(AdminResponse response) {
        return CompletableFuture.completedFuture(response);
    }

    private static long numberParameter(Map<String, String> query, String name, long defaultValue) {
        String text = query.get(name);
        if (text == null) {
            return defaultValue;
        }
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(name + " is not a number: " + text, e);
        }
    }

    private static String requiredParameter(Map<String, String> query, String name) {
        String text = query.get(name);
        if (text == null || text.isEmpty()) {
            throw new IllegalArgumentException("missing parameter " + name);
        }
        return text;
    }

    private AdminResponse changeStatus(String changeId) {
        Optional<LoggedChange> found =
                mState.get().history().stream()
                        .filter(logged -> logged.record().change().id().equals(changeId))
                        .findFirst();
        if (found.isPresent()) {
            return AdminJson.outcome(changeId, new ChangeOutcome.Accepted(found.get().revision()));
        }
        return AdminJson.error(
                StatusCodes.NOT_FOUND,
                "unknown",
                "not in the log up to revision "
                        + mState.get().revision()
                        + " as far as it is kept");
    }

    private AdminResponse diff(Map<String, String> query) {
        SettingsState state = mState.get();
        long to = numberParameter(query, "to", state.revision());
        long from = numberParameter(query, "from", Math.max(0, to - 1));
        Optional<SettingsTree> before = state.treeAt(from);
        Optional<SettingsTree> after = state.treeAt(to);
        if (before.isEmpty() || after.isEmpty()) {
            return AdminJson.error(
                    StatusCodes.NOT_FOUND, "unknown", "the log is not kept that far back");
        }
        return ok(
                AdminJson.difference(from, to, TreeDifference.between(before.get(), after.get())));
    }

    private AdminResponse explain(Map<String, String> query) {
        NodeKey node = NodeKey.parse(requiredParameter(query, "node"));
        SettingsTree tree = mState.get().tree();
        if (tree.node(node).isEmpty()) {
            return AdminJson.error(StatusCodes.NOT_FOUND, "unknown", "no such node: " + node);
        }
        ArrayNode list = MAPPER.createArrayNode();
        String fieldName = query.getOrDefault("field", "");
        for (Field field : Field.values()) {
            boolean selected =
                    fieldName.isEmpty()
                            ? field.users().contains(node.kind())
                            : field.jsonName().equals(fieldName);
            if (selected) {
                list.add(AdminJson.explanation(tree.explain(node, field)));
            }
        }
        if (list.isEmpty()) {
            throw new IllegalArgumentException("unknown field " + fieldName);
        }
        ObjectNode json = MAPPER.createObjectNode();
        json.set("explanations", list);
        return ok(json);
    }

    private AdminResponse history(Map<String, String> query) {
        long limit = numberParameter(query, "limit", DEFAULT_HISTORY_LIMIT);
        List<LoggedChange> history = mState.get().history();
        ObjectNode json = MAPPER.createObjectNode();
        json.put("revision", mState.get().revision());
        ArrayNode list = json.putArray("changes");
        int first = (int) Math.max(0, history.size() - Math.max(0, limit));
        for (int i = history.size() - 1; i >= first; i--) {
            list.add(AdminJson.record(history.get(i).record()));
        }
        return ok(json);
    }

    /**
     * Issues a key. The secret is returned only if the change was accepted; if the outcome is
     * uncertain, only the key id is, so that the operator can withdraw the key.
     */
    private CompletableFuture<AdminResponse> issueKey(String author, JsonNode json) {
        String customer = json.path("customer").asText("");
        long endsAtEpochMillis = json.path("endsAtEpochMillis").asLong(Long.MAX_VALUE);
        CallerKeys.NewKey key = CallerKeys.make(customer, endsAtEpochMillis, mRandom);
        List<Edit> edits = List.of(new Edit.IssueKey(key.settings()));
        return submit(author, json, -1, edits)
                .thenApply(
                        response -> {
                            ObjectNode body = (ObjectNode) response.body();
                            if (body.path("mayHaveTakenEffect").asBoolean(false)) {
                                body.put("keyId", key.settings().keyId());
                            } else if (body.path("outcome").asText().equals("accepted")) {
                                body.put("keyId", key.settings().keyId());
                                body.put("key", key.secret());
                            }
                            return response;
                        });
    }

    private AdminResponse keys(Map<String, String> query) {
        String customer = query.getOrDefault("customer", "");
        ObjectNode json = MAPPER.createObjectNode();
        ArrayNode list = json.putArray("keys");
        mState.get().tree().issuedKeys().stream()
                .filter(key -> customer.isEmpty() || key.settings().customer().equals(customer))
                .sorted(Comparator.comparingLong(key -> key.issuedAtRevision()))
                .forEach(key -> list.add(AdminJson.key(key)));
        return ok(json);
    }

    private AdminResponse nodes(Map<String, String> query) {
        SettingsState state = mState.get();
        if (query.containsKey("node")) {
            NodeKey key = NodeKey.parse(query.get("node"));
            Optional<TreeNode> node = state.tree().node(key);
            if (node.isEmpty()) {
                return AdminJson.error(StatusCodes.NOT_FOUND, "unknown", "no such node: " + key);
            }
            ObjectNode json = AdminJson.node(state.tree(), node.get());
            return ok(json.put("revision", state.revision()));
        }
        ObjectNode json = MAPPER.createObjectNode();
        json.put("revision", state.revision());
        ArrayNode list = json.putArray("nodes");
        state.tree().nodes().stream()
                .sorted(Comparator.comparing(TreeNode::key))
                .forEach(node -> list.add(AdminJson.node(state.tree(), node)));
        return ok(json);
    }

    private static AdminResponse ok(ObjectNode json) {
        return new AdminResponse(StatusCodes.OK, json);
    }

    private AdminResponse read(String path, Map<String, String> query) {
        if (path.startsWith("/v1/changes/")) {
            return changeStatus(path.substring("/v1/changes/".length()));
        }
        return switch (path) {
            case "/v1/settings" -> nodes(query);
            case "/v1/explain" -> explain(query);
            case "/v1/history" -> history(query);
            case "/v1/diff" -> diff(query);
            case "/v1/keys" -> keys(query);
            case "/v1/staged" -> ok(AdminJson.staged(mState.get()));
            default -> AdminJson.error(StatusCodes.NOT_FOUND, "unknown", "no such path");
        };
    }

    private CompletableFuture<AdminResponse> revert(String author, JsonNode json) {
        long revision = json.path("revision").asLong(0);
        SettingsState state = mState.get();
        Either<List<Reason>, List<Edit>> edits = Reversal.of(state, revision);
        if (edits.isLeft()) {
            return completed(AdminJson.outcome("", new ChangeOutcome.Refused(edits.getLeft())));
        }
        return submit(author, json, state.revision(), edits.get());
    }

    /** Submits a change, or previews it if the body asks for a dry run. */
    private CompletableFuture<AdminResponse> submit(
            String author, JsonNode json, long baseRevision, List<Edit> edits) {
        String id = json.path("id").asText("");
        if (id.isEmpty()) {
            id = HexFormat.of().toHexDigits(mRandom.nextLong());
            id += HexFormat.of().toHexDigits(mRandom.nextLong());
        }
        SettingsChange change =
                new SettingsChange(
                        id,
                        author,
                        json.path("comment").asText(""),
                        baseRevision,
                        mEpochMillis.getAsLong(),
                        edits);
        if (json.path("dryRun").asBoolean(false)) {
            Either<List<Reason>, SettingsState.Preview> preview =
                    mState.get().preview(change, mInUse);
            return completed(
                    preview.isRight()
                            ? ok(AdminJson.preview(preview.get()))
                            : AdminJson.outcome(id, new ChangeOutcome.Refused(preview.getLeft())));
        }
        return mSubmitter
                .submit(change)
                .thenApply(outcome -> AdminJson.outcome(change.id(), outcome));
    }

    private CompletableFuture<AdminResponse> write(String author, String path, JsonNode json)
            throws IOException {
        if (path.equals("/v1/changes")) {
            long baseRevision = json.path("base").asLong(mState.get().revision());
            return submit(author, json, baseRevision, SettingsJson.readEdits(json.path("edits")));
        }
        if (path.equals("/v1/revert")) {
            return revert(author, json);
        }
        if (path.equals("/v1/keys")) {
            return issueKey(author, json);
        }
        if (path.startsWith("/v1/keys/") && path.endsWith("/withdraw")) {
            String keyId =
                    path.substring("/v1/keys/".length(), path.length() - "/withdraw".length());
            return submit(author, json, -1, List.of(new Edit.WithdrawKey(keyId)));
        }
        return completed(AdminJson.error(StatusCodes.NOT_FOUND, "unknown", "no such path"));
    }
}
