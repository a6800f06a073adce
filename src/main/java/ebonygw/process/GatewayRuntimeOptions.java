package ebonygw.process;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.function.Function;
import org.xnio.XnioWorker;

/**
 * Options that entries that forward directly and loaders share.
 *
 * @param runtime options of the node runtime
 * @param operators address of the operator listener
 * @param keyValue creates the client of the key-value service on the IO thread of the process
 */
public record GatewayRuntimeOptions(
        RuntimeOptions runtime,
        InetSocketAddress operators,
        Function<XnioWorker, KeyValueTransport> keyValue) {
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
