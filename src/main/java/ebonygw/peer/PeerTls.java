package ebonygw.peer;

import ebonygw.log.LogLine;
import io.netty.channel.Channel;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslProvider;
import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import javax.net.ssl.SSLException;

/**
 * Certificates for links that are encrypted and proven on both ends.
 *
 * <p>The files are looked at again before each new connection; when one has changed they are read
 * anew. If they cannot be read the former ones stay in use. Links that are up keep theirs. A
 * process is trusted if its certificate was issued by the given authorities; processes have no host
 * names, so names in certificates are not compared. Not thread-safe: used on the event loop only.
 */
public final class PeerTls {
    private static final String[] PROTOCOLS = {"TLSv1.3", "TLSv1.2"};

    private final Path mCertificate;
    private final Path mKey;
    private final Path mAuthorities;
    private List<Long> mStamp;
    private SslContext mServer;
    private SslContext mClient;

    /**
     * Reads the files.
     *
     * @param certificate PEM file of this process's certificate chain
     * @param key PEM file of its private key, PKCS #8 without password
     * @param authorities PEM file of the certificates whose issue is trusted
     * @throws IllegalArgumentException if a file cannot be read or used
     */
    public PeerTls(Path certificate, Path key, Path authorities) {
        mCertificate = Objects.requireNonNull(certificate, "certificate");
        mKey = Objects.requireNonNull(key, "key");
        mAuthorities = Objects.requireNonNull(authorities, "authorities");
        try {
            load();
        } catch (SSLException | IllegalArgumentException unusable) {
            throw new IllegalArgumentException(
                    "cannot use certificate files: " + unusable.getMessage(), unusable);
        }
    }

    /** Returns the handler of a new connection. */
    SslHandler handler(Channel channel, boolean client) {
        reloadIfChanged();
        return (client ? mClient : mServer).newHandler(channel.alloc());
    }

    private void load() throws SSLException {
        List<Long> stamp = stamp();
        SslContext server =
                SslContextBuilder.forServer(mCertificate.toFile(), mKey.toFile())
                        .sslProvider(SslProvider.JDK)
                        .trustManager(mAuthorities.toFile())
                        .clientAuth(ClientAuth.REQUIRE)
                        .protocols(PROTOCOLS)
                        .build();
        mClient =
                SslContextBuilder.forClient()
                        .sslProvider(SslProvider.JDK)
                        .keyManager(mCertificate.toFile(), mKey.toFile())
                        .trustManager(mAuthorities.toFile())
                        .endpointIdentificationAlgorithm(null)
                        .protocols(PROTOCOLS)
                        .build();
        mServer = server;
        mStamp = stamp;
    }

    private void reloadIfChanged() {
        if (stamp().equals(mStamp)) {
            return;
        }
        try {
            load();
            LogLine.of("certificates_reloaded").with("certificate", mCertificate).info();
        } catch (SSLException | IllegalArgumentException unusable) {
            LogLine.of("certificates_unusable").with("detail", unusable.getMessage()).warn();
        }
    }

    private List<Long> stamp() {
        List<Long> stamp = new ArrayList<>();
        for (Path path : List.of(mCertificate, mKey, mAuthorities)) {
            File file = path.toFile();
            stamp.add(Files.isReadable(path) ? file.lastModified() : -1L);
            stamp.add(file.length());
        }
        return stamp;
    }
}
