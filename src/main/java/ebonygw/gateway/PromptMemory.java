package ebonygw.gateway;

import ebonygw.gateway.GatewayRequest.PromptPart;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates which parts of prompts a target keeps, from what this entry has sent it.
 *
 * <p>Parts are kept for one model and adapter, the least recently used yield. Not thread-safe.
 */
final class PromptMemory {
    /** Tokens that are taken to be kept; a part of any engine's memory, as others use it too. */
    private static final long MOST_TOKENS = 100_000;

    private final Map<String, Integer> mParts = new LinkedHashMap<>(16, 0.75f, true);
    private long mTokens;

    /** Returns how many tokens of a prompt are kept from its start on. */
    long cached(String owner, List<PromptPart> parts) {
        long tokens = 0;
        for (PromptPart part : parts) {
            if (!mParts.containsKey(key(owner, part))) {
                break;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    void clear() {
        mParts.clear();
        mTokens = 0;
    }

    /** Notes that a prompt was read. */
    void read(String owner, List<PromptPart> parts) {
        for (PromptPart part : parts) {
            Integer before = mParts.put(key(owner, part), part.tokens());
            mTokens += part.tokens() - (before == null ? 0 : before);
        }
        Iterator<Integer> oldest = mParts.values().iterator();
        while (mTokens > MOST_TOKENS && oldest.hasNext()) {
            mTokens -= oldest.next();
            oldest.remove();
        }
    }

    private static String key(String owner, PromptPart part) {
        return owner + ' ' + part.id();
    }
}
