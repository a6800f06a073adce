package ebonygw.settings;

import java.util.Locale;

/** Keys of the settings in the key-value service. */
final class SettingsKeys {
    /** Key of the descriptor of the newest snapshot. */
    static final String HEAD = "/ebonygw/settings/snapshot-head";

    /** Prefix of the keys of the log. */
    static final String LOG = "/ebonygw/settings/log/";

    /** End of the range of keys of the log, exclusive. */
    static final String LOG_END = "/ebonygw/settings/log0";

    /** Prefix of the keys of the parts of snapshots. */
    static final String PARTS = "/ebonygw/settings/snapshot/";

    /** End of the range of keys of the parts of snapshots, exclusive. */
    static final String PARTS_END = "/ebonygw/settings/snapshot0";

    private SettingsKeys() {}

    /** Returns the key of a revision in the log; keys sort in the order of revisions. */
    static String log(long revision) {
        return LOG + String.format(Locale.ROOT, "%019d", revision);
    }

    /** Returns the key of a part of a snapshot. */
    static String part(String snapshotId, int index) {
        return PARTS + snapshotId + "/" + String.format(Locale.ROOT, "%06d", index);
    }
}
