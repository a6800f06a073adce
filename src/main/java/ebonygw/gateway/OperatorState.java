package ebonygw.gateway;

import ebonygw.keyvalue.CallIds;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.keyvalue.PrefixMirror;
import ebonygw.log.LogLine;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * What operators have set: the configuration in force and the versions that have to run.
 *
 * <p>Neither a revision nor a version ever steps back. Not thread-safe.
 */
final class OperatorState {
    private final StoreReader mReader;
    private final GatewayOutbox mOut;
    private final Listener mListener;
    private final PrefixMirror mMirror;
    private final Map<String, Long> mWantedVersions = new HashMap<>();
    private GatewaySettings mSettings;

    /**
     * Creates a state without a configuration.
     *
     * @param reader reads the operators' keys
     * @param callIds issues the identifiers of calls
     * @param out takes calls and log lines
     * @param listener is told of each newer configuration
     * @throws NullPointerException if an argument is null
     */
    OperatorState(StoreReader reader, CallIds callIds, GatewayOutbox out, Listener listener) {
        mReader = Objects.requireNonNull(reader, "reader");
        mOut = Objects.requireNonNull(out, "out");
        mListener = Objects.requireNonNull(listener, "listener");
        mMirror = new PrefixMirror(reader.operatorPrefix(), callIds);
    }

    /** Is told of each newer configuration. */
    @FunctionalInterface
    interface Listener {
        /** Takes a configuration that has just come into force. */
        void inForce(GatewaySettings settings, long nowNanos);
    }

    /** Returns how long ago the key-value service confirmed this state, -1 if it never did. */
    long ageMillis(long nowNanos) {
        return mMirror.ageMillis(nowNanos);
    }

    /**
     * Takes in a reply of the key-value service.
     *
     * @return whether it answers a call of this state
     */
    boolean onReply(long callId, KeyValueReply reply, long nowNanos) {
        boolean known = mMirror.onReply(callId, reply, nowNanos);
        if (known) {
            takeChanges(nowNanos);
        }
        return known;
    }

    /** Lets time pass: starts the calls that are due. */
    void onTick(long nowNanos) {
        mMirror.onTick(nowNanos, mOut);
        takeChanges(nowNanos);
    }

    /** Returns the service of that name in the configuration in force. */
    Optional<GatewayService> service(String name) {
        return mSettings == null ? Optional.empty() : mSettings.service(name);
    }

    /** Returns the configuration in force, null before the first. */
    GatewaySettings settings() {
        return mSettings;
    }

    /** Returns the revision in force, 0 before the first. */
    long revision() {
        return mSettings == null ? 0 : mSettings.revision();
    }

    /** Returns the version of a model or adapter that has to run, 0 for any. */
    long wantedVersion(String name) {
        return mWantedVersions.getOrDefault(name, 0L);
    }

    /** Returns the versions that have to run, by model or adapter. */
    Map<String, Long> wantedVersions() {
        return Map.copyOf(mWantedVersions);
    }

    private void apply(PrefixMirror.Change change, long nowNanos) {
        if (change.entry() == null) {
            return;
        }
        try {
            mReader.settings(change.entry()).ifPresent(it -> take(it, nowNanos));
            mReader.wantedVersion(change.entry()).ifPresent(this::want);
        } catch (IllegalArgumentException malformed) {
            mOut.log(
                    LogLine.of("configuration_malformed")
                            .with("key", change.key())
                            .with("cause", malformed.getMessage()));
        }
    }

    private void take(GatewaySettings settings, long nowNanos) {
        if (settings.revision() <= revision()) {
            return;
        }
        mSettings = settings;
        mOut.log(LogLine.of("configuration_in_force").with("revision", settings.revision()));
        mListener.inForce(settings, nowNanos);
    }

    private void takeChanges(long nowNanos) {
        mMirror.drain().forEach(change -> apply(change, nowNanos));
    }

    private void want(StoreReader.WantedVersion wanted) {
        mWantedVersions.merge(wanted.name(), wanted.version(), Math::max);
        mOut.log(
                LogLine.of("version_wanted")
                        .with("name", wanted.name())
                        .with("version", wanted.version()));
    }
}
