package ebonygw.caller;

import com.google.protobuf.ByteString;
import ebonygw.http.HttpHeaders;
import ebonygw.request.CallerRequest;
import ebonygw.request.Payload;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.settings.SettingsView;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.vavr.control.Either;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Parses HTTP requests of callers and removes their credentials. */
final class RequestReader {
    static final String ROUTES_PREFIX = "/routes/";

    private static final String COMPLETIONS_ROUTE = "completions";
    private static final String TEXT_PATH = "/v1/completions";
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String BEARER = "bearer ";

    /** Shorter keys are not searched for in the rest of the request, to avoid false matches. */
    private static final int MIN_KEY_CHARS = 8;

    private static final long MAX_TIMEOUT_MILLIS = 3_600_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Header fields that may hold the key, and that are not forwarded to services. */
    private static final Set<String> CREDENTIALS =
            Set.of(
                    "api-key",
                    "authorization",
                    "cookie",
                    "ocp-apim-subscription-key",
                    "proxy-authorization",
                    "x-api-key",
                    "x-auth-token",
                    "x-goog-api-key",
                    "x-customer",
                    "x-request-id",
                    "x-request-timeout-ms");

    /** The only header fields that are forwarded with completion requests. */
    private static final List<String> COMPLETION_HEADERS =
            List.of("accept", "content-type", "traceparent", "tracestate");

    private static final ThreadLocal<MessageDigest> SHA_256 =
            ThreadLocal.withInitial(RequestReader::sha256);

    private final long mDefaultMaxTokens;

    RequestReader(long defaultMaxTokens) {
        mDefaultMaxTokens = defaultMaxTokens;
    }

    /** Returns the hash of the API key, empty if the request has none, or a refusal. */
    static Either<Refusal, String> keyHash(HeaderMap headers) {
        return bearerKey(headers).map(key -> key.isEmpty() ? "" : sha256Hex(key));
    }

    /**
     * Parses a request; refuses it if it is malformed or repeats the API key outside of
     * credentials.
     *
     * @param path path as received, not decoded
     * @param query query string as received, without the question mark, may be empty
     * @param body complete body
     * @param settings latest settings
     */
    Either<Refusal, CallerRequest> read(
            String method,
            String path,
            String query,
            HeaderMap headers,
            byte[] body,
            SettingsView settings) {
        Either<Refusal, Long> timeout = timeoutNanos(headers);
        if (timeout.isLeft()) {
            return Either.left(timeout.getLeft());
        }
        Either<Refusal, String> key = bearerKey(headers);
        if (key.isLeft()) {
            return Either.left(key.getLeft());
        }
        if (exposesKey(key.get(), path, query, headers, body)) {
            return badRequest("a key may stand in the header field authorization only");
        }
        String hash = key.get().isEmpty() ? "" : sha256Hex(key.get());
        if (path.equals(TEXT_PATH) || path.equals(CHAT_PATH)) {
            return completionRequest(
                    hash, COMPLETIONS_ROUTE, method, path, headers, body, timeout.get());
        }
        if (!path.startsWith(ROUTES_PREFIX)) {
            return notFound();
        }
        int slash = path.indexOf('/', ROUTES_PREFIX.length());
        String route = path.substring(ROUTES_PREFIX.length(), slash < 0 ? path.length() : slash);
        String routePath = slash < 0 ? "/" : path.substring(slash);
        boolean servesModel =
                settings.route(route).map(found -> !found.model().isEmpty()).orElse(false);
        if (servesModel) {
            return completionRequest(hash, route, method, routePath, headers, body, timeout.get());
        }
        return serviceRequest(
                hash,
                route,
                method,
                query.isEmpty() ? routePath : routePath + "?" + query,
                headers,
                body,
                timeout.get());
    }

    private static boolean anyContains(HeaderValues values, String key) {
        for (String value : values) {
            if (value.contains(key)) {
                return true;
            }
        }
        return false;
    }

    private static <T> Either<Refusal, T> badRequest(String detail) {
        return Either.left(Refusal.notRun(RefusalCode.BAD_REQUEST, detail));
    }

