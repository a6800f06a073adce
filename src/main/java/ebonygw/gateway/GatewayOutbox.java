package ebonygw.gateway;

import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.log.LogLine;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.function.Consumer;

/** Passes effects on to the consumer of the event being handled. Not thread-safe. */
final class GatewayOutbox implements Outbox {
    private Consumer<GatewayEffect> mEffects = effect -> {};

    void effect(GatewayEffect effect) {
        mEffects.accept(effect);
    }

    @Override
    public void sendKeyValueRequest(long requestId, KeyValueRequest call) {
        mEffects.accept(new GatewayEffect.KeyValue(requestId, call));
    }

    void log(LogLine line) {
        mEffects.accept(new GatewayEffect.Log(line));
    }

    @Override
    public void send(NodeId to, Message message) {
        mEffects.accept(new GatewayEffect.Send(to, message));
    }

    /** Sets the consumer that receives all further effects. */
    void setConsumer(Consumer<GatewayEffect> effects) {
        mEffects = effects;
    }
}
