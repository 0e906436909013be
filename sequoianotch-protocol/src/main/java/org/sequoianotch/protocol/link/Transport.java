package org.sequoianotch.protocol.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SelectStrategy;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.channel.epoll.EpollMode;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.sequoianotch.task.DeadlineWheel;

/**
 * Event loops and buffer allocator of the process, shared by everything that uses Netty.
 *
 * <p>On Linux the channels are those of epoll. They report readiness by level, because the other mode costs a further
 * system call for each message to learn that nothing is left to read. This class is thread-safe. Whoever creates it
 * closes it, after everything that uses it.
 */
public final class Transport implements AutoCloseable {
    private static final long CLOSE_TIMEOUT_MS = 2_000;

    /** Chunks of 512 KiB (page size shifted by 6) instead of 4 MiB hold any frame and keep a node small. */
    private static final int MAX_ORDER = 6;

    private static final int PAGE_BYTES = 8_192;

    private final EventLoopGroup eventLoops;
    private final ByteBufAllocator allocator;
    private final DeadlineWheel deadlines;
    private final LongAdder turns;

    /**
     * Creates a transport from existing parts.
     *
     * @param eventLoops NIO event loops, which {@link #close} shuts down; not null
     * @param allocator allocator of network buffers; not null
     */
    public Transport(EventLoopGroup eventLoops, ByteBufAllocator allocator) {
        this(eventLoops, allocator, new LongAdder());
    }

    private Transport(EventLoopGroup eventLoops, ByteBufAllocator allocator, LongAdder turns) {
        this.turns = turns;
        this.eventLoops = Objects.requireNonNull(eventLoops, "eventLoops");
        this.allocator = Objects.requireNonNull(allocator, "allocator");
        this.deadlines = new DeadlineWheel(eventLoops.next());
    }

    /**
     * Creates a transport with its own event loops and a pooled allocator with small arenas.
     *
     * @param threads number of event loop threads; positive
     * @return the transport, never null
     */
    public static Transport create(int threads) {
        LongAdder turns = new LongAdder();
        return new Transport(
                newEventLoops(threads, turns),
                new PooledByteBufAllocator(
                        true,
                        0,
                        threads,
                        PAGE_BYTES,
                        MAX_ORDER,
                        PooledByteBufAllocator.defaultSmallCacheSize(),
                        PooledByteBufAllocator.defaultNormalCacheSize(),
                        false),
                turns);
    }

    private static EventLoopGroup newEventLoops(int threads, LongAdder turns) {
        DefaultThreadFactory threadFactory = new DefaultThreadFactory("event-loop", true);
        return Epoll.isAvailable()
                ? new EpollEventLoopGroup(threads, threadFactory, () -> countTurns(turns))
                : new NioEventLoopGroup(threads, threadFactory);
    }

    /** The event loop asks its strategy once in each turn. */
    private static SelectStrategy countTurns(LongAdder turns) {
        SelectStrategy standard = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
        return (selectNow, hasTasks) -> {
            turns.increment();
            return standard.calculateStrategy(selectNow, hasTasks);
        };
    }

    /**
     * Prepares a listener on event loops.
     *
     * @param eventLoops the event loops; not null
     * @return a bootstrap with the group and the type of channel set, never null
     */
    public static ServerBootstrap listener(EventLoopGroup eventLoops) {
        ServerBootstrap bootstrap = new ServerBootstrap().group(eventLoops);
        if (!(eventLoops instanceof EpollEventLoopGroup)) {
            return bootstrap.channel(NioServerSocketChannel.class);
        }
        return bootstrap
                .channel(EpollServerSocketChannel.class)
                .option(EpollChannelOption.EPOLL_MODE, EpollMode.LEVEL_TRIGGERED)
                .childOption(EpollChannelOption.EPOLL_MODE, EpollMode.LEVEL_TRIGGERED);
    }

    /**
     * Prepares connections on event loops.
     *
     * @param eventLoops the event loops; not null
     * @return a bootstrap with the group and the type of channel set, never null
     */
    public static Bootstrap connection(EventLoopGroup eventLoops) {
        Bootstrap bootstrap = new Bootstrap().group(eventLoops);
        if (!(eventLoops instanceof EpollEventLoopGroup)) {
            return bootstrap.channel(NioSocketChannel.class);
        }
        return bootstrap
                .channel(EpollSocketChannel.class)
                .option(EpollChannelOption.EPOLL_MODE, EpollMode.LEVEL_TRIGGERED);
    }

    /**
     * Returns the type of datagram channels that event loops carry.
     *
     * @param eventLoops the event loops; not null
     * @return the type, never null
     */
    public static Class<? extends DatagramChannel> datagramType(EventLoopGroup eventLoops) {
        return eventLoops instanceof EpollEventLoopGroup ? EpollDatagramChannel.class : NioDatagramChannel.class;
    }

    /**
     * Returns the event loops.
     *
     * @return the event loops, never null
     */
    public EventLoopGroup eventLoops() {
        return eventLoops;
    }

    /**
     * Returns the turns of the event loops so far: each waits for events and handles what is ready.
     *
     * @return the count; zero where the event loops do not count
     */
    public long turns() {
        return turns.sum();
    }

    /**
     * Returns the wheel that runs actions on one of the event loops.
     *
     * @return the wheel, never null
     */
    public DeadlineWheel deadlines() {
        return deadlines;
    }

    /**
     * Returns the allocator of network buffers.
     *
     * @return the allocator, never null
     */
    public ByteBufAllocator allocator() {
        return allocator;
    }

    /** Shuts the event loops down and waits for them, 2 s at most. */
    @Override
    public void close() {
        eventLoops
                .shutdownGracefully(0, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_TIMEOUT_MS);
    }
}
