package ebonygw.settings;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueCall;
import ebonygw.keyvalue.KeyValueCall.Compare;
import ebonygw.keyvalue.KeyValueCall.Write;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.keyvalue.KeyValueReply.Entry;
import ebonygw.protocol.Outbox;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Writes a snapshot to the key-value service when the log has grown, and then trims the log.
 *
 * <p>Any number of processes may do so at once: the head is replaced by compare-and-swap, on
 * condition that every part is still as it was written. Gives up on any failure and starts over
 * later. Not thread-safe.
 */
final class SnapshotKeeper {
    private static final long CHECK_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long RANK_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int PART_BYTES = 512 * 1024;
    private static final int TRIM_LIMIT = 64;
    private static final int PARTS_LIMIT = 4;

    private final SettingsReplica mReplica;
    private final SettingsReplicaOptions mOptions;
    private final List<Compare> mConditions = new ArrayList<>();
    private Step mStep = Step.IDLE;
    private long mCall;
    private long mCheckAtNanos;
    private long mStartedNanos;
    private long mHeadRevision;
    private SnapshotHead mHead;
    private List<ByteString> mParts = List.of();

    SnapshotKeeper(SettingsReplica replica, SettingsReplicaOptions options) {
        mReplica = replica;
        mOptions = options;
    }

    /**
     * Starts a snapshot where one is due; the rank spreads out the attempts of several watchers.
     */
    void onContact(int rank, long nowNanos, Outbox out) {
        if (mStep != Step.IDLE && nowNanos - mStartedNanos > CHECK_NANOS) {
            mStep = Step.IDLE;
        }
        long due = mReplica.state().revision() - mHeadRevision;
        if (mStep != Step.IDLE || due < mOptions.snapshotEvery()) {
            return;
        }
        if (mCheckAtNanos == 0) {
            mCheckAtNanos = nowNanos + rank * RANK_NANOS;
        }
        if (nowNanos < mCheckAtNanos) {
            return;
        }
        mCheckAtNanos = nowNanos + CHECK_NANOS;
        mStartedNanos = nowNanos;
        mStep = Step.READ_HEAD;
        call(new KeyValueCall.Range(SettingsKeys.HEAD, "", 0), out);
    }

    boolean onReply(long callId, KeyValueReply reply, Outbox out) {
        if (mCall == 0 || callId != mCall) {
            return false;
        }
        mCall = 0;
        Step step = mStep;
        mStep = Step.IDLE;
        if (reply instanceof KeyValueReply.Found found) {
            onFound(step, found, out);
        } else if (reply instanceof KeyValueReply.Committed committed && committed.succeeded()) {
            onCommitted(step, committed.revision(), out);
        }
        return true;
    }

    private void call(KeyValueCall call, Outbox out) {
        mCall = mReplica.callIds().next();
        out.keyValue(mCall, call);
    }

    private void delete(Step step, List<Entry> entries, Outbox out) {
        mStep = step;
        List<Write> writes =
                entries.stream().map(entry -> new Write(entry.key(), null, 0)).toList();
        call(new KeyValueCall.Transaction(List.of(), writes), out);
    }

    private void onCommitted(Step step, long revision, Outbox out) {
        if (step == Step.WRITE_PARTS) {
            int written = mConditions.size() - 1;
            String key = SettingsKeys.part(mHead.snapshotId(), written);
            mConditions.add(new Compare(key, revision));
            writeNext(out);
        } else if (step == Step.WRITE_HEAD) {
            mHeadRevision = mHead.revision();
            mCheckAtNanos = 0;
            readLog(out);
        } else if (step == Step.DELETE_LOG) {
            readLog(out);
        } else if (step == Step.DELETE_PARTS) {
            readParts(out);
        }
    }

    private void onFound(Step step, KeyValueReply.Found found, Outbox out) {
        if (step == Step.READ_HEAD) {
            onHead(found, out);
        } else if (step == Step.READ_LOG) {
            if (found.entries().isEmpty()) {
                readParts(out);
            } else {
                delete(Step.DELETE_LOG, found.entries(), out);
            }
        } else if (step == Step.READ_PARTS) {
            String own = SettingsKeys.PARTS + mHead.snapshotId() + "/";
            List<Entry> others =
                    found.entries().stream().filter(e -> !e.key().startsWith(own)).toList();
            if (!others.isEmpty()) {
                delete(Step.DELETE_PARTS, others, out);
            }
        }
    }

    private void onHead(KeyValueReply.Found found, Outbox out) {
        long headModRevision = 0;
        if (!found.entries().isEmpty()) {
            Entry entry = found.entries().get(0);
            headModRevision = entry.modRevision();
            try {
                mHeadRevision = SnapshotHead.read(entry.value()).revision();
            } catch (IOException e) {
                mReplica.fault("unreadable snapshot: " + e.getMessage());
            }
        }
        SettingsState state = mReplica.state();
        if (state.revision() - mHeadRevision < mOptions.snapshotEvery()) {
            mCheckAtNanos = 0;
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

    private void readLog(Outbox out) {
        mStep = Step.READ_LOG;
        long firstKept = Math.max(1, mHead.revision() - mOptions.logKept() + 1);
        call(
                new KeyValueCall.Range(SettingsKeys.LOG, SettingsKeys.log(firstKept), TRIM_LIMIT),
                out);
    }

    private void readParts(Outbox out) {
        mStep = Step.READ_PARTS;
        call(new KeyValueCall.Range(SettingsKeys.PARTS, SettingsKeys.PARTS_END, PARTS_LIMIT), out);
    }

    private void writeNext(Outbox out) {
        int written = mConditions.size() - 1;
        if (written < mParts.size()) {
            mStep = Step.WRITE_PARTS;
            String key = SettingsKeys.part(mHead.snapshotId(), written);
            call(
                    new KeyValueCall.Transaction(
                            List.of(new Compare(key, 0)),
                            List.of(new Write(key, mParts.get(written), 0))),
                    out);
            return;
        }
        mStep = Step.WRITE_HEAD;
        call(
                new KeyValueCall.Transaction(
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
