package ebonygw.settings;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueCall;
import ebonygw.keyvalue.KeyValueCall.Compare;
import ebonygw.keyvalue.KeyValueCall.Write;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.keyvalue.KeyValueReply.Entry;
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
 * revision does not exist and that the newest entry is still the one that was read. A lost answer
 * is settled by reading that revision back and comparing the change's identifier. Belongs to the
 * control thread; times are in nanoseconds since the Unix epoch.
 */
public final class SettingsWriter {
    private static final long DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long LOST_CALL_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final int READ_LIMIT = 32;
    private static final int MAX_WAITING = 64;

    private final SettingsReplica mReplica;
    private final Predicate<AdapterVersion> mInUse;
    private final Deque<Job> mWaiting = new ArrayDeque<>();
    private final List<Settled> mSettled = new ArrayList<>();
    private Job mJob;
    private long mCall;
    private long mCallSentNanos;
    private long mRetryAtNanos;
    private boolean mAppending;

    /**
     * Creates a writer.
     *
     * @param replica the settings of the process
     * @param inUse tells which adapter versions run requests, as far as the process knows
     */
    public SettingsWriter(SettingsReplica replica, Predicate<AdapterVersion> inUse) {
        mReplica = Objects.requireNonNull(replica, "replica");
        mInUse = Objects.requireNonNull(inUse, "inUse");
    }

    /** Returns the outcomes since the last call, in order. */
    public List<Settled> drain() {
        List<Settled> settled = List.copyOf(mSettled);
        mSettled.clear();
        return settled;
    }

    /**
     * Takes the reply to a key-value call.
     *
     * @return whether it was a call of this writer
     */
    public boolean onKeyValueReply(long callId, KeyValueReply reply, long nowNanos, Outbox out) {
        if (mCall == 0 || callId != mCall) {
            return false;
        }
        mCall = 0;
        boolean appending = mAppending;
        if (reply instanceof KeyValueReply.Failed failed) {
            mJob.mUnsure |= appending && failed.mayHaveTakenEffect();
            mJob.mDetail = failed.detail();
            retry(nowNanos);
        } else if (reply instanceof KeyValueReply.Found found) {
            onRead(found, nowNanos, out);
        } else if (reply instanceof KeyValueReply.Committed committed && appending) {
            onAppended(committed.succeeded(), nowNanos, out);
        } else {
            mJob.mDetail = "unexpected answer";
            retry(nowNanos);
        }
        return true;
    }

    /** Lets time pass; due at least every 10 milliseconds. */
    public void onTick(long nowNanos, Outbox out) {
        if (mCall != 0 && nowNanos - mCallSentNanos > LOST_CALL_NANOS) {
            mCall = 0;
            mJob.mUnsure |= mAppending;
            mJob.mDetail = "no answer";
            retry(nowNanos);
        }
        if (mJob == null) {
            next(nowNanos, out);
        } else if (mCall == 0 && nowNanos >= mJob.mDeadlineNanos) {
            settle(new ChangeOutcome.Unavailable(mJob.mUnsure, mJob.mDetail));
            next(nowNanos, out);
        } else if (mCall == 0 && nowNanos >= mRetryAtNanos) {
            read(nowNanos, out);
        }
    }

