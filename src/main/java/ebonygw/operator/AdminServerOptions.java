package ebonygw.operator;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Objects;

/**
 * Options of an {@link AdminServer}.
 *
 * @param address where it listens, port 0 for any free one
 * @param credentials file of the operators' credentials
 */
public record AdminServerOptions(InetSocketAddress address, Path credentials) {
    /** Creates the options. */
    public AdminServerOptions {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(credentials, "credentials");
    }
}
