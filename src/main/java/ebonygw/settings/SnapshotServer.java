package ebonygw.settings;

import com.google.protobuf.ByteString;
import java.util.List;

/**
 * Gives out the parts of a snapshot, encoded anew only when the log no longer leads on from it.
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
     * @param revision snapshot asked for; another one than is held gives the first part of that one
     * @param index the part
     */
    SettingsMessage.Part part(SettingsState state, long revision, int index) {
        if (mSnapshot == null || outdated(state)) {
            mSnapshot = SettingsSnapshot.of(state);
            mParts = mSnapshot.parts(PART_BYTES);
        }
        boolean held = revision == mSnapshot.revision() && index < mParts.size();
        int given = held ? index : 0;
        return new SettingsMessage.Part(
                mSnapshot.revision(),
                mSnapshot.checksum(),
                given,
                mParts.size(),
                mParts.get(given));
    }

    private boolean outdated(SettingsState state) {
        long revision = mSnapshot.revision();
        return revision != state.revision() && state.logged(revision + 1).isEmpty();
    }
}
