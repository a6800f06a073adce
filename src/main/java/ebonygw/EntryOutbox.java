package ebonygw;

import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Emits the effects of an entry node, to the consumer of the event being handled. Not thread-safe.
 */
final class EntryOutbox implements Outbox {
    private Consumer<EntryEffect> mEffects;

    /** Sets the consumer of the effects of the next event. */
    void attach(Consumer<EntryEffect> effects) {
        mEffects = effects;
    }

    /** Emits an effect. */
    void effect(EntryEffect effect) {
        mEffects.accept(effect);
    }

    @Override
    public void sendKeyValueRequest(long requestId, KeyValueRequest request) {
        mEffects.accept(new EntryEffect.KeyValue(requestId, request));
    }

    /** Logs an event; {@code fields} alternates names and values. */
    void log(String event, Object... fields) {
        mEffects.accept(new EntryEffect.Log(event, fields(fields)));
    }

    @Override
    public void send(NodeId to, Message message) {
        mEffects.accept(new EntryEffect.Send(to, message));
    }

    /** Returns alternating names and values as a map in the same order. */
    static Map<String, String> fields(Object... fields) {
        Map<String, String> map = new LinkedHashMap<>();
        for (int i = 0; i + 1 < fields.length; i += 2) {
            map.put(String.valueOf(fields[i]), String.valueOf(fields[i + 1]));
        }
        return map;
    }
}
