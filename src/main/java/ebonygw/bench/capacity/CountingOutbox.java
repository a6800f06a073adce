package ebonygw.bench.capacity;

import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;

/** Counts sent messages, their bytes on the wire and requests to the key-value service. */
final class CountingOutbox implements Outbox {
    private long mMessages;
    private long mBytes;
    private long mKeyValueRequests;

    @Override
    public void sendKeyValueRequest(long requestId, KeyValueRequest request) {
        mKeyValueRequests++;
    }

    @Override
    public void send(NodeId to, Message message) {
        mMessages++;
        mBytes += Meter.wireBytes(message);
    }

    long bytes() {
        return mBytes;
    }

    long keyValueRequests() {
        return mKeyValueRequests;
    }

    long messages() {
        return mMessages;
    }

    void reset() {
        mMessages = 0;
        mBytes = 0;
        mKeyValueRequests = 0;
    }
}
