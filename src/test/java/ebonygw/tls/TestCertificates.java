package ebonygw.tls;

import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Makes self-signed certificates for tests with the tool of the Java installation. */
public final class TestCertificates {
    private static final String PASSWORD = "changeit";
    private static final String ALIAS = "test";
    private static final int LINE_LENGTH = 64;

    private TestCertificates() {}

    /** A certificate with its key, as PEM files. */
    public record Pair(Path certificate, Path key) {}

    /** Makes a certificate of a name, valid from now on. */
    public static Pair create(Path directory, String name) throws Exception {
        Path store = directory.resolve(name + ".p12");
        Process tool =
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
        if (!tool.waitFor(1, TimeUnit.MINUTES) || tool.exitValue() != 0) {
            throw new IllegalStateException(new String(tool.getInputStream().readAllBytes()));
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

    /** Writes several certificates into one file. */
    public static Path join(Path file, List<Path> certificates) throws Exception {
        StringBuilder all = new StringBuilder();
        for (Path certificate : certificates) {
            all.append(Files.readString(certificate));
        }
        return Files.writeString(file, all);
    }

    private static void write(Path file, String type, byte[] content) throws Exception {
        String base64 =
                Base64.getMimeEncoder(LINE_LENGTH, "\n".getBytes(StandardCharsets.US_ASCII))
                        .encodeToString(content);
        Files.writeString(
                file, "-----BEGIN " + type + "-----\n" + base64 + "\n-----END " + type + "-----\n");
    }
}
