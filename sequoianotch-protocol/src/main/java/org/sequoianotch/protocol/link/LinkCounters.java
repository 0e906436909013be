package org.sequoianotch.protocol.link;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counters of the links of one node, for metrics.
 *
 * <p>All counts start at zero and never decrease.
 *
 * <p>This class is thread-safe.
 */
public final class LinkCounters {
    private final LongAdder opened = new LongAdder();
    private final LongAdder lost = new LongAdder();
    private final LongAdder silent = new LongAdder();
    private final LongAdder refusedHandshakes = new LongAdder();
    private final LongAdder malformedFrames = new LongAdder();
    private final LongAdder unknownCallFrames = new LongAdder();
    private final LongAdder bytesSent = new LongAdder();
    private final LongAdder bytesReceived = new LongAdder();
    private final LongAdder heartbeatBytes = new LongAdder();
    private final LongAdder framesSent = new LongAdder();
    private final LongAdder framesReceived = new LongAdder();
    private final LongAdder flushes = new LongAdder();

    /** Creates counters at zero. */
    public LinkCounters() {}

    /**
     * Returns the number of links that completed the handshake, on either side.
     *
     * @return the count
     */
    public long opened() {
        return opened.sum();
    }

    /**
     * Returns the number of links that ended after the handshake, other than those closed by this node.
     *
     * @return the count
     */
    public long lost() {
        return lost.sum();
    }

    /**
     * Returns the number of links closed after the silence timeout. They also count as lost.
     *
     * @return the count
     */
    public long silent() {
        return silent.sum();
    }

    /**
     * Returns the number of connections that failed the handshake, on either side.
     *
     * @return the count
     */
    public long refusedHandshakes() {
        return refusedHandshakes.sum();
    }

    /**
     * Returns the number of frames that were malformed or violated the protocol. Each of them closes its connection.
     *
     * @return the count
     */
    public long malformedFrames() {
        return malformedFrames.sum();
    }

    /**
     * Returns the number of frames dropped because their call or request has ended or never existed.
     *
     * @return the count
     */
    public long unknownCallFrames() {
        return unknownCallFrames.sum();
    }

    /**
     * Returns the number of bytes written to connections; with TLS, encrypted bytes.
     *
     * @return the count
     */
    public long bytesSent() {
        return bytesSent.sum();
    }

    /**
     * Returns the number of bytes received; with TLS, encrypted bytes.
     *
     * @return the count
     */
    public long bytesReceived() {
        return bytesReceived.sum();
    }

    /**
     * Returns the number of bytes of heartbeats sent and received, including length prefixes, before TLS.
     *
     * @return the count
     */
    public long heartbeatBytes() {
        return heartbeatBytes.sum();
    }

    void countOpened() {
        opened.increment();
    }

    void countLost() {
        lost.increment();
    }

    void countSilent() {
        silent.increment();
    }

    void countRefusedHandshake() {
        refusedHandshakes.increment();
    }

    void countMalformedFrame() {
        malformedFrames.increment();
    }

    void countUnknownCallFrame() {
        unknownCallFrames.increment();
    }

    void countSent(int bytes) {
        bytesSent.add(bytes);
    }

    void countReceived(int bytes) {
        bytesReceived.add(bytes);
    }

    void countHeartbeat(int bytes) {
        heartbeatBytes.add(bytes);
    }

    /**
     * Returns the number of frames sent, including heartbeats and handshakes.
     *
     * @return the count
     */
    public long framesSent() {
        return framesSent.sum();
    }

    /**
     * Returns the number of frames received, including heartbeats and handshakes.
     *
     * @return the count
     */
    public long framesReceived() {
        return framesReceived.sum();
    }

    /**
     * Returns the number of flushes of frames to a connection. Frames sent per flush are the average batch size.
     *
     * @return the count
     */
    public long flushes() {
        return flushes.sum();
    }

    void countFrameSent() {
        framesSent.increment();
    }

    void countFrameReceived() {
        framesReceived.increment();
    }

    void countFlush() {
        flushes.increment();
    }
}
