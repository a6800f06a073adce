package ebonygw.admission;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import ebonygw.admission.ShareMessage.Holder;
import ebonygw.wire.SharesProtocol.SharesOwnerRecord;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;

/** The record of a shard's owner in the key-value service. Not thread-safe. */
final class Claim {
    final Set<Holder> mHolders = new LinkedHashSet<>();
    final Set<Holder> mUnresolved = new LinkedHashSet<>();

    /** Holders of this epoch that may hold shares of earlier ones; they have to report. */
    final Set<Holder> mAwaited = new HashSet<>();

    long mEpoch;
    long mNonce;
    Holder mOwner;
    long mModRevision;
    boolean mFresh;
    boolean mContinued;
    boolean mResolves;

    static Claim parse(byte[] value) throws InvalidProtocolBufferException {
        SharesOwnerRecord record = SharesOwnerRecord.parseFrom(value);
        Claim claim = new Claim();
        claim.mEpoch = record.getEpoch();
        claim.mNonce = record.getNonce();
        claim.mOwner = ShareCodec.decodeHolder(record.getOwner());
        record.getHoldersList().forEach(it -> claim.mHolders.add(ShareCodec.decodeHolder(it)));
        record.getUnresolvedList()
                .forEach(it -> claim.mUnresolved.add(ShareCodec.decodeHolder(it)));
        return claim;
    }

    /** Sorts all that may hold shares after an earlier record into awaited and unresolved ones. */
    void addUnresolved(Claim before) {
        boolean alone = before.mHolders.size() == 1;
        for (Holder holder : before.mHolders) {
            add(new Holder(holder.id(), holder.incarnation(), alone));
        }
        before.mUnresolved.forEach(this::add);
    }

    boolean isInForce(Claim current) {
        return current != null && current.mNonce == mNonce;
    }

    /** Returns the record of the same epoch in which only these processes may hold shares. */
    Claim released(Set<Holder> unresolved) {
        Claim claim = resolved(unresolved);
        claim.mHolders.clear();
        return claim;
    }

    /** Returns the record of the same epoch in which fewer silent processes may hold shares. */
    Claim resolved(Set<Holder> unresolved) {
        Claim claim = new Claim();
        claim.mEpoch = mEpoch;
        claim.mNonce = mNonce;
        claim.mOwner = mOwner;
        claim.mHolders.addAll(mHolders);
        claim.mAwaited.addAll(mAwaited);
        claim.mUnresolved.addAll(unresolved);
        claim.mModRevision = mModRevision;
        claim.mResolves = true;
        return claim;
    }

    ByteString toBytes() {
        SharesOwnerRecord.Builder record = SharesOwnerRecord.newBuilder();
        record.setEpoch(mEpoch).setNonce(mNonce).setOwner(ShareCodec.encodeHolder(mOwner));
        mHolders.forEach(it -> record.addHolders(ShareCodec.encodeHolder(it)));
        mUnresolved.forEach(it -> record.addUnresolved(ShareCodec.encodeHolder(it)));
        return record.build().toByteString();
    }

    private void add(Holder holder) {
        Holder plain = new Holder(holder.id(), holder.incarnation(), false);
        if (mHolders.contains(plain)) {
            mAwaited.add(plain);
        } else {
            mUnresolved.add(holder);
        }
    }
}
