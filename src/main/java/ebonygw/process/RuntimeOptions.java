package ebonygw.process;

import ebonygw.peer.PeerOptions;
import ebonygw.peer.PeerTls;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Options of a {@link NodeRuntime}.
 *
 * @param controlRingSize maximum number of events queued for the control thread, a power of two
 * @param tickIntervalNanos interval between ticks of the control thread
 * @param peers limits and timeouts of the peer connections
 * @param peerTls certificates for peer connections, empty for unencrypted connections
 * @param lingerNanos time for which peer connections stay open after a stop is requested, so that
 *     messages sent before the peers were notified of the stop are still handled
 */
public record RuntimeOptions(
        int controlRingSize,
        long tickIntervalNanos,
        PeerOptions peers,
        Optional<PeerTls> peerTls,
        long lingerNanos) {
    private static final long LINGER_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Creates options. */
    public RuntimeOptions {
        Objects.requireNonNull(peers, "peers");
        Objects.requireNonNull(peerTls, "peerTls");
    }

    /** Returns options for an entry or target process with the given settings. */
    static RuntimeOptions of(CommonSettings settings) {
        return new RuntimeOptions(
                settings.controlRingSize(),
                ControlLoop.TICK_INTERVAL_NANOS,
                PeerOptions.defaults(),
                settings.peerTls(),
                LINGER_NANOS);
    }
}
