package ebonygw;

import com.google.protobuf.ByteString;
import ebonygw.access.AccessRules;
import ebonygw.access.Grant;
import ebonygw.access.RequestResolver;
import ebonygw.access.ResolvedRequest;
import ebonygw.admission.Admission;
import ebonygw.admission.AdmissionDecision;
import ebonygw.admission.ShareNode;
import ebonygw.membership.Member;
import ebonygw.protocol.NodeId;
import ebonygw.request.AdapterVersion;
import ebonygw.request.CallerRequest;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.RequestId;
import ebonygw.request.RequestMessage;
import ebonygw.request.Verdict;
import ebonygw.request.Work;
import ebonygw.retry.RetryDecision;
import ebonygw.retry.RetryPolicy;
import ebonygw.routing.Outcome;
import ebonygw.routing.Router;
import ebonygw.settings.AdapterSettings;
import ebonygw.settings.RouteSettings;
import ebonygw.settings.SettingsView;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Supplier;

/** The life of callers' requests at the entry, from question to answer. Not thread-safe. */
final class EntryRequests {
    /** How long past its deadline a request waits for its target process to say how it ended. */
    private static final long DEADLINE_GRACE_NANOS = 500_000_000L;

    /** How long a request waits for a target before it is refused. */
    private static final long MAX_PARKED_NANOS = 5_000_000_000L;

    /** How long a request waits before targets that refused it are asked again. */
    private static final long EXCLUSION_NANOS = 100_000_000L;

    /** Most attempts of one request. */
    private static final int MAX_ATTEMPTS = 32;

    private final EntryNodeOptions mOptions;
    private final Supplier<SettingsView> mView;
    private final ShareNode mShares;
    private final Router mRouter;
    private final RetryPolicy mRetry;
    private final EntryOutbox mOut;
    private final Map<Long, Exchange> mByNumber = new HashMap<>();
    private final Map<Long, Exchange> mBySequence = new HashMap<>();
    private final Map<NodeId, Long> mLinks = new HashMap<>();
    private final PriorityQueue<Deadline> mDeadlines = new PriorityQueue<>();
    private final EntryCounts mCounts = new EntryCounts();
    private List<Exchange> mParked = new ArrayList<>();
    private boolean mStopping;

    EntryRequests(
            EntryNodeOptions options,
            Supplier<SettingsView> view,
            ShareNode shares,
            Router router,
            RetryPolicy retry,
            EntryOutbox out) {
        mOptions = options;
        mView = view;
        mShares = shares;
        mRouter = router;
        mRetry = retry;
        mOut = out;
    }

    /** Goes on with requests whose admission has been decided since. */
    void admissions(long nowNanos) {
        for (AdmissionDecision decision : mShares.decisions()) {
            onAdmission(decision, nowNanos);
        }
    }

    /** Takes a caller's request. */
    void ask(long number, CallerRequest request, boolean ready, long nowNanos) {
        mCounts.mAsked++;
        Optional<Refusal> closed = closedToNew(ready);
        if (closed.isPresent()) {
            refuse(number, closed.get());
            return;
        }
        Either<Refusal, ResolvedRequest> resolved =
                RequestResolver.resolve(request, mView.get(), nowNanos);
        if (resolved.isLeft()) {
            refuse(number, resolved.getLeft());
            return;
        }
        open(number, request, resolved.get(), nowNanos);
    }

    /** Returns the counts since the start. */
    EntryCounts counts() {
        return mCounts;
    }

    /** Returns a JSON-able view for the dump. */
    Map<String, Object> dump() {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("open", mByNumber.size());
        dump.put("parked", mParked.size());
        dump.put("links", mLinks.toString());
        dump.put("counts", mCounts.toMap());
        return dump;
    }

