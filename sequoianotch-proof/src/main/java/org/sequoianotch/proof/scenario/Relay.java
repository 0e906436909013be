package org.sequoianotch.proof.scenario;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.sequoianotch.protocol.Frame;
import org.sequoianotch.protocol.FrameCodec;
import org.sequoianotch.protocol.FrameFormatException;

/**
 * TCP and UDP proxy in front of the peer listener of one host, with which a scenario cuts connections between hosts.
 *
 * <p>The sender of a connection is known from its first frame, {@code Hello}. The sender of a datagram is known from
 * its source address, because a node sends from the socket of its peer listener. In a blocked direction, bytes of a TCP
 * connection are held back until it is unblocked, and datagrams are dropped.
 *
 * <p>This class is thread-safe.
 */
final class Relay implements AutoCloseable {
    private static final int CHUNK_BYTES = 16_384;
    private static final int MAX_DATAGRAM_BYTES = 2_048;
    private static final int MAX_HELLO_BYTES = 4_096;
    private static final int CONNECT_TIMEOUT_MS = 2_000;

    private final String host;
    private final InetSocketAddress target;
    private final BlockedDirections blocked;
    private final Function<InetSocketAddress, String> hostOfSource;
    private final ServerSocket server;
    private final DatagramSocket datagrams;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

    /**
     * Opens the relay in front of a host.
     *
     * @param host name of the host; not null
     * @param listen address of the relay; not null
     * @param target address of the host's peer listener; not null
     * @param blocked blocked directions; not null
     * @param hostOfSource returns the host that sends datagrams from an address; not null
     * @throws IOException if the address cannot be bound
     */
    Relay(
            String host,
            InetSocketAddress listen,
            InetSocketAddress target,
            BlockedDirections blocked,
            Function<InetSocketAddress, String> hostOfSource)
            throws IOException {
        this.host = host;
        this.target = target;
        this.blocked = blocked;
        this.hostOfSource = hostOfSource;
        server = new ServerSocket();
        server.bind(listen);
        datagrams = new DatagramSocket(listen);
        Thread.ofPlatform().daemon().name("relay-tcp-" + host).start(this::accept);
        Thread.ofPlatform().daemon().name("relay-udp-" + host).start(this::forwardDatagrams);
    }

    /** Discards all further bytes of the open connections with another host; later connections are not affected. */
    void silence(String peer) {
        connections.stream()
                .filter(connection -> connection.peer.equals(peer))
                .forEach(connection -> connection.silent = true);
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                Thread.ofVirtual().name("relay-" + host).start(() -> relayConnection(socket));
            }
        } catch (IOException e) {
            // The relay was closed, which ends this thread.
        }
    }

    private void forwardDatagrams() {
        byte[] bytes = new byte[MAX_DATAGRAM_BYTES];
        while (!datagrams.isClosed()) {
            DatagramPacket packet = new DatagramPacket(bytes, bytes.length);
            try {
                datagrams.receive(packet);
                String from = hostOfSource.apply((InetSocketAddress) packet.getSocketAddress());
                if (blocked.isOpen(from, host)) {
                    datagrams.send(new DatagramPacket(packet.getData(), packet.getLength(), target));
                }
            } catch (IOException e) {
                // The relay was closed, or the host is down and the datagram is lost, as without a relay.
            }
        }
    }

    private void relayConnection(Socket fromPeer) {
        try (fromPeer;
                Socket toHost = new Socket()) {
            fromPeer.setTcpNoDelay(true);
            toHost.setTcpNoDelay(true);
            byte[] hello = readHello(fromPeer.getInputStream());
            Connection connection = new Connection(senderOf(hello), fromPeer, toHost);
            connections.add(connection);
            try {
                blocked.awaitOpen(connection.peer, host);
                toHost.connect(target, CONNECT_TIMEOUT_MS);
                toHost.getOutputStream().write(hello);
                Thread back = Thread.ofVirtual()
                        .name("relay-back-" + host)
                        .start(() -> connection.copyBytes(toHost, fromPeer, host, connection.peer));
                connection.copyBytes(fromPeer, toHost, connection.peer, host);
                back.join();
            } finally {
                connections.remove(connection);
            }
        } catch (IOException | FrameFormatException e) {
            // Both sides observe a closed connection, as without a relay.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static byte[] readHello(InputStream stream) throws IOException {
        DataInputStream in = new DataInputStream(stream);
        int length = in.readInt();
        if (length < 1 || length > MAX_HELLO_BYTES) {
            throw new IOException(
                    "the first frame has " + length + " bytes, but a Hello frame has from 1 to " + MAX_HELLO_BYTES);
        }
        byte[] frame = new byte[FrameCodec.PREFIX_BYTES + length];
        ByteBuffer.wrap(frame).putInt(length);
        in.readFully(frame, FrameCodec.PREFIX_BYTES, length);
        return frame;
    }

    private static String senderOf(byte[] hello) throws IOException, FrameFormatException {
        byte[] frame = new byte[hello.length - FrameCodec.PREFIX_BYTES];
        System.arraycopy(hello, FrameCodec.PREFIX_BYTES, frame, 0, frame.length);
        if (FrameCodec.decode(frame) instanceof Frame.Hello first) {
            return first.host().name();
        }
        throw new IOException("the first frame is not a Hello frame");
    }

    @Override
    public void close() {
        try {
            server.close();
            datagrams.close();
            for (Connection connection : connections) {
                connection.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** A connection through the relay. */
    private final class Connection {
        private final String peer;
        private final Socket fromPeer;
        private final Socket toHost;
        private volatile boolean silent;

        private Connection(String peer, Socket fromPeer, Socket toHost) {
            this.peer = peer;
            this.fromPeer = fromPeer;
            this.toHost = toHost;
        }

        /** Copies the bytes of one direction until its end; the bytes of a silent connection are discarded. */
        private void copyBytes(Socket source, Socket sink, String from, String to) {
            byte[] chunk = new byte[CHUNK_BYTES];
            try {
                InputStream in = source.getInputStream();
                OutputStream out = sink.getOutputStream();
                int count = in.read(chunk);
                while (count >= 0) {
                    blocked.awaitOpen(from, to);
                    if (!silent) {
                        out.write(chunk, 0, count);
                    }
                    count = in.read(chunk);
                }
                // The end of the connection is not passed on through a blocked direction or a silent connection either.
                blocked.awaitOpen(from, to);
            } catch (IOException e) {
                // A reset by one side is passed on by closing both sockets.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            if (!silent) {
                close();
            }
        }

        private void close() {
            closeQuietly(fromPeer);
            closeQuietly(toHost);
        }

        private void closeQuietly(Socket socket) {
            try {
                socket.close();
            } catch (IOException e) {
                // The socket is already broken, so there is nothing to release.
            }
        }
    }
}
