package ebonygw.settings;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueRequest.Compare;
import ebonygw.keyvalue.KeyValueRequest.Write;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.keyvalue.KeyValueResponse.Entry;
import ebonygw.protocol.Outbox;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Compacts the log in the key-value service: when it has grown by the snapshot interval, writes a
 * snapshot, then deletes old log entries and the parts of all other snapshots.
 *
 * <p>Several processes may do so at the same time: the head is replaced by compare-and-swap, on
 * condition that every part is still as this process wrote it. Any failure ends the attempt, and a
 * later attempt starts from the beginning. Not thread-safe.
 */
final class LogCompactor {
    /** Minimum interval between attempts; an attempt that takes longer is abandoned. */
    private static final long ATTEMPT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final long DELAY_PER_RANK_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int PART_BYTES = 512 * 1024;
    private static final int LOG_DELETE_BATCH = 64;
    private static final int PART_DELETE_BATCH = 4;

    private final SettingsReplica mReplica;
    private final SettingsReplicaOptions mOptions;

    /** Conditions of the write of the head: one on the old head, then one for each written part. */
    private final List<Compare> mConditions = new ArrayList<>();

    private Step mStep = Step.IDLE;
    private long mPendingRequestId;
    private long mAttemptAtNanos;
    private long mStartedNanos;
    private long mHeadRevision;
    private SnapshotHead mHead;
    private List<ByteString> mParts = List.of();

    LogCompactor(SettingsReplica replica, SettingsReplicaOptions options) {
        mReplica = replica;
        mOptions = options;
    }

    /**
     * Starts a compaction if one is due; called whenever the service has responded to a poll. A
     * watcher of a higher rank starts later, so that usually only one does the work.
     */
    void onContact(int rank, long nowNanos, Outbox out) {
        if (mStep != Step.IDLE && nowNanos - mStartedNanos > ATTEMPT_INTERVAL_NANOS) {
            mStep = Step.IDLE;
        }
        long revisionsSinceSnapshot = mReplica.state().revision() - mHeadRevision;
        if (mStep != Step.IDLE || revisionsSinceSnapshot < mOptions.snapshotInterval()) {
            return;
        }
        if (mAttemptAtNanos == 0) {
            mAttemptAtNanos = nowNanos + rank * DELAY_PER_RANK_NANOS;
        }
        if (nowNanos < mAttemptAtNanos) {
            return;
        }
        mAttemptAtNanos = nowNanos + ATTEMPT_INTERVAL_NANOS;
        mStartedNanos = nowNanos;
        mStep = Step.READ_HEAD;
        send(new KeyValueRequest.Range(SettingsKeys.HEAD, "", 0), out);
    }

    boolean onResponse(long requestId, KeyValueResponse response, Outbox out) {
        if (mPendingRequestId == 0 || requestId != mPendingRequestId) {
            return false;
        }
        mPendingRequestId = 0;
        Step step = mStep;
        mStep = Step.IDLE;
        if (response instanceof KeyValueResponse.RangeResult found) {
            onFound(step, found, out);
        } else if (response instanceof KeyValueResponse.TransactionResult committed
                && committed.succeeded()) {
            onCommitted(step, committed.revision(), out);
        }
        return true;
    }

    private void delete(Step step, List<Entry> entries, Outbox out) {
        mStep = step;
        List<Write> writes =
                entries.stream().map(entry -> new Write(entry.key(), null, 0)).toList();
        send(new KeyValueRequest.Transaction(List.of(), writes), out);
    }

    private void onCommitted(Step step, long revision, Outbox out) {
        if (step == Step.WRITE_PARTS) {
            int written = mConditions.size() - 1;
            String key = SettingsKeys.part(mHead.snapshotId(), written);
            mConditions.add(new Compare(key, revision));
            writeNext(out);
        } else if (step == Step.WRITE_HEAD) {
            mHeadRevision = mHead.revision();
            mAttemptAtNanos = 0;
            readTrimmableLog(out);
        } else if (step == Step.DELETE_LOG) {
            readTrimmableLog(out);
        } else if (step == Step.DELETE_PARTS) {
            readOtherParts(out);
        }
    }

    private void onFound(Step step, KeyValueResponse.RangeResult found, Outbox out) {
        if (step == Step.READ_HEAD) {
            onHead(found, out);
        } else if (step == Step.READ_LOG) {
            if (found.entries().isEmpty()) {
                readOtherParts(out);
            } else {
                delete(Step.DELETE_LOG, found.entries(), out);
            }
        } else if (step == Step.READ_PARTS) {
            String ownPrefix = SettingsKeys.PARTS + mHead.snapshotId() + "/";
            List<Entry> otherParts =
                    found.entries().stream().filter(e -> !e.key().startsWith(ownPrefix)).toList();
            if (!otherParts.isEmpty()) {
                delete(Step.DELETE_PARTS, otherParts, out);
            }
        }
    }

    private void onHead(KeyValueResponse.RangeResult found, Outbox out) {
        long headModRevision = 0;
        if (!found.entries().isEmpty()) {
            Entry entry = found.entries().get(0);
            headModRevision = entry.modRevision();
            try {
                mHeadRevision = SnapshotHead.read(entry.value()).revision();
            } catch (IOException e) {
                mReplica.fault("cannot read the head of the snapshot: " + e.getMessage());
            }
        }
        SettingsState state = mReplica.state();
        if (state.revision() - mHeadRevision < mOptions.snapshotInterval()) {
            mAttemptAtNanos = 0;
            return;
        }
        SettingsSnapshot snapshot = SettingsSnapshot.of(state);
        mParts = snapshot.parts(PART_BYTES);
        String id = String.format("%019d-%016x", state.revision(), mOptions.random().nextLong());
        mHead = new SnapshotHead(state.revision(), id, mParts.size(), snapshot.checksum());
        mConditions.clear();
        mConditions.add(new Compare(SettingsKeys.HEAD, headModRevision));
        writeNext(out);
    }

    private void readOtherParts(Outbox out) {
        mStep = Step.READ_PARTS;
        send(
                new KeyValueRequest.Range(
                        SettingsKeys.PARTS, SettingsKeys.PARTS_END, PART_DELETE_BATCH),
                out);
    }

    private void readTrimmableLog(Outbox out) {
        mStep = Step.READ_LOG;
        long firstKept = Math.max(1, mHead.revision() - mOptions.logRetention() + 1);
        send(
                new KeyValueRequest.Range(
                        SettingsKeys.LOG, SettingsKeys.log(firstKept), LOG_DELETE_BATCH),
                out);
    }

    private void send(KeyValueRequest request, Outbox out) {
        mPendingRequestId = mReplica.requestIds().next();
        out.sendKeyValueRequest(mPendingRequestId, request);
    }

    private void writeNext(Outbox out) {
        int written = mConditions.size() - 1;
        if (written < mParts.size()) {
            mStep = Step.WRITE_PARTS;
            String key = SettingsKeys.part(mHead.snapshotId(), written);
            send(
                    new KeyValueRequest.Transaction(
                            List.of(new Compare(key, 0)),
                            List.of(new Write(key, mParts.get(written), 0))),
                    out);
            return;
        }
        mStep = Step.WRITE_HEAD;
        send(
                new KeyValueRequest.Transaction(
                        mConditions, List.of(new Write(SettingsKeys.HEAD, mHead.write(), 0))),
                out);
    }

    private enum Step {
        IDLE,
        READ_HEAD,
        WRITE_PARTS,
        WRITE_HEAD,
        READ_LOG,
        DELETE_LOG,
        READ_PARTS,
        DELETE_PARTS
    }
}