    /** A caller left. */
    void gone(long number, long nowNanos) {
        Exchange exchange = mByNumber.get(number);
        if (exchange == null) {
            return;
        }
        exchange.mCallerGone = true;
        switch (exchange.mPhase) {
            case ADMITTING -> {
                cancelAdmission(exchange, nowNanos);
                close(exchange, 0, nowNanos);
            }
            case PARKED -> close(exchange, 0, nowNanos);
            case SENT -> cancelAttempt(exchange);
            default -> throw new IllegalStateException("phase " + exchange.mPhase);
        }
    }

    /** Returns whether a target process can be sent work now. */
    boolean linked(Member member) {
        Long incarnation = mLinks.get(member.id());
        return incarnation != null && incarnation == member.incarnation();
    }

    /** A link is lost: attempts sent over it may have run. */
    void linkDown(NodeId peer, long incarnation, long nowNanos) {
        mLinks.remove(peer, incarnation);
        mRouter.onPeerDown(peer, nowNanos);
        Refusal lost = Refusal.mayHaveRun(RefusalCode.LOST, "the link to the target was lost");
        for (Exchange exchange : sentTo(peer, incarnation)) {
            attemptFailed(exchange, lost, nowNanos);
        }
    }

    /** A link is up. */
    void linkUp(NodeId peer, long incarnation, long nowNanos) {
        Long before = mLinks.put(peer, incarnation);
        if (before != null && before != incarnation) {
            Refusal lost = Refusal.mayHaveRun(RefusalCode.LOST, "the target process restarted");
            for (Exchange exchange : sentTo(peer, before)) {
                attemptFailed(exchange, lost, nowNanos);
            }
        }
    }

    /** A target process said something about an attempt; late and crossed words are dropped. */
    void onMessage(NodeId from, long incarnation, RequestMessage message, long nowNanos) {
        Exchange exchange = current(from, incarnation, message);
        if (exchange == null) {
            mCounts.mDropped++;
            return;
        }
        if (message instanceof RequestMessage.Head head) {
            onHead(exchange, head);
        } else if (message instanceof RequestMessage.Body body) {
            passOn(exchange, exchange.mAnswer.accept(body.index(), body.data()));
        } else if (message instanceof RequestMessage.End end) {
            exchange.mAnswer.end(end.parts());
            exchange.mTokensUsed = end.tokensUsed();
        } else if (message instanceof RequestMessage.Failed failed) {
            attemptFailed(exchange, failed.refusal(), nowNanos);
            return;
        }
        if (exchange.mAnswer.whole()) {
            answered(exchange, nowNanos);
        }
    }

    /** Returns how many requests are open. */
    int open() {
        return mByNumber.size();
    }

    /** Returns the target processes that have attempts of open requests. */
    Set<NodeId> targetsInUse() {
        Set<NodeId> targets = new HashSet<>();
        for (Exchange exchange : mByNumber.values()) {
            if (exchange.mPhase == Exchange.Phase.SENT) {
                targets.add(exchange.mTarget);
            }
        }
        return targets;
    }

    /** Takes no new requests from now on. */
    void stop() {
        mStopping = true;
    }

    /** Time has passed. */
    void tick(long nowNanos) {
        retryParked(nowNanos);
        expire(nowNanos);
    }

    /** A caller took parts of its answer. */
    void took(long number, int parts) {
        Exchange exchange = mByNumber.get(number);
        if (exchange != null && exchange.mPhase == Exchange.Phase.SENT) {
            Work work = exchange.mWork;
            mOut.send(
                    exchange.mTarget, new RequestMessage.Credit(work.id(), work.attempt(), parts));
        }
    }

    /** Returns whether an open request runs, or is to run, on an adapter version. */
    boolean uses(AdapterVersion version) {
        return mByNumber.values().stream()
                .anyMatch(exchange -> exchange.mWork.adapter().equals(Optional.of(version)));
    }

    private void admit(Exchange exchange, long nowNanos) {
        Admission admission =
                mShares.admit(
                        exchange.mNumber,
                        exchange.customer(),
                        exchange.mWork.charge(),
                        exchange.mDeadlineNanos,
                        nowNanos,
                        mOut);
        applyAdmission(exchange, admission, nowNanos);
    }

