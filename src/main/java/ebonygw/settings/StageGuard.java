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
 * Holds a staged change when refusals rise where it is in force.
 *
 * <p>Each process in the stage compares its own part of refused requests since the change with that
 * of the minutes before. Several may hold the same change: the identifier of the holding change is
 * the same for all, so it is appended once. Belongs to the control thread.
 */
public final class StageGuard {
    /** Ticket of the guard's own changes at the writer. */
    public static final long TICKET = -1;

    private static final long BASELINE_NANOS = TimeUnit.MINUTES.toNanos(2);
    private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long SAMPLE_NANOS = TimeUnit.MILLISECONDS.toNanos(900);
    private static final long MIN_REQUESTS = 50;
    private static final double MAX_RISE = 0.05;

    private final SettingsReplica mReplica;
    private final SettingsWriter mWriter;
    private final Locality mPlace;
    private final Deque<Sample> mSamples = new ArrayDeque<>();
    private long mStagedRevision;
    private Sample mStart;
    private double mBaseline;
    private long mRetryAtNanos;
    private long mSampleAtNanos;

    /**
     * Creates a guard.
     *
     * @param replica the process's settings
     * @param writer the process's writer
     * @param place where the process runs
     */
    public StageGuard(SettingsReplica replica, SettingsWriter writer, Locality place) {
        mReplica = Objects.requireNonNull(replica, "replica");
        mWriter = Objects.requireNonNull(writer, "writer");
        mPlace = Objects.requireNonNull(place, "place");
    }

    /**
     * Takes the process's counts; due at least every second, looked at about once a second.
     *
     * @param requests requests decided since the process started
     * @param refusals those of them that were refused for no fault of the caller
     * @param nowNanos the present time since the Unix epoch
     * @param out takes the holding change's first call
     */
    public void onCounts(long requests, long refusals, long nowNanos, Outbox out) {
        if (nowNanos < mSampleAtNanos) {
            return;
        }
        mSampleAtNanos = nowNanos + SAMPLE_NANOS;
        Sample now = new Sample(nowNanos, requests, refusals);
        Optional<StagedEdits> staged =
                mReplica.state().tree().staged().filter(edits -> edits.inForceAt(mPlace));
        if (staged.isEmpty()) {
            mStart = null;
            remember(now);
            return;
        }
        if (mStart == null || mStagedRevision != staged.get().revision()) {
            mStart = mSamples.isEmpty() ? now : mSamples.getLast();
            mStagedRevision = staged.get().revision();
            mBaseline = mSamples.isEmpty() ? 0 : mSamples.getFirst().part(mStart);
        }
        double part = mStart.part(now);
        boolean enough = requests - mStart.requests() >= MIN_REQUESTS;
        if (enough && part > mBaseline + MAX_RISE && nowNanos >= mRetryAtNanos) {
            mRetryAtNanos = nowNanos + RETRY_NANOS;
            hold(part, nowNanos, out);
        }
    }

    private void hold(double part, long nowNanos, Outbox out) {
        String comment =
                String.format(
                        Locale.ROOT,
                        "refusals rose from %.1f%% to %.1f%% in %s/%s",
                        mBaseline * 100,
                        part * 100,
                        mPlace.region(),
                        mPlace.dataCenter());
        mWriter.submit(
                TICKET,
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

    private void remember(Sample sample) {
        mSamples.addLast(sample);
        while (sample.atNanos() - mSamples.getFirst().atNanos() > BASELINE_NANOS) {
            mSamples.removeFirst();
        }
    }

    private record Sample(long atNanos, long requests, long refusals) {
        /** Returns the part of requests refused from this sample to a later one. */
        double part(Sample later) {
            long count = later.requests - requests;
            return count <= 0 ? 0 : (double) (later.refusals - refusals) / count;
        }
    }
}
