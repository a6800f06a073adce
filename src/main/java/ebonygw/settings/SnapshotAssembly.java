package ebonygw.settings;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.List;
import java.util.Optional;

/** Puts a snapshot together from its parts, in any order. Not thread-safe. */
final class SnapshotAssembly {
    /** Most parts of a snapshot. */
    static final int MAX_PARTS = 4096;

    private final long mRevision;
    private final long mChecksum;
    private final ByteString[] mParts;

    /**
     * Creates an assembly without parts.
     *
     * @throws IllegalArgumentException if there would be too many parts
     */
    SnapshotAssembly(long revision, long checksum, int count) {
        if (count < 1 || count > MAX_PARTS) {
            throw new IllegalArgumentException("parts out of bounds: " + count);
        }
        mRevision = revision;
        mChecksum = checksum;
        mParts = new ByteString[count];
    }

    /** Takes a part; one out of bounds is ignored. */
    void add(int index, ByteString data) {
        if (index >= 0 && index < mParts.length) {
            mParts[index] = data;
        }
    }

    /** Returns whether all parts are there. */
    boolean complete() {
        return firstMissing() == mParts.length;
    }

    /** Returns the first part that is missing, the number of parts if none is. */
    int firstMissing() {
        int index = 0;
        while (index < mParts.length && mParts[index] != null) {
            index++;
        }
        return index;
    }

    /** Returns whether a part is of this snapshot. */
    boolean matches(SettingsMessage.Part part) {
        return part.revision() == mRevision
                && part.checksum() == mChecksum
                && part.count() == mParts.length;
    }

    /** Returns the state, empty if the bytes are damaged. */
    Optional<SettingsState> restore() {
        ByteString bytes = ByteString.copyFrom(List.of(mParts));
        try {
            return Optional.of(new SettingsSnapshot(mRevision, mChecksum, bytes).restore());
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
