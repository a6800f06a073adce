package ebonygw.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class EngineRequestTest {
    private static EngineRequest parse(String body) throws IOException {
        return EngineRequest.parse("r1", body.getBytes(StandardCharsets.UTF_8), 8);
    }

    @Test
    void chatRequestGetsChatResponse() throws IOException {
        EngineRequest request =
                parse("{\"model\":\"a\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}");

        assertThat(request.fullResponse("text", 1))
                .contains("\"object\":\"chat.completion\"")
                .contains("\"message\":{\"role\":\"assistant\",\"content\":\"text\"}")
                .doesNotContain("\"text\":");
        assertThat(request.chunk("t", false))
                .contains("\"object\":\"chat.completion.chunk\"")
                .contains("\"delta\":{\"content\":\"t\"}");
    }

    @Test
    void promptRequestGetsTextCompletion() throws IOException {
        EngineRequest request = parse("{\"model\":\"a\",\"prompt\":\"hi\"}");

        assertThat(request.fullResponse("text", 1))
                .contains("\"object\":\"text_completion\"")
                .contains("\"text\":\"text\"")
                .doesNotContain("message");
        assertThat(request.chunk("t", true)).contains("\"object\":\"text_completion\"");
    }
}
