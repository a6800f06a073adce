package ebonygw.process;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.function.Function;
import org.xnio.XnioWorker;

/**
 * What entries that forward directly and loaders are both started with.
 *
 * @param runtime options of the runtime
 * @param operators where the process answers operators
 * @param keyValue makes the client of the key-value service on the process's IO thread
 */
public record GatewayRuntimeOptions(
        RuntimeOptions runtime,
        InetSocketAddress operators,
        Function<XnioWorker, KeyValueCaller> keyValue) {
    /**
     * Creates options.
     *
     * @throws NullPointerException if an argument is null
     */
    public GatewayRuntimeOptions {
        Objects.requireNonNull(runtime, "runtime");
        Objects.requireNonNull(operators, "operators");
        Objects.requireNonNull(keyValue, "keyValue");
    }
}
