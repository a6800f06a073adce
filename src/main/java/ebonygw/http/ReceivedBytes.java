package ebonygw.http;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Counts the bytes that a server has received on one connection, whatever their framing.
 *
 * <p>Used on the connection's IO thread only.
 */
public final class ReceivedBytes extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private long mCount;

    private ReceivedBytes(StreamSourceConduit next) {
        super(next);
    }

    /** Starts counting on a connection that nothing was read from yet. */
    static void install(StreamConnection connection) {
        connection
                .getSourceChannel()
                .setConduit(new ReceivedBytes(connection.getSourceChannel().getConduit()));
    }

    /**
     * Returns how many bytes have been received on the connection of a request since it was opened,
     * 0 if its listener does not count them.
     */
    public static long of(HttpServerExchange exchange) {
        return exchange.getConnection() instanceof AbstractServerConnection connection
                        && connection.getOriginalSourceConduit() instanceof ReceivedBytes received
                ? received.mCount
                : 0;
    }

    @Override
    public int read(ByteBuffer buffer) throws IOException {
        int count = next.read(buffer);
        mCount += Math.max(0, count);
        return count;
    }

    @Override
    public long read(ByteBuffer[] buffers, int offset, int length) throws IOException {
        long count = next.read(buffers, offset, length);
        mCount += Math.max(0, count);
        return count;
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        long transferred = next.transferTo(position, count, target);
        mCount += Math.max(0, transferred);
        return transferred;
    }

    @Override
    public long transferTo(long count, ByteBuffer buffer, StreamSinkChannel target)
            throws IOException {
        long transferred = next.transferTo(count, buffer, target);
        mCount += Math.max(0, transferred) + buffer.remaining();
        return transferred;
    }
}
