package ebonygw.process;

import java.util.Map;

/** A process of the system that runs until its node says that it may end. */
public interface RunningProcess extends AutoCloseable {
    /** Asks it to stop gracefully; returns at once. */
    void askStop();

    /**
     * Waits until it may end.
     *
     * @param timeoutNanos longest time to wait
     * @return whether it may end
     * @throws InterruptedException if interrupted while waiting
     */
    boolean awaitExit(long timeoutNanos) throws InterruptedException;

    /** Writes out open answers, then closes all connections and threads; idempotent. */
    @Override
    void close();

    /**
     * Returns its state, free of secrets.
     *
     * @throws InterruptedException if interrupted while waiting for the control thread
     */
    Map<String, Object> dump() throws InterruptedException;
}
