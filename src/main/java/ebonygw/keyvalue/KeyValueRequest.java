package ebonygw.keyvalue;

import com.google.protobuf.ByteString;
import java.util.List;

/**
 * A request to the key-value service, as an immutable value.
 *
 * <p>The types follow the published API of etcd v3: range, transaction with comparisons, lease and
 * watch.
 */
public sealed interface KeyValueRequest {
    /**
     * One condition of a transaction.
     *
     * @param modRevision revision at which the key must have been changed last, 0 if the key must
     *     not exist
     */
    record Compare(String key, long modRevision) {}

    /**
     * Grants a lease.
     *
     * @param timeToLiveSeconds time without a keep-alive after which the lease expires
     */
    record LeaseGrant(long timeToLiveSeconds) implements KeyValueRequest {}

    /** Renews a lease for its whole time to live. */
    record LeaseKeepAlive(long leaseId) implements KeyValueRequest {}

    /** Revokes a lease, which deletes its keys. */
    record LeaseRevoke(long leaseId) implements KeyValueRequest {}

    /**
     * Reads the keys from {@code key} up to, but not including, {@code end}.
     *
     * @param key first key
     * @param end end of the range, exclusive; empty to read {@code key} alone
     * @param limit maximum number of entries to return, 0 for no limit
     */
    record Range(String key, String end, int limit) implements KeyValueRequest {}

    /**
     * One change within a transaction.
     *
     * @param value the new value, null to delete the key
     * @param leaseId lease whose end deletes the key, 0 for none
     */
    record Write(String key, ByteString value, long leaseId) {}

    /**
     * Applies all writes atomically if all conditions hold, and nothing otherwise.
     *
     * @param compares the conditions, which may be empty
     * @param writes the changes, at most one for each key
     */
    record Transaction(List<Compare> compares, List<Write> writes) implements KeyValueRequest {
        /** Creates a transaction with copies of the lists. */
        public Transaction {
            compares = List.copyOf(compares);
            writes = List.copyOf(writes);
        }
    }

    /**
     * Reports the changes of the keys from {@code key} up to, but not including, {@code end}.
     *
     * <p>There is one response for each batch of changes, until the watch fails, its start revision
     * turns out to be compacted, or it is cancelled.
     *
     * @param key first key
     * @param end end of the range, exclusive; empty to watch {@code key} alone
     * @param fromRevision first revision to report, 0 for changes from now on
     */
    record Watch(String key, String end, long fromRevision) implements KeyValueRequest {}

    /** Cancels the watch that was started under the same request id; has no response. */
    record WatchCancel() implements KeyValueRequest {}
}
