package ebonygw;

import com.google.protobuf.ByteString;
import ebonygw.access.AccessRules;
import ebonygw.access.Grant;
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

/** The life of attempts at the target process, from queue to answer. Not thread-safe. */
final class TargetRuns {
    private static final int SEEN_WINDOW = 65_536;

    /** Parts that may wait for credit before reading from the target is paused. */
    private static final int MAX_WAITING_PARTS = 16;

    private static final long UNKNOWN_TOKENS = -1;

    private final TargetNodeOptions mOptions;
    private final Supplier<SettingsView> mView;
    private final TargetScheduler mScheduler;
    private final TargetOutbox mOut;
    private final Map<AttemptId, Run> mRuns = new HashMap<>();
    private final Map<Long, Run> mCalls = new HashMap<>();
    private final SeenRequests mSeen = new SeenRequests(SEEN_WINDOW);
    private final TargetCounts mCounts = new TargetCounts();
    private final LingeringRuns mLingering = new LingeringRuns();
    private long mNextCall = 1;
    private boolean mStopping;

    TargetRuns(
            TargetNodeOptions options,
            Supplier<SettingsView> view,
            TargetScheduler scheduler,
            TargetOutbox out) {
        mOptions = options;
        mView = view;
        mScheduler = scheduler;
        mOut = out;
    }

    /** The target ended an answer. */
    void answerEnded(long call, long tokensUsed, long nowNanos) {
        Run run = mCalls.remove(call);
        if (run == null) {
            return;
        }
        mCounts.mAnswered++;
        long used = tokensUsed < 0 ? run.mWork.charge() : tokensUsed;
        mScheduler.onFinished(run.mWork, used, nowNanos - run.mStartedNanos, nowNanos);
        run.mEnded = true;
        run.mTokensUsed = tokensUsed;
        flush(run);
    }

    /** The target gave no whole answer. */
    void answerFailed(long call, Refusal refusal, long nowNanos) {
        Run run = mCalls.remove(call);
        if (run == null) {
            return;
        }
        mCounts.mFailed++;
        if (refusal.verdict() == Verdict.NOT_RUN || run.mWork.adapter().isEmpty()) {
            ended(run.mWork, nowNanos);
        } else {
            mLingering.add(run.mWork, run.mDeadlineNanos, nowNanos);
        }
        fail(run, refusal);
    }

    /** The target sent a part of an answer. */
    void answerPart(long call, ByteString data) {
        Run run = mCalls.get(call);
        if (run == null) {
            return;
        }
        run.mWaiting.add(data);
        flush(run);
        if (!run.mPaused && run.mWaiting.size() > MAX_WAITING_PARTS) {
            run.mPaused = true;
            mOut.effect(new TargetEffect.ReadAnswer(call, false));
        }
    }

    /** The target started an answer. */
    void answerStarted(long call, int status, Map<String, String> headers) {
        Run run = mCalls.get(call);
        if (run != null) {
            Work work = run.mWork;
            mOut.send(
                    run.mEntry,
                    new RequestMessage.Head(work.id(), work.attempt(), status, headers));
        }
    }

    /** Returns how many attempts wait or run. */
    int open() {
        return mRuns.size();
    }

    /** Returns a JSON-able view for the dump. */
    Map<String, Object> dump() {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("open", mRuns.size());
        dump.put("running", mCalls.size());
        dump.put("lingering", mLingering.size());
        dump.put("counts", mCounts.toMap());
        return dump;
    }

    /** An entry process is gone: nobody takes the answers of its attempts. */
    void entryGone(NodeId entry, long incarnation, long nowNanos) {
        for (Run run : new ArrayList<>(mRuns.values())) {
            boolean mine = run.mEntry.equals(entry) && run.mWork.id().incarnation() == incarnation;
            boolean mustFinish = run.called() && !run.mWork.idempotent();
            if (mine && !mustFinish) {
                cancel(run, nowNanos);
            }
        }
    }

    /** An entry process said something about one of its attempts. */
    void onMessage(
            NodeId from, long incarnation, RequestMessage message, boolean ready, long nowNanos) {
        RequestId id = message.id();
        if (!id.entry().equals(from) || id.incarnation() != incarnation) {
            mCounts.mDropped++;
            return;
        }
        if (message instanceof RequestMessage.Run run) {
            onRun(run, ready, nowNanos);
        } else if (message instanceof RequestMessage.Cancel) {
            onCancel(message, nowNanos);
        } else if (message instanceof RequestMessage.Credit credit) {
            onCredit(credit);
        } else {
            mCounts.mDropped++;
        }
    }

    /**
     * Takes a report of the engine.
     *
     * @param running requests that it runs
     * @param restarted whether it has restarted since the last report
     * @param nowNanos the present time
     */
    void onReport(int running, boolean restarted, long nowNanos) {
        if (restarted) {
            mLingering.onRestart(work -> ended(work, nowNanos));
        } else {
            mLingering.onReport(running, mCalls.size(), nowNanos, work -> ended(work, nowNanos));
        }
    }

    /** Refuses an attempt that has not been sent to the target. */
    void refuse(Work work, Refusal refusal) {
        Run run = mRuns.get(AttemptId.of(work));
        if (run == null) {
            return;
        }
        mCounts.mRefused++;
        fail(run, run.called() ? refusal.withVerdict(Verdict.MAY_HAVE_RUN) : refusal);
    }

