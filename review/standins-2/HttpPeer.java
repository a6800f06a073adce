import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** An HTTP/1.1 server with a thread for each connection, and the parsing it shares with callers. */
final class HttpPeer implements Closeable {
    /** Handles one request; writes its answer. Returns whether the connection is kept. */
    interface Handler {
        boolean handle(Head head, byte[] body, Connection connection) throws Exception;
    }

    /** First line and fields of a message, names in lower case. */
    static final class Head {
        String mFirst = "";
        final Map<String, String> mFields = new TreeMap<>();

        String field(String name) {
            return mFields.getOrDefault(name, "");
        }

        String method() {
            return mFirst.split(" ")[0];
        }

        String target() {
            return mFirst.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        String query(String name, String otherwise) {
            int mark = target().indexOf('?');
            for (String pair : mark < 0 ? new String[0] : target().substring(mark + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return java.net.URLDecoder.decode(
                            pair.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
            return otherwise;
        }
    }

    /** One accepted connection. */
    static final class Connection {
        final Socket mSocket;
        final InputStream mIn;
        final OutputStream mOut;

        Connection(Socket socket) throws IOException {
            mSocket = socket;
            mSocket.setTcpNoDelay(true);
            mIn = new BufferedInputStream(socket.getInputStream(), 65536);
            mOut = socket.getOutputStream();
        }

        /** Returns whether the other end has closed; to be asked only while it owes nothing. */
        boolean isClosedByPeer() throws IOException {
            if (mIn.available() > 0) {
                return false;
            }
            mSocket.setSoTimeout(1);
            try {
                mIn.mark(1);
                if (mIn.read() < 0) {
                    return true;
                }
                mIn.reset();
                return false;
            } catch (java.net.SocketTimeoutException quiet) {
                return false;
            } catch (IOException reset) {
                return true;
            } finally {
                mSocket.setSoTimeout(0);
            }
        }

        void send(int status, Map<String, String> fields, byte[] body) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(head(status, fields).getBytes(StandardCharsets.ISO_8859_1));
            all.writeBytes(("Content-Length: " + body.length + "\r\n\r\n").getBytes());
            all.writeBytes(body);
            mOut.write(all.toByteArray());
            mOut.flush();
        }

        void json(int status, Map<String, String> fields, String body) throws IOException {
            send(status, fields, body.getBytes(StandardCharsets.UTF_8));
        }

        static String head(int status, Map<String, String> fields) {
            StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
            fields.forEach((name, value) -> text.append(name + ": " + value + "\r\n"));
            return text.toString();
        }
    }

    private volatile ServerSocket mListener;
    private final InetSocketAddress mAddress;
    private final Handler mHandler;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();

    HttpPeer(String ip, Handler handler) throws IOException {
        mHandler = handler;
        listen(new InetSocketAddress(InetAddress.getByName(ip), 0));
        mAddress = (InetSocketAddress) mListener.getLocalSocketAddress();
    }

    private void listen(InetSocketAddress address) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(address, 512);
        mListener = listener;
        thread(() -> accept(listener));
    }

    /** Listens again, at the same address, after {@link #close}. */
    void open() throws IOException {
        listen(mAddress);
    }

    static void thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return mAddress.getAddress().getHostAddress() + ":" + mAddress.getPort();
    }

    /** Stops listening and resets all connections, as a process that ends. */
    @Override
    public void close() {
        try {
            mListener.close();
            for (Socket socket : mSockets) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        } catch (IOException ignored) {
            // It is closed.
        }
    }

    private void accept(ServerSocket listener) {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                mSockets.add(socket);
                thread(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            Connection connection = new Connection(socket);
            boolean kept = true;
            while (kept) {
                Head head = readHead(connection.mIn);
                if (head == null) {
                    return;
                }
                kept = mHandler.handle(head, readBody(head, connection.mIn), connection);
            }
        } catch (Exception lost) {
            // The connection has ended.
        } finally {
            mSockets.remove(socket);
        }
    }

    static Head readHead(InputStream in) throws IOException {
        Head head = new Head();
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        head.mFirst = line;
        for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            head.mFields.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        if (line == null) {
            throw new EOFException("within a head");
        }
        return head;
    }

    /** Reads the body of a request, or of a response with a length or in chunks. */
    static byte[] readBody(Head head, InputStream in) throws IOException {
        if (head.field("transfer-encoding").equals("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
                body.writeBytes(chunk);
            }
            return body.toByteArray();
        }
        String length = head.field("content-length");
        byte[] body = in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
        if (!length.isEmpty() && body.length < Integer.parseInt(length)) {
            throw new EOFException("within a body");
        }
        return body;
    }

    /** Reads a chunk, empty if it was the last one. */
    static byte[] readChunk(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("before the last chunk");
        }
        int size = Integer.parseInt(line.split(";")[0].trim(), 16);
        byte[] chunk = in.readNBytes(size);
        if (chunk.length < size || readLine(in) == null) {
            throw new EOFException("within a chunk");
        }
        return chunk;
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                int length = line.length();
                return length > 0 && line.charAt(length - 1) == '\r'
                        ? line.substring(0, length - 1)
                        : line.toString();
            }
            line.append((char) next);
        }
        if (line.length() > 0) {
            throw new EOFException("within a line");
        }
        return null;
    }
}
