package ebonygw.peer;

import ebonygw.tls.ReloadingValue;
import io.netty.channel.Channel;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslProvider;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import javax.net.ssl.SSLException;

/**
 * Certificates for links with mutual TLS.
 *
 * <p>Changed files take effect for new connections; existing links keep their certificates. A
 * process is trusted if its certificate was issued by one of the given authorities. Names in
 * certificates are not verified, because processes have no host names. Thread-safe.
 */
public final class PeerTls {
    private static final String[] PROTOCOLS = {"TLSv1.3", "TLSv1.2"};

    private final Path mCertificate;
    private final Path mKey;
    private final Path mAuthorities;
    private final ReloadingValue<Contexts> mContexts;

    /**
     * Loads the files.
     *
     * @param certificate PEM file of this process's certificate chain
     * @param key PEM file of its private key, PKCS #8 without password
     * @param authorities PEM file of the trusted certificate authorities
     * @throws IllegalArgumentException if a file is unreadable or invalid
     */
    public PeerTls(Path certificate, Path key, Path authorities) {
        mCertificate = Objects.requireNonNull(certificate, "certificate");
        mKey = Objects.requireNonNull(key, "key");
        mAuthorities = Objects.requireNonNull(authorities, "authorities");
        mContexts = new ReloadingValue<>(List.of(certificate, key, authorities), this::load);
    }

    /** Returns the TLS handler of a new connection; {@code client} if this process opened it. */
    SslHandler handler(Channel channel, boolean client) {
        Contexts contexts = mContexts.value();
        return (client ? contexts.client : contexts.server).newHandler(channel.alloc());
    }

    private Contexts load() throws SSLException {
        SslContext server =
                SslContextBuilder.forServer(mCertificate.toFile(), mKey.toFile())
                        .sslProvider(SslProvider.JDK)
                        .trustManager(mAuthorities.toFile())
                        .clientAuth(ClientAuth.REQUIRE)
                        .protocols(PROTOCOLS)
                        .build();
        SslContext client =
                SslContextBuilder.forClient()
                        .sslProvider(SslProvider.JDK)
                        .keyManager(mCertificate.toFile(), mKey.toFile())
                        .trustManager(mAuthorities.toFile())
                        .endpointIdentificationAlgorithm(null)
                        .protocols(PROTOCOLS)
                        .build();
        return new Contexts(server, client);
    }

    private record Contexts(SslContext server, SslContext client) {}
}
