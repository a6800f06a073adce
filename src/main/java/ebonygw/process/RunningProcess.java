package ebonygw.process;

import java.util.Map;

/** A process that runs until its node allows it to exit. */
public interface RunningProcess extends AutoCloseable {
    /** Requests a graceful stop; returns immediately. */
    void requestStop();

    /**
     * Waits until the node allows the process to exit.
     *
     * @param timeoutNanos maximum time to wait
     * @return whether the process may exit
     * @throws InterruptedException if interrupted while waiting
     */
    boolean awaitExit(long timeoutNanos) throws InterruptedException;

    /** Writes pending responses, then closes all connections and threads; idempotent. */
    @Override
    void close();

    /**
     * Returns the state of the process, without secrets.
     *
     * @throws InterruptedException if interrupted while waiting for the control thread
     */
    Map<String, Object> dump() throws InterruptedException;
}
