package ebonygw.targetlimit;

import ebonygw.log.LogLine;
import ebonygw.membership.Member;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The limited targets of an entry. Each entry derives its shares from the registrations of entries
 * and targets; only what targets name is passed on between entries.
 *
 * <p>Not thread-safe.
 */
public final class TargetLimits {
    private final Optional<ColdOptions> mColdOptions;
    private final Function<String, ColdLimit> mColdLimits;
    private final Consumer<LogLine> mLog;
    private final Consumer<String> mWithdrawals;
    private final DesignatedEntries mEntries;
    private final NamedLimits mNamed;
    private final Map<String, LimitedTarget> mTargets = new HashMap<>();
    private final Map<String, Long> mCounts = new TreeMap<>();

    /**
     * Creates a state without targets.
     *
     * @param cold bound on the requests to cold targets, empty if they are not limited
     * @param self this entry
     * @param coldLimits returns the limit of a service by name, {@link ColdLimit#NONE} for none
     * @param log receives log lines
     * @param withdrawals receives the address of each target whose attempts that wait for a
     *     connection must be taken back
     */
    public TargetLimits(
            Optional<ColdOptions> cold,
            Member self,
            Function<String, ColdLimit> coldLimits,
            Consumer<LogLine> log,
            Consumer<String> withdrawals) {
        mColdOptions = Objects.requireNonNull(cold, "cold");
        mEntries = new DesignatedEntries(Objects.requireNonNull(self, "self"));
        mColdLimits = Objects.requireNonNull(coldLimits, "coldLimits");
        mLog = Objects.requireNonNull(log, "log");
        mWithdrawals = Objects.requireNonNull(withdrawals, "withdrawals");
        mNamed = new NamedLimits(log, this::onNamedChanged);
    }

    /** Returns numbers for diagnostics. */
    public Map<String, Object> dump(long nowNanos) {
        Map<String, Object> dump = new LinkedHashMap<>(mCounts);
        dump.put("targets", mTargets.values().stream().filter(t -> t.isCold(nowNanos)).count());
        dump.put("shares", mTargets.values().stream().filter(LimitedTarget::hasShare).count());
        dump.put("entries", mEntries.count());
        dump.put("certain", mEntries.isCertain(nowNanos) ? 1 : 0);
        dump.put("viewMillis", mEntries.viewAgeMillis(nowNanos));
        return dump;
    }

    /** Returns the limits that targets name. */
    public NamedLimits named() {
        return mNamed;
    }

    /** Counts the limits of a new configuration that could not be read. */
    public void onMalformedLimits(long count) {
        if (count > 0 && mColdOptions.isPresent()) {
            mCounts.merge("limitsMalformed", count, Long::sum);
        }
    }

    /** Applies a new or changed registration of a target. */
    public LimitedTarget onRegistration(TargetRegistration registration, long nowNanos) {
        LimitedTarget target =
                mTargets.computeIfAbsent(registration.id(), id -> new LimitedTarget(this, id));
        target.onRegistration(registration, nowNanos);
        target.refresh(nowNanos);
        return target;
    }

    /** Handles that a target is no longer registered. */
    public void onTargetGone(String id) {
        LimitedTarget target = mTargets.remove(id);
        if (target != null) {
            target.onGone();
        }
    }

    /**
     * Applies the present view of the entries, and does what is due. Must be called at least every
     * second; a longer stop ends this entry's shares until its view has settled again.
     */
    public void onTick(EntryView view, long nowNanos) {
        if (!mEntries.isCertain(nowNanos)) {
            mTargets.values().forEach(LimitedTarget::endShare);
        }
        mEntries.onView(view, nowNanos);
        mTargets.values().forEach(target -> target.refresh(nowNanos));
    }

    ColdLimit coldLimit(String service) {
        return mColdOptions.isPresent() ? mColdLimits.apply(service) : ColdLimit.NONE;
    }

    /** Returns the number of requests that a cold target may get in any second, 0 for no limit. */
    double coldPerSecond(ColdLimit limit) {
        return mColdOptions.map(it -> it.perSecond(limit)).orElse(0.0);
    }

    void count(String what) {
        mCounts.merge(what, 1L, Long::sum);
    }

    DesignatedEntries entries() {
        return mEntries;
    }

    void log(LogLine line) {
        mLog.accept(line);
    }

    void withdrawWaiting(String address) {
        mWithdrawals.accept(address);
    }

    /** Applies a changed limit at once, before further requests are sent. */
    private void onNamedChanged(String incarnation, long nowNanos) {
        for (LimitedTarget target : mTargets.values()) {
            if (target.incarnation().equals(incarnation)) {
                target.refresh(nowNanos);
            }
        }
    }
}
