package ebonygw.tls;

import ebonygw.log.LogLine;
import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import javax.net.ssl.SSLException;

/**
 * A value made from files, made anew when one of them changes.
 *
 * <p>The files' times and lengths are looked at on each use. If a changed file cannot be used, the
 * former value stays in use and the fault is logged once for each change. Thread-safe.
 *
 * @param <T> type of the value
 */
public final class Reloaded<T> {
    private final List<Path> mFiles;
    private final Loader<T> mLoader;
    private List<Long> mStamp;
    private T mValue;

    /**
     * Makes the first value.
     *
     * @param files the files it is made from
     * @param loader makes it
     * @throws IllegalArgumentException if a file cannot be read or used
     */
    public Reloaded(List<Path> files, Loader<T> loader) {
        mFiles = List.copyOf(files);
        mLoader = Objects.requireNonNull(loader, "loader");
        mStamp = stamp();
        try {
            mValue = loader.load();
        } catch (SSLException | IllegalArgumentException unusable) {
            throw new IllegalArgumentException(
                    "cannot use " + mFiles + ": " + unusable.getMessage(), unusable);
        }
    }

    /**
     * Makes a value from files.
     *
     * @param <T> type of the value
     */
    @FunctionalInterface
    public interface Loader<T> {
        /**
         * Makes the value.
         *
         * @throws SSLException if the files cannot be used
         * @throws IllegalArgumentException if a file cannot be read
         */
        T load() throws SSLException;
    }

    /** Returns the newest value. */
    public synchronized T value() {
        List<Long> stamp = stamp();
        if (stamp.equals(mStamp)) {
            return mValue;
        }
        mStamp = stamp;
        try {
            mValue = mLoader.load();
            LogLine.of("certificates_reloaded").with("files", mFiles).info();
        } catch (SSLException | IllegalArgumentException unusable) {
            LogLine.of("certificates_unusable")
                    .with("files", mFiles)
                    .with("detail", unusable.getMessage())
                    .warn();
        }
        return mValue;
    }

    private List<Long> stamp() {
        List<Long> stamp = new ArrayList<>();
        for (Path path : mFiles) {
            File file = path.toFile();
            stamp.add(Files.isReadable(path) ? file.lastModified() : -1L);
            stamp.add(file.length());
        }
        return stamp;
    }
}
