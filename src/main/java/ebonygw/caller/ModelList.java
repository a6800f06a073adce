package ebonygw.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.settings.AdapterSettings;
import ebonygw.settings.KeySettings;
import ebonygw.settings.SettingsView;
import io.vavr.control.Either;
import java.util.Comparator;

/** Creates the JSON list of the adapters that a caller may use. */
final class ModelList {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ModelList() {}

    /**
     * Returns the list of the customer that owns a key, or a refusal if the key is unknown or
     * expired.
     *
     * @param keyHash hash of the API key, empty if the request has none
     * @param settings latest settings
     * @param nowMillis current time, in milliseconds since the Unix epoch
     */
    static Either<Refusal, String> json(String keyHash, SettingsView settings, long nowMillis) {
        return settings.keyByHash(keyHash)
                .filter(key -> key.endsAtEpochMillis() > nowMillis)
                .map(KeySettings::customer)
                .map(customer -> Either.<Refusal, String>right(list(customer, settings)))
                .orElseGet(
                        () ->
                                Either.left(
                                        Refusal.notRun(
                                                RefusalCode.UNAUTHENTICATED, "no valid key")));
    }

    private static String list(String customer, SettingsView settings) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("object", "list");
        ArrayNode data = root.putArray("data");
        settings.adaptersOf(customer).stream()
                .sorted(Comparator.comparing(AdapterSettings::adapter))
                .forEach(
                        adapter -> {
                            ObjectNode entry = data.addObject();
                            entry.put("id", adapter.adapter());
                            entry.put("object", "model");
                            entry.put("parent", adapter.model());
                            entry.put("default_version", adapter.defaultVersion());
                            ArrayNode versions = entry.putArray("versions");
                            adapter.versions().stream().sorted().forEach(versions::add);
                        });
        try {
            return MAPPER.writeValueAsString(root);
        } catch (JsonProcessingException cause) {
            throw new IllegalStateException(cause);
        }
    }
}
