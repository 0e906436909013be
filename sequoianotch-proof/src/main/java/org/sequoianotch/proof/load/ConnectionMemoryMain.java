package org.sequoianotch.proof.load;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.sequoianotch.settings.ValueKind;

/**
 * Measures the resident memory of a node as a function of the number of open caller connections.
 *
 * <p>Each connection has carried one request before the measurement.
 *
 * <p>Arguments: address of the node's caller listener and process id of the node.
 */
public final class ConnectionMemoryMain {
    private static final int[] CONNECTION_COUNTS = {0, 100, 200, 400, 800};
    private static final int TIMEOUT_MS = 10_000;
    private static final long SETTLE_TIME_MS = 1_000;
    private static final double MIB = 1_048_576.0;

    private ConnectionMemoryMain() {}

    /**
     * Runs the measurement and prints a table.
     *
     * @param arguments arguments as described for the class; not null
     * @throws IOException if the node cannot be reached or its memory usage cannot be read
     * @throws InterruptedException if the thread is interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        InetSocketAddress node = ValueKind.parseAddress(arguments[0]).orElseThrow();
        long pid = Long.parseLong(arguments[1]);
        List<Socket> open = new ArrayList<>();
        System.out.println("| caller connections | resident MiB |");
        System.out.println("| --- | --- |");
        for (int connectionCount : CONNECTION_COUNTS) {
            while (open.size() < connectionCount) {
                open.add(connect(node));
            }
            Thread.sleep(SETTLE_TIME_MS);
            System.out.printf(
                    "| %d | %.1f |%n", connectionCount, ProcessUsage.of(pid).residentBytes() / MIB);
        }
        for (Socket socket : open) {
            socket.close();
        }
    }

    private static Socket connect(InetSocketAddress node) throws IOException {
        Socket socket = new Socket();
        socket.setSoTimeout(TIMEOUT_MS);
        socket.connect(node, TIMEOUT_MS);
        socket.getOutputStream()
                .write("GET /specdesk/doors/1 HTTP/1.1\r\nHost: node\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        awaitResponse(socket.getInputStream());
        return socket;
    }

    private static void awaitResponse(InputStream input) throws IOException {
        byte[] buffer = new byte[4_096];
        if (input.read(buffer) < 0) {
            throw new IOException("the node closed the connection without a response");
        }
    }
}
