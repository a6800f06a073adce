package ebonygw;

import com.google.protobuf.ByteString;
import ebonygw.access.AccessClaim;
import ebonygw.access.AccessRules;
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

/**
 * Handles callers' requests at the entry process, from receipt to the end of the response:
 * admission, choice of a target, attempts and retries.
 *
 * <p>Not thread-safe.
 */
final class EntryRequests {
    /** How long past its deadline a cancelled request waits for the target process's result. */
    private static final long DEADLINE_GRACE_NANOS = 500_000_000L;

    /** How long a request waits for an available target before it is refused. */
    private static final long MAX_PARKED_NANOS = 5_000_000_000L;

    /** How long a request waits before targets where it has failed may be chosen again. */
    private static final long EXCLUSION_NANOS = 100_000_000L;

    /** Maximum number of attempts of one request. */
    private static final int MAX_ATTEMPTS = 32;

    private final EntryNodeOptions mOptions;
    private final Supplier<SettingsView> mSettings;
    private final ShareNode mShares;
    private final Router mRouter;
    private final RetryPolicy mRetry;
    private final EntryOutbox mOut;
    private final Map<Long, Exchange> mById = new HashMap<>();
    private final Map<Long, Exchange> mBySequence = new HashMap<>();

    /** Incarnations of the connected processes. */
    private final Map<NodeId, Long> mPeerIncarnations = new HashMap<>();

    private final PriorityQueue<Deadline> mDeadlines = new PriorityQueue<>();
    private final EntryCounts mCounts = new EntryCounts();
    private List<Exchange> mParked = new ArrayList<>();
    private boolean mStopping;

    EntryRequests(
            EntryNodeOptions options,
            Supplier<SettingsView> settings,
            ShareNode shares,
            Router router,
            RetryPolicy retry,
            EntryOutbox out) {
        mOptions = options;
        mSettings = settings;
        mShares = shares;
        mRouter = router;
        mRetry = retry;
        mOut = out;
    }

    /** Continues the requests whose admission has been decided since the last invocation. */
    void applyAdmissionDecisions(long nowNanos) {
        for (AdmissionDecision decision : mShares.decisions()) {
            onAdmission(decision, nowNanos);
        }
    }

    /** Returns the counters since the start. */
    EntryCounts counts() {
        return mCounts;
    }

    /** Returns the state as a map for JSON. */
    Map<String, Object> dump() {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("open", mById.size());
        dump.put("parked", mParked.size());
        dump.put("links", mPeerIncarnations.toString());
        dump.put("counts", mCounts.toMap());
        return dump;
    }

    /** Returns whether there is a connection to this incarnation of a process. */
    boolean isConnected(Member member) {
        Long incarnation = mPeerIncarnations.get(member.id());
        return incarnation != null && incarnation == member.incarnation();
    }

