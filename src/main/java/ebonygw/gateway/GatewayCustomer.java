package ebonygw.gateway;

import ebonygw.eligibility.AllowedRegions;
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
 * @param allowedRegions regions in which its requests may run
 */
public record GatewayCustomer(
        String name,
        int priority,
        long tokensPerSecond,
        long burst,
        long defaultTokens,
        List<String> keyHashes,
        AllowedRegions allowedRegions) {
    /** Creates a customer. */
    public GatewayCustomer {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(allowedRegions, "allowedRegions");
        keyHashes = List.copyOf(keyHashes);
    }

    /** Creates a customer whose requests may run in all regions. */
    public GatewayCustomer(
            String name,
            int priority,
            long tokensPerSecond,
            long burst,
            long defaultTokens,
            List<String> keyHashes) {
        this(name, priority, tokensPerSecond, burst, defaultTokens, keyHashes, AllowedRegions.ANY);
    }

    /** Returns this customer with other allowed regions. */
    public GatewayCustomer withAllowedRegions(AllowedRegions regions) {
        return new GatewayCustomer(
                name, priority, tokensPerSecond, burst, defaultTokens, keyHashes, regions);
    }
}
