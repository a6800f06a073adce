package ebonygw.settings;

import com.google.protobuf.ByteString;
import java.util.List;

/**
 * Serves the parts of a snapshot to peers. The snapshot is encoded again only when the retained log
 * no longer continues from it.
 *
 * <p>Not thread-safe.
 */
final class SnapshotServer {
    private static final int PART_BYTES = 128 * 1024;

    private SettingsSnapshot mSnapshot;
    private List<ByteString> mParts = List.of();

    /**
     * Returns a part.
     *
     * @param state the present state
     * @param revision revision of the requested snapshot; if it is not the one held, the first part
     *     of the held one is returned
     * @param index index of the part, from 0
     */
    SettingsMessage.Part part(SettingsState state, long revision, int index) {
        if (mSnapshot == null || isOutdated(state)) {
            mSnapshot = SettingsSnapshot.of(state);
            mParts = mSnapshot.parts(PART_BYTES);
        }
        boolean available = revision == mSnapshot.revision() && index < mParts.size();
        int served = available ? index : 0;
        return new SettingsMessage.Part(
                mSnapshot.revision(),
                mSnapshot.checksum(),
                served,
                mParts.size(),
                mParts.get(served));
    }

    private boolean isOutdated(SettingsState state) {
        long revision = mSnapshot.revision();
        return revision != state.revision() && state.logged(revision + 1).isEmpty();
    }
}
