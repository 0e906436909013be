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
 * Detects failures inside the data centre with the SWIM protocol and the local health multiplier of Lifeguard: a node
 * that gets no replies at all, or is suspected itself, probes more slowly and declares failures later.
 *
 * <p>Guarded by the lock of the {@link MemberTable}.
 */
final class FailureDetector {
    /** Members that are sent a {@code PING_REQUEST} for a target that did not reply directly. */
    private static final int INDIRECT_PROBES = 3;
    /** Fraction of the probe interval after which indirect probes are sent. */
    private static final double DIRECT_TIMEOUT_FRACTION = 0.3;
    /** Fraction of the probe interval after which a node that probes for another one sends it a NACK. */
    private static final double RELAYED_TIMEOUT_FRACTION = 0.4;

    private static final int MAX_HEALTH_MULTIPLIER = 4;
    /** A longer gap than a probe interval is taken for a pause of this process, and timers fire late. */
    private static final double MAX_TICK_GAP_FRACTION = 0.75;

    /** Probe intervals between pings of failed members, which detect members that are reachable again. */
    private static final int FAILED_MEMBER_PING_INTERVALS = 10;

    private final MemberTable table;
    private final MembershipOptions options;
    private final RandomGenerator random;
    private final DatagramSender sender;
    private final MembershipCounters counters;
    private final List<HostId> probeOrder = new ArrayList<>();
    private final Map<Long, RelayedProbe> relayedProbes = new HashMap<>();
    private @Nullable Probe currentProbe;
    private long sequence;
    private double nextProbeAtMs;
    private double nextFailedMemberPingAtMs;
    private double lastTickAtMs;
    private double suspicionsRestartedAtMs;
    /** Lifeguard's local health multiplier: zero on a healthy node; intervals are multiplied by one more than it. */
    private int healthMultiplier;

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
        nextFailedMemberPingAtMs =
                nowMs + random.nextDouble() * options.probeIntervalMs() * FAILED_MEMBER_PING_INTERVALS;
    }

    /** The probe of the current interval. */
    private static final class Probe {
        final long sequence;
        final HostId target;
        final double startedAtMs;
        boolean indirect;
        boolean acknowledged;
        int nacks;

        Probe(long sequence, HostId target, double startedAtMs) {
            this.sequence = sequence;
            this.target = target;
            this.startedAtMs = startedAtMs;
        }
    }

    /** A probe on behalf of another node, the requester. */
    private record RelayedProbe(
            String requesterAddress, HostId requester, long requesterSequence, HostId target, double startedAtMs) {}

    /** Returns the latest time of the next {@link #tick} on the monotonic clock, in milliseconds. */
    double nextTickAtMs() {
        double dueMs = Math.min(nextProbeAtMs, nextFailedMemberPingAtMs);
        dueMs = Math.min(dueMs, lastTickAtMs + options.probeIntervalMs() * MAX_TICK_GAP_FRACTION);
        Probe current = currentProbe;
        if (current != null) {
            dueMs = Math.min(dueMs, indirectProbesAtMs(current));
        }
        for (RelayedProbe relayed : relayedProbes.values()) {
            dueMs = Math.min(dueMs, nackAtMs(relayed));
        }
        for (Member member : table.localPeers()) {
            if (member.state() == MemberState.SUSPECT) {
                dueMs = Math.min(dueMs, suspicionEndsAtMs(member));
            }
        }
        return dueMs;
    }

    /** Returns when the target of a probe is to be probed indirectly; infinity if that is not needed. */
    private double indirectProbesAtMs(Probe probe) {
        return probe.acknowledged || probe.indirect
                ? Double.POSITIVE_INFINITY
                : probe.startedAtMs + scaled(options.probeIntervalMs() * DIRECT_TIMEOUT_FRACTION);
    }

    private double nackAtMs(RelayedProbe relayed) {
        return relayed.startedAtMs + options.probeIntervalMs() * RELAYED_TIMEOUT_FRACTION;
    }

    private double suspicionEndsAtMs(Member member) {
        return Math.max(table.suspectedAtMs(member.host()), suspicionsRestartedAtMs)
                + scaled(options.suspicionTimeoutMs());
    }

    void tick(double nowMs) {
        handleProcessPause(nowMs);
        healthMultiplier = Math.min(MAX_HEALTH_MULTIPLIER, healthMultiplier + table.takeSelfSuspicions());
        table.takeNewlyReachable().forEach(this::addToProbeOrder);
        Probe current = currentProbe;
        if (current != null && nowMs >= indirectProbesAtMs(current)) {
            probeIndirectly(current);
        }
        if (nowMs >= nextProbeAtMs) {
            concludeProbe();
            startProbe(nowMs);
            nextProbeAtMs = nowMs + scaled(options.probeIntervalMs());
        }
        reportUnacknowledgedRelayedProbes(nowMs);
        expireSuspicions(nowMs);
        if (nowMs >= nextFailedMemberPingAtMs) {
            nextFailedMemberPingAtMs = nowMs + (double) options.probeIntervalMs() * FAILED_MEMBER_PING_INTERVALS;
            table.sample(table.failedLocalPeers(), 1)
                    .forEach(member -> sender.send(Datagram.Type.PING, ++sequence, member));
        }
    }

    /**
     * Detects that this process was paused. After a pause, probes appear to be unacknowledged and suspicions to
     * have expired, although only this process did not run; it therefore drops its probe and restarts the timeouts of
     * all suspicions.
     */
    private void handleProcessPause(double nowMs) {
        double gapMs = nowMs - lastTickAtMs;
        lastTickAtMs = nowMs;
        if (gapMs > options.probeIntervalMs()) {
            currentProbe = null;
            relayedProbes.clear();
            healthMultiplier = Math.min(MAX_HEALTH_MULTIPLIER, healthMultiplier + 1);
            suspicionsRestartedAtMs = nowMs;
        }
    }

    private double scaled(double durationMs) {
        return durationMs * (1 + healthMultiplier);
    }

    private void startProbe(double nowMs) {
        Member target = nextTarget();
        if (target == null || table.self().state() == MemberState.LEFT) {
            return;
        }
        currentProbe = new Probe(++sequence, target.host(), nowMs);
        counters.probes.increment();
        sender.send(Datagram.Type.PING, sequence, target);
    }

    private @Nullable Member nextTarget() {
        if (probeOrder.isEmpty()) {
            List<Member> peers = table.localPeers();
            table.sample(peers, peers.size()).forEach(member -> probeOrder.add(member.host()));
        }
        while (!probeOrder.isEmpty()) {
            Member member = table.member(probeOrder.removeLast());
            if (member != null && member.state().isReachable()) {
                return member;
            }
        }
        return null;
    }

    /** Inserts a new member at a random position of the current round, so that it is probed within one round. */
    private void addToProbeOrder(HostId host) {
        if (!probeOrder.contains(host)) {
            probeOrder.add(random.nextInt(probeOrder.size() + 1), host);
        }
    }

    private void probeIndirectly(Probe current) {
        current.indirect = true;
        Member target = table.member(current.target);
        if (target == null) {
            return;
        }
        List<Member> relays = new ArrayList<>(table.localPeers());
        relays.removeIf(member -> member.host().equals(current.target));
        for (Member relay : table.sample(relays, INDIRECT_PROBES)) {
            sender.send(
                    Datagram.Type.PING_REQUEST,
                    current.sequence,
                    relay.peerAddress(),
                    target.host(),
                    target.peerAddress(),
                    target.host());
        }
    }

    private void concludeProbe() {
        Probe ended = currentProbe;
        currentProbe = null;
        if (ended == null) {
            return;
        }
        if (ended.acknowledged) {
            healthMultiplier = Math.max(0, healthMultiplier - 1);
            return;
        }
        counters.probesFailed.increment();
        if (ended.nacks == 0) {
            // Neither the target nor any relay replied: the fault may be on this node.
            healthMultiplier = Math.min(MAX_HEALTH_MULTIPLIER, healthMultiplier + 1);
        }
        Member target = table.member(ended.target);
        if (target != null && target.state() == MemberState.ALIVE) {
            counters.suspicions.increment();
            table.declareState(ended.target, MemberState.SUSPECT);
            sender.requestImmediateRound();
        }
    }

    private void expireSuspicions(double nowMs) {
        List<HostId> expired = new ArrayList<>();
        for (Member member : table.localPeers()) {
            if (member.state() == MemberState.SUSPECT && nowMs >= suspicionEndsAtMs(member)) {
                expired.add(member.host());
            }
        }
        for (HostId host : expired) {
            table.declareState(host, MemberState.FAILED);
            sender.requestImmediateRound();
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
        long relayedSequence = ++sequence;
        relayedProbes.put(
                relayedSequence,
                new RelayedProbe(request.fromAddress(), request.from(), request.sequence(), request.target(), nowMs));
        sender.send(
                Datagram.Type.PING,
                relayedSequence,
                request.targetAddress(),
                request.target(),
                request.targetAddress(),
                request.target());
    }

    void onAck(Datagram ack) {
        Probe current = currentProbe;
        if (current != null && current.sequence == ack.sequence() && isReplyOf(current.target, ack)) {
            current.acknowledged = true;
        }
        RelayedProbe relayedProbe = relayedProbes.get(ack.sequence());
        if (relayedProbe != null && relayedProbe.target.equals(ack.from())) {
            relayedProbes.remove(ack.sequence());
            replyToRequester(Datagram.Type.ACK, relayedProbe);
        }
    }

    /** A direct reply comes from the target; a relayed reply names the target. */
    private static boolean isReplyOf(HostId target, Datagram ack) {
        return ack.from().equals(target) || ack.target().equals(target);
    }

    void onNack(Datagram nack) {
        if (currentProbe != null && currentProbe.sequence == nack.sequence()) {
            currentProbe.nacks++;
        }
    }

    private void reportUnacknowledgedRelayedProbes(double nowMs) {
        Iterator<RelayedProbe> iterator = relayedProbes.values().iterator();
        while (iterator.hasNext()) {
            RelayedProbe relayedProbe = iterator.next();
            if (nowMs >= nackAtMs(relayedProbe)) {
                iterator.remove();
                replyToRequester(Datagram.Type.NACK, relayedProbe);
            }
        }
    }

    private void replyToRequester(Datagram.Type type, RelayedProbe relayedProbe) {
        sender.send(
                type,
                relayedProbe.requesterSequence,
                relayedProbe.requesterAddress,
                relayedProbe.target,
                relayedProbe.requesterAddress,
                relayedProbe.requester);
    }
}
