package ebonygw.settings;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueCall;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.protocol.Outbox;
import java.io.IOException;
import java.util.Optional;

/**
 * Reads the newest snapshot from the key-value service, one part after the other.
 *
 * <p>Gives up on any failure; the next gap in the log starts it again. Not thread-safe.
 */
final class SnapshotLoader {
    private final SettingsReplica mReplica;
    private long mCall;
    private SnapshotHead mHead;
    private SnapshotAssembly mAssembly;

    SnapshotLoader(SettingsReplica replica) {
        mReplica = replica;
    }

    /** Returns whether nothing is being read. */
    boolean idle() {
        return mCall == 0;
    }

    boolean onReply(long callId, KeyValueReply reply, Outbox out) {
        if (mCall == 0 || callId != mCall) {
            return false;
        }
        mCall = 0;
        if (!(reply instanceof KeyValueReply.Found found) || found.entries().isEmpty()) {
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

    /** Starts to read the newest snapshot. */
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
            mReplica.fault("unreadable snapshot: " + e.getMessage());
        }
    }

    private void onPart(ByteString value, Outbox out) {
        mAssembly.add(mAssembly.firstMissing(), value);
        if (!mAssembly.complete()) {
            readPart(out);
            return;
        }
        mHead = null;
        Optional<SettingsState> state = mAssembly.restore();
        if (state.isPresent()) {
            mReplica.install(state.get(), null, out);
        } else {
            mReplica.fault("damaged snapshot in the key-value service");
        }
    }

    private void read(String key, Outbox out) {
        mCall = mReplica.callIds().next();
        out.keyValue(mCall, new KeyValueCall.Range(key, "", 0));
    }

    private void readPart(Outbox out) {
        read(SettingsKeys.part(mHead.snapshotId(), mAssembly.firstMissing()), out);
    }
}
