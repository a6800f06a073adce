package ebonygw.bench.path;

import ebonygw.http.HttpRequest;
import java.net.InetSocketAddress;

/** An entry process, a target process and an engine, started and ready. */
interface PathFleet extends AutoCloseable {
    /** Starts a fleet. */
    @FunctionalInterface
    interface Starter {
        /** Returns a fleet that answers requests. */
        PathFleet start() throws Exception;
    }

    /** Returns the request that callers send to the entry. */
    HttpRequest callerRequest();

    /** Returns the address of the engine. */
    InetSocketAddress engine();

    /** Returns the request that runs the same on the engine directly. */
    HttpRequest engineRequest();

    /** Returns the address of the entry for callers. */
    InetSocketAddress entry();
}
