package org.sequoianotch.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.model.HostId;

/**
 * Failure detection inside the data centre, as published for SWIM, with the local health of Lifeguard: a node that
 * gets no replies at all, or is suspected itself, probes more slowly and suspects later. Guarded by the table.
 */
final class FailureDetector {
    private static final int INDIRECT_PROBES = 3;
    /** Part of the probe interval after which indirect probes are sent. */
    private static final double DIRECT_PART = 0.3;
    /** Part of the probe interval after which a node that probes for another one reports that it got no reply. */
    private static final double RELAY_PART = 0.4;

    private static final int MAX_STRAIN = 4;
    private static final int DEAD_PROBE_INTERVALS = 10;

    private final MemberTable table;
    private final MembershipOptions options;
    private final RandomGenerator random;
    private final DatagramSender sender;
    private final MembershipCounters counters;
    private final List<HostId> order = new ArrayList<>();
    private final Map<Long, Relay> relays = new HashMap<>();
    private @Nullable Probe probe;
    private long sequence;
    private double nextProbeAtMs;
    private double nextDeadProbeAtMs;
    private double lastTickAtMs;
    private double suspicionPauseMs;
    /** Zero on a healthy node; multiplies the intervals by one more each. */
    private int strain;

    FailureDetector(
            MemberTable table,
            MembershipOptions options,
            RandomGenerator random,
            DatagramSender sender,
            MembershipCounters counters,
            double nowMs) {
        this.table = table;
        this.options = options;
        this.random = random;
        this.sender = sender;
        this.counters = counters;
        lastTickAtMs = nowMs;
        // Spreads the probes of nodes that start together.
        nextProbeAtMs = nowMs + random.nextDouble() * options.probeIntervalMs();
        nextDeadProbeAtMs = nowMs + random.nextDouble() * options.probeIntervalMs() * DEAD_PROBE_INTERVALS;
    }

    /** The probe of the current interval. */
    private static final class Probe {
        final long sequence;
        final HostId target;
        final double startedAtMs;
        boolean indirect;
        boolean answered;
        int nacks;

        Probe(long sequence, HostId target, double startedAtMs) {
            this.sequence = sequence;
            this.target = target;
            this.startedAtMs = startedAtMs;
        }
    }

    /** A probe on behalf of another node. */
    private record Relay(String originAddress, HostId origin, long originSequence, HostId target, double startedAtMs) {}

    void tick(double nowMs) {
        skipPause(nowMs);
        strain = Math.min(MAX_STRAIN, strain + table.takeSelfSuspicions());
        table.takeJoined().forEach(this::joined);
        Probe current = probe;
        if (current != null
                && !current.answered
                && !current.indirect
                && nowMs >= current.startedAtMs + scaled(options.probeIntervalMs() * DIRECT_PART)) {
            probeIndirectly(current);
        }
        if (nowMs >= nextProbeAtMs) {
            conclude();
            startProbe(nowMs);
            nextProbeAtMs = nowMs + scaled(options.probeIntervalMs());
        }
        reportSilentRelays(nowMs);
        failSuspects(nowMs);
        if (nowMs >= nextDeadProbeAtMs) {
            nextDeadProbeAtMs = nowMs + (double) options.probeIntervalMs() * DEAD_PROBE_INTERVALS;
            table.sample(table.failedLocalPeers(), 1)
                    .forEach(member -> sender.send(Datagram.Type.PING, ++sequence, member));
        }
    }

    /**
     * A process that was frozen sees its probes unanswered and its suspicions expired all at once, although only it
     * stood still. It drops the probe and gives the suspects their time again.
     */
    private void skipPause(double nowMs) {
        double gapMs = nowMs - lastTickAtMs;
        lastTickAtMs = nowMs;
        if (gapMs > options.probeIntervalMs()) {
            probe = null;
            relays.clear();
            strain = Math.min(MAX_STRAIN, strain + 1);
            suspicionPauseMs = nowMs;
        }
    }

    private double scaled(double durationMs) {
        return durationMs * (1 + strain);
    }

    private void startProbe(double nowMs) {
        Member target = nextTarget();
        if (target == null || table.self().state() == MemberState.LEFT) {
            return;
        }
        probe = new Probe(++sequence, target.host(), nowMs);
        counters.probes.increment();
        sender.send(Datagram.Type.PING, sequence, target);
    }

