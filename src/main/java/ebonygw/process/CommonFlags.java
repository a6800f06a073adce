package ebonygw.process;

import ebonygw.peer.PeerTls;
import ebonygw.protocol.Locality;
import java.net.URI;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.kohsuke.args4j.Option;

/** Flags that entry and target processes share, as they stand on the command line. */
abstract class CommonFlags {
    private static final URI NO_URL = URI.create("http://127.0.0.1");

    @Option(
            name = "--id",
            metaVar = "NAME",
            usage = "name of the process, unique in the fleet and stable across restarts")
    private String mId;

    @Option(name = "--region", metaVar = "NAME", usage = "region of the host")
    private String mRegion;

    @Option(name = "--data-center", metaVar = "NAME", usage = "data centre of the host")
    private String mDataCenter;

    @Option(
            name = "--peer-address",
            metaVar = "IP:PORT",
            usage = "where to listen for other processes and where they reach this one")
    private String mPeerAddress;

    @Option(
            name = "--operator-address",
            metaVar = "IP:PORT",
            usage = "where to answer operators: metrics, dump and readiness")
    private String mOperatorAddress = "127.0.0.1:7401";

    @Option(
            name = "--key-value",
            metaVar = "URL[,URL]",
            usage = "endpoints of the key-value service, tried in turn")
    private String mKeyValue;

    @Option(name = "--host-list", metaVar = "URL", usage = "where the host list is read")
    private String mHostList;

    @Option(
            name = "--peer-certificate",
            metaVar = "FILE",
            usage = "PEM file of this process's certificate for links, with its chain")
    private String mPeerCertificate;

    @Option(
            name = "--peer-key",
            metaVar = "FILE",
            usage = "PEM file of the private key to --peer-certificate, PKCS #8, no password")
    private String mPeerKey;

    @Option(
            name = "--peer-authorities",
            metaVar = "FILE",
            usage = "PEM file of the certificates whose issue other processes must show")
    private String mPeerAuthorities;

    @Option(name = "--stop-timeout", metaVar = "SECONDS", usage = "longest time of a graceful stop")
    private int mStopTimeoutSeconds = 60;

    @Option(
            name = "--control-ring",
            metaVar = "EVENTS",
            usage = "events that may wait for the control thread, a power of two")
    private int mControlRing = 16_384;

    @Option(
            name = "--fleet-size",
            metaVar = "PROCESSES",
            usage = "about how many processes the fleet has; sets the pace of key-value calls")
    private int mFleetSize = 100;

    /** Creates flags with their defaults. */
    CommonFlags() {}

    /** Returns the shared settings; faults are added to {@code reader}. */
    CommonSettings common(FlagReader reader) {
        String peerAddress = reader.text("--peer-address", mPeerAddress);
        if (mPeerAddress != null) {
            reader.address("--peer-address", mPeerAddress);
        }
        reader.bounds("--stop-timeout", mStopTimeoutSeconds, 1, 3_600);
        reader.bounds("--fleet-size", mFleetSize, 1, 1_000_000);
        reader.bounds("--control-ring", mControlRing, 64, 1 << 20);
        if (Integer.bitCount(mControlRing) != 1) {
            reader.fault("--control-ring: not a power of two: " + mControlRing);
        }
        return new CommonSettings(
                reader.text("--id", mId),
                new Locality(
                        reader.text("--region", mRegion),
                        reader.text("--data-center", mDataCenter)),
                peerAddress,
                reader.address("--operator-address", mOperatorAddress),
                reader.urls("--key-value", mKeyValue),
                reader.urls("--host-list", mHostList).stream().findFirst().orElse(NO_URL),
                peerTls(reader),
                TimeUnit.SECONDS.toNanos(mStopTimeoutSeconds),
                mControlRing,
                mFleetSize);
    }

    private Optional<PeerTls> peerTls(FlagReader reader) {
        if (mPeerCertificate == null && mPeerKey == null && mPeerAuthorities == null) {
            return Optional.empty();
        }
        if (mPeerCertificate == null || mPeerKey == null || mPeerAuthorities == null) {
            reader.fault(
                    "--peer-certificate, --peer-key and --peer-authorities are set together or"
                            + " not at all");
            return Optional.empty();
        }
        return reader.file(
                "--peer-certificate",
                () ->
                        new PeerTls(
                                Path.of(mPeerCertificate),
                                Path.of(mPeerKey),
                                Path.of(mPeerAuthorities)));
    }
}
