package ebonygw.settings;

import com.google.protobuf.ByteString;
import java.util.Objects;

/**
 * An accepted change with its stored form, which is written to the key-value service and sent to
 * other processes.
 *
 * @param record the change
 * @param stored its stored form
 */
public record LoggedChange(ChangeRecord record, ByteString stored) {
    /** Creates a logged change. */
    public LoggedChange {
        Objects.requireNonNull(record, "record");
        Objects.requireNonNull(stored, "stored");
    }

    /** Returns its position in the log. */
    public long revision() {
        return record.revision();
    }
}
