package ebonygw.gateway;

import com.google.protobuf.ByteString;
import ebonygw.gateway.GatewayRequest.PromptPart;
import ebonygw.http.BodySummary;
import ebonygw.http.Framing;
import ebonygw.membership.MemberMessage.TargetReport;
import ebonygw.protocol.NodeId;
import ebonygw.routing.RouterOptions;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.LongToDoubleFunction;

/**
 * Entries and targets of uneven speed in virtual time. Replicas prefill prompts one after another
 * and cache their parts; plain targets run six requests at a time.
 */
final class UnevenLoad {
    private static final long MILLI = 1_000_000;

    final List<Target> mTargets = new ArrayList<>();
    int mLate;
    private final List<Long> mStartMillis = new ArrayList<>();
    private final List<GatewayFixture> mEntries = new ArrayList<>();
    private final TreeMap<Long, Runnable> mTasks = new TreeMap<>();
    private final SplittableRandom mRandom;
    private final boolean mPlain;
    final boolean mReporting;
    private long mNowNanos;
    private long mSequence;

    UnevenLoad(long seed, int entries, int targets, boolean plain, boolean reporting) {
        mRandom = new SplittableRandom(seed);
        mPlain = plain;
        mReporting = reporting;
        for (int i = 0; i < targets; i++) {
            mTargets.add(new Target("t" + i, "10.2.0." + i + ":80"));
        }
        for (int i = 0; i < entries; i++) {
            GatewayFixture entry = new GatewayFixture(seed + i);
            mEntries.add(entry);
            entry.settings(GatewayFixture.settings(1, 0, 0));
            mTargets.forEach(it -> entry.putTarget(it.mRecord));
            mNowNanos = entry.mNowNanos;
            entry.tick();
            mTargets.forEach(it -> entry.connectLoader(it.mRecord.host()));
        }
        report();
    }

    /** Returns a request with a prompt of 9,190 tokens, most of which it shares with others. */
    static GatewayRequest summary(String id, String document) {
        return prompt(id, document, 6_000, 3_190, 7);
    }

    private static GatewayRequest prompt(String id, String part, int shared, int own, int max) {
        GatewayRequest base = GatewayFixture.request(id, "/ask/" + id, GatewayFixture.KEY, "");
        List<PromptPart> parts = List.of(new PromptPart(part, shared), new PromptPart(id, own));
        String method = base.method();
        long timeout = base.callerTimeoutNanos();
        ByteString body = base.body();
        return new GatewayRequest(
                id,
                method,
                base.host(),
                base.path(),
                base.keyHash(),
                base.model(),
                "",
                shared + own,
                max,
                parts,
                timeout,
                "",
                Map.of(),
                body);
    }

    /** Returns some idle replicas. */
    static TargetTable table(int replicas) {
        RouterOptions options = RouterOptions.defaults(new NodeId("e"), GatewayFixture.KINGSTON);
        TargetTable table = new TargetTable(options);
        for (int i = 0; i < replicas; i++) {
            String address = "10.2.0." + i + ":80";
            table.put(GatewayFixture.replica("t" + i, address, GatewayFixture.KINGSTON), 0);
        }
        return table;
    }

    long nowMillis() {
        return mNowNanos / MILLI;
    }

    /** Returns the speeds that the first entry has learnt. */
    Map<?, ?> dump() {
        return (Map<?, ?>) mEntries.get(0).mNode.dump(mNowNanos).get("balancing");
    }

    /** Sends requests to entries at random, with random gaps, and runs them for a time. */
    void run(long millis, double perSecond) {
        long endNanos = mNowNanos + millis * MILLI;
        for (long next = mNowNanos; next < endNanos; ) {
            advance(next);
            submit();
            next += (long) (-Math.log(1 - mRandom.nextDouble()) * 1e9 / perSecond);
        }
        advance(endNanos);
    }

    /** Runs the load for a time; returns {@link #largestShare} of the requests of that time. */
    double largestShareOf(long millis, double perSecond) {
        mTargets.forEach(it -> it.mServed = 0);
        run(millis, perSecond);
        return largestShare();
    }

    /** Returns the greatest work of a target relative to its speed, divided by the mean. */
    double largestShare() {
        double most =
                mTargets.stream().mapToDouble(it -> it.mServed * it.mSlowness).max().orElse(0);
        double sum = mTargets.stream().mapToDouble(it -> it.mServed * it.mSlowness).sum();
        return most * mTargets.size() / sum;
    }

    /** Returns a quantile of the times from the arrival of requests to their first event. */
    long startMillis(double quantile) {
        long skipped = (long) (quantile * mStartMillis.size());
        return mStartMillis.stream().sorted().skip(skipped).findFirst().orElseThrow();
    }

    private void advance(long nanos) {
        while (!mTasks.isEmpty() && mTasks.firstKey() <= nanos) {
            mNowNanos = mTasks.firstKey();
            mTasks.pollFirstEntry().getValue().run();
        }
        mNowNanos = nanos;
    }

    private void after(double millis, Runnable action) {
        long nanos = mNowNanos + (long) (millis * MILLI) + 1;
        while (mTasks.putIfAbsent(nanos, action) != null) {
            nanos++;
        }
    }

