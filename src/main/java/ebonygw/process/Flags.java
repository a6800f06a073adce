package ebonygw.process;

/**
 * Command-line flags of one kind of process.
 *
 * @param <S> type of the settings built from them
 */
interface Flags<S> {
    /** Returns the settings; invalid values are reported to {@code reader}. */
    S settings(FlagReader reader);
}