    private static Either<Refusal, String> bearerKey(HeaderMap headers) {
        HeaderValues values = headers.get("authorization");
        if (values == null) {
            return Either.right("");
        }
        String value = values.getFirst();
        boolean bearer =
                values.size() == 1 && value.regionMatches(true, 0, BEARER, 0, BEARER.length());
        if (!bearer) {
            return Either.left(
                    Refusal.notRun(RefusalCode.UNAUTHENTICATED, "one bearer key is expected"));
        }
        return Either.right(value.substring(BEARER.length()).trim());
    }

    private static boolean contains(byte[] bytes, byte[] pattern) {
        int last = bytes.length - pattern.length;
        for (int start = 0; start <= last; start++) {
            if (bytes[start] == pattern[0]
                    && Arrays.equals(
                            bytes, start, start + pattern.length, pattern, 0, pattern.length)) {
                return true;
            }
        }
        return false;
    }

    private static String decode(String text) {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException malformed) {
            return text;
        }
    }

    /** Returns whether the key appears anywhere but in the header fields for credentials. */
    private static boolean exposesKey(
            String key, String path, String query, HeaderMap headers, byte[] body) {
        if (key.length() < MIN_KEY_CHARS) {
            return false;
        }
        if (decode(path).contains(key) || !query.isEmpty() && decode(query).contains(key)) {
            return true;
        }
        for (HeaderValues values : headers) {
            if (anyContains(values, key)
                    && !CREDENTIALS.contains(
                            values.getHeaderName().toString().toLowerCase(Locale.ROOT))) {
                return true;
            }
        }
        return contains(body, key.getBytes(StandardCharsets.UTF_8));
    }

    private static <T> Either<Refusal, T> notFound() {
        return Either.left(Refusal.notRun(RefusalCode.NOT_FOUND, "no such path"));
    }

    /** Creates a request to a plain HTTP service, with all end-to-end fields but credentials. */
    private static Either<Refusal, CallerRequest> serviceRequest(
            String hash,
            String route,
            String method,
            String target,
            HeaderMap headers,
            byte[] body,
            long timeoutNanos) {
        Map<String, String> forwarded = HttpHeaders.endToEnd(headers);
        forwarded.keySet().removeAll(CREDENTIALS);
        Payload payload = new Payload(method, target, forwarded, ByteString.copyFrom(body));
        return Either.right(
                new CallerRequest(hash, route, "", 0, 0, 0, false, timeoutNanos, payload));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException cause) {
            throw new IllegalStateException(cause);
        }
    }

    private static String sha256Hex(String key) {
        byte[] digest = SHA_256.get().digest(key.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(digest);
    }

    private static Either<Refusal, Long> timeoutNanos(HeaderMap headers) {
        String value = headers.getFirst("x-request-timeout-ms");
        if (value == null) {
            return Either.right(0L);
        }
        boolean digits = value.matches("[0-9]{1,9}");
        long millis = digits ? Long.parseLong(value) : 0;
        if (millis < 1 || millis > MAX_TIMEOUT_MILLIS) {
            return badRequest("x-request-timeout-ms has to be from 1 to " + MAX_TIMEOUT_MILLIS);
        }
        return Either.right(millis * NANOS_PER_MILLI);
    }

    private Either<Refusal, CallerRequest> completionRequest(
            String hash,
            String route,
            String method,
            String path,
            HeaderMap headers,
            byte[] body,
            long timeoutNanos) {
        boolean chat = path.equals(CHAT_PATH);
        if (!method.equals("POST") || !chat && !path.equals(TEXT_PATH)) {
            return notFound();
        }
        Map<String, String> forwarded = new HashMap<>();
        for (String name : COMPLETION_HEADERS) {
            String value = headers.getFirst(name);
            if (value != null) {
                forwarded.put(name, value);
            }
        }
        return CompletionBody.read(body, chat, mDefaultMaxTokens)
                .mapLeft(error -> Refusal.notRun(RefusalCode.BAD_REQUEST, error))
                .map(
                        completion ->
                                new CallerRequest(
                                        hash,
                                        route,
                                        completion.model(),
                                        completion.promptTokens(),
                                        completion.maxTokens(),
                                        completion.prefixHash(),
                                        completion.streamed(),
                                        timeoutNanos,
                                        new Payload(method, path, forwarded, completion.json())));
    }
}