    /** Handles the loss of a caller's connection. */
    void onCallerDisconnected(long exchangeId, long nowNanos) {
        Exchange exchange = mById.get(exchangeId);
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
            default -> throw new IllegalStateException("unexpected phase " + exchange.mPhase);
        }
    }

    /** Handles a target process's message about an attempt; drops it if it is not current. */
    void onMessage(NodeId from, long incarnation, RequestMessage message, long nowNanos) {
        Exchange exchange = currentExchange(from, incarnation, message);
        if (exchange == null) {
            mCounts.mDropped++;
            return;
        }
        if (message instanceof RequestMessage.Head head) {
            onHead(exchange, head);
        } else if (message instanceof RequestMessage.Body body) {
            forward(exchange, exchange.mResponse.accept(body.index(), body.data()));
        } else if (message instanceof RequestMessage.End end) {
            exchange.mResponse.end(end.parts());
            exchange.mTokensUsed = end.tokensUsed();
        } else if (message instanceof RequestMessage.Failed failed) {
            attemptFailed(exchange, failed.refusal(), nowNanos);
            return;
        }
        if (exchange.mResponse.isComplete()) {
            complete(exchange, nowNanos);
        }
    }

    /** Grants the target process credit for the response parts that the caller has consumed. */
    void onPartsConsumed(long exchangeId, int parts) {
        Exchange exchange = mById.get(exchangeId);
        if (exchange != null && exchange.mPhase == Exchange.Phase.SENT) {
            Work work = exchange.mWork;
            mOut.send(
                    exchange.mTarget, new RequestMessage.Credit(work.id(), work.attempt(), parts));
        }
    }

    /** Handles the loss of a connection: attempts sent over it fail, as they may have run. */
    void onPeerDown(NodeId peer, long incarnation, long nowNanos) {
        mPeerIncarnations.remove(peer, incarnation);
        mRouter.onPeerDown(peer, nowNanos);
        Refusal lost = Refusal.mayHaveRun(RefusalCode.LOST, "the link to the target was lost");
        for (Exchange exchange : sentTo(peer, incarnation)) {
            attemptFailed(exchange, lost, nowNanos);
        }
    }

    /** Handles a new connection: attempts sent to an older incarnation fail. */
    void onPeerUp(NodeId peer, long incarnation, long nowNanos) {
        Long previous = mPeerIncarnations.put(peer, incarnation);
        if (previous != null && previous != incarnation) {
            Refusal lost = Refusal.mayHaveRun(RefusalCode.LOST, "the target process restarted");
            for (Exchange exchange : sentTo(peer, previous)) {
                attemptFailed(exchange, lost, nowNanos);
            }
        }
    }

    /** Handles a new request of a caller. */
    void onRequest(long exchangeId, CallerRequest request, boolean ready, long nowNanos) {
        mCounts.mReceived++;
        Optional<Refusal> closed = closedToNew(ready);
        if (closed.isPresent()) {
            refuse(exchangeId, closed.get());
            return;
        }
        Either<Refusal, ResolvedRequest> resolved =
                RequestResolver.resolve(request, mSettings.get(), nowNanos);
        if (resolved.isLeft()) {
            refuse(exchangeId, resolved.getLeft());
            return;
        }
        open(exchangeId, request, resolved.get(), nowNanos);
    }

    /** Tries parked requests again and ends those past their deadline. */
    void onTick(long nowNanos) {
        retryParked(nowNanos);
        expire(nowNanos);
    }

    /** Returns the number of open requests. */
    int open() {
        return mById.size();
    }

    /** Refuses new requests from now on. */
    void stop() {
        mStopping = true;
    }

    /** Returns the target processes to which attempts of open requests have been sent. */
    Set<NodeId> targetsInUse() {
        Set<NodeId> targets = new HashSet<>();
        for (Exchange exchange : mById.values()) {
            if (exchange.mPhase == Exchange.Phase.SENT) {
                targets.add(exchange.mTarget);
            }
        }
        return targets;
    }

    /** Returns whether an open request is assigned to an adapter version. */
    boolean uses(AdapterVersion version) {
        return mById.values().stream()
                .anyMatch(exchange -> exchange.mWork.adapter().equals(Optional.of(version)));
    }

    private void admit(Exchange exchange, long nowNanos) {
        Admission admission =
                mShares.admit(
                        exchange.mId,
                        exchange.customer(),
                        exchange.mWork.charge(),
                        exchange.mDeadlineNanos,
                        nowNanos,
                        mOut);
        applyAdmission(exchange, admission, nowNanos);
    }

    private void applyAdmission(Exchange exchange, Admission admission, long nowNanos) {
        switch (admission.outcome()) {
            case ADMITTED -> {
                exchange.mCharged = true;
                dispatch(exchange, nowNanos);
            }
            case WAITING -> exchange.mPhase = Exchange.Phase.ADMITTING;
            case OVER_RATE -> {
                Verdict verdict = exchange.mWorstVerdict;
                String detail = "the customer is over its rate";
                Refusal refusal =
                        new Refusal(
                                RefusalCode.OVER_RATE,
                                verdict,
                                detail,
                                admission.retryAfterNanos());
                fail(exchange, refusal, 0, nowNanos);
            }
            case EXCEEDS_BURST ->
                    fail(
                            exchange,
                            Refusal.notRun(
                                            RefusalCode.EXCEEDS_BURST,
                                            "the request costs more than the customer's burst")
                                    .withVerdict(exchange.mWorstVerdict),
                            0,
                            nowNanos);
            default ->
                    throw new IllegalStateException(
                            "unexpected admission outcome " + admission.outcome());
        }
    }

    /** Ends the current attempt without a complete response; retries or fails the request. */
    private void attemptFailed(Exchange exchange, Refusal reported, long nowNanos) {
        Refusal refusal = exchange.mResponseStarted ? brokenResponse(reported) : reported;
        mRouter.onOutcome(exchange.mTarget, exchange.mWork, outcome(exchange, refusal), nowNanos);
        boolean notRun = refusal.verdict() == Verdict.NOT_RUN;
        boolean retry = shouldRetry(exchange, refusal, nowNanos);
        exchange.mWorstVerdict = exchange.worstVerdict(refusal.verdict());
        if (!retry) {
            long used = notRun ? 0 : exchange.mWork.charge();
            fail(exchange, refusal.withVerdict(exchange.mWorstVerdict), used, nowNanos);
            return;
        }
        mCounts.mRetried++;
        nextAttempt(exchange, notRun, nowNanos);
    }

    private static Refusal brokenResponse(Refusal reported) {
        return Refusal.mayHaveRun(RefusalCode.BROKEN_ANSWER, reported.detail());
    }

    private void cancelAdmission(Exchange exchange, long nowNanos) {
        mShares.cancel(exchange.mId, exchange.customer(), exchange.mWork.charge(), nowNanos, mOut);
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
                    exchange.mId,
                    exchange.customer(),
                    exchange.mWork.charge(),
                    used,
                    nowNanos,
                    mOut);
        }
        exchange.mPhase = Exchange.Phase.CLOSED;
        mById.remove(exchange.mId);
        mBySequence.remove(exchange.mWork.id().sequence());
    }

    private Optional<Refusal> closedToNew(boolean ready) {
        if (mStopping) {
            return Optional.of(Refusal.notRun(RefusalCode.STOPPING, "the process is stopping"));
        }
        if (!ready) {
            return Optional.of(Refusal.notRun(RefusalCode.NOT_READY, "no settings yet"));
        }
        if (mById.size() >= mOptions.maxExchanges()) {
            return Optional.of(Refusal.notRun(RefusalCode.OVERLOADED, "too many open requests"));
        }
        return Optional.empty();
    }

    private void complete(Exchange exchange, long nowNanos) {
        mCounts.mCompleted++;
        mRetry.onCompleted(exchange.mWork, nowNanos - exchange.mSentNanos);
        mRouter.onOutcome(
                exchange.mTarget,
                exchange.mWork,
                new Outcome.Completed(nowNanos - exchange.mSentNanos),
                nowNanos);
        if (!exchange.mCallerGone) {
            mOut.effect(new EntryEffect.ResponseEnded(exchange.mId));
        }
        long charge = exchange.mWork.charge();
        long used = exchange.mTokensUsed < 0 ? charge : exchange.mTokensUsed;
        close(exchange, Math.min(charge, used), nowNanos);
    }

    private Exchange currentExchange(NodeId from, long incarnation, RequestMessage message) {
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
                AccessRules.check(mSettings.get(), AccessClaim.of(exchange.mWork), nowNanos);
        if (forbidden.isPresent()) {
            fail(exchange, forbidden.get().withVerdict(exchange.mWorstVerdict), 0, nowNanos);
            return;
        }
        if (mStopping && exchange.mWorstVerdict == Verdict.NOT_RUN && mPeerIncarnations.isEmpty()) {
            fail(
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
                        exchange.mExcludedTargets,
                        exchange.mDeadlineNanos,
                        nowNanos);
        if (target.isEmpty() || !mPeerIncarnations.containsKey(target.get())) {
            park(exchange, nowNanos);
            return;
        }
        send(exchange, target.get(), nowNanos);
    }

    private void expire(long nowNanos) {
        while (!mDeadlines.isEmpty() && mDeadlines.peek().mAtNanos <= nowNanos) {
            Exchange exchange = mById.get(mDeadlines.poll().mExchangeId);
            if (exchange != null) {
                expire(exchange, nowNanos);
            }
        }
    }

    private void expire(Exchange exchange, long nowNanos) {
        Refusal expired = Refusal.notRun(RefusalCode.DEADLINE, "the time limit passed");
        if (exchange.mPhase != Exchange.Phase.SENT) {
            if (exchange.mPhase == Exchange.Phase.ADMITTING) {
                cancelAdmission(exchange, nowNanos);
            }
            fail(exchange, expired.withVerdict(exchange.mWorstVerdict), 0, nowNanos);
            return;
        }
        if (!exchange.mCancelSent) {
            cancelAttempt(exchange);
            mDeadlines.add(new Deadline(nowNanos + DEADLINE_GRACE_NANOS, exchange.mId));
            return;
        }
        attemptFailed(exchange, expired.withVerdict(Verdict.MAY_HAVE_RUN), nowNanos);
    }

    /** Ends a request without a complete response. */
    private void fail(Exchange exchange, Refusal reason, long used, long nowNanos) {
        Refusal refusal = reason.verdict() == Verdict.NOT_RUN ? reason : reason.ofPossibleRun();
        mCounts.addFailure(refusal.code());
        if (!exchange.mCallerGone) {
            if (exchange.mResponseStarted) {
                mOut.effect(new EntryEffect.ResponseAborted(exchange.mId, refusal));
            } else {
                mOut.effect(new EntryEffect.Refused(exchange.mId, refusal));
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

    private void forward(Exchange exchange, List<ByteString> parts) {
        if (exchange.mCallerGone) {
            return;
        }
        for (ByteString part : parts) {
            mOut.effect(new EntryEffect.ResponsePart(exchange.mId, part));
        }
    }

    private void nextAttempt(Exchange exchange, boolean notRun, long nowNanos) {
        if (!notRun && exchange.mCharged) {
            exchange.mCharged = false;
            long charge = exchange.mWork.charge();
            mShares.settle(exchange.mId, exchange.customer(), charge, charge, nowNanos, mOut);
        }
        exchange.mExcludedTargets.add(exchange.mTarget);
        exchange.mTarget = null;
        exchange.mResponse = new ResponseAssembler();
        exchange.mWork = exchange.mWork.withAttempt(exchange.mWork.attempt() + 1);
        exchange.mPhase = Exchange.Phase.PARKED;
        if (exchange.mCharged) {
            dispatch(exchange, nowNanos);
        } else {
            admit(exchange, nowNanos);
        }
    }

    private void onAdmission(AdmissionDecision decision, long nowNanos) {
        Exchange exchange = mById.get(decision.requestId());
        if (exchange == null || exchange.mPhase != Exchange.Phase.ADMITTING) {
            throw new IllegalStateException(
                    "admission decided for exchange "
                            + decision.requestId()
                            + ", which does not wait for one");
        }
        applyAdmission(exchange, decision.admission(), nowNanos);
    }

    private void onHead(Exchange exchange, RequestMessage.Head head) {
        if (exchange.mResponse.isStarted()) {
            return;
        }
        exchange.mResponseStarted = true;
        if (!exchange.mCallerGone) {
            mOut.effect(
                    new EntryEffect.ResponseStarted(exchange.mId, head.status(), head.headers()));
        }
        forward(exchange, exchange.mResponse.start());
    }

    private void open(
            long exchangeId, CallerRequest request, ResolvedRequest resolved, long nowNanos) {
        RouteSettings route = resolved.route();
        long timeout =
                request.timeoutNanos() > 0
                        ? Math.min(request.timeoutNanos(), route.timeoutNanos())
                        : route.timeoutNanos();
        Work work = work(exchangeId, request, resolved);
        Exchange exchange = new Exchange(exchangeId, resolved, work, nowNanos, nowNanos + timeout);
        mById.put(exchangeId, exchange);
        mBySequence.put(work.id().sequence(), exchange);
        mDeadlines.add(new Deadline(exchange.mDeadlineNanos, exchangeId));
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
        if (exchange.mPhase != Exchange.Phase.PARKED || exchange.mParkedSinceNanos == 0) {
            exchange.mParkedSinceNanos = nowNanos;
        }
        exchange.mPhase = Exchange.Phase.PARKED;
        mParked.add(exchange);
    }

    private void refuse(long exchangeId, Refusal refusal) {
        mCounts.addFailure(refusal.code());
        mOut.effect(new EntryEffect.Refused(exchangeId, refusal));
    }

    private void retryParked(long nowNanos) {
        List<Exchange> parked = mParked;
        mParked = new ArrayList<>();
        for (Exchange exchange : parked) {
            if (exchange.mPhase != Exchange.Phase.PARKED) {
                continue;
            }
            long waited = nowNanos - exchange.mParkedSinceNanos;
            if (waited >= MAX_PARKED_NANOS) {
                Refusal unavailable =
                        Refusal.notRun(RefusalCode.UNAVAILABLE, "no target is available");
                fail(exchange, unavailable.withVerdict(exchange.mWorstVerdict), 0, nowNanos);
                continue;
            }
            if (waited >= EXCLUSION_NANOS) {
                exchange.mExcludedTargets.clear();
            }
            dispatch(exchange, nowNanos);
        }
    }

    private void send(Exchange exchange, NodeId target, long nowNanos) {
        exchange.mPhase = Exchange.Phase.SENT;
        exchange.mTarget = target;
        exchange.mTargetIncarnation = mPeerIncarnations.get(target);
        exchange.mSentNanos = nowNanos;
        exchange.mParkedSinceNanos = 0;
        mCounts.mSent++;
        mRouter.onSent(target, exchange.mWork, nowNanos);
        if (exchange.mWork.attempt() == 1) {
            mRetry.onFirstAttempt(exchange.mResolved.customer(), target, nowNanos);
        }
        long timeout = exchange.mDeadlineNanos - nowNanos;
        mOut.send(target, new RequestMessage.Run(exchange.mWork, timeout, mOptions.credit()));
    }

    private List<Exchange> sentTo(NodeId peer, long incarnation) {
        List<Exchange> sent = new ArrayList<>();
        for (Exchange exchange : mById.values()) {
            if (exchange.mPhase == Exchange.Phase.SENT
                    && exchange.mTarget.equals(peer)
                    && exchange.mTargetIncarnation == incarnation) {
                sent.add(exchange);
            }
        }
        return sent;
    }

    /**
     * Returns whether a target process refused for a reason that contradicts the settings of this
     * entry, which means that one of the two has an older revision. The next dispatch checks the
     * access rules again.
     */
    private static boolean settingsDiffer(RefusalCode code) {
        return code == RefusalCode.UNAUTHENTICATED
                || code == RefusalCode.FORBIDDEN
                || code == RefusalCode.NOT_FOUND;
    }

    private boolean shouldRetry(Exchange exchange, Refusal refusal, long nowNanos) {
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
                        exchange.mResponseStarted,
                        exchange.mResolved.customer(),
                        exchange.mTarget,
                        exchange.mDeadlineNanos - nowNanos,
                        nowNanos);
        return decision instanceof RetryDecision.RetryOnOtherTarget;
    }

    private Work work(long exchangeId, CallerRequest request, ResolvedRequest resolved) {
        Member self = mOptions.self();
        RouteSettings route = resolved.route();
        boolean plain = route.model().isEmpty();
        RequestId id = new RequestId(self.id(), self.incarnation(), exchangeId);
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

    /** When to check a request, if it is still open; does not keep the request in memory. */
    private static final class Deadline implements Comparable<Deadline> {
        private final long mAtNanos;
        private final long mExchangeId;

        Deadline(long atNanos, long exchangeId) {
            mAtNanos = atNanos;
            mExchangeId = exchangeId;
        }

        @Override
        public int compareTo(Deadline other) {
            return Long.compare(mAtNanos, other.mAtNanos);
        }
    }
}
