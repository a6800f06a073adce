package ebonygw.settings;

import java.util.Locale;

/** Names of the settings' keys in the key-value service. */
final class SettingsKeys {
    /** Key of the description of the newest snapshot. */
    static final String HEAD = "/ebonygw/settings/snapshot-head";

    /** Start of the keys of the log. */
    static final String LOG = "/ebonygw/settings/log/";

    /** First key behind the log. */
    static final String LOG_END = "/ebonygw/settings/log0";

    /** Start of the keys of the parts of snapshots. */
    static final String PARTS = "/ebonygw/settings/snapshot/";

    /** First key behind the parts of snapshots. */
    static final String PARTS_END = "/ebonygw/settings/snapshot0";

    private SettingsKeys() {}

    /** Returns the key of a revision in the log. */
    static String log(long revision) {
        return LOG + String.format(Locale.ROOT, "%019d", revision);
    }

    /** Returns the key of a part of a snapshot. */
    static String part(String snapshotId, int index) {
        return PARTS + snapshotId + "/" + String.format(Locale.ROOT, "%06d", index);
    }
}
