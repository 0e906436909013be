package org.sequoianotch.daemon.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.util.AttributeKey;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.protocol.link.Transport;
import org.sequoianotch.time.Clock;

/**
 * Pool of HTTP/1.1 connections to a backend server.
 *
 * <p>Idle connections are kept open and reused by later calls.
 *
 * <p>This class is thread-safe.
 */
public final class BackendClient {
    /** A connection that was idle for longer is not reused, because the backend server may be about to close it. */
    static final double DEFAULT_MAX_IDLE_MS = 1_000;

    private static final AttributeKey<PeerCloseDetector> PEER_CLOSE =
            AttributeKey.valueOf(BackendClient.class, "PEER_CLOSE");

    private static final int WRITE_HIGH_WATER_BYTES = 65_536;
    private static final int WRITE_LOW_WATER_BYTES = 16_384;

    private final Bootstrap bootstrap;
    private final Clock clock;
    private final InetSocketAddress address;
    private final boolean acceptsCloseDelimitedBody;
    private final ArrayDeque<BackendConnection> idle = new ArrayDeque<>();
    private boolean closed;

    /**
     * Creates a client without connections that rejects responses whose body ends only with the connection.
     *
     * @param address address of the backend server; not null
     * @param eventLoops event loops that run the connections; not null
     * @param connectTimeoutMs connect timeout in milliseconds; positive
     * @param clock measures idle times; not null
     */
    public BackendClient(InetSocketAddress address, EventLoopGroup eventLoops, int connectTimeoutMs, Clock clock) {
        this(address, eventLoops, connectTimeoutMs, false, clock);
    }

    /**
     * Creates a client without connections.
     *
     * @param address address of the backend server; not null
     * @param eventLoops event loops that run the connections; not null
     * @param connectTimeoutMs connect timeout in milliseconds; positive
     * @param acceptsCloseDelimitedBody whether a response without Content-Length and chunked encoding counts as
     *     complete when the connection is closed without an error
     * @param clock measures idle times; not null
     */
    public BackendClient(
            InetSocketAddress address,
            EventLoopGroup eventLoops,
            int connectTimeoutMs,
            boolean acceptsCloseDelimitedBody,
            Clock clock) {
        this.address = address;
        this.acceptsCloseDelimitedBody = acceptsCloseDelimitedBody;
        this.clock = clock;
        this.bootstrap = Transport.clientBootstrap(eventLoops)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(WRITE_LOW_WATER_BYTES, WRITE_HIGH_WATER_BYTES))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        PeerCloseDetector peerClose = new PeerCloseDetector();
                        channel.attr(PEER_CLOSE).set(peerClose);
                        channel.pipeline().addLast(peerClose, new HttpClientCodec());
                    }
                });
    }

    /**
     * Takes an idle connection or opens a new one.
     *
     * @return the connection, or a {@link ErrorKind#NO_INSTANCE} failure, which proves that nothing was sent
     * @throws InterruptedException if the thread is interrupted while connecting
     */
    public Either<Failure, BackendConnection> connect() throws InterruptedException {
        BackendConnection idleConnection = takeIdleConnection();
        if (idleConnection != null) {
            return Either.right(idleConnection);
        }
        ChannelFuture future = bootstrap.connect(address).await();
        if (!future.isSuccess()) {
            return Either.left(Failure.of(
                    ErrorKind.NO_INSTANCE, "The backend server at " + address + " does not accept connections."));
        }
        return Either.right(createConnection(future.channel()));
    }

    private BackendConnection createConnection(Channel channel) {
        InboundQueue queue = new InboundQueue(channel);
        ChannelWriter writer = new ChannelWriter(channel);
        BackendConnection connection = new BackendConnection(this, channel, queue, writer, acceptsCloseDelimitedBody);
        // Kept as an attribute, because Netty empties the pipeline of a channel that is already closed.
        PeerCloseDetector peerClose =
                Objects.requireNonNull(channel.attr(PEER_CLOSE).get(), "PEER_CLOSE");
        channel.pipeline()
                .addFirst(connection.idleGuard())
                .addLast(new HttpPartDecoder(
                        queue, writer, () -> removeFromPool(connection), peerClose::isCut, clock::monotonicMs));
        if (!channel.isActive()) {
            queue.put(new HttpPart.Closed("the connection was closed immediately after it was opened"));
        }
        return connection;
    }

    private @Nullable BackendConnection takeIdleConnection() {
        synchronized (idle) {
            while (!idle.isEmpty()) {
                BackendConnection connection = idle.pollLast();
                double idleMs = clock.monotonicMs() - connection.idleSinceMs();
                // Data that arrived while no request was pending must not be read as the response to the next one.
                if (connection.isOpen() && connection.hasNoUnreadInput() && idleMs < connection.maxIdleMs()) {
                    connection.endIdle();
                    return connection;
                }
                connection.close();
            }
            return null;
        }
    }

    void returnToPool(BackendConnection connection) {
        double nowMs = clock.monotonicMs();
        synchronized (idle) {
            closeExpired(nowMs);
            if (!closed && connection.startIdle(nowMs)) {
                idle.addLast(connection);
                return;
            }
        }
        connection.close();
    }

    /** The connection that was used last is taken first, so that those that are not needed remain until they expire. */
    private void closeExpired(double nowMs) {
        while (!idle.isEmpty()
                && nowMs - idle.peekFirst().idleSinceMs() >= idle.peekFirst().maxIdleMs()) {
            idle.pollFirst().close();
        }
    }

    private void removeFromPool(BackendConnection connection) {
        synchronized (idle) {
            idle.remove(connection);
        }
    }

    /** Closes the idle connections. Connections in use are closed when they are released. */
    public void close() {
        synchronized (idle) {
            closed = true;
            idle.forEach(BackendConnection::close);
            idle.clear();
        }
    }
}
