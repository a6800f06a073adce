package ebonygw.settings;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueRequest.Compare;
import ebonygw.keyvalue.KeyValueRequest.Write;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.keyvalue.KeyValueResponse.Entry;
import ebonygw.protocol.Outbox;
import ebonygw.request.AdapterVersion;
import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Appends changes to the log in the key-value service, one at a time.
 *
 * <p>A change is appended at the revision after the newest one, on condition that the key of that
 * revision does not exist and that the newest entry is still the one that was read. If the response
 * to an append is lost, the writer reads that revision back and compares the identifier of the
 * change. Must be used on the control thread only; times are in nanoseconds since the Unix epoch.
 */
public final class SettingsWriter {
    private static final long CHANGE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long REQUEST_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final int READ_LIMIT = 32;
    private static final int MAX_QUEUED_CHANGES = 64;

    private final SettingsReplica mReplica;
    private final Predicate<AdapterVersion> mInUse;
    private final Deque<PendingChange> mQueue = new ArrayDeque<>();
    private final List<CompletedChange> mCompleted = new ArrayList<>();
    private PendingChange mCurrent;
    private long mPendingRequestId;
    private long mRequestSentNanos;
    private long mRetryAtNanos;
    private boolean mAppending;

    /**
     * Creates a writer.
     *
     * @param replica the replica of the settings in this process
     * @param inUse predicate of the adapter versions that run requests, as far as this process
     *     knows
     */
    public SettingsWriter(SettingsReplica replica, Predicate<AdapterVersion> inUse) {
        mReplica = Objects.requireNonNull(replica, "replica");
        mInUse = Objects.requireNonNull(inUse, "inUse");
    }

    /**
     * Returns and removes the changes completed since the last invocation, in order of completion.
     */
    public List<CompletedChange> drain() {
        List<CompletedChange> completed = List.copyOf(mCompleted);
        mCompleted.clear();
        return completed;
    }

    /**
     * Handles the response to a key-value request.
     *
     * @return whether the request was made by this writer
     */
    public boolean onKeyValueResponse(
            long requestId, KeyValueResponse response, long nowNanos, Outbox out) {
        if (mPendingRequestId == 0 || requestId != mPendingRequestId) {
            return false;
        }
        mPendingRequestId = 0;
        boolean appending = mAppending;
        if (response instanceof KeyValueResponse.Failed failed) {
            mCurrent.mMayHaveTakenEffect |= appending && failed.mayHaveTakenEffect();
            mCurrent.mDetail = failed.detail();
            retry(nowNanos);
        } else if (response instanceof KeyValueResponse.RangeResult found) {
            onRead(found, nowNanos, out);
        } else if (response instanceof KeyValueResponse.TransactionResult committed && appending) {
            onAppended(committed.succeeded(), nowNanos, out);
        } else {
            mCurrent.mDetail = "unexpected response from the key-value service";
            retry(nowNanos);
        }
        return true;
    }

    /** Runs what is due by time; must be called at least every 10 milliseconds. */
    public void onTick(long nowNanos, Outbox out) {
        if (mPendingRequestId != 0 && nowNanos - mRequestSentNanos > REQUEST_TIMEOUT_NANOS) {
            mPendingRequestId = 0;
            mCurrent.mMayHaveTakenEffect |= mAppending;
            mCurrent.mDetail = "no response from the key-value service within 5 s";
            retry(nowNanos);
        }
        if (mCurrent == null) {
            startNext(nowNanos, out);
        } else if (mPendingRequestId == 0 && nowNanos >= mCurrent.mDeadlineNanos) {
            complete(new ChangeOutcome.Unavailable(mCurrent.mMayHaveTakenEffect, mCurrent.mDetail));
            startNext(nowNanos, out);
        } else if (mPendingRequestId == 0 && nowNanos >= mRetryAtNanos) {
            readLog(nowNanos, out);
        }
    }

    /**
     * Queues a change. A change with the same identifier may be submitted again; it is not appended
     * again while its entry is in the retained log.
     *
     * @param correlationId identifier that is returned with its outcome
     * @param change the change; if its base revision is at least 0, any later change conflicts with
     *     it
     */
    public void submit(long correlationId, SettingsChange change, long nowNanos, Outbox out) {
        PendingChange pending =
                new PendingChange(correlationId, Objects.requireNonNull(change, "change"));
        if (mQueue.size() >= MAX_QUEUED_CHANGES) {
            mCompleted.add(
                    new CompletedChange(
                            correlationId,
                            new ChangeOutcome.Unavailable(
                                    false,
                                    "too many changes are queued: maximum " + MAX_QUEUED_CHANGES)));
            return;
        }
        mQueue.add(pending);
        if (mCurrent == null) {
            startNext(nowNanos, out);
        }
    }

    private void append(long previousModRevision, LoggedChange logged, long now, Outbox out) {
        long revision = logged.revision();
        List<Compare> conditions = new ArrayList<>();
        conditions.add(new Compare(SettingsKeys.log(revision), 0));
        if (revision > 1) {
            conditions.add(new Compare(SettingsKeys.log(revision - 1), previousModRevision));
        }
        mAppending = true;
        mCurrent.mAppended = logged;
        send(
                new KeyValueRequest.Transaction(
                        conditions,
                        List.of(new Write(SettingsKeys.log(revision), logged.stored(), 0))),
                now,
                out);
    }

