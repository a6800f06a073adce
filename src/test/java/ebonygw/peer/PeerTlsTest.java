package ebonygw.peer;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.membership.Role;
import ebonygw.tls.TestCertificates;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PeerTlsTest {
    @TempDir private Path mDirectory;

    @Test
    void onlyTrustedProcessesAreLinkedAndChangedCertificatesTakeEffect() throws Exception {
        TestCertificates.Pair entry = TestCertificates.create(mDirectory, "entry");
        TestCertificates.Pair target = TestCertificates.create(mDirectory, "target");
        TestCertificates.Pair stranger = TestCertificates.create(mDirectory, "stranger");
        Path trusted =
                TestCertificates.join(
                        mDirectory.resolve("trusted"),
                        List.of(entry.certificate(), target.certificate()));
        PeerTls untrusted = new PeerTls(stranger.certificate(), stranger.key(), trusted);
        try (TestPeer server = peer("target-1", Role.TARGET, tls(target, trusted));
                TestPeer known = peer("entry-1", Role.ENTRY, tls(entry, trusted));
                TestPeer unknown = peer("entry-2", Role.ENTRY, untrusted);
                TestPeer plain = new TestPeer("entry-3", 1, Role.ENTRY)) {
            unknown.transport().setDesiredPeers(Set.of(server.transport().self()));
            plain.transport().setDesiredPeers(Set.of(server.transport().self()));
            known.transport().setDesiredPeers(Set.of(server.transport().self()));
            assertThat(server.next()).isEqualTo("up entry-1/1");
            assertThat(known.next()).isEqualTo("up target-1/1");

            replace(entry.certificate(), stranger.certificate());
            replace(entry.key(), stranger.key());
            assertThat(server.next()).isEqualTo("hello entry-1 JOINING");
            assertThat(unknown.events()).isEmpty();
            assertThat(plain.events()).isEmpty();

            replace(stranger.certificate(), target.certificate());
            replace(stranger.key(), target.key());
            unknown.await("up target-1/1");
            server.await("up entry-2/1");
        }
    }

    private static TestPeer peer(String id, Role role, PeerTls tls) {
        return new TestPeer(TestPeer.member(id, 1, role), PeerOptions.defaults(), Optional.of(tls));
    }

    private static void replace(Path file, Path by) throws Exception {
        Files.copy(by, file, StandardCopyOption.REPLACE_EXISTING);
    }

    private static PeerTls tls(TestCertificates.Pair pair, Path trusted) {
        return new PeerTls(pair.certificate(), pair.key(), trusted);
    }
}
