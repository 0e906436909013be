import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The network between a node and the instance on its host. Its open connections can go silent, without a reset. */
final class Proxy {
    private final String ip;
    private final int targetPort;
    private final Set<Pair> open = ConcurrentHashMap.newKeySet();
    /** Kept, so that the Java runtime never closes their sockets. */
    private final Set<Pair> silenced = ConcurrentHashMap.newKeySet();

    private static final class Pair {
        final Socket client;
        final Socket server;
        volatile boolean silent;

        Pair(Socket client, Socket server) {
            this.client = client;
            this.server = server;
        }
    }

    Proxy(String ip, int port, int targetPort) throws IOException {
        this.ip = ip;
        this.targetPort = targetPort;
        ServerSocket listener = new ServerSocket();
        listener.bind(new InetSocketAddress(ip, port), 500);
        Thread.ofVirtual().start(() -> accept(listener));
    }

    private void accept(ServerSocket listener) {
        while (true) {
            try {
                Socket client = listener.accept();
                Socket server = new Socket(ip, targetPort);
                client.setTcpNoDelay(true);
                server.setTcpNoDelay(true);
                Pair pair = new Pair(client, server);
                open.add(pair);
                Thread.ofVirtual().start(() -> copy(pair, client, server));
                Thread.ofVirtual().start(() -> copy(pair, server, client));
            } catch (IOException e) {
                return;
            }
        }
    }

    /** From now on, nothing passes over the connections that are open, and neither end sees them closed. */
    int silence() {
        int count = 0;
        for (Pair pair : open) {
            pair.silent = true;
            silenced.add(pair);
            count++;
        }
        open.clear();
        return count;
    }

    private void copy(Pair pair, Socket from, Socket to) {
        byte[] buffer = new byte[16_384];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                if (pair.silent) {
                    return;
                }
                out.write(buffer, 0, count);
            }
            if (!pair.silent) {
                to.shutdownOutput();
            }
        } catch (IOException e) {
            if (!pair.silent) {
                open.remove(pair);
                closeQuietly(pair.client);
                closeQuietly(pair.server);
            }
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
