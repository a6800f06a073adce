package ebonygw.hostlist;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import ebonygw.http.HttpClientOptions;
import ebonygw.membership.HostList;
import ebonygw.membership.Member;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import ebonygw.standin.HostListStandIn;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class HostListClientTest {
    private static final long POLL_NANOS = 5_000_000L;

    @Test
    void listIsPolledAgainAfterAnOutage() throws Exception {
        HostListStandIn standIn = new HostListStandIn("127.0.0.1", 0);
        HostList first = list(MemberState.LIVE);
        HostList second = list(MemberState.LEAVING);
        standIn.setHosts(first);
        standIn.start();
        BlockingQueue<HostList> received = new LinkedBlockingQueue<>();
        try (HostListClient client =
                new HostListClient(
                        HttpClientOptions.of(standIn.address()),
                        "/hosts",
                        POLL_NANOS,
                        received::add)) {
            client.start();
            assertThat(received.poll(20, TimeUnit.SECONDS)).isEqualTo(first);
            standIn.setUnavailable(true);
            standIn.setHosts(second);
            standIn.setUnavailable(false);
            HostList next = received.poll(20, TimeUnit.SECONDS);
            while (first.equals(next)) {
                next = received.poll(20, TimeUnit.SECONDS);
            }
            assertThat(next).isEqualTo(second);
        } finally {
            standIn.stop();
        }
    }

    @Test
    void malformedListsAreRejected() {
        for (String json :
                List.of("", "[]", "{}", "{\"hosts\":[{}]}", "{\"hosts\":[{\"name\":\"\"}]}")) {
            assertThatThrownBy(() -> HostListJson.read(ByteString.copyFromUtf8(json)))
                    .isInstanceOf(IOException.class);
        }
        String unknownRole = HostListJson.write(list(MemberState.LIVE)).replace("target", "cook");
        assertThatThrownBy(() -> HostListJson.read(ByteString.copyFromUtf8(unknownRole)))
                .isInstanceOf(IOException.class);
    }

    private static HostList list(MemberState state) {
        return new HostList(
                List.of(
                        new HostList.Host(
                                new Member(
                                        new NodeId("t1"),
                                        3,
                                        Role.TARGET,
                                        state,
                                        new Locality("fes", "a"),
                                        "127.0.0.1:9000",
                                        "base"))));
    }
}
