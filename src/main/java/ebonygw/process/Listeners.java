package ebonygw.process;

import io.undertow.Undertow;

/** Starts servers; throws the same exception type whenever an address cannot be bound. */
final class Listeners {
    private Listeners() {}

    /**
     * Starts a server.
     *
     * @param purpose users of the server, named in the message of the exception
     * @throws IllegalStateException if the server cannot be started
     */
    static void start(Undertow server, String purpose) {
        start(server::start, purpose);
    }

    /**
     * Runs the method that starts a server.
     *
     * @param purpose users of the server, named in the message of the exception
     * @throws IllegalStateException if the method throws a {@link RuntimeException}
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
