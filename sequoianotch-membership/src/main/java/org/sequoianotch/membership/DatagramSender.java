package org.sequoianotch.membership;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.model.HostId;
import org.sequoianotch.time.Clock;

/**
 * Builds and sends datagrams with piggybacked updates, and runs the gossip rounds.
 *
 * <p>Guarded by the lock of the {@link MemberTable}.
 */
final class DatagramSender {
    /** Members to which each gossip round sends. */
    private static final int FANOUT = 3;
    /** Rounds for which a higher configuration revision is gossiped, even without other updates. */
    private static final int REVISION_ROUNDS = 4;
    /** Rate limit of gossip; keeps bursts of changes near the traffic budget of 4 KB/s per node. */
    private static final double GOSSIP_BYTES_PER_MS = 1.5;

    /**
     * Pending updates above which rounds run faster, so that the drain of a whole data centre spreads in time; about
     * one datagram of updates.
     */
    private static final int BACKLOG_THRESHOLD_UPDATES = 10;

    /** Factor by which the gossip interval is shortened during a backlog. */
    private static final double BACKLOG_SPEEDUP_FACTOR = 4;

    private static final double GOSSIP_BURST_BYTES = 65_536;
    /** Update bytes in a datagram above the rate limit: one member, so that the newest change still spreads at once. */
    private static final int REDUCED_UPDATE_BYTES = 140;

    private final MemberTable table;
    private final MembershipOptions options;
    private final Clock clock;
    private final DatagramTransport transport;
    private final DatagramCodec codec;
    private final MembershipCounters counters;
    private double nextRoundAtMs;
    private double availableBytes = GOSSIP_BURST_BYTES;
    private double refilledAtMs;
    private int remainingRevisionRounds;
    private long gossipedRevision;

    DatagramSender(
            MemberTable table,
            MembershipOptions options,
            Clock clock,
            DatagramTransport transport,
            DatagramCodec codec,
            MembershipCounters counters) {
        this.table = table;
        this.options = options;
        this.clock = clock;
        this.transport = transport;
        this.codec = codec;
        this.counters = counters;
        refilledAtMs = clock.monotonicMs();
    }

    void send(Datagram.Type type, long sequence, Member to) {
        send(type, sequence, to.peerAddress(), to.host(), to.peerAddress(), to.host());
    }

    /**
     * Sends a datagram.
     *
     * @param subjectHost host whose state is put first unless it is alive, so that the host can refute it; or null
     */
    void send(
            Datagram.Type type,
            long sequence,
            String address,
            HostId target,
            String targetAddress,
            @Nullable HostId subjectHost) {
        send(type, sequence, address, target, targetAddress, subjectHost, DatagramCodec.MAX_BYTES);
    }

    private int send(
            Datagram.Type type,
            long sequence,
            String address,
            HostId target,
            String targetAddress,
            @Nullable HostId subjectHost,
            int maxUpdateBytes) {
        Member self = table.self();
        Datagram header = new Datagram(
                type,
                sequence,
                self.host(),
                self.peerAddress(),
                self.configurationRevision(),
                table.highestRevision(),
                target,
                targetAddress,
                List.of());
        Member subject = subjectHost == null ? null : table.member(subjectHost);
        HostId first = subject == null || subject.state() == MemberState.ALIVE ? null : subjectHost;
        int maxBytes = Math.min(maxUpdateBytes, DatagramCodec.MAX_BYTES - DatagramCodec.overheadBytes(header));
        byte[] payload = codec.encode(header, table.takeUpdates(maxBytes, first));
        counters.datagramsSent.increment();
        counters.datagramBytesSent.add(payload.length);
        transport.send(address, payload);
        return payload.length;
    }

    /** Makes the next tick run a gossip round. */
    void requestImmediateRound() {
        nextRoundAtMs = Math.min(nextRoundAtMs, clock.monotonicMs());
    }

    boolean isIdle() {
        return !table.hasUpdates() && remainingRevisionRounds == 0 && table.highestRevision() == gossipedRevision;
    }

    /** Returns the time of the next round on the monotonic clock, in milliseconds; infinity if there is none. */
    double nextTickAtMs() {
        return isIdle() ? Double.POSITIVE_INFINITY : nextRoundAtMs;
    }

    void tick(double nowMs) {
        if (nowMs < nextRoundAtMs) {
            return;
        }
        availableBytes = Math.min(GOSSIP_BURST_BYTES, availableBytes + (nowMs - refilledAtMs) * GOSSIP_BYTES_PER_MS);
        refilledAtMs = nowMs;
        boolean backlog = table.updateCount() > BACKLOG_THRESHOLD_UPDATES && availableBytes >= DatagramCodec.MAX_BYTES;
        nextRoundAtMs = nowMs + options.gossipIntervalMs() / (backlog ? BACKLOG_SPEEDUP_FACTOR : 1.0);
        if (isIdle()) {
            return;
        }
        if (table.highestRevision() > gossipedRevision) {
            gossipedRevision = table.highestRevision();
            remainingRevisionRounds = REVISION_ROUNDS;
        }
        remainingRevisionRounds = Math.max(0, remainingRevisionRounds - 1);
        for (Member to : table.sample(table.localPeers(), FANOUT)) {
            boolean withinRate = availableBytes >= DatagramCodec.MAX_BYTES;
            int maxUpdateBytes = withinRate ? DatagramCodec.MAX_BYTES : REDUCED_UPDATE_BYTES;
            int sent =
                    send(Datagram.Type.GOSSIP, 0, to.peerAddress(), to.host(), to.peerAddress(), null, maxUpdateBytes);
            availableBytes -= withinRate ? sent : 0;
        }
    }
}
