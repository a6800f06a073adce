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
 * Detects that a client closes its connection while the server processes its request.
 *
 * <p>The server does not read from a connection while it processes a request, so this class reads
 * instead. If it reads bytes of a pipelined request, it stores them for the server and stops
 * reading. Used on the connection's IO thread only.
 */
public final class DisconnectMonitor implements ReadReadyHandler {
    private static final AttachmentKey<DisconnectMonitor> KEY =
            AttachmentKey.create(DisconnectMonitor.class);

    private final AbstractServerConnection mConnection;
    private Runnable mOnDisconnect;

    private DisconnectMonitor(AbstractServerConnection connection) {
        mConnection = connection;
        connection.addCloseListener(closed -> disconnected());
    }

    /** Returns the monitor of a connection, creating it on first use. */
    public static DisconnectMonitor of(ServerConnection connection) {
        DisconnectMonitor monitor = connection.getAttachment(KEY);
        if (monitor == null) {
            monitor = new DisconnectMonitor((AbstractServerConnection) connection);
            connection.putAttachment(KEY, monitor);
        }
        return monitor;
    }

    @Override
    public void forceTermination() {
        disconnected();
    }

    @Override
    public void readReady() {
        PooledByteBuffer pooled = mConnection.getByteBufferPool().allocate();
        boolean retained = false;
        try {
            int count = mConnection.getOriginalSourceConduit().read(pooled.getBuffer());
            if (count < 0) {
                IoUtils.safeClose(mConnection);
                disconnected();
            } else if (count > 0) {
                pooled.getBuffer().flip();
                mConnection.setExtraBytes(pooled);
                retained = true;
                mConnection.getOriginalSourceConduit().suspendReads();
            }
        } catch (IOException cause) {
            Logger.debug("event=client_connection_lost cause=\"{}\"", cause);
            IoUtils.safeClose(mConnection);
            disconnected();
        } finally {
            if (!retained) {
                pooled.close();
            }
        }
    }

    @Override
    public void terminated() {
        disconnected();
    }

    /**
     * Starts monitoring.
     *
     * @param onDisconnect run at most once, when the connection is closed or lost; run at once if
     *     it is closed already
     */
    public void start(Runnable onDisconnect) {
        mOnDisconnect = onDisconnect;
        if (!mConnection.isOpen()) {
            disconnected();
        } else if (mConnection.getExtraBytes() == null) {
            StreamSourceConduit conduit = mConnection.getOriginalSourceConduit();
            conduit.setReadReadyHandler(this);
            conduit.resumeReads();
        }
    }

    /** Stops monitoring and lets the server read from the connection again. */
    public void stop() {
        mOnDisconnect = null;
        StreamSourceConduit conduit = mConnection.getOriginalSourceConduit();
        conduit.suspendReads();
        conduit.setReadReadyHandler(
                new ChannelListenerHandler<>(mConnection.getChannel().getSourceChannel()));
    }

    private void disconnected() {
        Runnable onDisconnect = mOnDisconnect;
        mOnDisconnect = null;
        if (onDisconnect != null) {
            onDisconnect.run();
        }
    }
}
