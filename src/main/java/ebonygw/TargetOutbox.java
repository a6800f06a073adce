package ebonygw;

import ebonygw.keyvalue.KeyValueCall;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.function.Consumer;

/** Collects the effects of a target node while it handles one event. Not thread-safe. */
final class TargetOutbox implements Outbox {
    private Consumer<TargetEffect> mEffects;

    /** Directs the effects of the next event. */
    void attach(Consumer<TargetEffect> effects) {
        mEffects = effects;
    }

    /** Emits an effect. */
    void effect(TargetEffect effect) {
        mEffects.accept(effect);
    }

    @Override
    public void keyValue(long callId, KeyValueCall call) {
        mEffects.accept(new TargetEffect.KeyValue(callId, call));
    }

    /** Logs an event with its fields as alternating names and values. */
    void log(String event, Object... fields) {
        mEffects.accept(new TargetEffect.Log(event, EntryOutbox.fields(fields)));
    }

    @Override
    public void send(NodeId to, Message message) {
        mEffects.accept(new TargetEffect.Send(to, message));
    }
}
