package ebonygw.settings;

import java.util.Objects;

/**
 * A caller's key in the tree, live or withdrawn.
 *
 * @param settings its settings, which hold only the hash of the key
 * @param issuedAtRevision revision that issued it
 * @param withdrawnAtRevision revision that withdrew it, 0 if it is live
 */
public record IssuedKey(KeySettings settings, long issuedAtRevision, long withdrawnAtRevision) {
    /** Creates a key. */
    public IssuedKey {
        Objects.requireNonNull(settings, "settings");
    }

    /** Returns whether it has not been withdrawn. */
    public boolean live() {
        return withdrawnAtRevision == 0;
    }
}
