package ebonygw.bench.path;

import ebonygw.http.HttpRequest;
import java.net.InetSocketAddress;

/** A running entry process, target process and engine to measure. */
interface PathFleet extends AutoCloseable {
    /** Starts a fleet. */
    @FunctionalInterface
    interface Starter {
        /** Returns a started fleet that is ready for requests. */
        PathFleet start() throws Exception;
    }

    /** Returns the request that callers send to the entry. */
    HttpRequest callerRequest();

    /** Returns the address that the engine listens on. */
    InetSocketAddress engine();

    /** Returns the equivalent of the caller's request for the engine. */
    HttpRequest engineRequest();

    /** Returns the address on which the entry listens for callers. */
    InetSocketAddress entry();
}
