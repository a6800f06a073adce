package ebonygw.gateway;

import ebonygw.keyvalue.KeyValueRequestIds;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.keyvalue.PrefixMirror;
import ebonygw.log.LogLine;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * State set by operators: the configuration in force and the required versions of models and
 * adapters.
 *
 * <p>Updates with a lower revision or version are ignored; the latter come from an older copy from
 * which the service was restored. Not thread-safe.
 */
final class OperatorState {
    private final StoreReader mReader;
    private final GatewayOutbox mOut;
    private final SettingsListener mListener;
    private final EvacuationListener mEvacuationListener;
    private final PrefixMirror mMirror;
    private final Map<String, Long> mWantedVersions = new HashMap<>();
    private GatewaySettings mSettings;
    private long mSettingsSinceNanos;

    /** Age of this state just before the last response; -1 if it was the first. */
    private long mPreviousAgeMillis = -1;

    /** When a newer configuration came that cannot be read, minimum value if there is none. */
    private long mUnreadSinceNanos = Long.MIN_VALUE;

    /** Creates a state without a configuration that ignores evacuations. */
    OperatorState(
            StoreReader reader,
            KeyValueRequestIds requestIds,
            GatewayOutbox out,
            SettingsListener listener) {
        this(reader, requestIds, out, listener, EvacuationListener.NONE);
    }

    /**
     * Creates a state without a configuration.
     *
     * @param reader reads the operators' keys
     * @param requestIds issues correlation ids
     * @param out receives requests and log lines
     * @param listener is notified of each newer configuration
     * @param evacuationListener is notified of changes of the evacuated data centres
     * @throws NullPointerException if an argument is null
     */
    OperatorState(
            StoreReader reader,
            KeyValueRequestIds requestIds,
            GatewayOutbox out,
            SettingsListener listener,
            EvacuationListener evacuationListener) {
        mEvacuationListener = Objects.requireNonNull(evacuationListener, "evacuationListener");
        mReader = Objects.requireNonNull(reader, "reader");
        mOut = Objects.requireNonNull(out, "out");
        mListener = Objects.requireNonNull(listener, "listener");
        mMirror = new PrefixMirror(reader.operatorPrefix(), requestIds);
    }

    /** Is notified of changes of the evacuated data centres. */
    interface EvacuationListener {
        /** Ignores all changes. */
        EvacuationListener NONE =
                new EvacuationListener() {
                    @Override
                    public void onChange(String dataCenter, long revision, long nowNanos) {}

                    @Override
                    public void onMalformed(String key) {}
                };

        /**
         * Handles that an evacuation is requested or ends.
         *
         * @param revision revision of the key that requests it, 0 if the key was removed
         */
        void onChange(String dataCenter, long revision, long nowNanos);

        /** Handles a key that names no data centre. */
        void onMalformed(String key);
    }

    /** Is notified of each newer configuration. */
    @FunctionalInterface
    interface SettingsListener {
        /** Handles a configuration that has just come into force. */
        void onSettings(GatewaySettings settings, long nowNanos);
    }

    /**
     * Returns the time since the key-value service last confirmed this state, or since it had a
     * newer configuration that cannot be read; -1 if it never confirmed any.
     */
    long ageMillis(long nowNanos) {
        long ageMillis = mMirror.ageMillis(nowNanos);
        return mUnreadSinceNanos == Long.MIN_VALUE
                ? ageMillis
                : Math.max(ageMillis, TimeUnit.NANOSECONDS.toMillis(nowNanos - mUnreadSinceNanos));
    }

    /**
     * Handles a response of the key-value service.
     *
     * @return whether it belongs to a request of this object
     */
    boolean onResponse(long requestId, KeyValueResponse response, long nowNanos) {
        long ageMillis = ageMillis(nowNanos);
        boolean handled = mMirror.onResponse(requestId, response, nowNanos);
        if (handled) {
            mPreviousAgeMillis = ageMillis;
            applyChanges(nowNanos);
        }
        return handled;
    }

