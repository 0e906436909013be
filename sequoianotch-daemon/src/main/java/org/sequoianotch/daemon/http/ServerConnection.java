package org.sequoianotch.daemon.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;

/**
 * An accepted connection, which reads requests one after the other and passes each to the handler.
 *
 * <p>One thread runs it. {@link #close}, {@link #checkStop}, {@link #onClose} and {@link #onClosed} may be called from
 * other threads.
 */
final class ServerConnection implements Runnable {
    private static final Logger LOG = LogManager.getLogger(ServerConnection.class);
    /**
     * Longest time for which unread input is discarded before the connection is closed. Closing it with unread input
     * would reset it, which can lose the response.
     */
    private static final long LINGER_MS = 2_000;

    /** Largest amount of unread input that is discarded before the connection is closed. */
    private static final long LINGER_BYTES = 1_048_576;

    private final Channel channel;
    private final HttpListener listener;
    private final ListenerOptions options;
    private final HttpHandler handler;
    private final InboundQueue queue;
    private final ChannelWriter writer;
    private final List<Runnable> closeActions = new ArrayList<>();
    private boolean closed;
    private volatile boolean closedByNode;
    private volatile boolean lingering;

    ServerConnection(Channel channel, HttpListener listener, ListenerOptions options, HttpHandler handler) {
        this.channel = channel;
        this.listener = listener;
        this.options = options;
        this.handler = handler;
        this.queue = new InboundQueue(channel);
        this.writer = new ChannelWriter(channel);
    }

    InboundQueue queue() {
        return queue;
    }

    ChannelWriter writer() {
        return writer;
    }

    /** Returns whether the last response was sent and the connection only waits for the peer to close it. */
    boolean isLingering() {
        return lingering;
    }

    /** Returns whether the next response must announce the end of the connection. */
    boolean isDraining() {
        return listener.isDraining();
    }

    Channel channel() {
        return channel;
    }

    @Override
    public void run() {
        try {
            boolean open = true;
            while (open) {
                open = serveOne();
            }
            if (!lingering) {
                awaitFlush();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            LOG.error("[http] A request on the {} listener failed with an internal error.", options.name(), e);
        } finally {
            channel.close();
            listener.onConnectionClosed(this);
        }
    }

    private boolean serveOne() throws InterruptedException {
        // A request that has arrived is served even while the listener stops; only a connection without one is closed.
        Optional<HttpPart> part = queue.takeUnless(this::mayStop, options.idleTimeoutMs());
        if (part.isEmpty()) {
            return false;
        }
        return switch (part.get()) {
            case HttpPart.RequestHead head -> serve(head);
            case HttpPart.Malformed malformed -> rejectMalformed(malformed.reason());
            case HttpPart.Closed closedPart -> false;
            default -> rejectMalformed("the message has a body but no request line");
        };
    }

    private boolean mayStop() {
        return listener.isStopping() && (listener.dropsPartialHeads() || !queue.hasPartialMessage());
    }

    private boolean serve(HttpPart.RequestHead head) throws InterruptedException {
        HttpExchange exchange = new HttpExchange(this, head, options.idleTimeoutMs());
        clearCloseActions();
        try {
            handler.handle(exchange);
        } catch (RuntimeException e) {
            LOG.error("[http] A request on the {} listener failed with an internal error.", options.name(), e);
        }
        clearCloseActions();
        if (!exchange.isFinished()) {
            endUnfinished(exchange);
        }
        if (!exchange.isReusable()) {
            closeAfterLinger();
            return false;
        }
        return true;
    }

    /** Responds for a handler that failed or did not respond, as long as nothing of a response was sent. */
    private static void endUnfinished(HttpExchange exchange) throws InterruptedException {
        if (exchange.isHeadSent()) {
            exchange.abort();
        } else {
            exchange.respond(ProblemResponse.of(Failure.of(
                    ErrorKind.INTERNAL,
                    "The handler did not respond to " + exchange.method() + " " + exchange.uri() + ".")));
        }
    }

    private boolean rejectMalformed(String reason) throws InterruptedException {
        LOG.info("[http] Refused a malformed request on the {} listener: {}.", options.name(), reason);
        HttpExchange exchange = new HttpExchange(this, HttpExchange.MALFORMED_HEAD, options.idleTimeoutMs());
        exchange.respond(ProblemResponse.of(Failure.of(ErrorKind.BAD_REQUEST, reason)));
        closeAfterLinger();
        return false;
    }

    private void closeAfterLinger() throws InterruptedException {
        awaitFlush();
        lingering = true;
        if (channel instanceof DuplexChannel duplex && channel.isActive()) {
            duplex.shutdownOutput().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
            discardInput();
        }
        channel.close();
    }

    /** Waits until the responses are sent, because a shutdown or close of the channel discards what is not. */
    private void awaitFlush() throws InterruptedException {
        if (channel.isActive() && !writer.awaitFlush(HttpExchange.WRITE_TIMEOUT_MS) && channel.isActive()) {
            LOG.warn(
                    "[http] The caller {} on the {} listener did not read its whole response within {} ms;"
                            + " closing the connection.",
                    channel.remoteAddress(),
                    options.name(),
                    HttpExchange.WRITE_TIMEOUT_MS);
        }
    }

    private void discardInput() throws InterruptedException {
        long endNs = System.nanoTime() + LINGER_MS * 1_000_000;
        long discardedBytes = 0;
        while (System.nanoTime() < endNs && discardedBytes < LINGER_BYTES) {
            Optional<HttpPart> part = queue.take(LINGER_MS);
            if (part.isEmpty() || part.get() instanceof HttpPart.Closed || part.get() instanceof HttpPart.Malformed) {
                return;
            }
            if (part.get() instanceof HttpPart.End) {
                return;
            }
            discardedBytes += part.get().sizeBytes();
        }
    }

    /** Makes the connection check whether it has to end because its listener stops. */
    void checkStop() {
        queue.wake();
    }

    /** Marks the queue as soon as bytes of a message arrive; the decoder reports a message only once its head ends. */
    ChannelInboundHandler partialMessageMarker() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                queue.setPartialMessage(true);
                context.fireChannelRead(message);
            }
        };
    }

    void close() {
        closedByNode = true;
        channel.close();
    }

    boolean isClosedByNode() {
        return closedByNode;
    }

    /** Runs an action once when the peer closes the connection, or immediately if it is already closed. */
    void onClose(Runnable action) {
        boolean runNow;
        synchronized (closeActions) {
            runNow = closed;
            if (!closed) {
                closeActions.add(action);
            }
        }
        if (runNow) {
            action.run();
        }
    }

    private void clearCloseActions() {
        synchronized (closeActions) {
            closeActions.clear();
        }
    }

    void onClosed() {
        List<Runnable> actions;
        synchronized (closeActions) {
            closed = true;
            actions = List.copyOf(closeActions);
            closeActions.clear();
        }
        actions.forEach(Runnable::run);
    }
}
