package ebonygw.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A request as a stand-in saw it.
 *
 * @param method HTTP method
 * @param target path and query
 * @param headers header fields, names in lower case
 * @param body the body as text
 */
public record SeenRequest(String method, String target, Map<String, String> headers, String body) {
    /** Creates a record of a request. */
    public SeenRequest {
        headers = Map.copyOf(headers);
    }

    /** Returns all that was seen as one text, to search for what must not be there. */
    public String text() {
        return method + " " + target + "\n" + headers + "\n" + body;
    }

    static SeenRequest of(HttpServerExchange exchange, String body) {
        Map<String, String> headers = new HashMap<>();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            headers.put(
                    values.getHeaderName().toString().toLowerCase(Locale.ROOT),
                    String.join(", ", values));
        }
        String query = exchange.getQueryString();
        String target = exchange.getRequestPath() + (query.isEmpty() ? "" : "?" + query);
        return new SeenRequest(exchange.getRequestMethod().toString(), target, headers, body);
    }
}
