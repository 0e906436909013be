package org.sequoianotch.protocol.link;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Event loops and buffer allocator of the process, shared by everything that uses Netty.
 *
 * <p>This class is thread-safe. Whoever creates it closes it, after everything that uses it.
 */
public final class Transport implements AutoCloseable {
    private static final long CLOSE_TIMEOUT_MS = 2_000;

    /** Chunks of 512 KiB (page size shifted by 6) instead of 4 MiB hold any frame and keep a node small. */
    private static final int MAX_ORDER = 6;

    private static final int PAGE_BYTES = 8_192;

    private final EventLoopGroup eventLoops;
    private final ByteBufAllocator allocator;

    /**
     * Creates a transport from existing parts.
     *
     * @param eventLoops NIO event loops, which {@link #close} shuts down; not null
     * @param allocator allocator of network buffers; not null
     */
    public Transport(EventLoopGroup eventLoops, ByteBufAllocator allocator) {
        this.eventLoops = Objects.requireNonNull(eventLoops, "eventLoops");
        this.allocator = Objects.requireNonNull(allocator, "allocator");
    }

    /**
     * Creates a transport with its own event loops and a pooled allocator with small arenas.
     *
     * @param threads number of event loop threads; positive
     * @return the transport, never null
     */
    public static Transport create(int threads) {
        return new Transport(
                new NioEventLoopGroup(threads, new DefaultThreadFactory("event-loop", true)),
                new PooledByteBufAllocator(
                        true,
                        0,
                        threads,
                        PAGE_BYTES,
                        MAX_ORDER,
                        PooledByteBufAllocator.defaultSmallCacheSize(),
                        PooledByteBufAllocator.defaultNormalCacheSize(),
                        false));
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
