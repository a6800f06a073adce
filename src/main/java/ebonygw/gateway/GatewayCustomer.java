package ebonygw.gateway;

import java.util.List;
import java.util.Objects;

/**
 * A customer of the configuration.
 *
 * @param name its name
 * @param priority rank of its requests in place of the route's, below 0 for the route's
 * @param tokensPerSecond its rate over the whole fleet, 0 for no limit
 * @param burst tokens that it may use at once beyond its rate
 * @param plainTokens tokens charged for a request that declares none
 * @param keyHashes SHA-256 of its keys in lower-case hexadecimal
 */
public record GatewayCustomer(
        String name,
        int priority,
        long tokensPerSecond,
        long burst,
        long plainTokens,
        List<String> keyHashes) {
    /** Creates a customer. */
    public GatewayCustomer {
        Objects.requireNonNull(name, "name");
        keyHashes = List.copyOf(keyHashes);
    }
}
