package ebonygw.targetlimit;

import ebonygw.log.LogLine;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The limits that incarnations of targets name in their responses, as far as any entry has heard of
 * them.
 *
 * <p>The limit of an incarnation is a register with a version, which each change increments, so
 * that losing, repeating and reordering what entries tell each other does no harm: the higher
 * version is in force, and of two equal ones the lower limit. A response to a request that was sent
 * with an older version, or before the last request whose response named a limit, may be older than
 * what is known: it can lower the limit, but neither raise nor end it. Not thread-safe.
 */
public final class NamedLimits {
    /** Maximum number of incarnations: several times the targets of a large fleet. */
    private static final int MAX_INCARNATIONS = 1_024;

    /** Minimum time between two confirmations of a limit, which bounds the messages about it. */
    private static final long CONFIRMATION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final Register UNKNOWN = new Register();

    private final Consumer<LogLine> mLog;
    private final Listener mListener;
    private final Map<String, Register> mRegisters = new LeastRecentlyUsed();
    private final Map<String, Long> mCounts = new TreeMap<>();
    private long mChange;

    /**
     * Creates a state without limits.
     *
     * @param log receives log lines
     * @param listener is told of each changed limit
     */
    public NamedLimits(Consumer<LogLine> log, Listener listener) {
        mLog = Objects.requireNonNull(log, "log");
        mListener = Objects.requireNonNull(listener, "listener");
    }

    /** Is told of changed limits. */
    @FunctionalInterface
    public interface Listener {
        /** Handles that the limit of an incarnation has changed. */
        void onChange(String incarnation, long nowNanos);
    }

    /** Returns a number that grows with each change that other entries should know of. */
    public long change() {
        return mChange;
    }

    /** Returns what has changed since {@link #change} returned a number, 0 for all. */
    public List<KnownLimit> changedSince(long change) {
        List<KnownLimit> changed = new ArrayList<>();
        for (Map.Entry<String, Register> entry : mRegisters.entrySet()) {
            Register register = entry.getValue();
            if (register.mChange > change) {
                changed.add(
                        new KnownLimit(
                                entry.getKey(),
                                register.mPerSecond,
                                register.mVersion,
                                register.mConfirmations));
            }
        }
        return changed;
    }

    /** Returns when this entry last heard that an incarnation names its limit. */
    public long confirmedNanos(String incarnation) {
        return register(incarnation).mConfirmedNanos;
    }

    /** Returns numbers for diagnostics. */
    public Map<String, Object> dump() {
        Map<String, Object> dump = new LinkedHashMap<>(mCounts);
        dump.put("limited", mRegisters.values().stream().filter(Register::isLimited).count());
        return dump;
    }

    /** Returns the limit of an incarnation, {@link NamedLimit#UNLIMITED} if it names none. */
    public double perSecond(String incarnation) {
        return register(incarnation).mPerSecond;
    }

    /** Returns the version of the limit of an incarnation, 0 if it has never named one. */
    public long version(String incarnation) {
        return register(incarnation).mVersion;
    }

    /**
     * Applies what another entry knows.
     *
     * @param from name of the entry, for the log
     */
    public void onKnown(KnownLimit known, String from, long nowNanos) {
        Register register = register(known.incarnation());
        boolean newer =
                known.version() > register.mVersion
                        || known.version() == register.mVersion
                                && known.perSecond() < register.mPerSecond;
        boolean confirms =
                known.version() == register.mVersion
                        && known.perSecond() == register.mPerSecond
                        && known.confirmations() > register.mConfirmations;
        if (!newer && !confirms) {
            return;
        }
        if (register == UNKNOWN) {
            register = new Register();
            mRegisters.put(known.incarnation(), register);
        }
        double previous = register.mPerSecond;
        register.mPerSecond = known.perSecond();
        register.mVersion = known.version();
        register.mConfirmations = known.confirmations();
        register.mConfirmedNanos = nowNanos;
        register.mChange = ++mChange;
        if (previous != known.perSecond()) {
            logChange(known.incarnation(), "from", from, previous, register);
            mListener.onChange(known.incarnation(), nowNanos);
        }
    }

