package ebonygw.dev;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class BookingLoadTest {
    private static String outcome(String response) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + server.getLocalPort();
            BookingLoad load = new BookingLoad("b", () -> List.of(address), "key");
            load.start(1);
            try (Socket socket = server.accept()) {
                StringBuilder head = new StringBuilder();
                while (head.indexOf("\r\n\r\n") < 0) {
                    head.append((char) socket.getInputStream().read());
                }
                socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
            }
            server.close();
            while (!load.outcomes().containsKey("b1")) {
                Thread.sleep(5);
            }
            load.stop();
            return load.outcomes().get("b1");
        }
    }

    @Test
    void aResponseThatBreaksOffAfterItsStartMayHaveRun() throws Exception {
        assertThat(outcome("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"))
                .isEqualTo("broken_answer may_have_run");
    }

    @Test
    void aConnectionThatEndsBeforeAResponseIsNoOutcomeOfTheEntry() throws Exception {
        assertThat(outcome("")).startsWith("no response: ");
        assertThat(outcome("HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"))
                .startsWith("no response: ");
    }
}
