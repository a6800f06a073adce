package ebonygw.settings;

import ebonygw.protocol.Locality;
import ebonygw.protocol.Outbox;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Holds a staged change when the ratio of refused requests rises where the change is in force.
 *
 * <p>Each process in which the change is in force compares its own refusal ratio since then with
 * that of up to two minutes before. Several processes may hold the same change: they use the same
 * identifier for the holding change, so it is appended once. Must be used on the control thread
 * only.
 */
public final class StageGuard {
    /** Correlation id of the guard's own changes at the writer. */
    public static final long CORRELATION_ID = -1;

    private static final long BASELINE_WINDOW_NANOS = TimeUnit.MINUTES.toNanos(2);
    private static final long RETRY_DELAY_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long SAMPLE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(900);
    private static final long MIN_REQUESTS = 50;
    private static final double MAX_RATIO_INCREASE = 0.05;

    private final SettingsReplica mReplica;
    private final SettingsWriter mWriter;
    private final Locality mLocality;
    private final Deque<Sample> mBaselineSamples = new ArrayDeque<>();
    private long mStagedRevision;
    private Sample mStageStart;
    private double mBaselineRatio;
    private long mRetryAtNanos;
    private long mSampleAtNanos;

    /**
     * Creates a guard.
     *
     * @param replica the replica of the settings in this process
     * @param writer the writer of this process
     * @param locality region and data centre of this process
     */
    public StageGuard(SettingsReplica replica, SettingsWriter writer, Locality locality) {
        mReplica = Objects.requireNonNull(replica, "replica");
        mWriter = Objects.requireNonNull(writer, "writer");
        mLocality = Objects.requireNonNull(locality, "locality");
    }

    /**
     * Checks the request counts of this process; must be called at least every second, and is
     * evaluated about once a second.
     *
     * @param requests requests admitted or refused since the process started
     * @param refusals how many of them were refused for reasons other than a fault of the caller
     * @param nowNanos the present time since the Unix epoch
     * @param out receives the first key-value request of the holding change
     */
    public void onCounts(long requests, long refusals, long nowNanos, Outbox out) {
        if (nowNanos < mSampleAtNanos) {
            return;
        }
        mSampleAtNanos = nowNanos + SAMPLE_INTERVAL_NANOS;
        Sample now = new Sample(nowNanos, requests, refusals);
        Optional<StagedEdits> staged =
                mReplica.state().tree().staged().filter(edits -> edits.inForceAt(mLocality));
        if (staged.isEmpty()) {
            mStageStart = null;
            recordBaseline(now);
            return;
        }
        if (mStageStart == null || mStagedRevision != staged.get().revision()) {
            mStageStart = mBaselineSamples.isEmpty() ? now : mBaselineSamples.getLast();
            mStagedRevision = staged.get().revision();
            mBaselineRatio =
                    mBaselineSamples.isEmpty()
                            ? 0
                            : mBaselineSamples.getFirst().refusalRatioUntil(mStageStart);
        }
        double ratio = mStageStart.refusalRatioUntil(now);
        boolean enoughRequests = requests - mStageStart.requests() >= MIN_REQUESTS;
        if (enoughRequests
                && ratio > mBaselineRatio + MAX_RATIO_INCREASE
                && nowNanos >= mRetryAtNanos) {
            mRetryAtNanos = nowNanos + RETRY_DELAY_NANOS;
            hold(ratio, nowNanos, out);
        }
    }

    private void hold(double ratio, long nowNanos, Outbox out) {
        String comment =
                String.format(
                        Locale.ROOT,
                        "refusals rose from %.1f%% to %.1f%% in %s/%s",
                        mBaselineRatio * 100,
                        ratio * 100,
                        mLocality.region(),
                        mLocality.dataCenter());
        mWriter.submit(
                CORRELATION_ID,
                new SettingsChange(
                        "hold-" + mStagedRevision + "-" + mReplica.state().revision(),
                        "stage-guard",
                        comment,
                        -1,
                        TimeUnit.NANOSECONDS.toMillis(nowNanos),
                        List.of(new Edit.Hold())),
                nowNanos,
                out);
    }

    private void recordBaseline(Sample sample) {
        mBaselineSamples.addLast(sample);
        while (sample.atNanos() - mBaselineSamples.getFirst().atNanos() > BASELINE_WINDOW_NANOS) {
            mBaselineSamples.removeFirst();
        }
    }

    private record Sample(long atNanos, long requests, long refusals) {
        /**
         * Returns the ratio of requests refused between this sample and a later one, 0 if there
         * were no requests.
         */
        double refusalRatioUntil(Sample later) {
            long count = later.requests - requests;
            return count <= 0 ? 0 : (double) (later.refusals - refusals) / count;
        }
    }
}
