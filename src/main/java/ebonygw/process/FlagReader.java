package ebonygw.process;

import ebonygw.peer.PeerAddresses;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Converts the text of flags to values and collects the faults found.
 *
 * <p>For an invalid text a placeholder is returned, so that the remaining flags are checked too and
 * all faults are reported together. Not thread-safe.
 */
final class FlagReader {
    private static final InetSocketAddress PLACEHOLDER_ADDRESS = new InetSocketAddress(0);
    private static final String PLACEHOLDER_TEXT = "none";
    private static final String SCHEME = "http";

    private final List<String> mFaults = new ArrayList<>();

    FlagReader() {}

    /** Adds a fault, a text that names the flag and the problem. */
    void addFault(String fault) {
        mFaults.add(fault);
    }

    /** Reads an address of the form {@code ip:port}. */
    InetSocketAddress address(String flag, String value) {
        if (isMissing(flag, value)) {
            return PLACEHOLDER_ADDRESS;
        }
        try {
            return PeerAddresses.parse(value);
        } catch (IllegalArgumentException malformed) {
            addFault(flag + ": " + malformed.getMessage());
            return PLACEHOLDER_ADDRESS;
        }
    }

    /** Checks that a number is in a range, both bounds included. */
    void checkRange(String flag, long value, long min, long max) {
        if (value < min || value > max) {
            addFault(flag + ": " + value + " is out of range, " + min + " to " + max + " allowed");
        }
    }

    /** Returns all faults. */
    List<String> faults() {
        return List.copyOf(mFaults);
    }

    /** Loads a value from files; empty if the loader throws {@link IllegalArgumentException}. */
    <T> Optional<T> file(String flag, Supplier<T> loader) {
        try {
            return Optional.of(loader.get());
        } catch (IllegalArgumentException unusable) {
            addFault(flag + ": " + unusable.getMessage());
            return Optional.empty();
        }
    }

    /** Reads a required text. */
    String text(String flag, String value) {
        return isMissing(flag, value) ? PLACEHOLDER_TEXT : value;
    }

    /** Reads a comma-separated list of URLs of scheme http. */
    List<URI> urls(String flag, String value) {
        if (isMissing(flag, value)) {
            return List.of();
        }
        List<URI> urls = new ArrayList<>();
        for (String part : value.split(",")) {
            url(flag, part.trim()).ifPresent(urls::add);
        }
        return urls;
    }

    private boolean isMissing(String flag, String value) {
        boolean missing = value == null || value.isBlank();
        if (missing) {
            addFault(flag + " is missing");
        }
        return missing;
    }

    private Optional<URI> url(String flag, String text) {
        try {
            URI url = URI.create(text);
            if (SCHEME.equalsIgnoreCase(url.getScheme()) && url.getHost() != null) {
                return Optional.of(url);
            }
            addFault(flag + ": not a URL with scheme http and a host: " + text);
        } catch (IllegalArgumentException malformed) {
            addFault(flag + ": " + malformed.getMessage());
        }
        return Optional.empty();
    }
}