    private @Nullable Member nextTarget() {
        if (order.isEmpty()) {
            List<Member> peers = table.localPeers();
            table.sample(peers, peers.size()).forEach(member -> order.add(member.host()));
        }
        while (!order.isEmpty()) {
            Member member = table.member(order.removeLast());
            if (member != null && member.state().isReachable()) {
                return member;
            }
        }
        return null;
    }

    /** Puts a new member at a random place of the current round, so that it is probed within one round. */
    private void joined(HostId host) {
        if (!order.contains(host)) {
            order.add(random.nextInt(order.size() + 1), host);
        }
    }

    private void probeIndirectly(Probe current) {
        current.indirect = true;
        Member target = table.member(current.target);
        if (target == null) {
            return;
        }
        List<Member> helpers = new ArrayList<>(table.localPeers());
        helpers.removeIf(member -> member.host().equals(current.target));
        for (Member helper : table.sample(helpers, INDIRECT_PROBES)) {
            sender.send(
                    Datagram.Type.PING_REQUEST,
                    current.sequence,
                    helper.peerAddress(),
                    target.host(),
                    target.peerAddress(),
                    target.host());
        }
    }

    private void conclude() {
        Probe ended = probe;
        probe = null;
        if (ended == null) {
            return;
        }
        if (ended.answered) {
            strain = Math.max(0, strain - 1);
            return;
        }
        counters.probesFailed.increment();
        if (ended.nacks == 0) {
            // Nobody replied at all: the fault may be on this node.
            strain = Math.min(MAX_STRAIN, strain + 1);
        }
        Member target = table.member(ended.target);
        if (target != null && target.state() == MemberState.ALIVE) {
            counters.suspicions.increment();
            table.declare(ended.target, MemberState.SUSPECT);
            sender.hurry();
        }
    }

    private void failSuspects(double nowMs) {
        List<HostId> expired = new ArrayList<>();
        for (Member member : table.localPeers()) {
            if (member.state() == MemberState.SUSPECT
                    && nowMs
                            >= Math.max(table.suspectedAtMs(member.host()), suspicionPauseMs)
                                    + scaled(options.suspicionTimeoutMs())) {
                expired.add(member.host());
            }
        }
        for (HostId host : expired) {
            table.declare(host, MemberState.FAILED);
            sender.hurry();
        }
    }

    void onPing(Datagram ping) {
        if (ping.target().equals(table.self().host())) {
            sender.send(
                    Datagram.Type.ACK,
                    ping.sequence(),
                    ping.fromAddress(),
                    ping.from(),
                    ping.fromAddress(),
                    ping.from());
        }
    }

    void onPingRequest(Datagram request, double nowMs) {
        long relayed = ++sequence;
        relays.put(
                relayed, new Relay(request.fromAddress(), request.from(), request.sequence(), request.target(), nowMs));
        sender.send(
                Datagram.Type.PING,
                relayed,
                request.targetAddress(),
                request.target(),
                request.targetAddress(),
                request.target());
    }

    void onAck(Datagram ack) {
        Probe current = probe;
        if (current != null && current.sequence == ack.sequence() && isReplyOf(current.target, ack)) {
            current.answered = true;
        }
        Relay relay = relays.get(ack.sequence());
        if (relay != null && relay.target.equals(ack.from())) {
            relays.remove(ack.sequence());
            reply(Datagram.Type.ACK, relay);
        }
    }

    /** A direct reply comes from the target; a passed-on one names the target. */
    private static boolean isReplyOf(HostId target, Datagram ack) {
        return ack.from().equals(target) || ack.target().equals(target);
    }

    void onNack(Datagram nack) {
        if (probe != null && probe.sequence == nack.sequence()) {
            probe.nacks++;
        }
    }

    private void reportSilentRelays(double nowMs) {
        Iterator<Relay> all = relays.values().iterator();
        while (all.hasNext()) {
            Relay relay = all.next();
            if (nowMs >= relay.startedAtMs + options.probeIntervalMs() * RELAY_PART) {
                all.remove();
                reply(Datagram.Type.NACK, relay);
            }
        }
    }

    private void reply(Datagram.Type type, Relay relay) {
        sender.send(type, relay.originSequence, relay.originAddress, relay.target, relay.originAddress, relay.origin);
    }
}
