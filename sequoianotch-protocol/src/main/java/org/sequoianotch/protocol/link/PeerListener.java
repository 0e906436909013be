package org.sequoianotch.protocol.link;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.ssl.SslContext;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;
import org.sequoianotch.protocol.FrameFormatException;
import org.sequoianotch.protocol.Topic;
import org.sequoianotch.task.TaskThreads;
import org.sequoianotch.time.Clock;

/**
 * Accepts links from other nodes and serves the calls and peer requests on them, each on a virtual thread.
 *
 * <p>Register the handlers of peer requests with {@link #register}, then call {@link #start}.
 *
 * <p>This class is thread-safe.
 */
public final class PeerListener implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(PeerListener.class);
    private static final int BACKLOG = 1_024;

    private final LinkContext context;
    private final @Nullable SslContext tls;
    private final CallHandler callHandler;
    private final Map<Topic, PeerRequestHandler> requestHandlers = new ConcurrentHashMap<>();
    private final Set<AcceptedLink> links = ConcurrentHashMap.newKeySet();
    private volatile @Nullable Channel serverChannel;
    private volatile @Nullable String goAwayReason;
    private volatile boolean closed;

    /**
     * Creates a listener without binding it.
     *
     * @param options options of the links; not null
     * @param transport event loops and allocator, which {@link #close} leaves open; not null
     * @param clock source of time; not null
     * @param counters counters of links and frames; not null
     * @param callHandler serves the calls; not null
     * @throws IllegalArgumentException if the TLS files cannot be used
     */
    public PeerListener(
            LinkOptions options, Transport transport, Clock clock, LinkCounters counters, CallHandler callHandler) {
        context = new LinkContext(options, transport, clock, counters);
        tls = options.tls().map(TlsOptions::serverContext).orElse(null);
        this.callHandler = Objects.requireNonNull(callHandler, "callHandler");
    }

    /**
     * Registers the handler of a topic and replaces an earlier one.
     *
     * @param topic the topic; not null
     * @param handler handles the requests of the topic; not null
     */
    public void register(Topic topic, PeerRequestHandler handler) {
        requestHandlers.put(topic, handler);
    }

    /**
     * Binds the listener and accepts links.
     *
     * @param address IP address and port; port 0 selects a free port; not null
     * @return the bound address, or the failure
     */
    public Either<Failure, InetSocketAddress> start(String address) {
        return PeerAddress.parse(address)
                .flatMap(this::bind)
                .mapLeft(detail -> Failure.of(
                        ErrorKind.INTERNAL, "The peer listener cannot bind to " + address + ": " + detail + "."));
    }

    /**
     * Notifies all connected peers, and those that connect later, that this node accepts no new calls. New calls are
     * refused as {@code draining}; open calls finish.
     *
     * @param reason the reason, for logs and errors; not null
     */
    public void goAway(String reason) {
        goAwayReason = reason;
        links.forEach(link -> link.goAway(reason));
    }

    /**
     * Returns the number of open calls on accepted links.
     *
     * @return the number; not negative
     */
    public int openCalls() {
        return links.stream().mapToInt(AcceptedLink::openCalls).sum();
    }

    /**
     * Stops listening, closes all accepted links in parallel after their pending frames are sent, and waits at most 2 s
     * for each of them. Calls that are still open are lost; for a planned stop, call {@link #goAway} first and wait
     * until {@link #openCalls} is zero.
     */
    @Override
    public void close() {
        closed = true;
        Channel server = serverChannel;
        if (server != null) {
            server.close().awaitUninterruptibly();
        }
        List<AcceptedLink> open = List.copyOf(links);
        open.forEach(link -> link.closeAfterFlush("this node closes its links"));
        open.forEach(AcceptedLink::awaitClose);
    }

    CallHandler callHandler() {
        return callHandler;
    }

    @Nullable
    PeerRequestHandler requestHandler(Topic topic) {
        return requestHandlers.get(topic);
    }

    @Nullable
    String goAwayReason() {
        return goAwayReason;
    }

    private Either<String, InetSocketAddress> bind(InetSocketAddress address) {
        ChannelFuture bound = Transport.serverBootstrap(context.transport().eventLoops())
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, context.transport().allocator())
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accept(channel);
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            return Either.left(String.valueOf(bound.cause().getMessage()));
        }
        serverChannel = bound.channel();
        return Either.right((InetSocketAddress) bound.channel().localAddress());
    }

    private void accept(SocketChannel channel) {
        FrameChannel frames =
                FrameChannel.install(channel, tls, context.options().connectTimeoutMs(), context);
        TaskThreads.start("link", () -> serve(frames));
    }

    /** Runs on the thread of the link until the link ends. */
    private void serve(FrameChannel frames) {
        Either<String, HostId> peer;
        try {
            peer = new Handshake(frames, context.options()).accept();
        } catch (FrameFormatException e) {
            peer = Either.left(e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            peer = Either.left("interrupted");
        }
        if (peer.isLeft()) {
            context.counters().countRefusedHandshake();
            LOG.warn("[peer] Refused the peer at {}: {}", frames.remoteAddress(), peer.getLeft());
            frames.close("the handshake failed");
            return;
        }
        AcceptedLink link = new AcceptedLink(frames, peer.get(), context, this);
        links.add(link);
        try {
            LOG.info("[peer] Host {} opened a link from {}", peer.get(), frames.remoteAddress());
            applyShutdownState(link);
            link.run(false);
        } finally {
            links.remove(link);
        }
    }

    /** Covers links that were added while {@link #goAway} or {@link #close} ran. */
    private void applyShutdownState(AcceptedLink link) {
        String reason = goAwayReason;
        if (reason != null) {
            link.goAway(reason);
        }
        if (closed) {
            link.close("this node closes its links");
        }
    }
}
