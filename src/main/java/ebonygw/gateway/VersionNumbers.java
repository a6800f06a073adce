package ebonygw.gateway;

import ebonygw.log.LogLine;
import ebonygw.request.AdapterVersion;

/** Converts adapter versions to and from numbers, where 0 stands for any version. */
final class VersionNumbers {
    private VersionNumbers() {}

    /** Returns the number of a version; a malformed one is logged and counts as any version. */
    static long parse(AdapterVersion version) {
        String text = version.version();
        if (text.isEmpty()) {
            return 0;
        }
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException notNumeric) {
            LogLine.of("version_malformed")
                    .with("adapter", version.adapter())
                    .with("version", text)
                    .warn();
            return 0;
        }
    }

    /** Returns a reference to a version of an adapter, 0 for any version. */
    static AdapterVersion toAdapterVersion(String adapter, long version) {
        return new AdapterVersion(adapter, version == 0 ? "" : Long.toString(version));
    }
}
