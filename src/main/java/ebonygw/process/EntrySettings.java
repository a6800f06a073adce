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
 * @param common what target processes have too
 * @param admin administration API of the settings, empty if it is not offered
 * @param callerAddress where it listens for callers
 * @param callerTls certificate for callers, empty for plain HTTP
 * @param maxRequests most requests open at once
 * @param maxBodyBytes longest body of a request
 * @param ioThreads threads that read from and write to callers
 * @param maxLinks most target processes that it keeps links to
 * @param acceptNanos how long new requests are still taken after a stop was asked for
 * @param weightStores weight stores whose loads are divided among the targets
 */
public record EntrySettings(
        CommonSettings common,
        Optional<AdminServerOptions> admin,
        InetSocketAddress callerAddress,
        Optional<SSLContext> callerTls,
        int maxRequests,
        int maxBodyBytes,
        int ioThreads,
        int maxLinks,
        long acceptNanos,
        List<Resource> weightStores) {
    /** Creates settings. */
    public EntrySettings {
        weightStores = List.copyOf(weightStores);
    }
}
