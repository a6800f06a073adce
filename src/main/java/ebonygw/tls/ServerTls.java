package ebonygw.tls;

import io.netty.handler.ssl.JdkSslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.nio.file.Path;
import java.security.KeyManagementException;
import java.security.SecureRandom;
import java.util.List;
import javax.net.ssl.KeyManager;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLContextSpi;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLException;
import javax.net.ssl.SSLServerSocketFactory;
import javax.net.ssl.SSLSessionContext;
import javax.net.ssl.SSLSocketFactory;
import javax.net.ssl.TrustManager;

/** Makes contexts of servers from certificate and key files that may change. */
public final class ServerTls {
    private static final String PROTOCOL = "TLS";

    private ServerTls() {}

    /**
     * Returns a context that uses the newest certificate for each new connection.
     *
     * @param certificate PEM file of the certificate chain
     * @param key PEM file of the private key, PKCS #8 without password
     * @throws IllegalArgumentException if a file cannot be read or used
     */
    public static SSLContext context(Path certificate, Path key) {
        Reloaded<SSLContext> newest =
                new Reloaded<>(List.of(certificate, key), () -> load(certificate, key));
        return new DelegatingContext(new DelegatingSpi(newest), newest.value());
    }

    private static SSLContext load(Path certificate, Path key) throws SSLException {
        return ((JdkSslContext)
                        SslContextBuilder.forServer(certificate.toFile(), key.toFile())
                                .sslProvider(SslProvider.JDK)
                                .build())
                .context();
    }

    /** A context over a delegating implementation. */
    private static final class DelegatingContext extends SSLContext {
        DelegatingContext(SSLContextSpi spi, SSLContext first) {
            super(spi, first.getProvider(), PROTOCOL);
        }
    }

    /** Asks the newest context for each new connection. */
    private static final class DelegatingSpi extends SSLContextSpi {
        private final Reloaded<SSLContext> mNewest;

        DelegatingSpi(Reloaded<SSLContext> newest) {
            mNewest = newest;
        }

        @Override
        protected SSLEngine engineCreateSSLEngine() {
            return mNewest.value().createSSLEngine();
        }

        @Override
        protected SSLEngine engineCreateSSLEngine(String host, int port) {
            return mNewest.value().createSSLEngine(host, port);
        }

        @Override
        protected SSLSessionContext engineGetClientSessionContext() {
            return mNewest.value().getClientSessionContext();
        }

        @Override
        protected SSLSessionContext engineGetServerSessionContext() {
            return mNewest.value().getServerSessionContext();
        }

        @Override
        protected SSLServerSocketFactory engineGetServerSocketFactory() {
            return mNewest.value().getServerSocketFactory();
        }

        @Override
        protected SSLSocketFactory engineGetSocketFactory() {
            return mNewest.value().getSocketFactory();
        }

        @Override
        protected void engineInit(KeyManager[] keys, TrustManager[] trust, SecureRandom random)
                throws KeyManagementException {
            throw new KeyManagementException("initialised from files");
        }
    }
}