    /** Sends the requests to the key-value service that are due. */
    void onTick(long nowNanos) {
        mMirror.onTick(nowNanos, mOut);
        applyChanges(nowNanos);
    }

    /** Returns a service of the configuration in force by name, empty if there is none. */
    Optional<GatewayService> service(String name) {
        return mSettings == null ? Optional.empty() : mSettings.service(name);
    }

    /** Returns the configuration in force, null before the first one. */
    GatewaySettings settings() {
        return mSettings;
    }

    /** Returns the age of this state just before the last response, -1 if it was the first. */
    long previousAgeMillis() {
        return mPreviousAgeMillis;
    }

    /** Returns when the configuration in force was taken. */
    long settingsSinceNanos() {
        return mSettingsSinceNanos;
    }

    /** Returns the revision in force, 0 before the first one. */
    long revision() {
        return mSettings == null ? 0 : mSettings.revision();
    }

    /** Returns the minimum required version of a model or adapter, 0 for any. */
    long wantedVersion(String name) {
        return mWantedVersions.getOrDefault(name, 0L);
    }

    /** Returns the minimum required versions by model or adapter. */
    Map<String, Long> wantedVersions() {
        return Map.copyOf(mWantedVersions);
    }

    private void apply(PrefixMirror.Change change, long nowNanos) {
        applyEvacuation(change, nowNanos);
        if (change.entry() == null) {
            return;
        }
        try {
            mReader.settings(change.entry()).ifPresent(it -> applySettings(it, nowNanos));
        } catch (IllegalArgumentException malformed) {
            mUnreadSinceNanos = nowNanos;
            logMalformed(change, malformed);
        }
        try {
            mReader.wantedVersion(change.entry()).ifPresent(this::applyWantedVersion);
        } catch (IllegalArgumentException malformed) {
            logMalformed(change, malformed);
        }
    }

    private void logMalformed(PrefixMirror.Change change, IllegalArgumentException malformed) {
        mOut.log(
                LogLine.of("configuration_malformed")
                        .with("key", change.key())
                        .with("revision", change.entry().modRevision())
                        .with("cause", malformed.getMessage()));
    }

    private void applyEvacuation(PrefixMirror.Change change, long nowNanos) {
        long revision = change.entry() == null ? 0 : change.entry().modRevision();
        try {
            mReader.evacuatedDataCenter(change.key())
                    .ifPresent(it -> mEvacuationListener.onChange(it, revision, nowNanos));
        } catch (IllegalArgumentException malformed) {
            if (revision > 0) {
                mEvacuationListener.onMalformed(change.key());
            }
        }
    }

    private void applyChanges(long nowNanos) {
        mMirror.drainChanges().forEach(change -> apply(change, nowNanos));
    }

    private void applySettings(GatewaySettings settings, long nowNanos) {
        if (settings.revision() <= revision()) {
            return;
        }
        if (mSettings != null && settings.version() < mSettings.version()) {
            mOut.log(
                    LogLine.of("configuration_outdated")
                            .with("revision", settings.revision())
                            .with("version", settings.version())
                            .with("in_force", mSettings.version()));
            return;
        }
        mSettings = settings;
        mSettingsSinceNanos = nowNanos;
        mUnreadSinceNanos = Long.MIN_VALUE;
        mOut.log(
                LogLine.of("configuration_in_force")
                        .with("revision", settings.revision())
                        .with("version", settings.version())
                        .with("previous_age_ms", mPreviousAgeMillis));
        mListener.onSettings(settings, nowNanos);
    }

    private void applyWantedVersion(StoreReader.WantedVersion wanted) {
        mWantedVersions.merge(wanted.name(), wanted.version(), Math::max);
        mOut.log(
                LogLine.of("version_wanted")
                        .with("name", wanted.name())
                        .with("version", wanted.version()));
    }
}
