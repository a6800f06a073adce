package ebonygw.settings;

import java.util.Iterator;
import java.util.NoSuchElementException;
import java.util.Objects;

/**
 * A persistent hash map: the next version copies only one small page for each changed entry.
 *
 * <p>A look-up reads one page and allocates nothing. Immutable and thread-safe.
 *
 * @param <K> keys, with {@code equals} and {@code hashCode}
 * @param <V> values, never null
 */
final class PagedMap<K, V> {
    private static final int ENTRIES_PER_PAGE = 8;
    private static final int MAX_PAGES = 1 << 16;
    private static final int SLOT_SHIFT = 16;

    /** 2^32 divided by the golden ratio; the product spreads hash codes over all bits. */
    private static final int HASH_FACTOR = 0x9E3779B9;

    /** An empty page, with a single free slot. */
    private static final Object[] NO_ENTRIES = new Object[2];

    /** Pages of alternating keys and values, each with at least one free slot. */
    private final Object[][] mPages;

    private final int mSize;

    private PagedMap(Object[][] pages, int size) {
        mPages = pages;
        mSize = size;
    }

    /** Returns the map without entries. */
    static <K, V> PagedMap<K, V> empty() {
        return new PagedMap<>(new Object[][] {NO_ENTRIES}, 0);
    }

    /** Starts the next version of the map. */
    Builder<K, V> edit() {
        return new Builder<>(this);
    }

    /** Returns the value of a key, {@code otherwise} if there is none. */
    V getOrElse(Object key, V otherwise) {
        return get(mPages, key, otherwise);
    }

    /** Returns the number of entries. */
    int size() {
        return mSize;
    }

    /** Returns the values, in no particular order. */
    Iterator<V> values() {
        return new Values();
    }

    /** Returns the index of a key in its page, or of the free slot where it would be stored. */
    private static int find(Object[] page, Object key, int hash) {
        int mask = page.length - 1;
        int slot = (hash >>> SLOT_SHIFT) << 1 & mask;
        while (page[slot] != null && !page[slot].equals(key)) {
            slot = slot + 2 & mask;
        }
        return slot;
    }

    @SuppressWarnings("unchecked")
    private static <V> V get(Object[][] pages, Object key, V otherwise) {
        int hash = spread(key);
        Object[] page = pages[hash & (pages.length - 1)];
        int slot = find(page, key, hash);
        return page[slot] == null ? otherwise : (V) page[slot + 1];
    }

    private static int spread(Object key) {
        int hash = key.hashCode() * HASH_FACTOR;
        return hash ^ hash >>> SLOT_SHIFT;
    }

    /**
     * Builds the next version of a map. Not thread-safe.
     *
     * @param <K> keys
     * @param <V> values
     */
    static final class Builder<K, V> {
        private final PagedMap<K, V> mOld;
        private Object[][] mNext;
        private int mCount;

        private Builder(PagedMap<K, V> old) {
            mOld = old;
            mNext = old.mPages;
            mCount = old.mSize;
        }

        /**
         * Returns the next version, the old one itself if nothing changed. The builder must not be
         * used afterwards.
         */
        PagedMap<K, V> build() {
            return mNext == mOld.mPages ? mOld : new PagedMap<>(mNext, mCount);
        }

        /** Returns the present value of a key, {@code otherwise} if there is none. */
        V getOrElse(Object key, V otherwise) {
            return get(mNext, key, otherwise);
        }

        /** Adds or replaces an entry. */
        void put(K key, V value) {
            Objects.requireNonNull(value, "value");
            copyPagesOnce();
            if (mCount >= mNext.length * ENTRIES_PER_PAGE && mNext.length < MAX_PAGES) {
                grow();
            }
            mCount += insert(mNext, key, value) ? 1 : 0;
        }

        /** Removes an entry if it is present. */
        void remove(K key) {
            int hash = spread(key);
            int index = hash & (mNext.length - 1);
            Object[] page = mNext[index];
            if (page[find(page, key, hash)] == null) {
                return;
            }
            copyPagesOnce();
            Object[] remaining = NO_ENTRIES;
            for (int slot = 0; slot < page.length; slot += 2) {
                if (page[slot] != null && !page[slot].equals(key)) {
                    remaining = withEntry(remaining, page[slot], page[slot + 1]);
                }
            }
            mNext[index] = remaining;
            mCount--;
        }

        /** Copies the array of pages before the first change, as the old map shares it. */
        private void copyPagesOnce() {
            if (mNext == mOld.mPages) {
                mNext = mNext.clone();
            }
        }

        private static int entries(Object[] page) {
            int count = 0;
            for (int slot = 0; slot < page.length; slot += 2) {
                count += page[slot] == null ? 0 : 1;
            }
            return count;
        }

        private void grow() {
            Object[][] old = mNext;
            Object[][] wider = new Object[old.length * 2][];
            java.util.Arrays.fill(wider, NO_ENTRIES);
            for (Object[] page : old) {
                for (int slot = 0; slot < page.length; slot += 2) {
                    if (page[slot] != null) {
                        insert(wider, page[slot], page[slot + 1]);
                    }
                }
            }
            mNext = wider;
        }

        private static boolean insert(Object[][] pages, Object key, Object value) {
            int hash = spread(key);
            int index = hash & (pages.length - 1);
            Object[] page = pages[index];
            boolean added = page[find(page, key, hash)] == null;
            pages[index] = withEntry(page, key, value);
            return added;
        }

        private static void store(Object[] page, Object key, Object value) {
            int slot = find(page, key, spread(key));
            page[slot] = key;
            page[slot + 1] = value;
        }

        private static Object[] withEntry(Object[] page, Object key, Object value) {
            int needed = entries(page) + 1;
            Object[] copy = page;
            // At most three quarters of the slots are used, and at least one is free.
            if (needed * 8 > page.length * 3 || needed * 2 >= page.length) {
                copy = new Object[page.length * 2];
                for (int slot = 0; slot < page.length; slot += 2) {
                    if (page[slot] != null) {
                        store(copy, page[slot], page[slot + 1]);
                    }
                }
            } else {
                copy = page.clone();
            }
            store(copy, key, value);
            return copy;
        }
    }

    private final class Values implements Iterator<V> {
        private int mPage;
        private int mSlot = -2;

        Values() {
            advance();
        }

        @Override
        public boolean hasNext() {
            return mPage < mPages.length;
        }

        @Override
        @SuppressWarnings("unchecked")
        public V next() {
            if (!hasNext()) {
                throw new NoSuchElementException();
            }
            V value = (V) mPages[mPage][mSlot + 1];
            advance();
            return value;
        }

        private void advance() {
            mSlot += 2;
            while (mPage < mPages.length) {
                if (mSlot >= mPages[mPage].length) {
                    mPage++;
                    mSlot = 0;
                } else if (mPages[mPage][mSlot] == null) {
                    mSlot += 2;
                } else {
                    return;
                }
            }
        }
    }
}
