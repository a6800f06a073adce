package ebonygw.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * An HTTP request that a stand-in received and recorded.
 *
 * @param method HTTP method
 * @param target request target: path and query
 * @param headers header fields, with names in lower case
 * @param body the body, decoded as UTF-8
 */
public record RecordedRequest(
        String method, String target, Map<String, String> headers, String body) {
    /** Copies the header fields. */
    public RecordedRequest {
        headers = Map.copyOf(headers);
    }

    /** Returns the whole request as one text, in which tests search for data that must not leak. */
    public String text() {
        return method + " " + target + "\n" + headers + "\n" + body;
    }

    static RecordedRequest of(HttpServerExchange exchange, String body) {
        Map<String, String> headers = new HashMap<>();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            headers.put(
                    values.getHeaderName().toString().toLowerCase(Locale.ROOT),
                    String.join(", ", values));
        }
        String query = exchange.getQueryString();
        String target = exchange.getRequestPath() + (query.isEmpty() ? "" : "?" + query);
        return new RecordedRequest(exchange.getRequestMethod().toString(), target, headers, body);
    }
}
