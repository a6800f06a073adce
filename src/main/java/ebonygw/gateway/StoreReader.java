package ebonygw.gateway;

import ebonygw.keyvalue.KeyValueReply.Entry;
import java.util.Optional;

/**
 * Reads what operators and targets write into the key-value service.
 *
 * <p>Stateless; used on the control thread.
 */
public interface StoreReader {
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
     * @return empty if the value names no target that can be used
     */
    Optional<TargetRecord> target(Entry entry);

    /** Returns the prefix of the targets' keys. */
    String targetPrefix();

    /**
     * Reads which version of a model or adapter has to run.
     *
     * @return empty if the key is not one of versions
     * @throws IllegalArgumentException if the value is malformed
     */
    Optional<WantedVersion> wantedVersion(Entry entry);

    /**
     * A version that has to run.
     *
     * @param name the model, or the adapter as MODEL/ADAPTER
     * @param version the version
     */
    record WantedVersion(String name, long version) {}
}
