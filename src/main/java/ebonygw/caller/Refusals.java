package ebonygw.caller;

import ebonygw.request.Refusal;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.math.BigDecimal;
import java.math.RoundingMode;

/** Writes refusals as HTTP responses. */
final class Refusals {
    static final HttpString REQUEST_ID = new HttpString("x-request-id");

    private static final String JSON = "application/json";
    private static final int MILLI_DIGITS = 3;
    private static final int NANO_DIGITS = 9;

    private Refusals() {}

    /** Sets the status and the header fields of the response to a refused request. */
    static void prepare(HttpServerExchange exchange, Refusal refusal, ResponseStyle style) {
        exchange.setStatusCode(refusal.code().status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, JSON);
        long seconds = ErrorBodies.retryAfterSeconds(refusal);
        if (seconds > 0) {
            String value =
                    style.fractionalRetryAfter()
                            ? BigDecimal.valueOf(refusal.retryAfterNanos(), NANO_DIGITS)
                                    .setScale(MILLI_DIGITS, RoundingMode.UP)
                                    .toPlainString()
                            : Long.toString(seconds);
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, value);
        }
    }

    /** Sends a complete JSON response and ends the exchange. */
    static void send(HttpServerExchange exchange, String json) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, JSON);
        exchange.getResponseSender().send(json);
    }

    /** Refuses a request that has no request id yet and ends the exchange. */
    static void send(HttpServerExchange exchange, Refusal refusal) {
        prepare(exchange, refusal, ResponseStyle.OWN);
        send(exchange, ErrorBodies.json(refusal, ""));
    }
}
