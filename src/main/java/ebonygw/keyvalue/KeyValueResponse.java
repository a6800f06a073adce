package ebonygw.keyvalue;

import com.google.protobuf.ByteString;
import java.util.List;

/** The response to a {@link KeyValueRequest}, as an immutable value. */
public sealed interface KeyValueResponse {
    /**
     * The request failed.
     *
     * @param mayHaveTakenEffect whether a write of the request may have been applied nevertheless
     * @param detail cause for logs and error messages
     */
    record Failed(boolean mayHaveTakenEffect, String detail) implements KeyValueResponse {}

    /**
     * A key with its value.
     *
     * @param value the value, null for a deleted key in a watch
     * @param modRevision revision of the last change
     * @param leaseId lease whose end deletes the key, 0 for none
     */
    record Entry(String key, ByteString value, long modRevision, long leaseId) {}

    /**
     * State of a lease that was granted, renewed or revoked.
     *
     * @param timeToLiveSeconds time until the lease expires, 0 or less if it no longer exists
     */
    record Lease(long leaseId, long timeToLiveSeconds) implements KeyValueResponse {}

    /**
     * Result of a range read.
     *
     * @param revision revision of the whole store at the time of the read
     * @param entries the entries, in order of their keys
     * @param more whether further entries were left out because of the limit
     */
    record RangeResult(long revision, List<Entry> entries, boolean more)
            implements KeyValueResponse {
        /** Creates a response with a copy of the list. */
        public RangeResult {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Result of a transaction.
     *
     * @param revision revision of the whole store after the transaction
     * @param succeeded whether the conditions held and the writes were applied
     */
    record TransactionResult(long revision, boolean succeeded) implements KeyValueResponse {}

    /**
     * A batch of changes reported by a watch.
     *
     * @param revision highest revision that the batch covers
     * @param entries the changed entries, in order of revision
     */
    record Changed(long revision, List<Entry> entries) implements KeyValueResponse {
        /** Creates a response with a copy of the list. */
        public Changed {
            entries = List.copyOf(entries);
        }
    }

    /**
     * The start revision of a watch has been compacted, which ends the watch; the client has to
     * read the range again.
     *
     * @param compactRevision first revision whose changes are still available
     */
    record Compacted(long compactRevision) implements KeyValueResponse {}
}
