package ebonygw.targetlimit;

import ebonygw.keyvalue.PrefixMirror;
import ebonygw.membership.Member;
import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import net.openhft.hashing.LongHashFunction;

/**
 * The rank of this entry among the entries that may use a target, as far as it is certain.
 *
 * <p>Of all entries that are {@link #isCertain} at a time, each counts all others. Entries that
 * consider themselves among the first {@code n} for a target are therefore at most {@code n},
 * although their views differ. This holds because the registration of a certain entry has been in
 * the service without interruption from {@link #SETTLE_NANOS} ago until {@link #MAX_VIEW_AGE_NANOS}
 * ago, any other certain entry has seen the service at least once in that period, and it counts
 * what it saw for {@link #HOLD_NANOS}. Not thread-safe.
 */
final class DesignatedEntries {
    /**
     * Maximum age of a view that a rank is based on. Twice this time and a second for responses in
     * transit fit into {@link #SETTLE_NANOS}, so that no registration can begin and end between two
     * views of another entry. The watch of an entry waits up to 1 s and pauses 0.75 s at most
     * between two responses.
     */
    static final long MAX_VIEW_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /** Time from the registration of an entry until it may be certain. */
    static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(6);

    /** How long a registration is counted after it was last seen. */
    static final long HOLD_NANOS = TimeUnit.SECONDS.toNanos(15);

    /**
     * Maximum time between two views, which are applied every 50 ms. After a longer stop of the
     * process, responses that were received meanwhile are older than they seem.
     */
    private static final long MAX_GAP_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * Time after an outage of the service in which its mirror may still contain registrations that
     * are gone, and a few ticks in which it removes them.
     */
    private static final long REMOVAL_GRACE_NANOS =
            PrefixMirror.REWRITE_GRACE_NANOS + TimeUnit.MILLISECONDS.toNanos(200);

    /** A time before all others, from which differences do not overflow. */
    private static final long NEVER = Long.MIN_VALUE / 4;

    private final Member mSelf;

    /** The other entries. */
    private final Map<NodeId, Seen> mOthers = new HashMap<>();

    private long mAppliedNanos = NEVER;
    private long mConfirmedNanos = NEVER;

    /** Last confirmation that shows whether the own registration exists. */
    private long mOwnConfirmedNanos = NEVER;

    private long mOwnRevision;

    /** Since when the own registration is known and views are recent, 0 revision if it is not. */
    private long mSinceNanos;

    private long mVersion;

    DesignatedEntries(Member self) {
        mSelf = self;
    }

    private record Seen(Member member, long lastNanos) {}

    /** Returns the number of entries counted, including this one. */
    int count() {
        return mOthers.size() + 1;
    }

    /** Returns whether this entry may use a share. */
    boolean isCertain(long nowNanos) {
        return mOwnRevision != 0
                && nowNanos - mSinceNanos >= SETTLE_NANOS
                && nowNanos - mOwnConfirmedNanos <= MAX_VIEW_AGE_NANOS;
    }

    /** Applies the present view; must be called at least every {@link #MAX_GAP_NANOS}. */
    void onView(EntryView view, long nowNanos) {
        boolean interrupted =
                nowNanos - mAppliedNanos > MAX_GAP_NANOS
                        || nowNanos - mConfirmedNanos > MAX_VIEW_AGE_NANOS;
        mAppliedNanos = nowNanos;
        if (view.ageMillis() >= 0) {
            mConfirmedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(view.ageMillis());
            boolean recovering =
                    view.recoveredNanos() != Long.MIN_VALUE
                            && mConfirmedNanos - view.recoveredNanos() < REMOVAL_GRACE_NANOS;
            if (!recovering) {
                mOwnConfirmedNanos = mConfirmedNanos;
            }
        }
        if (interrupted || view.ownRevision() != mOwnRevision) {
            mOwnRevision = view.ownRevision();
            mSinceNanos = nowNanos;
        }
        for (Member entry : view.entries()) {
            if (!entry.id().equals(mSelf.id())) {
                Seen before = mOthers.put(entry.id(), new Seen(entry, nowNanos));
                if (before == null || !before.member().locality().equals(entry.locality())) {
                    mVersion++;
                }
            }
        }
        if (mOthers.values().removeIf(it -> nowNanos - it.lastNanos() > HOLD_NANOS)) {
            mVersion++;
        }
    }

    /**
     * Returns the number of entries that are preferred to this one for a target: those of its
     * region first, then by a hash of target and entry (rendezvous hashing).
     */
    int rank(String target, Locality locality) {
        boolean ownRegion = mSelf.locality().sameRegion(locality);
        long ownHash = hash(target, mSelf.id());
        int rank = 0;
        for (Seen seen : mOthers.values()) {
            Member other = seen.member();
            boolean region = other.locality().sameRegion(locality);
            if (region != ownRegion) {
                rank += region ? 1 : 0;
                continue;
            }
            int order = Long.compare(hash(target, other.id()), ownHash);
            order = order != 0 ? order : other.id().name().compareTo(mSelf.id().name());
            rank += order < 0 ? 1 : 0;
        }
        return rank;
    }

    /** Returns a number that changes whenever a rank may have changed. */
    long version() {
        return mVersion;
    }

    /** Returns the age of the view, -1 if there is none. */
    long viewAgeMillis(long nowNanos) {
        return mConfirmedNanos == NEVER
                ? -1
                : TimeUnit.NANOSECONDS.toMillis(nowNanos - mConfirmedNanos);
    }

    private static long hash(String target, NodeId entry) {
        return LongHashFunction.xx().hashChars(target + ' ' + entry.name());
    }
}
