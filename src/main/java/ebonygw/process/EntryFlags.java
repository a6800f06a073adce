package ebonygw.process;

import ebonygw.admission.LoadBudget;
import ebonygw.admission.Resource;
import ebonygw.operator.AdminServerOptions;
import ebonygw.tls.ServerTls;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import org.kohsuke.args4j.Option;

/** Command-line flags of an entry process. */
public final class EntryFlags extends CommonFlags implements Flags<EntrySettings> {
    private static final double MAX_WEIGHT_STORE_RATE = 1_000_000;

    @Option(
            name = "--caller-address",
            metaVar = "IP:PORT",
            usage = "address to listen on for callers")
    private String mCallerAddress = "0.0.0.0:8080";

    @Option(
            name = "--caller-certificate",
            metaVar = "FILE",
            usage = "PEM file of the certificate for callers, with its chain")
    private String mCallerCertificate;

    @Option(
            name = "--caller-key",
            metaVar = "FILE",
            usage = "PEM file of the private key for --caller-certificate, PKCS #8, unencrypted")
    private String mCallerKey;

    @Option(
            name = "--admin-address",
            metaVar = "IP:PORT",
            usage = "address of the administration API, used if --admin-credentials is set")
    private String mAdminAddress = "127.0.0.1:7402";

    @Option(
            name = "--admin-credentials",
            metaVar = "FILE",
            usage =
                    "file of the operators allowed to use the administration API; each line holds a"
                            + " name and the SHA-256 of a token")
    private String mAdminCredentials;

    @Option(
            name = "--max-requests",
            metaVar = "COUNT",
            usage = "maximum number of requests open at once")
    private int mMaxRequests = 4_096;

    @Option(name = "--max-body", metaVar = "BYTES", usage = "maximum size of a request body")
    private int mMaxBodyBytes = 1 << 20;

    @Option(
            name = "--io-threads",
            metaVar = "COUNT",
            usage = "number of IO threads that serve callers")
    private int mIoThreads = 2;

    @Option(
            name = "--max-links",
            metaVar = "COUNT",
            usage = "maximum number of target processes to keep connections to")
    private int mMaxTargetConnections = 64;

    @Option(
            name = "--accept-time",
            metaVar = "SECONDS",
            usage = "time for which new requests are still accepted after a stop is requested")
    private int mAcceptSeconds = 2;

    @Option(
            name = "--weight-store",
            metaVar = "NAME",
            usage = "weight store whose load budget is shared by the targets, none if not set")
    private String mWeightStore;

    @Option(
            name = "--weight-store-loads",
            metaVar = "COUNT",
            usage = "maximum number of concurrent loads from the weight store in the whole fleet")
    private int mWeightStoreLoads = 8;

    @Option(
            name = "--weight-store-rate",
            metaVar = "COUNT",
            usage = "maximum number of loads per second from the weight store in the whole fleet")
    private double mWeightStoreRate = 2;

    @Option(
            name = "--weight-store-longest",
            metaVar = "SECONDS",
            usage = "time after which a load whose end was not reported counts as ended")
    private int mMaxLoadSeconds = 60;

    /** Creates flags with their default values. */
    public EntryFlags() {}

    @Override
    public EntrySettings settings(FlagReader reader) {
        reader.checkRange("--max-requests", mMaxRequests, 1, 1_000_000);
        reader.checkRange("--max-body", mMaxBodyBytes, 1, 16 << 20);
        reader.checkRange("--io-threads", mIoThreads, 1, 256);
        reader.checkRange("--max-links", mMaxTargetConnections, 1, 65_536);
        reader.checkRange("--accept-time", mAcceptSeconds, 0, 60);
        reader.checkRange("--weight-store-loads", mWeightStoreLoads, 2, 1_000_000);
        if (!(mWeightStoreRate > 0 && mWeightStoreRate <= MAX_WEIGHT_STORE_RATE)) {
            reader.addFault(
                    "--weight-store-rate: "
                            + mWeightStoreRate
                            + " is not above 0 and at most "
                            + MAX_WEIGHT_STORE_RATE);
        }
        reader.checkRange("--weight-store-longest", mMaxLoadSeconds, 1, 3_600);
        return new EntrySettings(
                commonSettings(reader),
                admin(reader),
                reader.address("--caller-address", mCallerAddress),
                callerTls(reader),
                mMaxRequests,
                mMaxBodyBytes,
                mIoThreads,
                mMaxTargetConnections,
                TimeUnit.SECONDS.toNanos(mAcceptSeconds),
                weightStores());
    }

    private Optional<AdminServerOptions> admin(FlagReader reader) {
        InetSocketAddress address = reader.address("--admin-address", mAdminAddress);
        if (mAdminCredentials == null) {
            return Optional.empty();
        }
        Path credentials = Path.of(mAdminCredentials);
        if (!Files.isReadable(credentials)) {
            reader.addFault("--admin-credentials: file cannot be read: " + credentials);
        }
        return Optional.of(new AdminServerOptions(address, credentials));
    }

    private Optional<SSLContext> callerTls(FlagReader reader) {
        if (mCallerCertificate == null && mCallerKey == null) {
            return Optional.empty();
        }
        if (mCallerCertificate == null || mCallerKey == null) {
            reader.addFault("--caller-certificate and --caller-key are set together or not at all");
            return Optional.empty();
        }
        return reader.file(
                "--caller-certificate",
                () -> ServerTls.context(Path.of(mCallerCertificate), Path.of(mCallerKey)));
    }

    private List<Resource> weightStores() {
        if (mWeightStore == null) {
            return List.of();
        }
        long maxLoadNanos = TimeUnit.SECONDS.toNanos(mMaxLoadSeconds);
        return LoadBudget.resources(
                mWeightStore, mWeightStoreRate, mWeightStoreLoads, maxLoadNanos);
    }
}
