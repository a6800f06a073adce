package ebonygw;

import com.google.protobuf.ByteString;
import ebonygw.access.AccessClaim;
import ebonygw.access.AccessRules;
import ebonygw.protocol.NodeId;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.RequestId;
import ebonygw.request.RequestMessage;
import ebonygw.request.Verdict;
import ebonygw.request.Work;
import ebonygw.scheduling.TargetScheduler;
import ebonygw.settings.CustomerSettings;
import ebonygw.settings.SettingsView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Supplier;

/**
 * Handles attempts at the target process, from receipt to the end of the response.
 *
 * <p>Not thread-safe.
 */
final class TargetAttempts {
    /** Requests of each entry process of which duplicates are detected. */
    private static final int MAX_SEEN_REQUESTS = 65_536;

    /** Maximum response parts that wait for credit before reading from the target is paused. */
    private static final int MAX_BUFFERED_PARTS = 16;

    private static final long UNKNOWN_TOKENS = -1;

    private final TargetNodeOptions mOptions;
    private final Supplier<SettingsView> mSettings;
    private final TargetScheduler mScheduler;
    private final TargetOutbox mOut;
    private final Map<AttemptId, Attempt> mAttempts = new HashMap<>();

    /** Attempts that run at the target, by correlation id. */
    private final Map<Long, Attempt> mSent = new HashMap<>();

    private final SeenRequests mSeen = new SeenRequests(MAX_SEEN_REQUESTS);
    private final TargetCounts mCounts = new TargetCounts();
    private final LingeringAttempts mLingering = new LingeringAttempts();
    private long mNextCorrelationId = 1;
    private boolean mStopping;

    TargetAttempts(
            TargetNodeOptions options,
            Supplier<SettingsView> settings,
            TargetScheduler scheduler,
            TargetOutbox out) {
        mOptions = options;
        mSettings = settings;
        mScheduler = scheduler;
        mOut = out;
    }

    /** Returns the state as a map for JSON. */
    Map<String, Object> dump() {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("open", mAttempts.size());
        dump.put("running", mSent.size());
        dump.put("lingering", mLingering.size());
        dump.put("counts", mCounts.toMap());
        return dump;
    }

    /**
     * Handles a load report of the engine.
     *
     * @param running number of requests that it runs or has queued
     * @param restarted whether it has restarted since the last report
     * @param nowNanos the current time
     */
    void onEngineReport(int running, boolean restarted, long nowNanos) {
        if (restarted) {
            mLingering.onRestart(work -> release(work, nowNanos));
        } else {
            mLingering.onReport(running, mSent.size(), nowNanos, work -> release(work, nowNanos));
        }
    }

    /**
     * Cancels the attempts of a disconnected entry process, as nobody receives their responses.
     * Non-idempotent attempts that have been sent to the target run to their end.
     */
    void onEntryDown(NodeId entry, long incarnation, long nowNanos) {
        for (Attempt attempt : new ArrayList<>(mAttempts.values())) {
            boolean sentByEntry =
                    attempt.mEntry.equals(entry) && attempt.mWork.id().incarnation() == incarnation;
            boolean mustFinish = attempt.isSent() && !attempt.mWork.idempotent();
            if (sentByEntry && !mustFinish) {
                cancel(attempt, nowNanos);
            }
        }
    }

    /** Handles an entry process's message about one of its attempts. */
    void onMessage(
            NodeId from, long incarnation, RequestMessage message, boolean ready, long nowNanos) {
        RequestId id = message.id();
        if (!id.entry().equals(from) || id.incarnation() != incarnation) {
            mCounts.mDropped++;
            return;
        }
        if (message instanceof RequestMessage.Run received) {
            onRun(received, ready, nowNanos);
        } else if (message instanceof RequestMessage.Cancel) {
            onCancel(message, nowNanos);
        } else if (message instanceof RequestMessage.Credit credit) {
            onCredit(credit);
        } else {
            mCounts.mDropped++;
        }
    }

    /**
     * Handles the end of a request without a complete response. A request that may have run on an
     * adapter version keeps it in use until the engine is known to run it no longer.
     */
    void onRequestFailed(long correlationId, Refusal refusal, long nowNanos) {
        Attempt attempt = mSent.remove(correlationId);
        if (attempt == null) {
            return;
        }
        mCounts.mFailed++;
        if (refusal.verdict() == Verdict.NOT_RUN || attempt.mWork.adapter().isEmpty()) {
            release(attempt.mWork, nowNanos);
        } else {
            mLingering.add(attempt.mWork, attempt.mDeadlineNanos, nowNanos);
        }
        fail(attempt, refusal);
    }