    private void answered(Exchange exchange, long nowNanos) {
        mCounts.mAnswered++;
        mRetry.onAnswered(exchange.mWork, nowNanos - exchange.mSentNanos);
        mRouter.onOutcome(
                exchange.mTarget,
                exchange.mWork,
                new Outcome.Answered(nowNanos - exchange.mSentNanos),
                nowNanos);
        if (!exchange.mCallerGone) {
            mOut.effect(new EntryEffect.AnswerEnded(exchange.mNumber));
        }
        long charge = exchange.mWork.charge();
        long used = exchange.mTokensUsed < 0 ? charge : exchange.mTokensUsed;
        close(exchange, Math.min(charge, used), nowNanos);
    }

    private void applyAdmission(Exchange exchange, Admission admission, long nowNanos) {
        switch (admission.outcome()) {
            case ADMITTED -> {
                exchange.mCharged = true;
                dispatch(exchange, nowNanos);
            }
            case WAITING -> exchange.mPhase = Exchange.Phase.ADMITTING;
            case OVER_RATE -> {
                Verdict verdict = exchange.mEarlier;
                String detail = "the customer is over its rate";
                Refusal refusal =
                        new Refusal(
                                RefusalCode.OVER_RATE,
                                verdict,
                                detail,
                                admission.retryAfterNanos());
                finish(exchange, refusal, 0, nowNanos);
            }
            case EXCEEDS_BURST ->
                    finish(
                            exchange,
                            Refusal.notRun(
                                            RefusalCode.EXCEEDS_BURST,
                                            "the request costs more than the customer's burst")
                                    .withVerdict(exchange.mEarlier),
                            0,
                            nowNanos);
            default -> throw new IllegalStateException("admission " + admission.outcome());
        }
    }

    /** Ends the current attempt without a whole answer and decides what becomes of the request. */
    private void attemptFailed(Exchange exchange, Refusal reported, long nowNanos) {
        Refusal refusal = exchange.mAnswerStarted ? broken(reported) : reported;
        mRouter.onOutcome(exchange.mTarget, exchange.mWork, outcome(exchange, refusal), nowNanos);
        boolean notRun = refusal.verdict() == Verdict.NOT_RUN;
        boolean again = tryAgain(exchange, refusal, nowNanos);
        exchange.mEarlier = exchange.worst(refusal.verdict());
        if (!again) {
            long used = notRun ? 0 : exchange.mWork.charge();
            finish(exchange, refusal.withVerdict(exchange.mEarlier), used, nowNanos);
            return;
        }
        mCounts.mRetried++;
        nextAttempt(exchange, notRun, nowNanos);
    }

    private static Refusal broken(Refusal reported) {
        return Refusal.mayHaveRun(RefusalCode.BROKEN_ANSWER, reported.detail());
    }

    private void cancelAdmission(Exchange exchange, long nowNanos) {
        mShares.cancel(
                exchange.mNumber, exchange.customer(), exchange.mWork.charge(), nowNanos, mOut);
    }

    private void cancelAttempt(Exchange exchange) {
        if (exchange.mCancelSent) {
            return;
        }
        exchange.mCancelSent = true;
        Work work = exchange.mWork;
        mOut.send(exchange.mTarget, new RequestMessage.Cancel(work.id(), work.attempt()));
    }

    private void close(Exchange exchange, long used, long nowNanos) {
        if (exchange.mCharged) {
            exchange.mCharged = false;
            mShares.settle(
                    exchange.mNumber,
                    exchange.customer(),
                    exchange.mWork.charge(),
                    used,
                    nowNanos,
                    mOut);
        }
        exchange.mPhase = Exchange.Phase.CLOSED;
        mByNumber.remove(exchange.mNumber);
        mBySequence.remove(exchange.mWork.id().sequence());
    }

