package ebonygw.bench.shares;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** In-memory key-value store that executes single-key reads and transactions. Not thread-safe. */
final class VirtualKeyValue {
    private final Map<String, KeyValueResponse.Entry> mEntries = new TreeMap<>();
    private long mRevision = 1;

    KeyValueResponse apply(KeyValueRequest request) {
        if (request instanceof KeyValueRequest.Range range) {
            List<KeyValueResponse.Entry> found = new ArrayList<>();
            KeyValueResponse.Entry entry = mEntries.get(range.key());
            if (entry != null) {
                found.add(entry);
            }
            return new KeyValueResponse.RangeResult(mRevision, found, false);
        }
        if (request instanceof KeyValueRequest.Transaction transaction) {
            return commit(transaction);
        }
        return new KeyValueResponse.Failed(
                false, "virtual key-value store supports only range and transaction requests");
    }

    private KeyValueResponse commit(KeyValueRequest.Transaction transaction) {
        for (KeyValueRequest.Compare compare : transaction.compares()) {
            KeyValueResponse.Entry entry = mEntries.get(compare.key());
            long revision = entry == null ? 0 : entry.modRevision();
            if (revision != compare.modRevision()) {
                return new KeyValueResponse.TransactionResult(mRevision, false);
            }
        }
        mRevision++;
        for (KeyValueRequest.Write write : transaction.writes()) {
            ByteString value = write.value();
            mEntries.put(write.key(), new KeyValueResponse.Entry(write.key(), value, mRevision, 0));
        }
        return new KeyValueResponse.TransactionResult(mRevision, true);
    }
}
