package ebonygw.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import java.util.HashMap;
import java.util.HashSet;
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
        Set<String> connectionFields = connectionFields(headers);
        Map<String, String> forwarded = new HashMap<>();
        for (HeaderValues values : headers) {
            String name = values.getHeaderName().toString().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !connectionFields.contains(name)) {
                forwarded.put(name, values.size() == 1 ? values.get(0) : String.join(", ", values));
            }
        }
        return forwarded;
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
