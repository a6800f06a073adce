package ebonygw.keyvalue;

import com.google.protobuf.ByteString;
import java.util.List;

/** The outcome of a {@link KeyValueCall}, as a value. */
public sealed interface KeyValueReply {
    /**
     * The call failed.
     *
     * @param mayHaveTakenEffect whether a write of the call may be in force all the same
     * @param detail text for people
     */
    record Failed(boolean mayHaveTakenEffect, String detail) implements KeyValueReply {}

    /**
     * A key with its value.
     *
     * @param key the key
     * @param value the value, null for a deleted key in a watch
     * @param modRevision revision of its last change
     * @param leaseId lease that it goes with, 0 for none
     */
    record Entry(String key, ByteString value, long modRevision, long leaseId) {}

    /**
     * A lease is granted or was kept alive.
     *
     * @param leaseId the lease
     * @param timeToLiveSeconds time until it lapses, 0 or less if it is gone
     */
    record Lease(long leaseId, long timeToLiveSeconds) implements KeyValueReply {}

    /**
     * Entries of a range.
     *
     * @param revision revision of the whole store when it was read
     * @param entries the entries in order of their keys
     * @param more whether the limit cut off further entries
     */
    record Found(long revision, List<Entry> entries, boolean more) implements KeyValueReply {
        /** Creates the reply. */
        public Found {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Outcome of a transaction.
     *
     * @param revision revision of the whole store after it
     * @param succeeded whether the conditions held and the writes were applied
     */
    record Committed(long revision, boolean succeeded) implements KeyValueReply {}

    /**
     * Changes seen by a watch.
     *
     * @param revision greatest revision reported
     * @param entries the changed entries in order of revision
     */
    record Changed(long revision, List<Entry> entries) implements KeyValueReply {
        /** Creates the reply. */
        public Changed {
            entries = List.copyOf(entries);
        }
    }

    /**
     * The watch's first revision is no longer kept; the range has to be read again.
     *
     * @param compactRevision first revision still kept
     */
    record Compacted(long compactRevision) implements KeyValueReply {}
}
