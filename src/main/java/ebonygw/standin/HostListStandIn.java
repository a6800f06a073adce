package ebonygw.standin;

import ebonygw.hostlist.HostListJson;
import ebonygw.membership.HostList;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.util.Objects;

/** Simulates the platform's host list, served over HTTP at {@code /hosts}. Thread-safe. */
public final class HostListStandIn {
    private final StandInServer mServer;
    private volatile HostList mHosts = new HostList(java.util.List.of());
    private volatile boolean mUnavailable;

    /**
     * Creates an empty list; it listens after {@link #start}.
     *
     * @param address IP address to listen on
     * @param port port to listen on, 0 for any free one
     */
    public HostListStandIn(String address, int port) {
        mServer = new StandInServer(address, port, this::handle);
    }

    /** Returns the address that the server listens on; valid after {@link #start}. */
    public InetSocketAddress address() {
        return mServer.address();
    }

    /** Replaces the list of hosts. */
    public void setHosts(HostList hosts) {
        mHosts = Objects.requireNonNull(hosts, "hosts");
    }

    /** Sets whether all requests fail with status 503. */
    public void setUnavailable(boolean unavailable) {
        mUnavailable = unavailable;
    }

    /** Starts listening. */
    public void start() {
        mServer.start();
    }

    /** Stops immediately, without waiting for requests. */
    public void stop() {
        mServer.stop();
    }

    private void handle(HttpServerExchange exchange) {
        if (mUnavailable) {
            StandInServer.sendJson(exchange, 503, "{}");
        } else if (exchange.getRequestPath().equals("/hosts")) {
            StandInServer.sendJson(exchange, 200, HostListJson.write(mHosts));
        } else {
            StandInServer.sendJson(exchange, 404, "{}");
        }
    }
}
