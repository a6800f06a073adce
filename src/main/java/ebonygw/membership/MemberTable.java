package ebonygw.membership;

import ebonygw.protocol.NodeId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;

/**
 * The records of all known processes, with a digest that lets two processes find the differences
 * between their tables without exchanging them.
 *
 * <p>Members are assigned to buckets by the hash of their name. A bucket's hash is the XOR of the
 * hashes of its members' announced states, so it is updated without reading the whole bucket.
 * Members whose incarnation is unknown are left out.
 *
 * <p>Not thread-safe.
 */
final class MemberTable {
    /** Number of buckets in a digest. */
    static final int BUCKETS = 64;

    private static final LongHashFunction HASH = LongHashFunction.xx();

    private final Map<NodeId, MemberRecord> mRecords = new TreeMap<>();
    private final long[] mBuckets = new long[BUCKETS];

    /** Returns the hash of each bucket. */
    List<Long> digest() {
        return Arrays.stream(mBuckets).boxed().toList();
    }

    /** Returns the announced members of all buckets whose hash differs from the given digest. */
    List<Member> membersOfDifferingBuckets(List<Long> digest) {
        if (digest.size() != BUCKETS) {
            return List.of();
        }
        List<Member> found = new ArrayList<>();
        for (MemberRecord record : mRecords.values()) {
            int bucket = bucket(record.id());
            if (mBuckets[bucket] != digest.get(bucket)) {
                found.add(record.announced());
            }
        }
        return found;
    }

    /**
     * Applies a state announced by a process or reported by another one.
     *
     * @return whether the table changed
     */
    boolean merge(Member member) {
        MemberRecord record = mRecords.get(member.id());
        if (record == null) {
            mRecords.put(member.id(), new MemberRecord(member));
            xorIntoBucket(member);
            return true;
        }
        Member before = record.announced();
        record.merge(member);
        return updateDigest(before, record.announced());
    }

    /** Returns the record of a process, empty if the process is unknown. */
    Optional<MemberRecord> record(NodeId id) {
        return Optional.ofNullable(mRecords.get(id));
    }

    /** Returns all records, ordered by process name. */
    Collection<MemberRecord> records() {
        return mRecords.values();
    }

    /**
     * Updates the digest after a record's announced state may have changed.
     *
     * @return whether the announced state changed
     */
    boolean updateDigest(Member before, Member after) {
        if (before.equals(after)) {
            return false;
        }
        xorIntoBucket(before);
        xorIntoBucket(after);
        return true;
    }

    private static int bucket(NodeId id) {
        return (int) Math.floorMod(Neighbours.hash(id), (long) BUCKETS);
    }

    /** Adds a member to the hash of its bucket, or removes it if it is included. */
    private void xorIntoBucket(Member member) {
        if (member.incarnation() == 0) {
            return;
        }
        long[] parts = {
            Neighbours.hash(member.id()), member.incarnation(), MemberRecord.rank(member.state())
        };
        mBuckets[bucket(member.id())] ^= HASH.hashLongs(parts);
    }
}
