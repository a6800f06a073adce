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
 * The records of all known processes, with hashes by which two tables are compared cheaply.
 *
 * <p>Not thread-safe.
 */
final class MemberTable {
    /** Number of buckets that a table's digest has. */
    static final int BUCKETS = 64;

    private static final LongHashFunction HASH = LongHashFunction.xx();

    private final Map<NodeId, MemberRecord> mRecords = new TreeMap<>();
    private final long[] mBuckets = new long[BUCKETS];

    /** Returns the hashes of all buckets. */
    List<Long> digest() {
        return Arrays.stream(mBuckets).boxed().toList();
    }

    /** Returns the announced members of the buckets whose hashes differ from another digest's. */
    List<Member> differing(List<Long> digest) {
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
     * Takes in what a process, or another one about it, announced.
     *
     * @return whether it changed what is known
     */
    boolean merge(Member member) {
        MemberRecord record = mRecords.get(member.id());
        if (record == null) {
            mRecords.put(member.id(), new MemberRecord(member));
            toggle(member);
            return true;
        }
        Member before = record.announced();
        record.merge(member);
        return rehash(before, record.announced());
    }

    /** Returns the record of a process. */
    Optional<MemberRecord> record(NodeId id) {
        return Optional.ofNullable(mRecords.get(id));
    }

    /** Returns all records in order of their names. */
    Collection<MemberRecord> records() {
        return mRecords.values();
    }

    /**
     * Brings the hashes up to date after a record's announced state changed.
     *
     * @return whether it did change
     */
    boolean rehash(Member before, Member after) {
        if (before.equals(after)) {
            return false;
        }
        toggle(before);
        toggle(after);
        return true;
    }

    private static int bucket(NodeId id) {
        return (int) Math.floorMod(Neighbours.hash(id), (long) BUCKETS);
    }

    private void toggle(Member member) {
        if (member.incarnation() == 0) {
            return;
        }
        long[] parts = {
            Neighbours.hash(member.id()), member.incarnation(), MemberRecord.rank(member.state())
        };
        mBuckets[bucket(member.id())] ^= HASH.hashLongs(parts);
    }
}
