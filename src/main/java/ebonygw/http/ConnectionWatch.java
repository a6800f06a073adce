package ebonygw.http;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import org.tinylog.Logger;
import org.xnio.IoUtils;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Notices that a client's connection ends while the server runs its request.
 *
 * <p>The server reads nothing of a connection while a request runs, so this reads in its place.
 * Bytes of a next request are kept for the server, and end the watch. Used on the connection's IO
 * thread only.
 */
public final class ConnectionWatch implements ReadReadyHandler {
    private static final AttachmentKey<ConnectionWatch> KEY =
            AttachmentKey.create(ConnectionWatch.class);

    private final AbstractServerConnection mConnection;
    private Runnable mGone;

    private ConnectionWatch(AbstractServerConnection connection) {
        mConnection = connection;
        connection.addCloseListener(closed -> gone());
    }

    /** Returns the watch of a connection. */
    public static ConnectionWatch of(ServerConnection connection) {
        ConnectionWatch watch = connection.getAttachment(KEY);
        if (watch == null) {
            watch = new ConnectionWatch((AbstractServerConnection) connection);
            connection.putAttachment(KEY, watch);
        }
        return watch;
    }

    @Override
    public void forceTermination() {
        gone();
    }

    @Override
    public void readReady() {
        PooledByteBuffer pooled = mConnection.getByteBufferPool().allocate();
        boolean kept = false;
        try {
            int count = mConnection.getOriginalSourceConduit().read(pooled.getBuffer());
            if (count < 0) {
                IoUtils.safeClose(mConnection);
                gone();
            } else if (count > 0) {
                pooled.getBuffer().flip();
                mConnection.setExtraBytes(pooled);
                kept = true;
                mConnection.getOriginalSourceConduit().suspendReads();
            }
        } catch (IOException cause) {
            Logger.debug("event=client_connection_lost cause=\"{}\"", cause);
            IoUtils.safeClose(mConnection);
            gone();
        } finally {
            if (!kept) {
                pooled.close();
            }
        }
    }

    @Override
    public void terminated() {
        gone();
    }

    /** Starts to watch; {@code gone} runs at most once. */
    public void start(Runnable gone) {
        mGone = gone;
        if (!mConnection.isOpen()) {
            gone();
        } else if (mConnection.getExtraBytes() == null) {
            StreamSourceConduit conduit = mConnection.getOriginalSourceConduit();
            conduit.setReadReadyHandler(this);
            conduit.resumeReads();
        }
    }

    /** Gives the connection back to the server. */
    public void stop() {
        mGone = null;
        StreamSourceConduit conduit = mConnection.getOriginalSourceConduit();
        conduit.suspendReads();
        conduit.setReadReadyHandler(
                new ChannelListenerHandler<>(mConnection.getChannel().getSourceChannel()));
    }

    private void gone() {
        Runnable gone = mGone;
        mGone = null;
        if (gone != null) {
            gone.run();
        }
    }
}
