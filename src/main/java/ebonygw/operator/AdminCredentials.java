package ebonygw.operator;

import ebonygw.settings.CallerKeys;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Operators' credentials: names with the SHA-256 of their tokens.
 *
 * <p>The file holds one operator a line: the name, white space, the hash in lower-case hexadecimal.
 * Empty lines and lines that start with {@code #} are passed over. Immutable.
 */
public final class AdminCredentials {
    private static final int HASH_LENGTH = 64;

    private final Map<String, String> mHashes;

    private AdminCredentials(Map<String, String> hashes) {
        mHashes = hashes;
    }

    /**
     * Reads the file.
     *
     * @throws IOException if it cannot be read or a line has another form
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
            String[] words = text.split("\\s+");
            if (words.length != 2 || words[1].length() != HASH_LENGTH) {
                throw new IOException("line " + number + ": not a name and a SHA-256");
            }
            hashes.put(words[0], words[1]);
        }
        return new AdminCredentials(hashes);
    }

    /**
     * Returns the operator whose token it is; looks at every operator, whatever it finds.
     *
     * @param token what the client presents, null for none
     * @return empty if it is nobody's
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
