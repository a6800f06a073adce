package ebonygw.membership;

import ebonygw.keyvalue.KeyValueCall;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.ArrayList;
import java.util.List;

/** Keeps what was sent and called. */
final class RecordingOutbox implements Outbox {
    final List<KeyValueCall> mCalls = new ArrayList<>();
    final List<Message> mMessages = new ArrayList<>();
    final List<NodeId> mReceivers = new ArrayList<>();
    private long mLastCallId;

    @Override
    public void keyValue(long callId, KeyValueCall call) {
        mLastCallId = callId;
        mCalls.add(call);
    }

    @Override
    public void send(NodeId to, Message message) {
        mReceivers.add(to);
        mMessages.add(message);
    }

    KeyValueCall lastCall() {
        return mCalls.get(mCalls.size() - 1);
    }

    long lastCallId() {
        return mLastCallId;
    }
}
