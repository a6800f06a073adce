package ebonygw.process;

import ebonygw.peer.PeerTls;
import ebonygw.protocol.Locality;
import java.net.URI;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.kohsuke.args4j.Option;

/** Command-line flags that entry and target processes share. */
abstract class CommonFlags {
    /** Stands for a URL that is missing or malformed; the fault is reported separately. */
    private static final URI PLACEHOLDER_URL = URI.create("http://127.0.0.1");

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
            usage = "address to listen on for peer processes, under which they connect to this one")
    private String mPeerAddress;

    @Option(
            name = "--operator-address",
            metaVar = "IP:PORT",
            usage = "address to listen on for operators: metrics, state dump and readiness")
    private String mOperatorAddress = "127.0.0.1:7401";

    @Option(
            name = "--key-value",
            metaVar = "URL[,URL]",
            usage =
                    "endpoints of the key-value service; if one is unreachable, the next one is"
                            + " used")
    private String mKeyValue;

    @Option(
            name = "--host-list",
            metaVar = "URL",
            usage = "URL of the list of hosts and their processes")
    private String mHostList;

    @Option(
            name = "--peer-certificate",
            metaVar = "FILE",
            usage = "PEM file of this process's certificate for peer connections, with its chain")
    private String mPeerCertificate;

    @Option(
            name = "--peer-key",
            metaVar = "FILE",
            usage = "PEM file of the private key for --peer-certificate, PKCS #8, unencrypted")
    private String mPeerKey;

    @Option(
            name = "--peer-authorities",
            metaVar = "FILE",
            usage = "PEM file of the certificate authorities trusted for certificates of peers")
    private String mPeerAuthorities;

    @Option(
            name = "--stop-timeout",
            metaVar = "SECONDS",
            usage = "maximum duration of a graceful stop")
    private int mStopTimeoutSeconds = 60;

    @Option(
            name = "--control-ring",
            metaVar = "EVENTS",
            usage = "maximum number of events queued for the control thread, a power of two")
    private int mControlRingSize = 16_384;

    @Option(
            name = "--fleet-size",
            metaVar = "PROCESSES",
            usage =
                    "approximate number of processes in the fleet; determines the rate limit of"
                            + " key-value requests")
    private int mFleetSize = 100;

    /** Creates flags with their default values. */
    CommonFlags() {}

    /** Returns the shared settings; invalid values are reported to {@code reader}. */
    CommonSettings commonSettings(FlagReader reader) {
        String peerAddress = reader.text("--peer-address", mPeerAddress);
        if (mPeerAddress != null) {
            reader.address("--peer-address", mPeerAddress);
        }
        reader.checkRange("--stop-timeout", mStopTimeoutSeconds, 1, 3_600);
        reader.checkRange("--fleet-size", mFleetSize, 1, 1_000_000);
        reader.checkRange("--control-ring", mControlRingSize, 64, 1 << 20);
        if (Integer.bitCount(mControlRingSize) != 1) {
            reader.addFault("--control-ring: not a power of two: " + mControlRingSize);
        }
        return new CommonSettings(
                reader.text("--id", mId),
                new Locality(
                        reader.text("--region", mRegion),
                        reader.text("--data-center", mDataCenter)),
                peerAddress,
                reader.address("--operator-address", mOperatorAddress),
                reader.urls("--key-value", mKeyValue),
                reader.urls("--host-list", mHostList).stream().findFirst().orElse(PLACEHOLDER_URL),
                peerTls(reader),
                TimeUnit.SECONDS.toNanos(mStopTimeoutSeconds),
                mControlRingSize,
                mFleetSize);
    }

    private Optional<PeerTls> peerTls(FlagReader reader) {
        if (mPeerCertificate == null && mPeerKey == null && mPeerAuthorities == null) {
            return Optional.empty();
        }
        if (mPeerCertificate == null || mPeerKey == null || mPeerAuthorities == null) {
            reader.addFault(
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
