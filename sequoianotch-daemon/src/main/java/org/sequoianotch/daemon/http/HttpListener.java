package org.sequoianotch.daemon.http;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoianotch.protocol.link.Transport;
import org.sequoianotch.task.TaskThreads;

/**
 * HTTP/1.1 listener that serves each connection on its own virtual thread.
 *
 * <p>This class is thread-safe.
 */
public final class HttpListener {
    private static final Logger LOG = LogManager.getLogger(HttpListener.class);
    private static final int MAX_INITIAL_LINE_BYTES = 8_192;
    private static final int MAX_CHUNK_BYTES = 16_384;
    private static final int WRITE_HIGH_WATER_BYTES = 65_536;
    private static final int WRITE_LOW_WATER_BYTES = 16_384;
    private static final long STOP_POLL_MS = 10;
    /** Callers that ignore the drain may go on connecting, so that the wait for the last connection must end. */
    private static final long MAX_ACCEPT_WAIT_MS = 500;

    /** A caller that has begun to send a head sends its rest within a round trip, unless it is gone. */
    private static final long PARTIAL_HEAD_WAIT_MS = 1_000;

    /** A burst of callers opens many connections before they are accepted. A full queue delays them by seconds. */
    private static final int ACCEPT_BACKLOG = 1_024;

    private final ListenerOptions options;
    private final HttpHandler handler;
    private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();
    private final Channel serverChannel;
    /** Number of accepted connections. Written on the event loop only. */
    private volatile int accepts;

    private volatile boolean draining;
    private volatile boolean stopping;
    private volatile boolean dropsPartialHeads;

    private HttpListener(ListenerOptions options, EventLoopGroup eventLoops, HttpHandler handler)
            throws InterruptedException {
        this.options = options;
        this.handler = handler;
        ServerBootstrap bootstrap = Transport.serverBootstrap(eventLoops)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(WRITE_LOW_WATER_BYTES, WRITE_HIGH_WATER_BYTES))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accept(channel);
                    }
                });
        serverChannel = bootstrap.bind(options.address()).sync().channel();
    }

    /**
     * Binds a listener.
     *
     * @param options the options; not null
     * @param eventLoops event loops that run the connections; not null
     * @param handler serves the requests; not null
     * @return the listener, never null
     * @throws InterruptedException if the thread is interrupted while binding
     */
    public static HttpListener bind(ListenerOptions options, EventLoopGroup eventLoops, HttpHandler handler)
            throws InterruptedException {
        return new HttpListener(options, eventLoops, handler);
    }

    /**
     * Returns the address that the listener is bound to.
     *
     * @return the address with the port that was assigned, never null
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) serverChannel.localAddress();
    }

    /**
     * Announces on each response from now on that its connection will be closed, so that callers leave before the
     * listener stops. Requests and new connections are still served.
     */
    public void drain() {
        draining = true;
    }

    /**
     * Stops accepting connections, waits for requests in flight and closes all connections. Connections that wait to be
     * accepted and requests that have arrived are served.
     *
     * @param timeoutMs longest wait for requests in flight, in milliseconds
     * @return true if all requests finished in time
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public boolean stop(long timeoutMs) throws InterruptedException {
        draining = true;
        long startNs = System.nanoTime();
        long deadlineNs = startNs + MILLISECONDS.toNanos(timeoutMs);
        awaitAccepts(Math.min(timeoutMs / 2, MAX_ACCEPT_WAIT_MS));
        serverChannel.close().sync();
        stopping = true;
        connections.forEach(ServerConnection::checkStop);
        while (isServing() && System.nanoTime() < deadlineNs) {
            TaskThreads.sleep(STOP_POLL_MS);
            if (!dropsPartialHeads && System.nanoTime() - startNs > MILLISECONDS.toNanos(PARTIAL_HEAD_WAIT_MS)) {
                dropsPartialHeads = true;
                connections.forEach(ServerConnection::checkStop);
            }
        }
        boolean finished = !isServing();
        connections.forEach(ServerConnection::close);
        return finished;
    }

    /** Waits until no connection was accepted for a while, because closing the socket resets those that still wait. */
    private void awaitAccepts(long maxMs) throws InterruptedException {
        long endNs = System.nanoTime() + MILLISECONDS.toNanos(maxMs);
        long seenAccepts;
        do {
            seenAccepts = accepts;
            // Two passes of the event loop: a pass that is under way may have looked for new connections before.
            for (int pass = 0; pass < 2; pass++) {
                serverChannel.eventLoop().submit(() -> {}).await(maxMs);
                TaskThreads.sleep(STOP_POLL_MS);
            }
        } while (accepts != seenAccepts && System.nanoTime() < endNs);
    }

    private boolean isServing() {
        return !connections.stream().allMatch(ServerConnection::isLingering);
    }

    boolean isDraining() {
        return draining;
    }

    boolean isStopping() {
        return stopping;
    }

    boolean dropsPartialHeads() {
        return dropsPartialHeads;
    }

    void onConnectionClosed(ServerConnection connection) {
        connections.remove(connection);
    }

    private void accept(SocketChannel channel) {
        accepts++;
        if (connections.size() >= options.maxConnections()) {
            LOG.warn(
                    "[http] Closed a connection to the {} listener: {} connections are open, and the limit is {}.",
                    options.name(),
                    connections.size(),
                    options.maxConnections());
            channel.close();
            return;
        }
        ServerConnection connection = new ServerConnection(channel, this, options, handler);
        connections.add(connection);
        channel.pipeline()
                .addLast(connection.partialMessageMarker())
                .addLast(new HttpServerCodec(MAX_INITIAL_LINE_BYTES, options.maxHeaderBytes(), MAX_CHUNK_BYTES))
                .addLast(new HttpPartDecoder(connection.queue(), connection.writer(), connection::onClosed));
        TaskThreads.start(options.name(), connection);
    }
}
