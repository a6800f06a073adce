package ebonygw.caller;

import ebonygw.request.Refusal;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.math.BigDecimal;
import java.math.RoundingMode;

/** Writes refusals as HTTP answers. */
final class Refusals {
    static final HttpString REQUEST_ID = new HttpString("x-request-id");

    private static final String JSON = "application/json";
    private static final int MILLI_DIGITS = 3;
    private static final int NANO_DIGITS = 9;

    private Refusals() {}

    /** Sets status and header fields of the answer to a refused request. */
    static void prepare(HttpServerExchange exchange, Refusal refusal, AnswerStyle style) {
        exchange.setStatusCode(refusal.code().status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, JSON);
        long seconds = ErrorBodies.retryAfterSeconds(refusal);
        if (seconds > 0) {
            String value =
                    style.exactRetryTimes()
                            ? BigDecimal.valueOf(refusal.retryAfterNanos(), NANO_DIGITS)
                                    .setScale(MILLI_DIGITS, RoundingMode.UP)
                                    .toPlainString()
                            : Long.toString(seconds);
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, value);
        }
    }

    /** Sends a whole JSON answer and ends the exchange. */
    static void send(HttpServerExchange exchange, String json) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, JSON);
        exchange.getResponseSender().send(json);
    }

    /** Refuses a request that has no number yet and ends the exchange. */
    static void send(HttpServerExchange exchange, Refusal refusal) {
        prepare(exchange, refusal, AnswerStyle.OWN);
        send(exchange, ErrorBodies.json(refusal, ""));
    }
}
