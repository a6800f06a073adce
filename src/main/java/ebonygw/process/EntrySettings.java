package ebonygw.process;

import ebonygw.admission.Resource;
import ebonygw.operator.AdminServerOptions;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import javax.net.ssl.SSLContext;

/**
 * Settings of an entry process.
 *
 * @param common settings shared with target processes
 * @param admin address and credentials of the administration API, empty if it is disabled
 * @param callerAddress address to listen on for callers
 * @param callerTls TLS context of the caller listener, empty for plain HTTP
 * @param maxRequests maximum number of requests open at once
 * @param maxBodyBytes maximum size of a request body
 * @param ioThreads number of IO threads that serve callers
 * @param maxTargetConnections maximum number of target processes to keep connections to
 * @param acceptNanos time for which new requests are still accepted after a stop is requested
 * @param weightStores weight stores whose load budget is shared by the targets
 */
public record EntrySettings(
        CommonSettings common,
        Optional<AdminServerOptions> admin,
        InetSocketAddress callerAddress,
        Optional<SSLContext> callerTls,
        int maxRequests,
        int maxBodyBytes,
        int ioThreads,
        int maxTargetConnections,
        long acceptNanos,
        List<Resource> weightStores) {
    /** Creates settings. */
    public EntrySettings {
        weightStores = List.copyOf(weightStores);
    }
}
