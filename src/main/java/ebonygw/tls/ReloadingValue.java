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
 * A value loaded from files, and loaded again when one of them changes.
 *
 * <p>Each use checks modification times, lengths and readability of the files. If the changed files
 * cannot be loaded, the previous value stays in use and the error is logged once for each change.
 * Thread-safe.
 *
 * @param <T> type of the value
 */
public final class ReloadingValue<T> {
    private final List<Path> mFiles;
    private final Loader<T> mLoader;
    private List<Long> mFileStamps;
    private T mValue;

    /**
     * Loads the first value.
     *
     * @param files the files whose changes lead to a reload
     * @param loader loads the value from the files
     * @throws IllegalArgumentException if the value cannot be loaded
     */
    public ReloadingValue(List<Path> files, Loader<T> loader) {
        mFiles = List.copyOf(files);
        mLoader = Objects.requireNonNull(loader, "loader");
        mFileStamps = fileStamps();
        try {
            mValue = loader.load();
        } catch (SSLException | IllegalArgumentException cause) {
            throw new IllegalArgumentException(
                    "cannot use " + mFiles + ": " + cause.getMessage(), cause);
        }
    }

    /**
     * Loads a value from files.
     *
     * @param <T> type of the value
     */
    @FunctionalInterface
    public interface Loader<T> {
        /**
         * Loads the value.
         *
         * @throws SSLException if the content of a file cannot be used
         * @throws IllegalArgumentException if a file cannot be read or its content cannot be used
         */
        T load() throws SSLException;
    }

    /**
     * Returns the current value, loading it again if a file has changed since the previous attempt
     * to load it.
     */
    public synchronized T value() {
        List<Long> stamps = fileStamps();
        if (stamps.equals(mFileStamps)) {
            return mValue;
        }
        mFileStamps = stamps;
        try {
            mValue = mLoader.load();
            LogLine.of("certificates_reloaded").with("files", mFiles).info();
        } catch (SSLException | IllegalArgumentException cause) {
            LogLine.of("certificates_unusable")
                    .with("files", mFiles)
                    .with("detail", cause.getMessage())
                    .warn();
        }
        return mValue;
    }

    /** Returns modification time, -1 for an unreadable file, and length of each file. */
    private List<Long> fileStamps() {
        List<Long> stamps = new ArrayList<>();
        for (Path path : mFiles) {
            File file = path.toFile();
            stamps.add(Files.isReadable(path) ? file.lastModified() : -1L);
            stamps.add(file.length());
        }
        return stamps;
    }
}