    /** Handles the end of a complete response. */
    void onResponseEnded(long correlationId, long tokensUsed, long nowNanos) {
        Attempt attempt = mSent.remove(correlationId);
        if (attempt == null) {
            return;
        }
        mCounts.mCompleted++;
        long used = tokensUsed < 0 ? attempt.mWork.charge() : tokensUsed;
        mScheduler.onFinished(attempt.mWork, used, nowNanos - attempt.mSentNanos, nowNanos);
        attempt.mResponseEnded = true;
        attempt.mTokensUsed = tokensUsed;
        flush(attempt);
    }

    /** Handles a part of a response. */
    void onResponsePart(long correlationId, ByteString data) {
        Attempt attempt = mSent.get(correlationId);
        if (attempt == null) {
            return;
        }
        attempt.mBufferedParts.add(data);
        flush(attempt);
        if (!attempt.mPaused && attempt.mBufferedParts.size() > MAX_BUFFERED_PARTS) {
            attempt.mPaused = true;
            mOut.effect(new TargetEffect.SetResponseReading(correlationId, false));
        }
    }

    /** Handles the start of a response. */
    void onResponseStarted(long correlationId, int status, Map<String, String> headers) {
        Attempt attempt = mSent.get(correlationId);
        if (attempt != null) {
            Work work = attempt.mWork;
            mOut.send(
                    attempt.mEntry,
                    new RequestMessage.Head(work.id(), work.attempt(), status, headers));
        }
    }

    /** Releases lingering attempts that have expired; cancels requests past their deadline. */
    void onTick(long nowNanos) {
        mLingering.onTick(nowNanos, work -> release(work, nowNanos));
        List<Attempt> expired = new ArrayList<>();
        for (Attempt attempt : mSent.values()) {
            if (!attempt.mCancelled && nowNanos >= attempt.mDeadlineNanos) {
                expired.add(attempt);
            }
        }
        for (Attempt attempt : expired) {
            cancel(attempt, nowNanos);
        }
    }

    /** Returns the number of attempts that are queued or run. */
    int openCount() {
        return mAttempts.size();
    }

    /** Refuses an attempt; its verdict is raised if it has been sent to the target already. */
    void refuse(Work work, Refusal refusal) {
        Attempt attempt = mAttempts.get(AttemptId.of(work));
        if (attempt == null) {
            return;
        }
        mCounts.mRefused++;
        fail(attempt, attempt.isSent() ? refusal.withVerdict(Verdict.MAY_HAVE_RUN) : refusal);
    }

    /**
     * Sends an attempt to the target, or refuses it if it may no longer run.
     *
     * @param work the attempt
     * @param authority returns a refusal if this process may not run a request of the given maximum
     *     duration, in nanoseconds, at the given time
     * @param nowNanos the current time
     */
    void start(Work work, BiFunction<Long, Long, Optional<Refusal>> authority, long nowNanos) {
        Attempt attempt = mAttempts.get(AttemptId.of(work));
        if (attempt == null) {
            release(work, nowNanos);
            return;
        }
        Optional<Refusal> refusal =
                authority
                        .apply(attempt.mDeadlineNanos - nowNanos, nowNanos)
                        .or(
                                () ->
                                        AccessRules.check(
                                                mSettings.get(), AccessClaim.of(work), nowNanos));
        if (refusal.isPresent()) {
            release(work, nowNanos);
            refuse(work, refusal.get());
            return;
        }
        attempt.mCorrelationId = mNextCorrelationId++;
        attempt.mSentNanos = nowNanos;
        mSent.put(attempt.mCorrelationId, attempt);
        mCounts.mStarted++;
        mOut.effect(
                new TargetEffect.SendRequest(
                        attempt.mCorrelationId, work, attempt.mDeadlineNanos - nowNanos));
    }

    /** Refuses new attempts from now on. */
    void stop() {
        mStopping = true;
    }

    private void cancel(Attempt attempt, long nowNanos) {
        if (attempt.isSent()) {
            if (!attempt.mCancelled && mSent.containsKey(attempt.mCorrelationId)) {
                attempt.mCancelled = true;
                mOut.effect(new TargetEffect.CancelRequest(attempt.mCorrelationId));
            }
            return;
        }
        mScheduler.cancel(attempt.mWork.id(), attempt.mWork.attempt());
        fail(attempt, Refusal.notRun(RefusalCode.CANCELLED, "cancelled before it ran"));
    }

