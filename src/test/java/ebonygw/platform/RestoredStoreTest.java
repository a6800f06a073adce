package ebonygw.platform;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.platform.ScriptedReplica.ScriptedResponse;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** An entry whose store comes back from an older copy of itself. */
class RestoredStoreTest extends EntryOnPlatform {
    /** Bound for applying a configuration. */
    private static final long APPLY_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Changes of other keys after a copy. */
    private static final int LATER_CHANGES = 20;

    private static final String PRESENCE = "/ebonygw/presence/";

    RestoredStoreTest() {
        mStore.startEras();
    }

    @BeforeEach
    void respond() {
        mReplica.respondForever(ScriptedResponse.status(200, "", "x"));
    }

    // Guards against configurations that are ignored because their revisions have gone back.
    @Test
    void aConfigurationWithALowerRevisionThanBeforeTheRestoreIsInForceInTime() throws Exception {
        mStore.copy();
        for (int i = 0; i < LATER_CHANGES; i++) {
            mStore.put("other/key", "v" + i);
        }
        publish(8);
        awaitServed("/v8/1");

        mStore.restore(() -> publish(8));
        publish(9);

        awaitServed("/v9/1");
    }

    // Guards against changes that are missed because their revisions were given out twice.
    @Test
    void aChangeUnderARevisionThatIsGivenOutAgainIsSeen() throws Exception {
        mStore.copy();
        publish(8);
        awaitServed("/v8/1");

        mStore.restore(
                () -> {
                    publish(9);
                    for (int i = 0; i < LATER_CHANGES; i++) {
                        mStore.put("other/key", "v" + i);
                    }
                });

        awaitServed("/v9/1");
    }

    // Guards against an older configuration that is taken from the copy.
    @Test
    void theConfigurationInForceStaysUntilTheOperatorHasWrittenItAgain() throws Exception {
        mStore.copy();
        publish(8);
        awaitServed("/v8/1");

        mStore.restore(() -> {});

        long endNanos = System.nanoTime() + APPLY_NANOS;
        while (System.nanoTime() < endNanos) {
            assertThat(request("/v8/1").status()).isEqualTo(200);
        }
        publish(8);
        publish(9);
        awaitServed("/v9/1");
    }

    // Guards against a leaving replica that an older registration shows as ready again.
    @Test
    void aDrainingReplicaGetsNoRequestsAgain() throws Exception {
        mStore.copy();
        String draining = registration(mReplica.address()).replace("ready", "draining");
        mStore.put("servers/i-1", draining);
        await(503, IDEMPOTENT_PATH);

        mStore.restore(() -> {});

        long endNanos = System.nanoTime() + APPLY_NANOS;
        while (System.nanoTime() < endNanos) {
            assertThat(request(IDEMPOTENT_PATH).status()).isEqualTo(503);
        }
    }

    // Guards against an entry that renews the lease of another process as its own.
    @Test
    void aLostRegistrationIsWrittenAgainAlthoughItsLeaseIsGrantedToAnother() throws Exception {
        mStore.copy();
        awaitRegistrations(1);

        mStore.restore(mStore::grantForeignLease);

        awaitRegistrations(1);
    }

    private void awaitRegistrations(int count) throws InterruptedException {
        long endNanos = System.nanoTime() + 4 * APPLY_NANOS;
        while (mStore.count(PRESENCE) != count) {
            assertThat(System.nanoTime()).isLessThan(endNanos);
            Thread.sleep(20);
        }
    }

    private void awaitServed(String path) throws IOException {
        await(200, path);
    }

    private void await(int status, String path) throws IOException {
        long endNanos = System.nanoTime() + APPLY_NANOS;
        while (request(path).status() != status) {
            assertThat(System.nanoTime()).isLessThan(endNanos);
        }
    }

    /** Writes a version of the configuration with a route that is named after it. */
    private void publish(int version) {
        mStore.put(
                "op/config",
                configuration()
                        .replace("\"version\":7", "\"version\":" + version)
                        .replace("/tell/", "/v" + version + "/"));
    }
}
