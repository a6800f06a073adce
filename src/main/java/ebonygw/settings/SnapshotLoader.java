package ebonygw.settings;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.protocol.Outbox;
import java.io.IOException;
import java.util.Optional;

/**
 * Reads the newest snapshot from the key-value service, one part at a time.
 *
 * <p>Any failure ends the attempt; the next poll that finds a gap in the log starts a new one. Not
 * thread-safe.
 */
final class SnapshotLoader {
    private final SettingsReplica mReplica;
    private long mPendingRequestId;
    private SnapshotHead mHead;
    private SnapshotAssembly mAssembly;

    SnapshotLoader(SettingsReplica replica) {
        mReplica = replica;
    }

    /** Returns whether no read is in progress. */
    boolean isIdle() {
        return mPendingRequestId == 0;
    }

    boolean onResponse(long requestId, KeyValueResponse response, Outbox out) {
        if (mPendingRequestId == 0 || requestId != mPendingRequestId) {
            return false;
        }
        mPendingRequestId = 0;
        if (!(response instanceof KeyValueResponse.RangeResult found)
                || found.entries().isEmpty()) {
            mHead = null;
            return true;
        }
        ByteString value = found.entries().get(0).value();
        if (mHead == null) {
            onHead(value, out);
        } else {
            onPart(value, out);
        }
        return true;
    }

    /** Starts to read the newest snapshot, at its head. */
    void start(Outbox out) {
        mHead = null;
        read(SettingsKeys.HEAD, out);
    }

    private void onHead(ByteString value, Outbox out) {
        try {
            SnapshotHead head = SnapshotHead.read(value);
            boolean newer = head.revision() > mReplica.state().revision();
            if (newer && head.parts() <= SnapshotAssembly.MAX_PARTS) {
                mHead = head;
                mAssembly = new SnapshotAssembly(head.revision(), head.checksum(), head.parts());
                readPart(out);
            }
        } catch (IOException e) {
            mReplica.fault("cannot read the head of the snapshot: " + e.getMessage());
        }
    }

    private void onPart(ByteString value, Outbox out) {
        mAssembly.add(mAssembly.firstMissing(), value);
        if (!mAssembly.isComplete()) {
            readPart(out);
            return;
        }
        mHead = null;
        Optional<SettingsState> state = mAssembly.restore();
        if (state.isPresent()) {
            mReplica.install(state.get(), null, out);
        } else {
            mReplica.fault("the snapshot in the key-value service is damaged");
        }
    }

    private void read(String key, Outbox out) {
        mPendingRequestId = mReplica.requestIds().next();
        out.sendKeyValueRequest(mPendingRequestId, new KeyValueRequest.Range(key, "", 0));
    }

    private void readPart(Outbox out) {
        read(SettingsKeys.part(mHead.snapshotId(), mAssembly.firstMissing()), out);
    }
}
