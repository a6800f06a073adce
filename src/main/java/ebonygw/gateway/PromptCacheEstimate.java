package ebonygw.gateway;

import ebonygw.gateway.GatewayRequest.PromptPart;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates which prompt parts a target has cached, from the prompts that this entry has sent to
 * it.
 *
 * <p>Parts are cached per owner, a model or an adapter. The least recently used parts are evicted.
 * Not thread-safe.
 */
final class PromptCacheEstimate {
    /**
     * Maximum number of tokens assumed to be cached; less than any engine's memory, as it also
     * serves prompts of other entries.
     */
    private static final long MAX_TOKENS = 100_000;

    private final Map<String, Integer> mParts = new LinkedHashMap<>(16, 0.75f, true);
    private long mTokens;

    /** Returns the length in tokens of the cached prefix of a prompt. */
    long cachedTokens(String owner, List<PromptPart> parts) {
        long tokens = 0;
        for (PromptPart part : parts) {
            if (!mParts.containsKey(key(owner, part))) {
                break;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    /**
     * Returns the length in tokens of the cached prefix of a prompt.
     *
     * @param keys keys of its parts, see {@link #keys}
     */
    long cachedTokens(String[] keys, List<PromptPart> parts) {
        long tokens = 0;
        for (int i = 0; i < keys.length && mParts.containsKey(keys[i]); i++) {
            tokens += parts.get(i).tokens();
        }
        return tokens;
    }

    /** Discards all parts, as after a restart of the target. */
    void clear() {
        mParts.clear();
        mTokens = 0;
    }

    /** Returns the keys of a prompt's parts, which are the same at all targets. */
    static String[] keys(String owner, List<PromptPart> parts) {
        String[] keys = new String[parts.size()];
        for (int i = 0; i < keys.length; i++) {
            keys[i] = key(owner, parts.get(i));
        }
        return keys;
    }

    /** Records that a prompt was sent, so that its parts count as cached. */
    void onPromptSent(String owner, List<PromptPart> parts) {
        for (PromptPart part : parts) {
            Integer before = mParts.put(key(owner, part), part.tokens());
            mTokens += part.tokens() - (before == null ? 0 : before);
        }
        Iterator<Integer> oldest = mParts.values().iterator();
        while (mTokens > MAX_TOKENS && oldest.hasNext()) {
            mTokens -= oldest.next();
            oldest.remove();
        }
    }

    private static String key(String owner, PromptPart part) {
        return owner + ' ' + part.id();
    }
}
