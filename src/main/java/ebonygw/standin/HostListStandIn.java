package ebonygw.standin;

import ebonygw.hostlist.HostListJson;
import ebonygw.membership.HostList;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.util.Objects;

/** The platform's host list over HTTP at {@code /hosts}. Thread-safe. */
public final class HostListStandIn {
    private final StandInServer mServer;
    private volatile HostList mHosts = new HostList(java.util.List.of());
    private volatile boolean mDown;

    /**
     * Creates a list; it listens after {@link #start}.
     *
     * @param address IP number to listen on
     * @param port port to listen on, 0 for a free one
     */
    public HostListStandIn(String address, int port) {
        mServer = new StandInServer(address, port, this::handle);
    }

    /** Returns the address that the list listens on. */
    public InetSocketAddress address() {
        return mServer.address();
    }

    /** Sets whether the list answers with a fault. */
    public void down(boolean down) {
        mDown = down;
    }

    /** Replaces the list. */
    public void hosts(HostList hosts) {
        mHosts = Objects.requireNonNull(hosts, "hosts");
    }

    /** Starts to listen. */
    public void start() {
        mServer.start();
    }

    /** Stops at once. */
    public void stop() {
        mServer.stop();
    }

    private void handle(HttpServerExchange exchange) {
        if (mDown) {
            StandInServer.sendJson(exchange, 503, "{}");
        } else if (exchange.getRequestPath().equals("/hosts")) {
            StandInServer.sendJson(exchange, 200, HostListJson.write(mHosts));
        } else {
            StandInServer.sendJson(exchange, 404, "{}");
        }
    }
}
