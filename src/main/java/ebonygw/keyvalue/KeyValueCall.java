package ebonygw.keyvalue;

import com.google.protobuf.ByteString;
import java.util.List;

/**
 * A call of the key-value service, as a value.
 *
 * <p>The shapes follow the published API of etcd v3: range, transaction with compare, lease, watch.
 */
public sealed interface KeyValueCall {
    /**
     * One condition of a transaction.
     *
     * @param key the key
     * @param modRevision revision at which the key was last changed, 0 if it must not exist
     */
    record Compare(String key, long modRevision) {}

    /**
     * Grants a lease.
     *
     * @param timeToLiveSeconds after how long without keep-alive it lapses
     */
    record LeaseGrant(long timeToLiveSeconds) implements KeyValueCall {}

    /**
     * Keeps a lease alive.
     *
     * @param leaseId the lease
     */
    record LeaseKeepAlive(long leaseId) implements KeyValueCall {}

    /**
     * Revokes a lease, which deletes its keys.
     *
     * @param leaseId the lease
     */
    record LeaseRevoke(long leaseId) implements KeyValueCall {}

    /**
     * Reads the keys from {@code key} up to, but not including, {@code end}.
     *
     * @param key first key
     * @param end end of the range, empty to read {@code key} alone
     * @param limit most entries to return, 0 for all
     */
    record Range(String key, String end, int limit) implements KeyValueCall {}

    /**
     * A change within a transaction.
     *
     * @param key the key
     * @param value the new value, null to delete the key
     * @param leaseId lease that the key goes with, 0 for none
     */
    record Write(String key, ByteString value, long leaseId) {}

    /**
     * Applies all writes if all conditions hold, and else nothing.
     *
     * @param compares the conditions
     * @param writes the changes
     */
    record Transaction(List<Compare> compares, List<Write> writes) implements KeyValueCall {
        /** Creates a transaction. */
        public Transaction {
            compares = List.copyOf(compares);
            writes = List.copyOf(writes);
        }
    }

    /**
     * Waits for changes of the keys from {@code key} up to {@code end}; replies once for each batch
     * of changes until it fails.
     *
     * @param key first key
     * @param end end of the range, empty to watch {@code key} alone
     * @param fromRevision first revision to report
     */
    record Watch(String key, String end, long fromRevision) implements KeyValueCall {}

    /** Ends the watch that was started under the same call identifier. */
    record WatchCancel() implements KeyValueCall {}
}
