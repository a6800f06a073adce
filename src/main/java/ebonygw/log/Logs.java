package ebonygw.log;

/** Configures logging for a whole process. */
public final class Logs {
    private static final String JBOSS_PROVIDER = "org.jboss.logging.provider";

    private Logs() {}

    /**
     * Routes the log messages of the HTTP server library, which uses JBoss Logging, to tinylog by
     * way of SLF4J. Must be called before the first use of the library.
     */
    public static void routeLibraryLogs() {
        System.setProperty(JBOSS_PROVIDER, "slf4j");
    }

    /**
     * Writes log lines to standard output on a background thread from now on, for processes that
     * serve requests. Lines may be dropped at high rates.
     */
    public static void writeInBackground() {
        KeyValueWriter.writeInBackground();
    }

    /** Writes the queued lines; must be called before the process ends. */
    public static void flush() {
        KeyValueWriter.drain();
    }
}
