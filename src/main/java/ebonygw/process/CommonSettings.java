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
 * @param locality its region and data centre
 * @param peerAddress where it listens for other processes and where they reach it
 * @param operatorAddress where it answers operators
 * @param keyValue endpoints of the key-value service
 * @param hostList where the host list is read
 * @param peerTls certificates for links, empty for links without encryption
 * @param stopTimeoutNanos longest time of a graceful stop
 * @param controlRing events that may wait for the control thread, a power of two
 * @param fleetSize about how many processes the fleet has
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
        int controlRing,
        int fleetSize) {
    /** Creates settings. */
    public CommonSettings {
        keyValue = List.copyOf(keyValue);
    }
}
