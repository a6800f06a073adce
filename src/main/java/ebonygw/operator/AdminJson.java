package ebonygw.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ebonygw.settings.ChangeOutcome;
import ebonygw.settings.ChangeRecord;
import ebonygw.settings.Edit;
import ebonygw.settings.EffectiveChange;
import ebonygw.settings.Explanation;
import ebonygw.settings.IssuedKey;
import ebonygw.settings.Reason;
import ebonygw.settings.SettingsJson;
import ebonygw.settings.SettingsState;
import ebonygw.settings.SettingsTree;
import ebonygw.settings.TreeDifference;
import ebonygw.settings.TreeNode;
import io.undertow.util.StatusCodes;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Builds the JSON of the administration API's responses. */
final class AdminJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Maximum number of effects, and of edits of a change, in a response. */
    private static final int MAX_LISTED_ITEMS = 200;

    private AdminJson() {}

    static ObjectNode difference(long from, long to, List<TreeDifference> differences) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("from", from);
        json.put("to", to);
        ArrayNode list = json.putArray("differences");
        for (TreeDifference difference : differences) {
            ObjectNode item = list.addObject();
            item.put("node", difference.node().toString());
            item.put("what", difference.what());
            difference.before().ifPresent(text -> item.put("before", text));
            difference.after().ifPresent(text -> item.put("after", text));
        }
        return json;
    }

    static AdminResponse error(int status, String code, String detail) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("outcome", code);
        json.put("detail", detail);
        return new AdminResponse(status, json);
    }

    static ObjectNode explanation(Explanation explanation) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("node", explanation.node().toString());
        json.put("field", explanation.field().jsonName());
        json.set("value", SettingsJson.writeValue(explanation.value()));
        json.put("unit", explanation.field().unit());
        json.put("origin", explanation.origin().map(Object::toString).orElse("default"));
        json.put("revision", explanation.revision());
        return json;
    }

    static ObjectNode key(IssuedKey key) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("keyId", key.settings().keyId());
        json.put("customer", key.settings().customer());
        long ends = key.settings().endsAtEpochMillis();
        json.put("ends", ends == Long.MAX_VALUE ? "never" : Instant.ofEpochMilli(ends).toString());
        json.put("issuedAtRevision", key.issuedAtRevision());
        json.put("withdrawnAtRevision", key.withdrawnAtRevision());
        return json;
    }

    static ObjectNode node(SettingsTree tree, TreeNode node) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("node", node.key().toString());
        if (node.parent() != null) {
            json.put("parent", node.parent().toString());
        }
        ObjectNode own = json.putObject("fields");
        new TreeMap<>(node.fields())
                .forEach(
                        (field, setting) ->
                                own.set(
                                        field.jsonName(),
                                        SettingsJson.writeValue(setting.value())));
        ObjectNode effective = json.putObject("effective");
        for (ebonygw.settings.Field field : ebonygw.settings.Field.values()) {
            if (field.users().contains(node.key().kind())) {
                effective.set(
                        field.jsonName(),
                        SettingsJson.writeValue(tree.explain(node.key(), field).value()));
            }
        }
        return json;
    }

    static AdminResponse outcome(String changeId, ChangeOutcome outcome) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("id", changeId);
        if (outcome instanceof ChangeOutcome.Accepted accepted) {
            json.put("outcome", "accepted");
            json.put("revision", accepted.revision());
            return new AdminResponse(StatusCodes.OK, json);
        }
        if (outcome instanceof ChangeOutcome.Conflict conflict) {
            json.put("outcome", "conflict");
            json.put("mayHaveTakenEffect", false);
            json.put("base", conflict.baseRevision());
            ArrayNode others = json.putArray("others");
            conflict.others().forEach(other -> others.add(record(other)));
            return new AdminResponse(StatusCodes.CONFLICT, json);
        }
        if (outcome instanceof ChangeOutcome.Refused refused) {
            json.put("outcome", "refused");
            json.put("mayHaveTakenEffect", false);
            reasons(refused.reasons(), json.putArray("reasons"));
            return new AdminResponse(StatusCodes.UNPROCESSABLE_ENTITY, json);
        }
        ChangeOutcome.Unavailable unavailable = (ChangeOutcome.Unavailable) outcome;
        json.put("outcome", "unavailable");
        json.put("mayHaveTakenEffect", unavailable.mayHaveTakenEffect());
        json.put(
                "detail",
                unavailable.mayHaveTakenEffect()
                        ? "the change may have taken effect; ask for its status by its id, or"
                                + " submit it again with the same id: "
                                + unavailable.detail()
                        : "nothing was changed: " + unavailable.detail());
        return new AdminResponse(StatusCodes.SERVICE_UNAVAILABLE, json);
    }

    static ObjectNode preview(SettingsState.Preview preview) {
        ObjectNode json = MAPPER.createObjectNode();
        ChangeRecord record = preview.logged().record();
        json.put("outcome", "dryRun");
        json.put("revision", record.revision());
        List<EffectiveChange> effects = preview.effects();
        Set<String> customers = new TreeSet<>();
        boolean mayAffectEveryCustomer = false;
        for (EffectiveChange effect : effects) {
            mayAffectEveryCustomer |= effect.customer().isEmpty();
            if (!effect.customer().isEmpty()) {
                customers.add(effect.customer());
            }
        }
        ArrayNode keys = json.putArray("keys");
        for (Edit edit : record.change().edits()) {
            if (edit instanceof Edit.IssueKey issue) {
                customers.add(issue.key().customer());
                keys.add("issued " + issue.key().keyId());
            } else if (edit instanceof Edit.WithdrawKey withdraw) {
                keys.add("withdrawn " + withdraw.keyId());
            }
        }
        json.put("mayAffectEveryCustomer", mayAffectEveryCustomer);
        ArrayNode names = json.putArray("customers");
        customers.forEach(names::add);
        json.put("effectCount", effects.size());
        ArrayNode list = json.putArray("effects");
        effects.stream().limit(MAX_LISTED_ITEMS).forEach(effect -> list.add(effect(effect)));
        return json;
    }

    static void reasons(Collection<Reason> reasons, ArrayNode list) {
        for (Reason reason : reasons) {
            list.addObject().put("subject", reason.subject()).put("detail", reason.detail());
        }
    }

    static ObjectNode record(ChangeRecord record) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("revision", record.revision());
        json.put("id", record.change().id());
        json.put("author", record.change().author());
        json.put("comment", record.change().comment());
        json.put("at", Instant.ofEpochMilli(record.change().atEpochMillis()).toString());
        json.put("revertible", record.revertible());
        ArrayNode edits = SettingsJson.writeEdits(record.change().edits());
        json.put("editCount", edits.size());
        ArrayNode shown = json.putArray("edits");
        for (int i = 0; i < Math.min(MAX_LISTED_ITEMS, edits.size()); i++) {
            shown.add(edits.get(i));
        }
        return json;
    }

    static ObjectNode staged(SettingsState state) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("pending", state.tree().staged().isPresent());
        state.tree()
                .staged()
                .ifPresent(
                        staged -> {
                            ArrayNode where = json.putArray("where");
                            new TreeSet<>(staged.where()).forEach(where::add);
                            json.put("held", staged.held());
                            json.put("revision", staged.revision());
                            json.set("edits", SettingsJson.writeEdits(staged.edits()));
                        });
        return json;
    }

    private static ObjectNode effect(EffectiveChange effect) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("node", effect.node().toString());
        json.put("customer", effect.customer());
        effect.before().ifPresent(before -> json.set("before", MAPPER.valueToTree(before)));
        effect.after().ifPresent(after -> json.set("after", MAPPER.valueToTree(after)));
        return json;
    }
}
