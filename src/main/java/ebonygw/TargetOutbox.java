package ebonygw;

import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.function.Consumer;

/**
 * Emits the effects of a target node, to the consumer of the event being handled. Not thread-safe.
 */
final class TargetOutbox implements Outbox {
    private Consumer<TargetEffect> mEffects;

    /** Sets the consumer of the effects of the next event. */
    void attach(Consumer<TargetEffect> effects) {
        mEffects = effects;
    }

    /** Emits an effect. */
    void effect(TargetEffect effect) {
        mEffects.accept(effect);
    }

    @Override
    public void sendKeyValueRequest(long requestId, KeyValueRequest request) {
        mEffects.accept(new TargetEffect.KeyValue(requestId, request));
    }

    /** Logs an event; {@code fields} alternates names and values. */
    void log(String event, Object... fields) {
        mEffects.accept(new TargetEffect.Log(event, EntryOutbox.fields(fields)));
    }

    @Override
    public void send(NodeId to, Message message) {
        mEffects.accept(new TargetEffect.Send(to, message));
    }
}
