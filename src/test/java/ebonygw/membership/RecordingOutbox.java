package ebonygw.membership;

import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.ArrayList;
import java.util.List;

/** Records the key-value requests and messages that are sent. */
final class RecordingOutbox implements Outbox {
    final List<KeyValueRequest> mRequests = new ArrayList<>();
    final List<Message> mMessages = new ArrayList<>();
    final List<NodeId> mReceivers = new ArrayList<>();
    private long mLastRequestId;

    @Override
    public void sendKeyValueRequest(long requestId, KeyValueRequest request) {
        mLastRequestId = requestId;
        mRequests.add(request);
    }

    @Override
    public void send(NodeId to, Message message) {
        mReceivers.add(to);
        mMessages.add(message);
    }

    KeyValueRequest lastRequest() {
        return mRequests.get(mRequests.size() - 1);
    }

    long lastRequestId() {
        return mLastRequestId;
    }
}