    private Optional<Refusal> closedToNew(boolean ready) {
        if (mStopping) {
            return Optional.of(Refusal.notRun(RefusalCode.STOPPING, "the target is leaving"));
        }
        if (!ready) {
            return Optional.of(Refusal.notRun(RefusalCode.NOT_READY, "no settings yet"));
        }
        return Optional.empty();
    }

    private void fail(Attempt attempt, Refusal refusal) {
        Work work = attempt.mWork;
        mAttempts.remove(AttemptId.of(work));
        mOut.send(attempt.mEntry, new RequestMessage.Failed(work.id(), work.attempt(), refusal));
        mOut.log(
                "attempt_failed",
                "request",
                work.id(),
                "attempt",
                work.attempt(),
                "code",
                refusal.code(),
                "verdict",
                refusal.verdict(),
                "detail",
                refusal.detail());
    }

    private void flush(Attempt attempt) {
        Work work = attempt.mWork;
        while (attempt.mCredit > 0 && !attempt.mBufferedParts.isEmpty()) {
            attempt.mCredit--;
            long index = attempt.mNextIndex++;
            ByteString data = attempt.mBufferedParts.poll();
            mOut.send(
                    attempt.mEntry,
                    new RequestMessage.Body(work.id(), work.attempt(), index, data));
        }
        if (attempt.mResponseEnded && attempt.mBufferedParts.isEmpty()) {
            mAttempts.remove(AttemptId.of(work));
            mOut.send(
                    attempt.mEntry,
                    new RequestMessage.End(
                            work.id(), work.attempt(), attempt.mNextIndex, attempt.mTokensUsed));
        }
    }

    private void onCancel(RequestMessage message, long nowNanos) {
        AttemptId attemptId = new AttemptId(message.id(), message.attempt());
        Attempt attempt = mAttempts.get(attemptId);
        if (attempt != null) {
            cancel(attempt, nowNanos);
            return;
        }
        if (mSeen.add(message.id(), message.attempt())) {
            Refusal refusal = Refusal.notRun(RefusalCode.CANCELLED, "cancelled before it came");
            mOut.send(
                    message.id().entry(),
                    new RequestMessage.Failed(message.id(), message.attempt(), refusal));
        }
    }

    private void onCredit(RequestMessage.Credit credit) {
        Attempt attempt = mAttempts.get(new AttemptId(credit.id(), credit.attempt()));
        if (attempt == null) {
            return;
        }
        attempt.mCredit += credit.parts();
        flush(attempt);
        if (attempt.mPaused
                && attempt.mBufferedParts.isEmpty()
                && mSent.containsKey(attempt.mCorrelationId)) {
            attempt.mPaused = false;
            mOut.effect(new TargetEffect.SetResponseReading(attempt.mCorrelationId, true));
        }
    }

    private void onRun(RequestMessage.Run message, boolean ready, long nowNanos) {
        Work work = message.work();
        if (!mSeen.add(work.id(), work.attempt())) {
            mCounts.mDropped++;
            return;
        }
        mCounts.mReceived++;
        long deadline = nowNanos + message.timeoutNanos();
        Attempt attempt = new Attempt(work, work.id().entry(), deadline, message.credit());
        mAttempts.put(AttemptId.of(work), attempt);
        Optional<Refusal> refusal =
                closedToNew(ready)
                        .or(
                                () ->
                                        AccessRules.check(
                                                mSettings.get(), AccessClaim.of(work), nowNanos))
                        .or(() -> refusalIfNotServed(work))
                        .or(() -> mScheduler.offer(work, weight(work), deadline, nowNanos));
        refusal.ifPresent(reason -> refuse(work, reason));
    }

    private Optional<Refusal> refusalIfNotServed(Work work) {
        String serves = mOptions.self().serves();
        boolean here =
                mSettings
                        .get()
                        .route(work.route())
                        .filter(
                                route ->
                                        mOptions.model()
                                                ? route.model().equals(serves)
                                                : route.service().equals(serves))
                        .isPresent();
        return here
                ? Optional.empty()
                : Optional.of(Refusal.notRun(RefusalCode.UNAVAILABLE, "not served here"));
    }

    /** Releases what an attempt without a complete response occupied in the scheduler. */
    private void release(Work work, long nowNanos) {
        mScheduler.onFinished(work, UNKNOWN_TOKENS, 0, nowNanos);
    }

    private double weight(Work work) {
        return mSettings.get().customer(work.customer()).map(CustomerSettings::weight).orElse(1.0);
    }

    /** Identifies an attempt of a request. */
    private record AttemptId(RequestId id, int attempt) {
        static AttemptId of(Work work) {
            return new AttemptId(work.id(), work.attempt());
        }
    }
}
