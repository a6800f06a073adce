package ebonygw.process;

import javax.management.MBeanServer;
import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Keeps the process without a server for management beans (JMX).
 *
 * <p>The HTTP library registers beans that nothing reads, as metrics are served over HTTP. Creating
 * the server of the platform for them takes a quarter of the processor time of a start. The library
 * goes on without beans if there is no server.
 */
public final class NoManagementBeans extends MBeanServerBuilder {
    /** System property that names the class which creates servers for management beans. */
    private static final String BUILDER = "javax.management.builder.initial";

    /** System property of the HTTP library's thread pools: whether to leave their beans out. */
    private static final String DISABLE_POOL_BEANS = "jboss.threads.eqe.disable-mbean";

    /** Creates a builder; called by the runtime, by the name of the class. */
    public NoManagementBeans() {}

    /** Disables management beans; must be called before the first use of the HTTP library. */
    public static void install() {
        System.setProperty(BUILDER, NoManagementBeans.class.getName());
        System.setProperty(DISABLE_POOL_BEANS, "true");
    }

    /**
     * Refuses to create a server.
     *
     * @throws UnsupportedOperationException always
     */
    @Override
    public MBeanServer newMBeanServer(
            String defaultDomain, MBeanServer outer, MBeanServerDelegate delegate) {
        throw new UnsupportedOperationException("management beans are disabled");
    }
}
