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

/** Creates TLS contexts for servers from certificate and key files that may be replaced. */
public final class ServerTls {
    private static final String PROTOCOL = "TLS";

    private ServerTls() {}

    /**
     * Returns a context that uses the current content of the files for each new connection.
     *
     * <p>If replaced files cannot be used, the previous certificate stays in use.
     *
     * @param certificate PEM file of the certificate chain
     * @param key PEM file of the private key, in PKCS #8 format without a password
     * @throws IllegalArgumentException if a file cannot be read or used
     */
    public static SSLContext context(Path certificate, Path key) {
        ReloadingValue<SSLContext> current =
                new ReloadingValue<>(List.of(certificate, key), () -> load(certificate, key));
        return new DelegatingContext(new DelegatingSpi(current), current.value());
    }

    private static SSLContext load(Path certificate, Path key) throws SSLException {
        return ((JdkSslContext)
                        SslContextBuilder.forServer(certificate.toFile(), key.toFile())
                                .sslProvider(SslProvider.JDK)
                                .build())
                .context();
    }

    /** Gives access to the protected constructor of {@link SSLContext}. */
    private static final class DelegatingContext extends SSLContext {
        DelegatingContext(SSLContextSpi spi, SSLContext first) {
            super(spi, first.getProvider(), PROTOCOL);
        }
    }

    /** Delegates to the current context on each invocation. */
    private static final class DelegatingSpi extends SSLContextSpi {
        private final ReloadingValue<SSLContext> mCurrent;

        DelegatingSpi(ReloadingValue<SSLContext> current) {
            mCurrent = current;
        }

        @Override
        protected SSLEngine engineCreateSSLEngine() {
            return mCurrent.value().createSSLEngine();
        }

        @Override
        protected SSLEngine engineCreateSSLEngine(String host, int port) {
            return mCurrent.value().createSSLEngine(host, port);
        }

        @Override
        protected SSLSessionContext engineGetClientSessionContext() {
            return mCurrent.value().getClientSessionContext();
        }

        @Override
        protected SSLSessionContext engineGetServerSessionContext() {
            return mCurrent.value().getServerSessionContext();
        }

        @Override
        protected SSLServerSocketFactory engineGetServerSocketFactory() {
            return mCurrent.value().getServerSocketFactory();
        }

        @Override
        protected SSLSocketFactory engineGetSocketFactory() {
            return mCurrent.value().getSocketFactory();
        }

        @Override
        protected void engineInit(KeyManager[] keys, TrustManager[] trust, SecureRandom random)
                throws KeyManagementException {
            throw new KeyManagementException(
                    "cannot be initialised: the context is loaded from certificate and key files");
        }
    }
}
