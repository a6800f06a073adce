package ebonygw.gateway;

import java.util.List;
import java.util.Objects;

/**
 * A customer of the configuration.
 *
 * @param name its unique name
 * @param priority priority of its requests, negative to use the route's
 * @param tokensPerSecond quota over the whole fleet, 0 for no limit
 * @param burst size of the token bucket
 * @param defaultTokens tokens charged for a request that declares none
 * @param keyHashes SHA-256 of its API keys in lower-case hexadecimal
 */
public record GatewayCustomer(
        String name,
        int priority,
        long tokensPerSecond,
        long burst,
        long defaultTokens,
        List<String> keyHashes) {
    /** Creates a customer. */
    public GatewayCustomer {
        Objects.requireNonNull(name, "name");
        keyHashes = List.copyOf(keyHashes);
    }
}
