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

/** Turns HTTP requests of callers into values, and takes the caller's key off them. */
final class RequestReader {
    static final String ROUTES_PREFIX = "/routes/";

    private static final String COMPLETIONS_ROUTE = "completions";
    private static final String TEXT_PATH = "/v1/completions";
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String BEARER = "bearer ";
    private static final int MIN_KEY_CHARS = 8;
    private static final long MAX_TIMEOUT_MILLIS = 3_600_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
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
    private static final List<String> COMPLETION_HEADERS =
            List.of("accept", "content-type", "traceparent", "tracestate");

    private static final ThreadLocal<MessageDigest> SHA_256 =
            ThreadLocal.withInitial(RequestReader::sha256);

    private final long mDefaultMaxTokens;

    RequestReader(long defaultMaxTokens) {
        mDefaultMaxTokens = defaultMaxTokens;
    }

    /** Returns the hash of the presented key, empty if none was, or a refusal. */
    static Either<Refusal, String> keyHash(HeaderMap headers) {
        return key(headers).map(key -> key.isEmpty() ? "" : sha256Hex(key));
    }

    /**
     * Reads a request.
     *
     * @param method HTTP method
     * @param path path as sent
     * @param query query as sent, without question mark
     * @param headers header fields
     * @param body whole body
     * @param settings newest settings
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
        Either<Refusal, String> key = key(headers);
        if (key.isLeft()) {
            return Either.left(key.getLeft());
        }
        if (leaks(key.get(), path, query, headers, body)) {
            return bad("a key may stand in the header field authorization only");
        }
        String hash = key.get().isEmpty() ? "" : sha256Hex(key.get());
        if (path.equals(TEXT_PATH) || path.equals(CHAT_PATH)) {
            return completion(hash, COMPLETIONS_ROUTE, method, path, headers, body, timeout.get());
        }
        if (!path.startsWith(ROUTES_PREFIX)) {
            return notFound();
        }
        int slash = path.indexOf('/', ROUTES_PREFIX.length());
        String route = path.substring(ROUTES_PREFIX.length(), slash < 0 ? path.length() : slash);
        String rest = slash < 0 ? "/" : path.substring(slash);
        boolean model = settings.route(route).map(found -> !found.model().isEmpty()).orElse(false);
        if (model) {
            return completion(hash, route, method, rest, headers, body, timeout.get());
        }
        return plain(
                hash,
                route,
                method,
                query.isEmpty() ? rest : rest + "?" + query,
                headers,
                body,
                timeout.get());
    }

    private static <T> Either<Refusal, T> bad(String detail) {
        return Either.left(Refusal.notRun(RefusalCode.BAD_REQUEST, detail));
    }

    private static boolean contains(byte[] bytes, byte[] part) {
        int last = bytes.length - part.length;
        for (int start = 0; start <= last; start++) {
            if (bytes[start] == part[0]
                    && Arrays.equals(bytes, start, start + part.length, part, 0, part.length)) {
                return true;
            }
        }
        return false;
    }

    private static String decoded(String text) {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException malformed) {
            return text;
        }
    }

    private static boolean holds(HeaderValues values, String key) {
        for (String value : values) {
            if (value.contains(key)) {
                return true;
            }
        }
        return false;
    }

    private static Either<Refusal, String> key(HeaderMap headers) {
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

    private static boolean leaks(
            String key, String path, String query, HeaderMap headers, byte[] body) {
        if (key.length() < MIN_KEY_CHARS) {
            return false;
        }
        if (decoded(path).contains(key) || !query.isEmpty() && decoded(query).contains(key)) {
            return true;
        }
        for (HeaderValues values : headers) {
            if (holds(values, key)
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

    private static Either<Refusal, CallerRequest> plain(
            String hash,
            String route,
            String method,
            String target,
            HeaderMap headers,
            byte[] body,
            long timeoutNanos) {
        Map<String, String> passed = HttpHeaders.endToEnd(headers);
        passed.keySet().removeAll(CREDENTIALS);
        Payload payload = new Payload(method, target, passed, ByteString.copyFrom(body));
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
            return bad("x-request-timeout-ms has to be from 1 to " + MAX_TIMEOUT_MILLIS);
        }
        return Either.right(millis * NANOS_PER_MILLI);
    }

    private Either<Refusal, CallerRequest> completion(
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
        Map<String, String> passed = new HashMap<>();
        for (String name : COMPLETION_HEADERS) {
            String value = headers.getFirst(name);
            if (value != null) {
                passed.put(name, value);
            }
        }
        return CompletionBody.read(body, chat, mDefaultMaxTokens)
                .mapLeft(fault -> Refusal.notRun(RefusalCode.BAD_REQUEST, fault))
                .map(
                        read ->
                                new CallerRequest(
                                        hash,
                                        route,
                                        read.model(),
                                        read.promptTokens(),
                                        read.maxTokens(),
                                        read.prefixHash(),
                                        read.streamed(),
                                        timeoutNanos,
                                        new Payload(method, path, passed, read.json())));
    }
}