    private Optional<Refusal> closedToNew(boolean ready) {
        if (mStopping) {
            return Optional.of(Refusal.notRun(RefusalCode.STOPPING, "the process is stopping"));
        }
        if (!ready) {
            return Optional.of(Refusal.notRun(RefusalCode.NOT_READY, "no settings yet"));
        }
        if (mByNumber.size() >= mOptions.maxExchanges()) {
            return Optional.of(Refusal.notRun(RefusalCode.OVERLOADED, "too many open requests"));
        }
        return Optional.empty();
    }

    private Exchange current(NodeId from, long incarnation, RequestMessage message) {
        RequestId id = message.id();
        Member self = mOptions.self();
        if (!id.entry().equals(self.id()) || id.incarnation() != self.incarnation()) {
            return null;
        }
        Exchange exchange = mBySequence.get(id.sequence());
        boolean matches =
                exchange != null
                        && exchange.mPhase == Exchange.Phase.SENT
                        && exchange.mWork.attempt() == message.attempt()
                        && exchange.mTarget.equals(from)
                        && exchange.mTargetIncarnation == incarnation;
        return matches ? exchange : null;
    }

    private void dispatch(Exchange exchange, long nowNanos) {
        Optional<Refusal> forbidden =
                AccessRules.check(mView.get(), Grant.of(exchange.mWork), nowNanos);
        if (forbidden.isPresent()) {
            finish(exchange, forbidden.get().withVerdict(exchange.mEarlier), 0, nowNanos);
            return;
        }
        if (mStopping && exchange.mEarlier == Verdict.NOT_RUN && mLinks.isEmpty()) {
            finish(
                    exchange,
                    Refusal.notRun(RefusalCode.STOPPING, "the process is stopping"),
                    0,
                    nowNanos);
            return;
        }
        RouteSettings route = exchange.mResolved.route();
        AdapterSettings adapter = exchange.mResolved.adapter().orElse(null);
        Optional<NodeId> target =
                mRouter.choose(
                        exchange.mWork,
                        route,
                        adapter,
                        exchange.mExcluded,
                        exchange.mDeadlineNanos,
                        nowNanos);
        if (target.isEmpty() || !mLinks.containsKey(target.get())) {
            park(exchange, nowNanos);
            return;
        }
        send(exchange, target.get(), nowNanos);
    }

    private void expire(long nowNanos) {
        while (!mDeadlines.isEmpty() && mDeadlines.peek().mAtNanos <= nowNanos) {
            Exchange exchange = mByNumber.get(mDeadlines.poll().mNumber);
            if (exchange != null) {
                expire(exchange, nowNanos);
            }
        }
    }

    private void expire(Exchange exchange, long nowNanos) {
        Refusal late = Refusal.notRun(RefusalCode.DEADLINE, "the time limit passed");
        if (exchange.mPhase != Exchange.Phase.SENT) {
            if (exchange.mPhase == Exchange.Phase.ADMITTING) {
                cancelAdmission(exchange, nowNanos);
            }
            finish(exchange, late.withVerdict(exchange.mEarlier), 0, nowNanos);
            return;
        }
        if (!exchange.mCancelSent) {
            cancelAttempt(exchange);
            mDeadlines.add(new Deadline(nowNanos + DEADLINE_GRACE_NANOS, exchange.mNumber));
            return;
        }
        attemptFailed(exchange, late.withVerdict(Verdict.MAY_HAVE_RUN), nowNanos);
    }

    /** Ends a request without a whole answer. */
    private void finish(Exchange exchange, Refusal refusal, long used, long nowNanos) {
        mCounts.refused(refusal.code());
        if (!exchange.mCallerGone) {
            if (exchange.mAnswerStarted) {
                mOut.effect(new EntryEffect.AnswerBroken(exchange.mNumber, refusal));
            } else {
                mOut.effect(new EntryEffect.Refused(exchange.mNumber, refusal));
            }
            mOut.log(
                    "request_failed",
                    "request",
                    exchange.mWork.id(),
                    "customer",
                    exchange.customer(),
                    "code",
                    refusal.code(),
                    "verdict",
                    refusal.verdict(),
                    "detail",
                    refusal.detail());
        }
        close(exchange, used, nowNanos);
    }

