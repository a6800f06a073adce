package ebonygw.tls;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.cert.X509Certificate;
import java.util.List;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLServerSocket;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManager;
import javax.net.ssl.X509TrustManager;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ServerTlsTest {
    @TempDir private Path mDirectory;

    @Test
    void newConnectionsUseTheCurrentCertificateFiles() throws Exception {
        TestCertificates.Pair first = TestCertificates.create(mDirectory, "first");
        TestCertificates.Pair second = TestCertificates.create(mDirectory, "second");
        SSLContext context = ServerTls.context(first.certificate(), first.key());
        assertThat(servedSubject(context)).isEqualTo("CN=first");

        Files.writeString(first.certificate(), "no certificate");
        assertThat(servedSubject(context)).isEqualTo("CN=first");

        Files.copy(second.key(), first.key(), StandardCopyOption.REPLACE_EXISTING);
        Files.copy(second.certificate(), first.certificate(), StandardCopyOption.REPLACE_EXISTING);
        assertThat(servedSubject(context)).isEqualTo("CN=second");
    }

    @Test
    void filesWithoutACertificateAreRejected() throws Exception {
        Path file = Files.writeString(mDirectory.resolve("x"), "no certificate");
        assertThatThrownBy(() -> ServerTls.context(file, file))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("cannot use");
    }

    @Test
    void anInvalidChangeIsLoadedOnceAndThePreviousValueKept() throws Exception {
        Path file = Files.writeString(mDirectory.resolve("x"), "1");
        int[] loads = {0};
        ReloadingValue<String> value =
                new ReloadingValue<>(
                        List.of(file),
                        () -> {
                            loads[0]++;
                            if (loads[0] > 1) {
                                throw new IllegalArgumentException("unusable");
                            }
                            return "first";
                        });
        Files.writeString(file, "22");
        assertThat(value.value()).isEqualTo("first");
        assertThat(value.value()).isEqualTo("first");
        assertThat(loads[0]).isEqualTo(2);
    }

    private static String servedSubject(SSLContext server) throws Exception {
        SSLContext client = SSLContext.getInstance("TLS");
        client.init(null, new TrustManager[] {new TrustAll()}, null);
        try (SSLServerSocket listening =
                (SSLServerSocket)
                        server.getServerSocketFactory()
                                .createServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            Thread accepting =
                    new Thread(
                            () -> {
                                try (SSLSocket accepted = (SSLSocket) listening.accept()) {
                                    accepted.startHandshake();
                                    accepted.getInputStream().read();
                                } catch (java.io.IOException expected) {
                                    assertThat(expected).isNotNull();
                                }
                            });
            accepting.start();
            try (SSLSocket socket =
                    (SSLSocket)
                            client.getSocketFactory()
                                    .createSocket("127.0.0.1", listening.getLocalPort())) {
                socket.startHandshake();
                X509Certificate presented =
                        (X509Certificate) socket.getSession().getPeerCertificates()[0];
                return presented.getSubjectX500Principal().getName();
            } finally {
                accepting.join();
            }
        }
    }

    /** Trusts any certificate, because the test checks which one the server presents. */
    private static final class TrustAll implements X509TrustManager {
        @Override
        public void checkClientTrusted(X509Certificate[] chain, String type) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void checkServerTrusted(X509Certificate[] chain, String type) {
            assertThat(chain).isNotEmpty();
        }

        @Override
        public X509Certificate[] getAcceptedIssuers() {
            return new X509Certificate[0];
        }
    }
}
