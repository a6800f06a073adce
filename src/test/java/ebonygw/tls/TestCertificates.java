package ebonygw.tls;

import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Creates self-signed certificates for tests with the keytool of the running JDK. */
public final class TestCertificates {
    private static final String PASSWORD = "changeit";
    private static final String ALIAS = "test";
    private static final int LINE_LENGTH = 64;

    private TestCertificates() {}

    /** PEM files of a certificate and its private key. */
    public record Pair(Path certificate, Path key) {}

    /**
     * Creates a certificate that is valid for 30 days from now on.
     *
     * @param directory directory for the files
     * @param name common name of the subject, and base name of the files
     */
    public static Pair create(Path directory, String name) throws Exception {
        Path store = directory.resolve(name + ".p12");
        Process keytool =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "keytool")
                                        .toString(),
                                "-genkeypair",
                                "-alias",
                                ALIAS,
                                "-keyalg",
                                "EC",
                                "-dname",
                                "CN=" + name,
                                "-validity",
                                "30",
                                "-storetype",
                                "PKCS12",
                                "-keystore",
                                store.toString(),
                                "-storepass",
                                PASSWORD)
                        .redirectErrorStream(true)
                        .start();
        if (!keytool.waitFor(1, TimeUnit.MINUTES) || keytool.exitValue() != 0) {
            throw new IllegalStateException(new String(keytool.getInputStream().readAllBytes()));
        }
        KeyStore keys = KeyStore.getInstance("PKCS12");
        try (InputStream in = Files.newInputStream(store)) {
            keys.load(in, PASSWORD.toCharArray());
        }
        Path certificate = directory.resolve(name + ".crt");
        Path key = directory.resolve(name + ".key");
        write(certificate, "CERTIFICATE", keys.getCertificate(ALIAS).getEncoded());
        write(key, "PRIVATE KEY", keys.getKey(ALIAS, PASSWORD.toCharArray()).getEncoded());
        return new Pair(certificate, key);
    }

    /** Concatenates PEM files into one file. */
    public static Path join(Path file, List<Path> certificates) throws Exception {
        StringBuilder content = new StringBuilder();
        for (Path certificate : certificates) {
            content.append(Files.readString(certificate));
        }
        return Files.writeString(file, content);
    }

    private static void write(Path file, String type, byte[] content) throws Exception {
        String base64 =
                Base64.getMimeEncoder(LINE_LENGTH, "\n".getBytes(StandardCharsets.US_ASCII))
                        .encodeToString(content);
        Files.writeString(
                file, "-----BEGIN " + type + "-----\n" + base64 + "\n-----END " + type + "-----\n");
    }
}