    private void nextAttempt(Exchange exchange, boolean notRun, long nowNanos) {
        if (!notRun && exchange.mCharged) {
            exchange.mCharged = false;
            long charge = exchange.mWork.charge();
            mShares.settle(exchange.mNumber, exchange.customer(), charge, charge, nowNanos, mOut);
        }
        exchange.mExcluded.add(exchange.mTarget);
        exchange.mTarget = null;
        exchange.mAnswer = new AnswerAssembler();
        exchange.mWork = exchange.mWork.withAttempt(exchange.mWork.attempt() + 1);
        exchange.mPhase = Exchange.Phase.PARKED;
        if (exchange.mCharged) {
            dispatch(exchange, nowNanos);
        } else {
            admit(exchange, nowNanos);
        }
    }

    private void onAdmission(AdmissionDecision decision, long nowNanos) {
        Exchange exchange = mByNumber.get(decision.ticket());
        if (exchange == null || exchange.mPhase != Exchange.Phase.ADMITTING) {
            throw new IllegalStateException("admission of an unknown request");
        }
        applyAdmission(exchange, decision.admission(), nowNanos);
    }

    private void onHead(Exchange exchange, RequestMessage.Head head) {
        if (exchange.mAnswer.started()) {
            return;
        }
        exchange.mAnswerStarted = true;
        if (!exchange.mCallerGone) {
            mOut.effect(
                    new EntryEffect.AnswerStarted(exchange.mNumber, head.status(), head.headers()));
        }
        passOn(exchange, exchange.mAnswer.start());
    }

    private void open(long number, CallerRequest request, ResolvedRequest resolved, long nowNanos) {
        RouteSettings route = resolved.route();
        long timeout =
                request.timeoutNanos() > 0
                        ? Math.min(request.timeoutNanos(), route.timeoutNanos())
                        : route.timeoutNanos();
        Work work = work(number, request, resolved);
        Exchange exchange = new Exchange(number, resolved, work, nowNanos, nowNanos + timeout);
        mByNumber.put(number, exchange);
        mBySequence.put(work.id().sequence(), exchange);
        mDeadlines.add(new Deadline(exchange.mDeadlineNanos, number));
        admit(exchange, nowNanos);
    }

    private static Outcome outcome(Exchange exchange, Refusal refusal) {
        if (exchange.mCancelSent || refusal.code() == RefusalCode.CANCELLED) {
            return new Outcome.Cancelled();
        }
        return refusal.verdict() == Verdict.NOT_RUN
                ? new Outcome.Refused(refusal)
                : new Outcome.Failed();
    }

    private void park(Exchange exchange, long nowNanos) {
        if (exchange.mPhase != Exchange.Phase.PARKED || exchange.mParkedNanos == 0) {
            exchange.mParkedNanos = nowNanos;
        }
        exchange.mPhase = Exchange.Phase.PARKED;
        mParked.add(exchange);
    }

    private void passOn(Exchange exchange, List<ByteString> parts) {
        if (exchange.mCallerGone) {
            return;
        }
        for (ByteString part : parts) {
            mOut.effect(new EntryEffect.AnswerPart(exchange.mNumber, part));
        }
    }

    private void refuse(long number, Refusal refusal) {
        mCounts.refused(refusal.code());
        mOut.effect(new EntryEffect.Refused(number, refusal));
    }

