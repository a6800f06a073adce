package ebonygw.bench.shares;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueCall;
import ebonygw.keyvalue.KeyValueReply;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** In-memory key-value store that executes single-key reads and transactions. Not thread-safe. */
final class VirtualKeyValue {
    private final Map<String, KeyValueReply.Entry> mEntries = new TreeMap<>();
    private long mRevision = 1;

    KeyValueReply apply(KeyValueCall request) {
        if (request instanceof KeyValueCall.Range range) {
            List<KeyValueReply.Entry> found = new ArrayList<>();
            KeyValueReply.Entry entry = mEntries.get(range.key());
            if (entry != null) {
                found.add(entry);
            }
            return new KeyValueReply.Found(mRevision, found, false);
        }
        if (request instanceof KeyValueCall.Transaction transaction) {
            return commit(transaction);
        }
        return new KeyValueReply.Failed(
                false, "virtual key-value store supports only range and transaction requests");
    }

    private KeyValueReply commit(KeyValueCall.Transaction transaction) {
        for (KeyValueCall.Compare compare : transaction.compares()) {
            KeyValueReply.Entry entry = mEntries.get(compare.key());
            long revision = entry == null ? 0 : entry.modRevision();
            if (revision != compare.modRevision()) {
                return new KeyValueReply.Committed(mRevision, false);
            }
        }
        mRevision++;
        for (KeyValueCall.Write write : transaction.writes()) {
            ByteString value = write.value();
            mEntries.put(write.key(), new KeyValueReply.Entry(write.key(), value, mRevision, 0));
        }
        return new KeyValueReply.Committed(mRevision, true);
    }
}
