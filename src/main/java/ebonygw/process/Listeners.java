package ebonygw.process;

import io.undertow.Undertow;

/** Starts servers with one kind of exception for addresses that cannot be listened on. */
final class Listeners {
    private Listeners() {}

    /**
     * Starts a server.
     *
     * @param server the server
     * @param purpose for whom it listens, for people
     * @throws IllegalStateException if its address cannot be listened on
     */
    static void start(Undertow server, String purpose) {
        start(server::start, purpose);
    }

    /**
     * Runs a starter.
     *
     * @throws IllegalStateException if its address cannot be listened on
     */
    static void start(Runnable starter, String purpose) {
        try {
            starter.run();
        } catch (RuntimeException failure) {
            Throwable cause = failure.getCause() == null ? failure : failure.getCause();
            throw new IllegalStateException(
                    "cannot listen for " + purpose + ": " + cause.getMessage(), failure);
        }
    }
}