    private void retryParked(long nowNanos) {
        List<Exchange> parked = mParked;
        mParked = new ArrayList<>();
        for (Exchange exchange : parked) {
            if (exchange.mPhase != Exchange.Phase.PARKED) {
                continue;
            }
            long waited = nowNanos - exchange.mParkedNanos;
            if (waited >= MAX_PARKED_NANOS) {
                Refusal none = Refusal.notRun(RefusalCode.UNAVAILABLE, "no target is available");
                finish(exchange, none.withVerdict(exchange.mEarlier), 0, nowNanos);
                continue;
            }
            if (waited >= EXCLUSION_NANOS) {
                exchange.mExcluded.clear();
            }
            dispatch(exchange, nowNanos);
        }
    }

    private void send(Exchange exchange, NodeId target, long nowNanos) {
        exchange.mPhase = Exchange.Phase.SENT;
        exchange.mTarget = target;
        exchange.mTargetIncarnation = mLinks.get(target);
        exchange.mSentNanos = nowNanos;
        exchange.mParkedNanos = 0;
        mCounts.mSent++;
        mRouter.onSent(target, exchange.mWork, nowNanos);
        if (exchange.mWork.attempt() == 1) {
            mRetry.onFirstAttempt(exchange.mResolved.customer(), target, nowNanos);
        }
        long timeout = exchange.mDeadlineNanos - nowNanos;
        mOut.send(target, new RequestMessage.Run(exchange.mWork, timeout, mOptions.credit()));
    }

    /**
     * Returns whether a target process refused for a reason that the entry's own settings deny, so
     * that one of the two lags behind; the next dispatch checks the entry's settings again.
     */
    private static boolean settingsDiffer(RefusalCode code) {
        return code == RefusalCode.UNAUTHENTICATED
                || code == RefusalCode.FORBIDDEN
                || code == RefusalCode.NOT_FOUND;
    }

    private List<Exchange> sentTo(NodeId peer, long incarnation) {
        List<Exchange> sent = new ArrayList<>();
        for (Exchange exchange : mByNumber.values()) {
            if (exchange.mPhase == Exchange.Phase.SENT
                    && exchange.mTarget.equals(peer)
                    && exchange.mTargetIncarnation == incarnation) {
                sent.add(exchange);
            }
        }
        return sent;
    }

    private boolean tryAgain(Exchange exchange, Refusal refusal, long nowNanos) {
        Work work = exchange.mWork;
        if (exchange.mCallerGone || exchange.mCancelSent || work.attempt() >= MAX_ATTEMPTS) {
            return false;
        }
        if (refusal.verdict() == Verdict.NOT_RUN && settingsDiffer(refusal.code())) {
            return true;
        }
        RetryDecision decision =
                mRetry.decide(
                        work,
                        refusal,
                        exchange.mAnswerStarted,
                        exchange.mResolved.customer(),
                        exchange.mTarget,
                        exchange.mDeadlineNanos - nowNanos,
                        nowNanos);
        return decision instanceof RetryDecision.TryElsewhere;
    }

    private Work work(long number, CallerRequest request, ResolvedRequest resolved) {
        Member self = mOptions.self();
        RouteSettings route = resolved.route();
        boolean plain = route.model().isEmpty();
        RequestId id = new RequestId(self.id(), self.incarnation(), number);
        return new Work(
                id,
                1,
                resolved.customer().customer(),
                resolved.keyId(),
                route.route(),
                resolved.version(),
                route.idempotent(),
                route.priority(),
                plain ? 0 : request.promptTokens(),
                plain ? route.charge() : request.maxTokens(),
                request.prefixHash(),
                request.streamed(),
                request.payload());
    }

    /** When a request has to be looked at, if it is open then; keeps nothing of it in memory. */
    private static final class Deadline implements Comparable<Deadline> {
        private final long mAtNanos;
        private final long mNumber;

        Deadline(long atNanos, long number) {
            mAtNanos = atNanos;
            mNumber = number;
        }

        @Override
        public int compareTo(Deadline other) {
            return Long.compare(mAtNanos, other.mAtNanos);
        }
    }
}
