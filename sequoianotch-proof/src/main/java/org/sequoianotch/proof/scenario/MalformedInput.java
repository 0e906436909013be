package org.sequoianotch.proof.scenario;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Random;

/**
 * Sends bytes to a node that violate the protocol of the listener.
 *
 * <p>This class is stateless.
 */
final class MalformedInput {
    private static final int TIMEOUT_MS = 5_000;
    private static final int RANDOM_BYTES = 4_096;
    private static final long SEED = 20261204;

    private MalformedInput() {}

    /** Sends one kind of malformed input to a host and waits until the node has closed the connection. */
    static void send(Deployment deployment, String host, String kind) throws IOException {
        switch (kind) {
            case "random-to-peer" -> sendBytes(deployment.peerAddress(host), randomBytes());
            case "huge-frame-to-peer" -> sendBytes(
                    deployment.peerAddress(host), new byte[] {0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 0});
            case "random-to-caller" -> sendBytes(deployment.callerAddress(host), randomBytes());
            case "malformed-http" -> sendBytes(deployment.callerAddress(host), latin1Bytes("GET\r\n\r\n"));
            case "huge-header" -> sendBytes(
                    deployment.callerAddress(host),
                    latin1Bytes("GET /specdesk/ HTTP/1.1\r\nX: " + "x".repeat(100_000) + "\r\n\r\n"));
            case "cut-body" -> sendBytes(
                    deployment.callerAddress(host),
                    latin1Bytes("PUT /sitephotos/photos/1 HTTP/1.1\r\nContent-Length: 1000\r\n\r\nhalf"));
            default -> throw new IllegalArgumentException("unknown kind of malformed input \"" + kind
                    + "\"; expected random-to-peer, huge-frame-to-peer, random-to-caller, malformed-http, huge-header"
                    + " or cut-body");
        }
    }

    private static byte[] latin1Bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] randomBytes() {
        byte[] bytes = new byte[RANDOM_BYTES];
        new Random(SEED).nextBytes(bytes);
        return bytes;
    }

    private static void sendBytes(InetSocketAddress address, byte[] bytes) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address, TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write(bytes);
            socket.shutdownOutput();
            socket.getInputStream().readAllBytes();
        } catch (SocketException e) {
            // The node may reset the connection before it has read all bytes, which is a correct reaction.
        }
    }
}
