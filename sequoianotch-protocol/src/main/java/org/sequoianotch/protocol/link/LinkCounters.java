package org.sequoianotch.protocol.link;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts what happens on the links of one node, for metrics.
 *
 * <p>This class is thread-safe. All counts start at zero and only ever rise.
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

    /** Creates counters that stand at zero. */
    public LinkCounters() {}

    /**
     * Returns the links that completed their handshake, on either side.
     *
     * @return the count
     */
    public long opened() {
        return opened.sum();
    }

    /**
     * Returns the links that ended after their handshake, for whatever reason other than a close by this node.
     *
     * @return the count
     */
    public long lost() {
        return lost.sum();
    }

    /**
     * Returns the links closed because nothing arrived within the silence timeout. They also count as lost.
     *
     * @return the count
     */
    public long silent() {
        return silent.sum();
    }

    /**
     * Returns the connections that failed the handshake, on either side.
     *
     * @return the count
     */
    public long refusedHandshakes() {
        return refusedHandshakes.sum();
    }

    /**
     * Returns the frames that were malformed or broke the rules of the protocol. Each closed its link.
     *
     * @return the count
     */
    public long malformedFrames() {
        return malformedFrames.sum();
    }

    /**
     * Returns the frames dropped because their call or question has ended or never existed.
     *
     * @return the count
     */
    public long unknownCallFrames() {
        return unknownCallFrames.sum();
    }

    /**
     * Returns the bytes handed to connections, with TLS as encrypted.
     *
     * @return the count
     */
    public long bytesSent() {
        return bytesSent.sum();
    }

    /**
     * Returns the bytes that arrived, with TLS as encrypted.
     *
     * @return the count
     */
    public long bytesReceived() {
        return bytesReceived.sum();
    }

    /**
     * Returns the bytes of heartbeats sent and received, with their length prefixes, before TLS.
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
     * Returns the frames sent, with heartbeats and those of handshakes.
     *
     * @return the count
     */
    public long framesSent() {
        return framesSent.sum();
    }

    /**
     * Returns the frames received, with heartbeats and those of handshakes.
     *
     * @return the count
     */
    public long framesReceived() {
        return framesReceived.sum();
    }

    /**
     * Returns how often frames were written to a connection. The frames sent for each flush are the size of a batch.
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
