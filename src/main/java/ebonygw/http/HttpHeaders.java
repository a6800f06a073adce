package ebonygw.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Filters hop-by-hop header fields. */
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
     * Returns the header fields that may be forwarded on another connection, names in lower case.
     *
     * <p>Omits framing fields, hop-by-hop fields and the fields that the {@code Connection} field
     * lists. The values of a repeated field are joined by commas.
     */
    public static Map<String, String> endToEnd(HeaderMap headers) {
        Map<String, String> joined = new HashMap<>();
        for (HeaderValues values : headers) {
            String name = values.getHeaderName().toString().toLowerCase(Locale.ROOT);
            joined.put(name, values.size() == 1 ? values.get(0) : String.join(", ", values));
        }
        return removeHopByHop(joined);
    }

    /** Does the same for a list of fields, in which a name may be repeated. */
    static Map<String, String> endToEnd(Iterable<Map.Entry<String, String>> headers) {
        Map<String, String> joined = new HashMap<>();
        for (Map.Entry<String, String> header : headers) {
            joined.merge(
                    header.getKey().toLowerCase(Locale.ROOT),
                    header.getValue(),
                    (first, next) -> first + ", " + next);
        }
        return removeHopByHop(joined);
    }

    private static Map<String, String> removeHopByHop(Map<String, String> headers) {
        String connection = headers.getOrDefault("connection", "");
        headers.keySet().removeAll(HOP_BY_HOP);
        for (String name : connection.split(",")) {
            headers.remove(name.trim().toLowerCase(Locale.ROOT));
        }
        return headers;
    }
}
