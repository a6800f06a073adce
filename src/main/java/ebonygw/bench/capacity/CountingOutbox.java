package ebonygw.bench.capacity;

import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;

/** Counts messages, their bytes on the wire and calls of the key-value service. */
final class CountingOutbox implements Outbox {
    private long mMessages;
    private long mBytes;
    private long mCalls;

    @Override
    public void sendKeyValueRequest(long callId, KeyValueRequest call) {
        mCalls++;
    }

    @Override
    public void send(NodeId to, Message message) {
        mMessages++;
        mBytes += Meter.wireBytes(message);
    }

    long bytes() {
        return mBytes;
    }

    long calls() {
        return mCalls;
    }

    long messages() {
        return mMessages;
    }

    void reset() {
        mMessages = 0;
        mBytes = 0;
        mCalls = 0;
    }
}