    /**
     * Submits a change; the same change, by its identifier, may be submitted again.
     *
     * @param ticket number that its outcome will carry
     * @param change the change; a base revision of at least 0 conflicts with later changes
     */
    public void submit(long ticket, SettingsChange change, long nowNanos, Outbox out) {
        Job job = new Job(ticket, Objects.requireNonNull(change, "change"));
        if (mWaiting.size() >= MAX_WAITING) {
            mSettled.add(
                    new Settled(
                            ticket, new ChangeOutcome.Unavailable(false, "too many changes wait")));
            return;
        }
        mWaiting.add(job);
        if (mJob == null) {
            next(nowNanos, out);
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
        mJob.mAppended = logged;
        call(
                new KeyValueCall.Transaction(
                        conditions,
                        List.of(new Write(SettingsKeys.log(revision), logged.stored(), 0))),
                now,
                out);
    }

    private void call(KeyValueCall call, long nowNanos, Outbox out) {
        mCall = mReplica.callIds().next();
        mCallSentNanos = nowNanos;
        out.keyValue(mCall, call);
    }

    private Optional<Long> found(String changeId) {
        return mReplica.state().history().stream()
                .filter(logged -> logged.record().change().id().equals(changeId))
                .map(LoggedChange::revision)
                .findFirst();
    }

    private void judge(long previousModRevision, long nowNanos, Outbox out) {
        SettingsState state = mReplica.state();
        long base = mJob.mChange.baseRevision();
        if (base >= 0 && base != state.revision()) {
            List<ChangeRecord> others =
                    state.history().stream()
                            .filter(logged -> logged.revision() > base)
                            .map(LoggedChange::record)
                            .toList();
            settle(new ChangeOutcome.Conflict(base, others));
            next(nowNanos, out);
            return;
        }
        Either<List<Reason>, SettingsState.Preview> preview = state.preview(mJob.mChange, mInUse);
        if (preview.isLeft()) {
            settle(new ChangeOutcome.Refused(preview.getLeft()));
            next(nowNanos, out);
            return;
        }
        append(previousModRevision, preview.get().logged(), nowNanos, out);
    }

    private void next(long nowNanos, Outbox out) {
        mJob = mWaiting.poll();
        if (mJob != null) {
            mJob.mDeadlineNanos = nowNanos + DEADLINE_NANOS;
            read(nowNanos, out);
        }
    }

    private void onAppended(boolean succeeded, long nowNanos, Outbox out) {
        if (!succeeded) {
            read(nowNanos, out);
            return;
        }
        LoggedChange logged = mJob.mAppended;
        mReplica.learn(List.of(logged), null, out);
        settle(new ChangeOutcome.Accepted(logged.revision()));
        next(nowNanos, out);
    }

    private void onRead(KeyValueReply.Found found, long nowNanos, Outbox out) {
        List<ByteString> stored = found.entries().stream().map(Entry::value).toList();
        mReplica.learnStored(stored, null, out);
        Optional<Long> revision = found(mJob.mChange.id());
        if (revision.isPresent()) {
            settle(new ChangeOutcome.Accepted(revision.get()));
            next(nowNanos, out);
            return;
        }
        long newest = mReplica.state().revision();
        if (mJob.mAppended != null && newest >= mJob.mAppended.revision()) {
            if (mJob.mUnsure && mReplica.state().logged(mJob.mAppended.revision()).isEmpty()) {
                settle(new ChangeOutcome.Unavailable(true, "its place in the log is not kept"));
                next(nowNanos, out);
                return;
            }
            mJob.mUnsure = false;
        }
        Entry last =
                found.entries().isEmpty() ? null : found.entries().get(found.entries().size() - 1);
        boolean newestRead = last != null && last.key().equals(SettingsKeys.log(newest));
        if (found.more()) {
            read(nowNanos, out);
        } else if (newestRead || (newest == 0 && last == null)) {
            judge(newestRead ? last.modRevision() : 0, nowNanos, out);
        } else {
            mJob.mDetail = "the log in the service does not lead on from revision " + newest;
            retry(nowNanos);
        }
    }

    private void read(long nowNanos, Outbox out) {
        mAppending = false;
        long from = Math.max(1, mReplica.state().revision());
        call(
                new KeyValueCall.Range(SettingsKeys.log(from), SettingsKeys.LOG_END, READ_LIMIT),
                nowNanos,
                out);
    }

    private void retry(long nowNanos) {
        mRetryAtNanos = nowNanos + RETRY_NANOS;
    }

    private void settle(ChangeOutcome outcome) {
        mSettled.add(new Settled(mJob.mTicket, outcome));
        mJob = null;
    }

    /**
     * The outcome of a submitted change.
     *
     * @param ticket the number it was submitted with
     * @param outcome what became of it
     */
    public record Settled(long ticket, ChangeOutcome outcome) {}

    private static final class Job {
        private final long mTicket;
        private final SettingsChange mChange;
        private long mDeadlineNanos;
        private LoggedChange mAppended;
        private boolean mUnsure;
        private String mDetail = "key-value service does not answer";

        Job(long ticket, SettingsChange change) {
            mTicket = ticket;
            mChange = change;
        }
    }
}
