package ebonygw.log;

/** Binds the logging of libraries to ours. */
public final class Logs {
    private static final String JBOSS_PROVIDER = "org.jboss.logging.provider";

    private Logs() {}

    /** Sends the log lines of the HTTP libraries our way; call before their first use. */
    public static void bind() {
        System.setProperty(JBOSS_PROVIDER, "slf4j");
    }
}
