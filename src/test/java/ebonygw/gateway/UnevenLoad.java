package ebonygw.gateway;

import com.google.protobuf.ByteString;
import ebonygw.gateway.GatewayRequest.PromptPart;
import ebonygw.http.BodySummary;
import ebonygw.http.Framing;
import ebonygw.membership.MemberMessage.TargetReport;
import ebonygw.protocol.NodeId;
import ebonygw.routing.RouterOptions;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongToDoubleFunction;

/**
 * Entries and targets of uneven speed in virtual time. Replicas prefill prompts one after another
 * and cache their parts; plain targets run six requests and let 24 wait.
 */
final class UnevenLoad {
    private static final long MILLI = 1_000_000;
    private static final int REPORT_MILLIS = 150;

    final List<Target> mTargets = new ArrayList<>();
    final List<Long> mStartMillis = new ArrayList<>();
    int mAsked;
    int mLate;
    private final List<GatewayFixture> mEntries = new ArrayList<>();
    private final PriorityQueue<Task> mTasks = new PriorityQueue<>();
    private final SplittableRandom mRandom;
    private final boolean mReporting;
    private long mNowNanos;
    private long mSequence;

    UnevenLoad(long seed, int entries, int targets, boolean plain, boolean reporting) {
        mRandom = new SplittableRandom(seed);
        mReporting = reporting;
        for (int i = 0; i < targets; i++) {
            mTargets.add(new Target(i, plain));
        }
        for (int i = 0; i < entries; i++) {
            GatewayFixture entry = new GatewayFixture(seed + i);
            mEntries.add(entry);
            entry.settings(GatewayFixture.settings(1, 0, 0));
            mTargets.forEach(it -> entry.putTarget(it.mRecord));
            mNowNanos = entry.mNowNanos;
            entry.tick();
            mTargets.forEach(it -> entry.connectLoader(it.mRecord.host()));
            every(40, entry::tick, entry);
        }
        mTargets.forEach(it -> every(REPORT_MILLIS, it::report, null));
    }

