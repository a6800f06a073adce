package ebonygw.peer;

import ebonygw.membership.Member;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;

/** Reads addresses of the form {@code ip:port}. */
public final class PeerAddresses {
    private static final int MAX_PORT = 65_535;

    private PeerAddresses() {}

    /**
     * Reads an address; no name is looked up.
     *
     * @param address IP number and port, an IPv6 number in brackets
     * @throws IllegalArgumentException if it is not of that form
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
        byte[] number = NetUtil.createByteArrayFromIpAddressString(host);
        if (number == null) {
            throw new IllegalArgumentException("not an IP number: " + address);
        }
        return new InetSocketAddress(
                NetUtil.createInetAddressFromIpAddressString(host), port(address, colon));
    }

    /** Returns a process with another port in its address. */
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
            throw new IllegalArgumentException("not a port: " + address, malformed);
        }
        throw new IllegalArgumentException("port out of bounds: " + address);
    }
}
