package ebonygw.process;

import ebonygw.peer.PeerOptions;
import ebonygw.peer.PeerTls;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Options of a {@link NodeRuntime}.
 *
 * @param controlRing events that may wait for the control thread, a power of two
 * @param tickNanos longest time between two ticks of the control thread
 * @param peers bounds and times of the links
 * @param peerTls certificates for links, empty for links without encryption
 * @param lingerNanos how long links stay up after a stop was asked for
 */
public record RuntimeOptions(
        int controlRing,
        long tickNanos,
        PeerOptions peers,
        Optional<PeerTls> peerTls,
        long lingerNanos) {
    private static final long LINGER_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Creates options. */
    public RuntimeOptions {
        Objects.requireNonNull(peers, "peers");
        Objects.requireNonNull(peerTls, "peerTls");
    }

    /** Returns the options of entry and target processes. */
    static RuntimeOptions of(CommonSettings settings) {
        return new RuntimeOptions(
                settings.controlRing(),
                ControlLoop.TICK_INTERVAL_NANOS,
                PeerOptions.defaults(),
                settings.peerTls(),
                LINGER_NANOS);
    }
}
