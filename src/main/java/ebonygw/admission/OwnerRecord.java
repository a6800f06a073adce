package ebonygw.admission;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import ebonygw.admission.ShareMessage.Holder;
import ebonygw.wire.SharesProtocol.SharesOwnerRecord;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The record in the key-value service that names the owner and the holders of a shard's epoch.
 *
 * <p>Also holds, for its writer only, how the record came about. Not thread-safe.
 */
final class OwnerRecord {
    /** Processes that may hold shares in this epoch. */
    final Set<Holder> mHolders = new LinkedHashSet<>();

    /** Processes outside of this epoch that may still hold shares of earlier ones. */
    final Set<Holder> mUnresolved = new LinkedHashSet<>();

    /** Holders of this epoch that may hold shares of earlier ones, so that they have to report. */
    final Set<Holder> mExpectedReporters = new HashSet<>();

    long mEpoch;

    /** Identifies the epoch's write; shows whether a write whose response was lost took effect. */
    long mNonce;

    Holder mOwner;
    long mModRevision;

    /** Whether the key-value service held no record of the shard before. */
    boolean mIsFirst;

    /** Whether the writer owned the previous epoch too. */
    boolean mKeepsOwner;

    /** Whether the record only updates the unresolved processes of the current epoch. */
    boolean mKeepsEpoch;

    static OwnerRecord parse(byte[] value) throws InvalidProtocolBufferException {
        SharesOwnerRecord record = SharesOwnerRecord.parseFrom(value);
        OwnerRecord result = new OwnerRecord();
        result.mEpoch = record.getEpoch();
        result.mNonce = record.getNonce();
        result.mOwner = ShareCodec.decodeHolder(record.getOwner());
        record.getHoldersList().forEach(it -> result.mHolders.add(ShareCodec.decodeHolder(it)));
        record.getUnresolvedList()
                .forEach(it -> result.mUnresolved.add(ShareCodec.decodeHolder(it)));
        return result;
    }

    /**
     * Adds every process that may hold shares by the previous record: to the expected reporters if
     * it is a holder of this epoch, else to the unresolved ones.
     */
    void addUnresolved(OwnerRecord previous) {
        boolean onlyHolder = previous.mHolders.size() == 1;
        for (Holder holder : previous.mHolders) {
            add(new Holder(holder.id(), holder.incarnation(), onlyHolder));
        }
        previous.mUnresolved.forEach(this::add);
    }

    /** Returns whether the other record, null if none, is of the same epoch and writer. */
    boolean hasNonceOf(OwnerRecord other) {
        return other != null && other.mNonce == mNonce;
    }

    /** Returns the record of the same epoch without holders, with these unresolved processes. */
    OwnerRecord released(Set<Holder> unresolved) {
        OwnerRecord result = resolved(unresolved);
        result.mHolders.clear();
        return result;
    }

    /** Returns the record of the same epoch with these unresolved processes instead. */
    OwnerRecord resolved(Set<Holder> unresolved) {
        OwnerRecord result = new OwnerRecord();
        result.mEpoch = mEpoch;
        result.mNonce = mNonce;
        result.mOwner = mOwner;
        result.mHolders.addAll(mHolders);
        result.mExpectedReporters.addAll(mExpectedReporters);
        result.mUnresolved.addAll(unresolved);
        result.mModRevision = mModRevision;
        result.mKeepsEpoch = true;
        return result;
    }

    ByteString toBytes() {
        SharesOwnerRecord.Builder record = SharesOwnerRecord.newBuilder();
        record.setEpoch(mEpoch).setNonce(mNonce).setOwner(ShareCodec.encodeHolder(mOwner));
        mHolders.forEach(it -> record.addHolders(ShareCodec.encodeHolder(it)));
        mUnresolved.forEach(it -> record.addUnresolved(ShareCodec.encodeHolder(it)));
        return record.build().toByteString();
    }

    private void add(Holder holder) {
        Holder reporter = new Holder(holder.id(), holder.incarnation(), false);
        if (mHolders.contains(reporter)) {
            mExpectedReporters.add(reporter);
        } else {
            mUnresolved.add(holder);
        }
    }
}
