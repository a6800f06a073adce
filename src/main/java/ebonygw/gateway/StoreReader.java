package ebonygw.gateway;

import ebonygw.keyvalue.KeyValueResponse.Entry;
import java.util.Optional;
import java.util.Set;

/**
 * Parses the values that operators and targets write to the key-value service.
 *
 * <p>Stateless; used on the control thread.
 */
public interface StoreReader {
    /**
     * Reads the data centre whose evacuation a key requests; the value of the key has no meaning.
     *
     * @return empty if the key does not request an evacuation
     * @throws IllegalArgumentException if the key names no data centre
     */
    default Optional<String> evacuatedDataCenter(String key) {
        return Optional.empty();
    }

    /** Returns the regions of the fleet, empty if they are not known. */
    default Set<String> knownRegions() {
        return Set.of();
    }

    /** Returns the prefix of the operators' keys. */
    String operatorPrefix();

    /**
     * Reads the configuration.
     *
     * @return empty if the key is not that of the configuration
     * @throws IllegalArgumentException if the value is malformed
     */
    Optional<GatewaySettings> settings(Entry entry);

    /**
     * Reads the registration of a target.
     *
     * @return empty if the value is malformed or describes no usable target
     */
    Optional<TargetRecord> target(Entry entry);

    /** Returns the prefix of the targets' keys. */
    String targetPrefix();

    /**
     * Reads the required version of a model or adapter.
     *
     * @return empty if the key does not hold a version
     * @throws IllegalArgumentException if the value is malformed
     */
    Optional<WantedVersion> wantedVersion(Entry entry);

    /**
     * The minimum required version of a model or adapter.
     *
     * @param name the model, or the adapter as MODEL/ADAPTER
     * @param version the version
     */
    record WantedVersion(String name, long version) {}
}
