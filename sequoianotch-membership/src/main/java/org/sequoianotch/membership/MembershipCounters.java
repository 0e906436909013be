package org.sequoianotch.membership;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counters of one node's membership since its start.
 *
 * <p>This class is thread-safe.
 */
public final class MembershipCounters {
    final LongAdder datagramsSent = new LongAdder();
    final LongAdder datagramsReceived = new LongAdder();
    final LongAdder datagramBytesSent = new LongAdder();
    final LongAdder datagramBytesReceived = new LongAdder();
    final LongAdder datagramsDropped = new LongAdder();
    final LongAdder exchangeBytesSent = new LongAdder();
    final LongAdder exchangeBytesReceived = new LongAdder();
    final LongAdder exchanges = new LongAdder();
    final LongAdder exchangesFailed = new LongAdder();
    final LongAdder probes = new LongAdder();
    final LongAdder probesFailed = new LongAdder();
    final LongAdder suspicions = new LongAdder();
    final LongAdder suspicionsRefuted = new LongAdder();

    MembershipCounters() {}

    /**
     * Returns the datagrams sent.
     *
     * @return the count
     */
    public long datagramsSent() {
        return datagramsSent.sum();
    }

    /**
     * Returns the datagrams received, including those dropped.
     *
     * @return the count
     */
    public long datagramsReceived() {
        return datagramsReceived.sum();
    }

    /**
     * Returns the payload bytes of the datagrams sent.
     *
     * @return the bytes, without IP and UDP headers
     */
    public long datagramBytesSent() {
        return datagramBytesSent.sum();
    }

    /**
     * Returns the payload bytes of the datagrams received.
     *
     * @return the bytes, without IP and UDP headers
     */
    public long datagramBytesReceived() {
        return datagramBytesReceived.sum();
    }

    /**
     * Returns the datagrams dropped because their authentication tag did not match or their content was malformed.
     *
     * @return the count
     */
    public long datagramsDropped() {
        return datagramsDropped.sum();
    }

    /**
     * Returns the payload bytes sent in requests and responses over links.
     *
     * @return the bytes, without framing
     */
    public long exchangeBytesSent() {
        return exchangeBytesSent.sum();
    }

    /**
     * Returns the payload bytes received in requests and responses over links.
     *
     * @return the bytes, without framing
     */
    public long exchangeBytesReceived() {
        return exchangeBytesReceived.sum();
    }

    /**
     * Returns the exchanges over links that this node started.
     *
     * @return the count, including failed exchanges
     */
    public long exchanges() {
        return exchanges.sum();
    }

    /**
     * Returns the exchanges over links that this node started and that failed.
     *
     * @return the count
     */
    public long exchangesFailed() {
        return exchangesFailed.sum();
    }

    /**
     * Returns the probes started.
     *
     * @return the count
     */
    public long probes() {
        return probes.sum();
    }

    /**
     * Returns the probes that got neither a direct nor an indirect reply.
     *
     * @return the count
     */
    public long probesFailed() {
        return probesFailed.sum();
    }

    /**
     * Returns the suspicions that this node raised about other nodes.
     *
     * @return the count
     */
    public long suspicions() {
        return suspicions.sum();
    }

    /**
     * Returns the suspicions about this node that it refuted.
     *
     * @return the count
     */
    public long suspicionsRefuted() {
        return suspicionsRefuted.sum();
    }
}
