package ebonygw.process;

import ebonygw.peer.PeerTls;
import ebonygw.protocol.Locality;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Optional;

/**
 * Settings that entry and target processes share.
 *
 * @param id name of the process, unique in the fleet
 * @param locality region and data centre of the process
 * @param peerAddress address on which the process listens for its peers and under which they
 *     connect to it
 * @param operatorAddress address of the operator listener
 * @param keyValue endpoints of the key-value service; if one is unreachable, the next one is used
 * @param hostList URL of the list of hosts and their processes
 * @param peerTls certificates for peer connections, empty for unencrypted connections
 * @param stopTimeoutNanos maximum duration of a graceful stop
 * @param controlRingSize maximum number of events queued for the control thread, a power of two
 * @param fleetSize approximate number of processes in the fleet
 */
public record CommonSettings(
        String id,
        Locality locality,
        String peerAddress,
        InetSocketAddress operatorAddress,
        List<URI> keyValue,
        URI hostList,
        Optional<PeerTls> peerTls,
        long stopTimeoutNanos,
        int controlRingSize,
        int fleetSize) {
    /** Creates settings. */
    public CommonSettings {
        keyValue = List.copyOf(keyValue);
    }
}
