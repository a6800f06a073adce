package ebonygw.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Rules about header fields that concern one connection only. */
public final class HttpHeaders {
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "content-length",
                    "expect",
                    "host",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");

    private HttpHeaders() {}

    /**
     * Returns the header fields that may pass to another connection, names in lower case.
     *
     * <p>Fields of framing, fields of the connection and those that the connection field names are
     * left out; repeated fields are joined by commas.
     */
    public static Map<String, String> endToEnd(HeaderMap headers) {
        Set<String> named = connectionFields(headers);
        Map<String, String> passed = new HashMap<>();
        for (HeaderValues values : headers) {
            String name = values.getHeaderName().toString().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !named.contains(name)) {
                passed.put(name, values.size() == 1 ? values.get(0) : String.join(", ", values));
            }
        }
        return passed;
    }

    private static Set<String> connectionFields(HeaderMap headers) {
        HeaderValues connection = headers.get("connection");
        if (connection == null) {
            return Set.of();
        }
        Set<String> named = new HashSet<>();
        for (String value : connection) {
            for (String name : value.split(",")) {
                named.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return named;
    }
}
