package ebonygw.operator;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Objects;

/**
 * Options of an {@link AdminServer}.
 *
 * @param address listen address, port 0 for any free port
 * @param credentials file of the operators' credentials, see {@link AdminCredentials}
 */
public record AdminServerOptions(InetSocketAddress address, Path credentials) {
    /** Creates the options. */
    public AdminServerOptions {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(credentials, "credentials");
    }
}
