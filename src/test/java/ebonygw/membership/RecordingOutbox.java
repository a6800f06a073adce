package ebonygw.membership;

import ebonygw.keyvalue.KeyValueCall;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.ArrayList;
import java.util.List;

/** Records the key-value requests and messages that are sent. */
final class RecordingOutbox implements Outbox {
    final List<KeyValueCall> mRequests = new ArrayList<>();
    final List<Message> mMessages = new ArrayList<>();
    final List<NodeId> mReceivers = new ArrayList<>();
    private long mLastRequestId;

    @Override
    public void keyValue(long requestId, KeyValueCall request) {
        mLastRequestId = requestId;
        mRequests.add(request);
    }

    @Override
    public void send(NodeId to, Message message) {
        mReceivers.add(to);
        mMessages.add(message);
    }

    KeyValueCall lastRequest() {
        return mRequests.get(mRequests.size() - 1);
    }

    long lastRequestId() {
        return mLastRequestId;
    }
}
