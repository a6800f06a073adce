package ebonygw.settings;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.List;
import java.util.Optional;

/** Assembles a snapshot from its parts, which may arrive in any order. Not thread-safe. */
final class SnapshotAssembly {
    /** Maximum number of parts of a snapshot. */
    static final int MAX_PARTS = 4096;

    private final long mRevision;
    private final long mChecksum;
    private final ByteString[] mParts;

    /**
     * Creates an assembly without parts.
     *
     * @throws IllegalArgumentException if the number of parts is below 1 or above {@link
     *     #MAX_PARTS}
     */
    SnapshotAssembly(long revision, long checksum, int count) {
        if (count < 1 || count > MAX_PARTS) {
            throw new IllegalArgumentException(
                    "number of snapshot parts must be from 1 to " + MAX_PARTS + ": " + count);
        }
        mRevision = revision;
        mChecksum = checksum;
        mParts = new ByteString[count];
    }

    /** Adds a part; an index out of bounds is ignored. */
    void add(int index, ByteString data) {
        if (index >= 0 && index < mParts.length) {
            mParts[index] = data;
        }
    }

    /** Returns the index of the first missing part, the number of parts if none is missing. */
    int firstMissing() {
        int index = 0;
        while (index < mParts.length && mParts[index] != null) {
            index++;
        }
        return index;
    }

    /** Returns whether all parts are present. */
    boolean isComplete() {
        return firstMissing() == mParts.length;
    }

    /** Returns whether a part belongs to this snapshot. */
    boolean matches(SettingsMessage.Part part) {
        return part.revision() == mRevision
                && part.checksum() == mChecksum
                && part.count() == mParts.length;
    }

    /** Returns the state, empty if the bytes are damaged. All parts must be present. */
    Optional<SettingsState> restore() {
        ByteString bytes = ByteString.copyFrom(List.of(mParts));
        try {
            return Optional.of(new SettingsSnapshot(mRevision, mChecksum, bytes).restore());
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
