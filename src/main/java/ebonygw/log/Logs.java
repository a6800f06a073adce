package ebonygw.log;

/** Binds the logging of libraries to ours. */
public final class Logs {
    private static final String JBOSS_PROVIDER = "org.jboss.logging.provider";

    private Logs() {}

    /** Sends the log lines of the HTTP libraries our way; call before their first use. */
    public static void bind() {
        System.setProperty(JBOSS_PROVIDER, "slf4j");
    }

    /** Sends log lines to standard output in the background, for processes that serve. */
    public static void inBackground() {
        KeyValueWriter.inBackground();
    }

    /** Writes the lines that wait; call before the process ends. */
    public static void drain() {
        KeyValueWriter.drain();
    }
}