    /** Applies a response. */
    public void onResponse(LimitedResponse response, long nowNanos) {
        NamedLimit limit = response.limit();
        Register register = register(response.incarnation());
        if (register == UNKNOWN) {
            if (limit.kind() == NamedLimit.Kind.NONE) {
                return;
            }
            register = new Register();
            mRegisters.put(response.incarnation(), register);
        }
        if (limit.kind() == NamedLimit.Kind.MALFORMED) {
            reportMalformed(response, register);
            return;
        }
        boolean named = limit.kind() == NamedLimit.Kind.GIVEN;
        boolean newer =
                response.sentVersion() == register.mVersion
                        && response.sentNanos() > register.mNamedSentNanos;
        if (named) {
            register.mMalformed = false;
            register.mNamedSentNanos = Math.max(register.mNamedSentNanos, response.sentNanos());
        }
        double previous = register.mPerSecond;
        if (limit.perSecond() == previous) {
            confirm(register, nowNanos);
            return;
        }
        if (limit.perSecond() > previous && !(newer && (named || response.conclusive()))) {
            count("outdated");
            return;
        }
        register.mPerSecond = limit.perSecond();
        register.mVersion++;
        register.mConfirmations = 0;
        register.mConfirmedNanos = nowNanos;
        register.mChange = ++mChange;
        logChange(response.incarnation(), "request", response.request(), previous, register);
        mListener.onChange(response.incarnation(), nowNanos);
    }

    /** Handles that a response has named the limit that is known. */
    private void confirm(Register register, long nowNanos) {
        if (register.isLimited() && nowNanos - register.mConfirmedNanos >= CONFIRMATION_NANOS) {
            register.mConfirmations++;
            register.mConfirmedNanos = nowNanos;
            register.mChange = ++mChange;
        }
    }

    private void count(String what) {
        mCounts.merge(what, 1L, Long::sum);
    }

    private void logChange(
            String incarnation, String sourceKind, String source, double previous, Register now) {
        count(now.isLimited() ? "named" : "ended");
        mLog.accept(
                LogLine.of(now.isLimited() ? "target_limit_named" : "target_limit_ended")
                        .with("target", incarnation)
                        .with("limit", text(now.mPerSecond))
                        .with(sourceKind, source)
                        .with("previous", text(previous))
                        .with("version", now.mVersion));
    }

    private Register register(String incarnation) {
        return mRegisters.getOrDefault(incarnation, UNKNOWN);
    }

    /** Counts a limit that cannot be read, and logs the first of several in a row. */
    private void reportMalformed(LimitedResponse response, Register register) {
        count("malformed");
        if (!register.mMalformed) {
            register.mMalformed = true;
            mLog.accept(
                    LogLine.of("target_limit_malformed")
                            .with("target", response.incarnation())
                            .with("request", response.request())
                            .with("limit", text(register.mPerSecond)));
        }
    }

    private static String text(double perSecond) {
        return perSecond == NamedLimit.UNLIMITED ? "none" : Double.toString(perSecond);
    }

    /** What is known of one incarnation. */
    private static final class Register {
        private double mPerSecond = NamedLimit.UNLIMITED;
        private long mVersion;
        private long mConfirmations;
        private long mConfirmedNanos = Long.MIN_VALUE / 4;

        /** Number of the last change. */
        private long mChange;

        /** Latest sending of a request whose response named a limit. */
        private long mNamedSentNanos = Long.MIN_VALUE;

        /** Whether the last limit that was named could not be read. */
        private boolean mMalformed;

        boolean isLimited() {
            return mPerSecond < NamedLimit.UNLIMITED;
        }
    }

    private static final class LeastRecentlyUsed extends LinkedHashMap<String, Register> {
        private static final long serialVersionUID = 1L;

        LeastRecentlyUsed() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Register> eldest) {
            return size() > MAX_INCARNATIONS;
        }
    }
}
