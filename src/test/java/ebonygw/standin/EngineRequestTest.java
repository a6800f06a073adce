package ebonygw.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class EngineRequestTest {
    private static EngineRequest read(String body) throws IOException {
        return EngineRequest.read("r1", body.getBytes(StandardCharsets.UTF_8), 8);
    }

    @Test
    void aChatIsAnsweredAsAChat() throws IOException {
        EngineRequest request =
                read("{\"model\":\"a\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}");

        assertThat(request.whole("text", 1))
                .contains("\"object\":\"chat.completion\"")
                .contains("\"message\":{\"role\":\"assistant\",\"content\":\"text\"}")
                .doesNotContain("\"text\":");
        assertThat(request.chunk("t", false))
                .contains("\"object\":\"chat.completion.chunk\"")
                .contains("\"delta\":{\"content\":\"t\"}");
    }

    @Test
    void aPromptIsAnsweredAsACompletion() throws IOException {
        EngineRequest request = read("{\"model\":\"a\",\"prompt\":\"hi\"}");

        assertThat(request.whole("text", 1))
                .contains("\"object\":\"text_completion\"")
                .contains("\"text\":\"text\"")
                .doesNotContain("message");
        assertThat(request.chunk("t", true)).contains("\"object\":\"text_completion\"");
    }
}
