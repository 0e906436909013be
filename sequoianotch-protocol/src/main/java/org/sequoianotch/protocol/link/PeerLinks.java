package org.sequoianotch.protocol.link;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.ssl.SslContext;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;
import org.sequoianotch.protocol.CallHeader;
import org.sequoianotch.protocol.FrameFormatException;
import org.sequoianotch.protocol.Topic;
import org.sequoianotch.task.Promise;
import org.sequoianotch.task.TaskThreads;
import org.sequoianotch.time.Clock;

/**
 * Links of this node to other nodes, one for each peer address.
 *
 * <p>A link is opened on first use and shared by all calls and requests. A link that has ended is replaced on the next
 * use.
 *
 * <p>This class is thread-safe.
 */
public final class PeerLinks implements PeerNetwork {
    private static final Logger LOG = LogManager.getLogger(PeerLinks.class);

    private final LinkContext context;
    private final @Nullable SslContext tls;
    private final Map<String, Promise<Either<Failure, OutgoingLink>>> links = new ConcurrentHashMap<>();
    private volatile @Nullable PeerListener listener;
    private volatile boolean closed;

    /**
     * Creates an instance without opening a link.
     *
     * @param options options of the links; not null
     * @param transport event loops and allocator, which {@link #close} leaves open; not null
     * @param clock source of time; not null
     * @param counters counters of links and frames; not null
     * @throws IllegalArgumentException if the TLS files cannot be used
     */
    public PeerLinks(LinkOptions options, Transport transport, Clock clock, LinkCounters counters) {
        context = new LinkContext(options, transport, clock, counters);
        tls = options.tls().map(TlsOptions::clientContext).orElse(null);
    }

    /**
     * Sets the listener whose accepted links {@link #goAway} also notifies.
     *
     * @param newListener the listener of this node; not null
     */
    public void attach(PeerListener newListener) {
        listener = newListener;
    }

    @Override
    public Either<Failure, PeerCall> open(String peerAddress, CallHeader header) {
        return withLink(peerAddress, header.timeLeftMs(), link -> link.open(header));
    }

    @Override
    public Either<Failure, byte[]> request(String peerAddress, Topic topic, byte[] payload, long timeoutMs) {
        double startMs = context.clock().monotonicMs();
        return withLink(peerAddress, timeoutMs, link -> {
            long leftMs = timeoutMs - (long) (context.clock().monotonicMs() - startMs);
            return link.request(topic, payload, Math.max(1, leftMs));
        });
    }

    /** Runs an action on the link of an address; retries on a new link if the link was retired, as nothing was sent. */
    private <T> Either<Failure, T> withLink(
            String address, long timeoutMs, Function<OutgoingLink, Either<Failure, T>> use) {
        while (true) {
            Either<Failure, OutgoingLink> link = obtainLink(address, timeoutMs);
            if (link.isLeft()) {
                return Either.left(link.getLeft());
            }
            Either<Failure, T> result = use.apply(link.get());
            if (result.isRight() || !link.get().isRetired()) {
                return result;
            }
        }
    }

    /**
     * Closes the links that are idle. Without it, a node that once sent a request to all other nodes would keep sending
     * heartbeats to all of them.
     *
     * @param idleMs time without new calls and requests after which a link is closed, in milliseconds; positive
     * @return the number of links closed
     */
    public int closeIdleLinks(long idleMs) {
        return (int)
                openLinks().stream().filter(link -> link.retireIfIdle(idleMs)).count();
    }

    @Override
    public void goAway(String reason) {
        openLinks().forEach(link -> link.goAway(reason));
        PeerListener attached = listener;
        if (attached != null) {
            attached.goAway(reason);
        }
    }

    @Override
    public void close() {
        closed = true;
        openLinks().forEach(link -> link.close("this node closes its links"));
    }

    private List<OutgoingLink> openLinks() {
        return links.values().stream()
                .flatMap(opened -> opened.get().stream())
                .filter(Either::isRight)
                .map(Either::get)
                .toList();
    }

    private Either<Failure, OutgoingLink> obtainLink(String address, long timeoutMs) {
        while (!closed) {
            Promise<Either<Failure, OutgoingLink>> opened = links.get(address);
            if (opened == null) {
                Promise<Either<Failure, OutgoingLink>> created = new Promise<>();
                opened = links.putIfAbsent(address, created);
                if (opened == null) {
                    opened = created;
                    TaskThreads.start("link-" + address, () -> connectAndRun(address, created));
                }
            }
            Either<Failure, OutgoingLink> link = await(address, opened, timeoutMs);
            if (link.isLeft() || !link.get().isClosed() && !link.get().isRetired()) {
                return link;
            }
            links.remove(address, opened);
        }
        return Either.left(Failure.of(ErrorKind.NO_INSTANCE, "This node has closed its links."));
    }

    private static Either<Failure, OutgoingLink> await(
            String address, Promise<Either<Failure, OutgoingLink>> opened, long timeoutMs) {
        try {
            return opened.await(timeoutMs)
                    .orElseGet(() -> Either.left(Failure.of(
                            ErrorKind.DEADLINE_BEFORE_RUN,
                            "The link with " + address + " was not opened within " + timeoutMs + " ms.")));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(
                    Failure.of(ErrorKind.NO_INSTANCE, "Interrupted while waiting for a link with " + address + "."));
        }
    }

    /** Runs on the thread of the link until the link ends. */
    private void connectAndRun(String address, Promise<Either<Failure, OutgoingLink>> opened) {
        Either<String, OutgoingLink> result;
        try {
            result = PeerAddress.parse(address).flatMap(this::connect);
        } catch (RuntimeException e) {
            LOG.error("[peer] Connecting to {} failed with an internal error", address, e);
            result = Either.left("internal error " + e);
        }
        if (result.isLeft()) {
            links.remove(address, opened);
            opened.set(Either.left(Failure.of(
                    ErrorKind.NO_INSTANCE,
                    "The link with " + address + " cannot be opened: " + result.getLeft() + ".")));
            return;
        }
        OutgoingLink link = result.get();
        LOG.info("[peer] Link with {} at {} is open", link.peer(), address);
        opened.set(Either.right(link));
        if (closed) {
            link.close("this node closes its links");
        }
        try {
            link.run(true);
        } finally {
            links.remove(address, opened);
        }
    }

    private Either<String, OutgoingLink> connect(InetSocketAddress address) {
        AtomicReference<@Nullable FrameChannel> installed = new AtomicReference<>();
        LinkOptions options = context.options();
        ChannelFuture connected = Transport.clientBootstrap(context.transport().eventLoops())
                .option(ChannelOption.ALLOCATOR, context.transport().allocator())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, options.connectTimeoutMs())
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        installed.set(FrameChannel.install(channel, tls, options.connectTimeoutMs(), context));
                    }
                })
                .connect(address)
                .awaitUninterruptibly();
        FrameChannel frames = installed.get();
        if (!connected.isSuccess() || frames == null) {
            connected.channel().close();
            return Either.left(String.valueOf(connected.cause()));
        }
        return performHandshake(frames).map(peer -> new OutgoingLink(frames, peer, context));
    }

    private Either<String, HostId> performHandshake(FrameChannel frames) {
        Either<String, HostId> result;
        try {
            result = new Handshake(frames, context.options()).connect();
        } catch (FrameFormatException e) {
            result = Either.left(e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            result = Either.left("interrupted");
        }
        if (result.isLeft()) {
            context.counters().countRefusedHandshake();
            LOG.warn("[peer] Refused the peer at {}: {}", frames.remoteAddress(), result.getLeft());
            frames.close("the handshake failed");
        }
        return result;
    }
}