    private record Task(long nanos, long sequence, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(nanos, other.nanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    long nowMillis() {
        return mNowNanos / MILLI;
    }

    /** Sends requests to entries at random, with random gaps, and runs them for a time. */
    void run(long millis, double perSecond) {
        long endNanos = mNowNanos + millis * MILLI;
        long nextNanos = mNowNanos;
        while (nextNanos < endNanos) {
            advance(nextNanos);
            submit();
            nextNanos += (long) (-Math.log(1 - mRandom.nextDouble()) * 1e9 / perSecond);
        }
        advance(endNanos);
    }

    /** Returns the speeds that the first entry has learnt. */
    Object dump() {
        return mEntries.get(0).mNode.dump(mNowNanos).get("balancing");
    }

    /** Runs the load for a time; returns {@link #largestShare} of the requests of that time. */
    double largestShareOf(long millis, double perSecond) {
        mTargets.forEach(it -> it.mServed = 0);
        run(millis, perSecond);
        return largestShare();
    }

    /** Returns a quantile of the times from the arrival of requests to their first event. */
    long startMillis(double quantile) {
        return mStartMillis.stream()
                .sorted()
                .skip((long) (quantile * mStartMillis.size()))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the greatest work of a target relative to its speed, divided by the mean. */
    double largestShare() {
        double most = 0;
        double sum = 0;
        for (Target target : mTargets) {
            double share = target.mServed * target.mSlowness;
            most = Math.max(most, share);
            sum += share;
        }
        return most * mTargets.size() / sum;
    }

    private void advance(long nanos) {
        while (!mTasks.isEmpty() && mTasks.peek().nanos() <= nanos) {
            Task task = mTasks.poll();
            mNowNanos = Math.max(mNowNanos, task.nanos());
            task.action().run();
        }
        mNowNanos = nanos;
    }

    private void after(double millis, Runnable action) {
        mTasks.add(new Task(mNowNanos + (long) (millis * MILLI), ++mSequence, action));
    }

    private void every(int millis, Runnable action, GatewayFixture entry) {
        after(
                millis,
                () -> {
                    if (entry != null) {
                        entry.mNowNanos = mNowNanos;
                    }
                    action.run();
                    if (entry != null) {
                        entry.mEffects.clear();
                    }
                    every(millis, action, entry);
                });
    }

    private void submit() {
        boolean plain = mTargets.get(0).mPlain;
        boolean summary = !plain && mRandom.nextInt(5) == 0;
        String id = "r" + ++mAsked;
        int shared = summary ? 6_000 : 400;
        int own = summary ? 3_190 : 426;
        // Half of the requests share one part, a quarter the next, and so on.
        String part = (summary ? "document" : "system") + Math.min(7, geometric());
        GatewayRequest request =
                plain
                        ? GatewayFixture.request(id, "/look/" + id, GatewayFixture.KEY, "")
                        : prompt(id, part, shared, own, summary ? 7 : 36);
        GatewayFixture entry = mEntries.get(mRandom.nextInt(mEntries.size()));
        long arrived = mNowNanos;
        long objective = plain ? 228 : summary ? 1_015 : 807;
        // A refused request stays late; a started one may be in time.
        mLate++;
        handle(
                entry,
                new GatewayEvent.RequestReceived(mAsked, request),
                () -> {
                    long took = (mNowNanos - arrived) / MILLI;
                    mStartMillis.add(took);
                    mLate -= took <= objective ? 1 : 0;
                });
    }

    /** Returns a request with a prompt of 9,190 tokens, most of which it shares with others. */
    static GatewayRequest summary(String id, String document) {
        return prompt(id, document, 6_000, 3_190, 7);
    }

    private static GatewayRequest prompt(
            String id, String part, int shared, int own, int maxTokens) {
        GatewayRequest base = GatewayFixture.request(id, "/ask/" + id, GatewayFixture.KEY, "");
        return new GatewayRequest(
                id,
                base.method(),
                base.host(),
                base.path(),
                base.keyHash(),
                base.model(),
                "",
                shared + own,
                maxTokens,
                List.of(new PromptPart(part, shared), new PromptPart(id, own)),
                base.callerTimeoutNanos(),
                "",
                Map.of(),
                ByteString.EMPTY);
    }

    /** Returns some idle replicas. */
    static TargetTable table(int replicas) {
        TargetTable table =
                new TargetTable(RouterOptions.defaults(new NodeId("e"), GatewayFixture.KINGSTON));
        for (int i = 0; i < replicas; i++) {
            table.put(
                    GatewayFixture.replica(
                            "t" + i, "10.2.0." + i + ":80", GatewayFixture.KINGSTON));
        }
        return table;
    }

    private int geometric() {
        int value = 0;
        while (mRandom.nextBoolean()) {
            value++;
        }
        return value;
    }

    private void handle(GatewayFixture entry, GatewayEvent event, Runnable onStart) {
        entry.mNowNanos = mNowNanos;
        entry.handle(event);
        for (GatewayEffect effect : entry.mEffects) {
            if (effect instanceof GatewayEffect.Attempt attempt) {
                for (Target target : mTargets) {
                    if (target.mRecord.id().equals(attempt.terms().instance())) {
                        after(1, () -> target.receive(entry, attempt, onStart));
                    }
                }
            }
        }
        entry.mEffects.clear();
    }

    /** A target with a constant slowness and temporary ones. */
    final class Target {
        TargetRecord mRecord;
        final boolean mPlain;
        double mSlowness = 1;

        /** Returns how long work takes at a time in ms, relative to the constant slowness. */
        LongToDoubleFunction mDisturbance = millis -> 1;

        long mServed;
        private final Set<String> mCached = new HashSet<>();
        private int mRunning;
        private long mQueued;
        private long mReports;
        private long mPrefillEndNanos;
        private final List<Runnable> mWaiting = new ArrayList<>();

        Target(int index, boolean plain) {
            mPlain = plain;
            String address = "10." + (plain ? 1 : 2) + ".0." + (index + 1) + ":80";
            mRecord =
                    plain
                            ? GatewayFixture.plain("t" + index, address, GatewayFixture.KINGSTON)
                            : GatewayFixture.replica("t" + index, address, GatewayFixture.KINGSTON);
        }

        /** Registers another incarnation, as after a restart. */
        void restart() {
            TargetRecord old = mRecord;
            mRecord =
                    new TargetRecord(
                            old.id(),
                            old.startedAtMillis() + 1,
                            old.service(),
                            old.address(),
                            old.locality(),
                            old.slots(),
                            false,
                            old.models(),
                            old.adapters());
            mEntries.forEach(it -> it.putTarget(mRecord));
        }

        /** Sends the load to all entries, without the fourth number, as loaders do. */
        void report() {
            TargetReport report =
                    new TargetReport(
                            ++mReports,
                            mRunning,
                            (int) mQueued,
                            mRecord.slots(),
                            0,
                            List.of(),
                            List.of());
            for (GatewayFixture entry : mPlain ? List.<GatewayFixture>of() : mEntries) {
                GatewayEvent event =
                        new GatewayEvent.PeerMessageReceived(
                                GatewayFixture.loader(mRecord.host()), 1, report);
                handle(entry, event, () -> {});
            }
        }

        private Optional<TargetLoad> load() {
            int percent =
                    mReporting
                            ? (int) Math.round(100 * mDisturbance.applyAsDouble(nowMillis()))
                            : 0;
            return Optional.of(new TargetLoad(mRunning, (int) mQueued, mRecord.slots(), percent));
        }

        private void receive(GatewayFixture entry, GatewayEffect.Attempt sent, Runnable onStart) {
            long exchange = sent.exchange();
            int attempt = sent.terms().number();
            if (mPlain && mWaiting.size() >= 24) {
                GatewayEvent held =
                        new GatewayEvent.ResponseHeld(exchange, attempt, 503, false, load());
                after(1, () -> handle(entry, held, onStart));
                return;
            }
            mServed++;
            mQueued++;
            Runnable end =
                    () -> {
                        mRunning--;
                        BodySummary body = new BodySummary(Framing.CHUNKED, 1);
                        handle(
                                entry,
                                new GatewayEvent.ResponseEnded(exchange, attempt, body),
                                onStart);
                        if (!mWaiting.isEmpty()) {
                            mWaiting.remove(0).run();
                        }
                    };
            Runnable start =
                    () -> {
                        onStart.run();
                        handle(
                                entry,
                                new GatewayEvent.ResponseStarted(exchange, attempt, 200, load()),
                                onStart);
                    };
            double slowness = mSlowness * mDisturbance.applyAsDouble(nowMillis());
            if (!mPlain) {
                double millis = 0.026 * uncached(sent.request()) * slowness;
                mPrefillEndNanos = Math.max(mPrefillEndNanos, mNowNanos) + (long) (millis * MILLI);
                double wait = (double) (mPrefillEndNanos - mNowNanos) / MILLI + 10;
                after(
                        wait,
                        () -> {
                            mQueued--;
                            mRunning++;
                            start.run();
                            after(20 * slowness * sent.request().maxTokens(), end);
                        });
                return;
            }
            Runnable work =
                    () -> {
                        mQueued--;
                        mRunning++;
                        double millis = 15 + mRandom.nextInt(7);
                        after(
                                millis * mSlowness * mDisturbance.applyAsDouble(nowMillis()),
                                () -> {
                                    start.run();
                                    end.run();
                                });
                    };
            if (mRunning < mRecord.slots()) {
                work.run();
            } else {
                mWaiting.add(work);
            }
        }

        private long uncached(GatewayRequest request) {
            long tokens = request.promptTokens();
            for (PromptPart part : request.promptParts()) {
                tokens -= mCached.add(part.id()) ? 0 : part.tokens();
            }
            return tokens;
        }
    }
}
