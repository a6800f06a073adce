package ebonygw.operator;

import ebonygw.settings.CallerKeys;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Credentials of the operators: their names and the SHA-256 hashes of their tokens.
 *
 * <p>The file has one line per operator: the name, white space and the hash in lower-case
 * hexadecimal. Empty lines and lines that start with {@code #} are ignored. Immutable.
 */
public final class AdminCredentials {
    private static final int HASH_HEX_DIGITS = 64;

    private final Map<String, String> mHashes;

    private AdminCredentials(Map<String, String> hashes) {
        mHashes = hashes;
    }

    /**
     * Reads a credentials file.
     *
     * @throws IOException if the file is unreadable or a line is malformed
     */
    public static AdminCredentials read(Path file) throws IOException {
        Map<String, String> hashes = new LinkedHashMap<>();
        int number = 0;
        for (String line : Files.readAllLines(file)) {
            number++;
            String text = line.strip();
            if (text.isEmpty() || text.startsWith("#")) {
                continue;
            }
            String[] parts = text.split("\\s+");
            if (parts.length != 2 || parts[1].length() != HASH_HEX_DIGITS) {
                throw new IOException(
                        file
                                + ", line "
                                + number
                                + ": expected a name and a SHA-256 of 64 hexadecimal digits");
            }
            hashes.put(parts[0], parts[1]);
        }
        return new AdminCredentials(hashes);
    }

    /**
     * Returns the operator that a token belongs to.
     *
     * <p>Compares the token with every operator's, also after a match, so that the time taken does
     * not reveal which one matched.
     *
     * @param token token of the request, null if there is none
     * @return the operator's name, empty if the token is unknown
     */
    public Optional<String> operator(String token) {
        if (token == null || token.isEmpty()) {
            return Optional.empty();
        }
        String hash = CallerKeys.hash(token);
        String found = null;
        for (Map.Entry<String, String> entry : mHashes.entrySet()) {
            if (CallerKeys.sameHash(entry.getValue(), hash)) {
                found = entry.getKey();
            }
        }
        return Optional.ofNullable(found);
    }
}