    /** Sends the loads of replicas to all entries, without the fourth number, as loaders do. */
    private void report() {
        for (GatewayFixture entry : mEntries) {
            handle(entry, new GatewayEvent.Tick(), () -> {});
            for (Target it : mPlain ? List.<Target>of() : mTargets) {
                TargetReport report =
                        new TargetReport(
                                mSequence, it.mRunning, it.mUnstarted, 96, 0, List.of(), List.of());
                NodeId loader = GatewayFixture.loader(it.mRecord.host());
                handle(entry, new GatewayEvent.PeerMessageReceived(loader, 1, report), () -> {});
            }
        }
        mSequence++;
        after(150, this::report);
    }

    private void submit() {
        boolean isSummary = !mPlain && mRandom.nextInt(5) == 0;
        String id = "r" + ++mSequence;
        // Half of the requests share one part, a quarter the next, and so on.
        String part = "part" + Math.min(7, Long.numberOfTrailingZeros(mRandom.nextLong()));
        GatewayRequest request =
                mPlain
                        ? GatewayFixture.request(id, "/look/" + id, GatewayFixture.KEY, "")
                        : isSummary ? summary(id, part) : prompt(id, "s" + part, 400, 426, 36);
        GatewayFixture entry = mEntries.get(mRandom.nextInt(mEntries.size()));
        long arrived = nowMillis();
        long objective = mPlain ? 228 : isSummary ? 1_015 : 807;
        // A refused request stays late; a started one may be in time.
        mLate++;
        Runnable onStart =
                () -> {
                    mStartMillis.add(nowMillis() - arrived);
                    mLate -= nowMillis() - arrived <= objective ? 1 : 0;
                };
        handle(entry, new GatewayEvent.RequestReceived(mSequence, request), onStart);
    }

    private void handle(GatewayFixture entry, GatewayEvent event, Runnable onStart) {
        entry.mNowNanos = mNowNanos;
        entry.handle(event);
        for (GatewayEffect effect : entry.mEffects) {
            if (effect instanceof GatewayEffect.Attempt attempt) {
                mTargets.stream()
                        .filter(it -> it.mRecord.id().equals(attempt.terms().instance()))
                        .forEach(it -> after(1, () -> it.receive(entry, attempt, onStart)));
            }
        }
        entry.mEffects.clear();
    }

    /** A target with a constant slowness and temporary ones. */
    final class Target {
        double mSlowness = 1;

        /** How long work takes at a time in ms, relative to the constant slowness. */
        LongToDoubleFunction mDisturbance = millis -> 1;

        long mServed;
        private TargetRecord mRecord;
        private final Set<String> mCached = new HashSet<>();
        private final long[] mFreeNanos = new long[mPlain ? 6 : 1];
        private int mRunning;
        private int mUnstarted;

        Target(String id, String address) {
            mRecord =
                    mPlain
                            ? GatewayFixture.plain(id, address, GatewayFixture.KINGSTON)
                            : GatewayFixture.replica(id, address, GatewayFixture.KINGSTON);
        }

        /** Registers another incarnation, which has another address. */
        void restart() {
            mRecord = GatewayFixture.plain(mRecord.id(), "10.9.0.1:80", GatewayFixture.KINGSTON);
            mEntries.forEach(it -> it.putTarget(mRecord));
        }

        private TargetLoad load() {
            double percent = mReporting ? 100 * mDisturbance.applyAsDouble(nowMillis()) : 0;
            int running = mPlain ? Math.min(6, mUnstarted) : mRunning;
            int queued = mPlain ? mUnstarted - running : mUnstarted;
            return new TargetLoad(running, queued, mRecord.slots(), (int) percent);
        }

        private void receive(GatewayFixture entry, GatewayEffect.Attempt sent, Runnable onStart) {
            mServed++;
            mUnstarted++;
            double slowness = mSlowness * mDisturbance.applyAsDouble(nowMillis());
            long tokens = sent.request().promptTokens();
            for (PromptPart part : sent.request().promptParts()) {
                tokens -= mCached.add(part.id()) ? 0 : part.tokens();
            }
            double millis = mPlain ? 15 + mRandom.nextInt(7) : 0.026 * tokens;
            Arrays.sort(mFreeNanos);
            mFreeNanos[0] = Math.max(mFreeNanos[0], mNowNanos) + (long) (millis * slowness * MILLI);
            double wait = (double) (mFreeNanos[0] - mNowNanos) / MILLI;
            double stream = mPlain ? 0 : 20 * slowness * sent.request().maxTokens();
            long exchange = sent.exchange();
            int attempt = sent.terms().number();
            after(
                    wait,
                    () -> {
                        mUnstarted--;
                        mRunning++;
                        onStart.run();
                        Optional<TargetLoad> load = Optional.of(load());
                        handle(
                                entry,
                                new GatewayEvent.ResponseStarted(exchange, attempt, 200, load),
                                onStart);
                        after(stream, () -> end(entry, exchange, attempt));
                    });
        }

        private void end(GatewayFixture entry, long exchange, int attempt) {
            mRunning--;
            BodySummary body = new BodySummary(Framing.CHUNKED, 1);
            handle(entry, new GatewayEvent.ResponseEnded(exchange, attempt, body), () -> {});
        }
    }
}
