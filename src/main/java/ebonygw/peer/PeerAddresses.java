package ebonygw.peer;

import ebonygw.membership.Member;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;

/** Parses addresses of the form {@code ip:port}. */
public final class PeerAddresses {
    private static final int MAX_PORT = 65_535;

    private PeerAddresses() {}

    /**
     * Parses an address without a DNS lookup.
     *
     * @param address IP address and port, an IPv6 address in brackets
     * @throws IllegalArgumentException if the address is malformed or the port is not from 0 to
     *     65535
     */
    public static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("not of the form ip:port: " + address);
        }
        String host = address.substring(0, colon);
        if (host.startsWith("[") && host.endsWith("]")) {
            host = host.substring(1, host.length() - 1);
        }
        byte[] octets = NetUtil.createByteArrayFromIpAddressString(host);
        if (octets == null) {
            throw new IllegalArgumentException("not an IP number: " + address);
        }
        return new InetSocketAddress(
                NetUtil.createInetAddressFromIpAddressString(host), port(address, colon));
    }

    /** Returns a copy of a process with another port in its address. */
    static Member withPort(Member member, int port) {
        int colon = member.address().lastIndexOf(':');
        return new Member(
                member.id(),
                member.incarnation(),
                member.role(),
                member.state(),
                member.locality(),
                member.address().substring(0, colon + 1) + port,
                member.serves());
    }

    private static int port(String address, int colon) {
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            if (port >= 0 && port <= MAX_PORT) {
                return port;
            }
        } catch (NumberFormatException malformed) {
            throw new IllegalArgumentException("port is not a number: " + address, malformed);
        }
        throw new IllegalArgumentException("port is not from 0 to " + MAX_PORT + ": " + address);
    }
}