    /**
     * Sends an attempt to the target, unless it may not run any more.
     *
     * @param work the attempt
     * @param authority says for its longest time and the present time why it may not run, if so
     * @param nowNanos the present time
     */
    void start(Work work, BiFunction<Long, Long, Optional<Refusal>> authority, long nowNanos) {
        Run run = mRuns.get(AttemptId.of(work));
        if (run == null) {
            ended(work, nowNanos);
            return;
        }
        Optional<Refusal> refusal =
                authority
                        .apply(run.mDeadlineNanos - nowNanos, nowNanos)
                        .or(() -> AccessRules.check(mView.get(), Grant.of(work), nowNanos));
        if (refusal.isPresent()) {
            ended(work, nowNanos);
            refuse(work, refusal.get());
            return;
        }
        run.mCall = mNextCall++;
        run.mStartedNanos = nowNanos;
        mCalls.put(run.mCall, run);
        mCounts.mStarted++;
        mOut.effect(new TargetEffect.Call(run.mCall, work, run.mDeadlineNanos - nowNanos));
    }

    /** Takes no new attempts from now on. */
    void stop() {
        mStopping = true;
    }

    /** Time has passed: cancels calls whose deadline is over. */
    void tick(long nowNanos) {
        mLingering.onTick(nowNanos, work -> ended(work, nowNanos));
        List<Run> late = new ArrayList<>();
        for (Run run : mCalls.values()) {
            if (!run.mCancelled && nowNanos >= run.mDeadlineNanos) {
                late.add(run);
            }
        }
        for (Run run : late) {
            cancel(run, nowNanos);
        }
    }

    private void cancel(Run run, long nowNanos) {
        if (run.called()) {
            if (!run.mCancelled && mCalls.containsKey(run.mCall)) {
                run.mCancelled = true;
                mOut.effect(new TargetEffect.CancelCall(run.mCall));
            }
            return;
        }
        mScheduler.cancel(run.mWork.id(), run.mWork.attempt());
        fail(run, Refusal.notRun(RefusalCode.CANCELLED, "cancelled before it ran"));
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

    /** Frees what an attempt without a whole answer held at the target. */
    private void ended(Work work, long nowNanos) {
        mScheduler.onFinished(work, UNKNOWN_TOKENS, 0, nowNanos);
    }

    private void fail(Run run, Refusal refusal) {
        Work work = run.mWork;
        mRuns.remove(AttemptId.of(work));
        mOut.send(run.mEntry, new RequestMessage.Failed(work.id(), work.attempt(), refusal));
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

    private void flush(Run run) {
        Work work = run.mWork;
        while (run.mCredit > 0 && !run.mWaiting.isEmpty()) {
            run.mCredit--;
            long index = run.mNextPart++;
            ByteString data = run.mWaiting.poll();
            mOut.send(run.mEntry, new RequestMessage.Body(work.id(), work.attempt(), index, data));
        }
        if (run.mEnded && run.mWaiting.isEmpty()) {
            mRuns.remove(AttemptId.of(work));
            mOut.send(
                    run.mEntry,
                    new RequestMessage.End(
                            work.id(), work.attempt(), run.mNextPart, run.mTokensUsed));
        }
    }

    private void onCancel(RequestMessage message, long nowNanos) {
        AttemptId attempt = new AttemptId(message.id(), message.attempt());
        Run run = mRuns.get(attempt);
        if (run != null) {
            cancel(run, nowNanos);
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
        Run run = mRuns.get(new AttemptId(credit.id(), credit.attempt()));
        if (run == null) {
            return;
        }
        run.mCredit += credit.parts();
        flush(run);
        if (run.mPaused && run.mWaiting.isEmpty() && mCalls.containsKey(run.mCall)) {
            run.mPaused = false;
            mOut.effect(new TargetEffect.ReadAnswer(run.mCall, true));
        }
    }

    private void onRun(RequestMessage.Run message, boolean ready, long nowNanos) {
        Work work = message.work();
        if (!mSeen.add(work.id(), work.attempt())) {
            mCounts.mDropped++;
            return;
        }
        mCounts.mAsked++;
        long deadline = nowNanos + message.timeoutNanos();
        Run run = new Run(work, work.id().entry(), deadline, message.credit());
        mRuns.put(AttemptId.of(work), run);
        Optional<Refusal> refusal =
                closedToNew(ready)
                        .or(() -> AccessRules.check(mView.get(), Grant.of(work), nowNanos))
                        .or(() -> servedElsewhere(work))
                        .or(() -> mScheduler.offer(work, weight(work), deadline, nowNanos));
        refusal.ifPresent(found -> refuse(work, found));
    }

    private Optional<Refusal> servedElsewhere(Work work) {
        String serves = mOptions.self().serves();
        boolean here =
                mView.get()
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

    private double weight(Work work) {
        return mView.get().customer(work.customer()).map(CustomerSettings::weight).orElse(1.0);
    }

    /** Names an attempt of a request. */
    private record AttemptId(RequestId id, int attempt) {
        static AttemptId of(Work work) {
            return new AttemptId(work.id(), work.attempt());
        }
    }
}
