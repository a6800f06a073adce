package ebonygw.process;

import ebonygw.peer.PeerAddresses;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Turns the text of flags into values and collects all faults.
 *
 * <p>After a fault a harmless value is returned, so that reading goes on. Not thread-safe.
 */
final class FlagReader {
    private static final InetSocketAddress NO_ADDRESS = new InetSocketAddress(0);
    private static final String NO_TEXT = "none";
    private static final String SCHEME = "http";

    private final List<String> mFaults = new ArrayList<>();

    FlagReader() {}

    /** Reads an {@code ip:port}. */
    InetSocketAddress address(String flag, String value) {
        if (isMissing(flag, value)) {
            return NO_ADDRESS;
        }
        try {
            return PeerAddresses.parse(value);
        } catch (IllegalArgumentException malformed) {
            fault(flag + ": " + malformed.getMessage());
            return NO_ADDRESS;
        }
    }

    /** Checks a number against its bounds, both included. */
    void bounds(String flag, long value, long least, long most) {
        if (value < least || value > most) {
            fault(flag + ": " + value + " is not from " + least + " to " + most);
        }
    }

    /** Adds a fault. */
    void fault(String fault) {
        mFaults.add(fault);
    }

    /** Returns all faults. */
    List<String> faults() {
        return List.copyOf(mFaults);
    }

    /** Reads what is made from files. */
    <T> Optional<T> file(String flag, Supplier<T> loader) {
        try {
            return Optional.of(loader.get());
        } catch (IllegalArgumentException unusable) {
            fault(flag + ": " + unusable.getMessage());
            return Optional.empty();
        }
    }

    /** Reads a text that must not be missing. */
    String text(String flag, String value) {
        return isMissing(flag, value) ? NO_TEXT : value;
    }

    /** Reads a list of URLs, separated by commas, of scheme http. */
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
            fault(flag + " is missing");
        }
        return missing;
    }

    private Optional<URI> url(String flag, String text) {
        try {
            URI url = URI.create(text);
            if (SCHEME.equalsIgnoreCase(url.getScheme()) && url.getHost() != null) {
                return Optional.of(url);
            }
            fault(flag + ": not a URL of scheme http with a host: " + text);
        } catch (IllegalArgumentException malformed) {
            fault(flag + ": " + malformed.getMessage());
        }
        return Optional.empty();
    }
}