    private void complete(ChangeOutcome outcome) {
        mCompleted.add(new CompletedChange(mCurrent.mCorrelationId, outcome));
        mCurrent = null;
    }

    private Optional<Long> findRevision(String changeId) {
        return mReplica.state().history().stream()
                .filter(logged -> logged.record().change().id().equals(changeId))
                .map(LoggedChange::revision)
                .findFirst();
    }

    private void onAppended(boolean succeeded, long nowNanos, Outbox out) {
        if (!succeeded) {
            readLog(nowNanos, out);
            return;
        }
        LoggedChange logged = mCurrent.mAppended;
        mReplica.applyChanges(List.of(logged), null, out);
        complete(new ChangeOutcome.Accepted(logged.revision()));
        startNext(nowNanos, out);
    }

    private void onRead(KeyValueResponse.RangeResult found, long nowNanos, Outbox out) {
        List<ByteString> stored = found.entries().stream().map(Entry::value).toList();
        mReplica.applyStored(stored, null, out);
        Optional<Long> revision = findRevision(mCurrent.mChange.id());
        if (revision.isPresent()) {
            complete(new ChangeOutcome.Accepted(revision.get()));
            startNext(nowNanos, out);
            return;
        }
        // The change is not in the retained log. If its append was for a revision that exists now,
        // that revision holds another change, unless its entry is no longer retained.
        long newest = mReplica.state().revision();
        if (mCurrent.mAppended != null && newest >= mCurrent.mAppended.revision()) {
            if (mCurrent.mMayHaveTakenEffect
                    && mReplica.state().logged(mCurrent.mAppended.revision()).isEmpty()) {
                complete(
                        new ChangeOutcome.Unavailable(
                                true,
                                "a response was lost, and the log entry that would tell whether the"
                                        + " change was appended is no longer retained"));
                startNext(nowNanos, out);
                return;
            }
            mCurrent.mMayHaveTakenEffect = false;
        }
        Entry last =
                found.entries().isEmpty() ? null : found.entries().get(found.entries().size() - 1);
        boolean newestRead = last != null && last.key().equals(SettingsKeys.log(newest));
        if (found.more()) {
            readLog(nowNanos, out);
        } else if (newestRead || (newest == 0 && last == null)) {
            validateAndAppend(newestRead ? last.modRevision() : 0, nowNanos, out);
        } else {
            mCurrent.mDetail =
                    "the log in the key-value service does not continue from revision " + newest;
            retry(nowNanos);
        }
    }

    private void readLog(long nowNanos, Outbox out) {
        mAppending = false;
        long from = Math.max(1, mReplica.state().revision());
        send(
                new KeyValueRequest.Range(SettingsKeys.log(from), SettingsKeys.LOG_END, READ_LIMIT),
                nowNanos,
                out);
    }

    private void retry(long nowNanos) {
        mRetryAtNanos = nowNanos + RETRY_DELAY_NANOS;
    }

    private void send(KeyValueRequest request, long nowNanos, Outbox out) {
        mPendingRequestId = mReplica.requestIds().next();
        mRequestSentNanos = nowNanos;
        out.sendKeyValueRequest(mPendingRequestId, request);
    }

    private void startNext(long nowNanos, Outbox out) {
        mCurrent = mQueue.poll();
        if (mCurrent != null) {
            mCurrent.mDeadlineNanos = nowNanos + CHANGE_TIMEOUT_NANOS;
            readLog(nowNanos, out);
        }
    }

    private void validateAndAppend(long previousModRevision, long nowNanos, Outbox out) {
        SettingsState state = mReplica.state();
        long base = mCurrent.mChange.baseRevision();
        if (base >= 0 && base != state.revision()) {
            List<ChangeRecord> conflicting =
                    state.history().stream()
                            .filter(logged -> logged.revision() > base)
                            .map(LoggedChange::record)
                            .toList();
            complete(new ChangeOutcome.Conflict(base, conflicting));
            startNext(nowNanos, out);
            return;
        }
        Either<List<Reason>, SettingsState.Preview> preview =
                state.preview(mCurrent.mChange, mInUse);
        if (preview.isLeft()) {
            complete(new ChangeOutcome.Refused(preview.getLeft()));
            startNext(nowNanos, out);
            return;
        }
        append(previousModRevision, preview.get().logged(), nowNanos, out);
    }

    /**
     * The outcome of a submitted change.
     *
     * @param correlationId the correlation id that it was submitted with
     * @param outcome its outcome
     */
    public record CompletedChange(long correlationId, ChangeOutcome outcome) {}

    private static final class PendingChange {
        private final long mCorrelationId;
        private final SettingsChange mChange;
        private long mDeadlineNanos;
        private LoggedChange mAppended;
        private boolean mMayHaveTakenEffect;
        private String mDetail = "no response from the key-value service";

        PendingChange(long correlationId, SettingsChange change) {
            mCorrelationId = correlationId;
            mChange = change;
        }
    }
}
