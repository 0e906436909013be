package org.sequoianotch.membership;

import java.util.List;
import java.util.Objects;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.Region;

/**
 * Settings of a node's membership.
 *
 * <p>This type is immutable.
 *
 * @param host this host; not null
 * @param dataCentre its data centre; not null
 * @param region its region; not null
 * @param peerAddress IP number and port under which other nodes reach this node, for TCP and UDP; not null
 * @param seeds peer addresses of a few nodes; not null, may be empty, may contain this node
 * @param deploymentKey secret shared by all nodes; not null, not empty
 * @param probeIntervalMs interval of probes; positive
 * @param suspicionTimeoutMs how long a suspected member may refute; positive
 * @param gossipIntervalMs interval of gossip rounds while there is news; positive
 * @param exchangeIntervalMs interval of exchanges between data centres; positive
 * @param deadRetentionMs how long a member that failed or left stays in the view and is probed now and then; positive
 * @param tombstoneRetentionMs how long after that its last state is remembered, so that old news does not bring it
 *     back; positive
 */
public record MembershipOptions(
        HostId host,
        DataCentre dataCentre,
        Region region,
        String peerAddress,
        List<String> seeds,
        String deploymentKey,
        long probeIntervalMs,
        long suspicionTimeoutMs,
        long gossipIntervalMs,
        long exchangeIntervalMs,
        long deadRetentionMs,
        long tombstoneRetentionMs) {
    private static final long DAY_MS = 86_400_000;

    /** Checks the components and copies the list. */
    public MembershipOptions {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(peerAddress, "peerAddress");
        seeds = List.copyOf(seeds);
        if (deploymentKey.isEmpty()) {
            throw new IllegalArgumentException("The deployment key is empty");
        }
        checkPositive("probeIntervalMs", probeIntervalMs);
        checkPositive("suspicionTimeoutMs", suspicionTimeoutMs);
        checkPositive("gossipIntervalMs", gossipIntervalMs);
        checkPositive("exchangeIntervalMs", exchangeIntervalMs);
        checkPositive("deadRetentionMs", deadRetentionMs);
        checkPositive("tombstoneRetentionMs", tombstoneRetentionMs);
    }

    /**
     * Creates options with the default intervals: probes each second, 3 s of suspicion, gossip each 200 ms, exchanges
     * each 2 s, dead members shown for a day and remembered for another.
     *
     * @param host this host; not null
     * @param dataCentre its data centre; not null
     * @param region its region; not null
     * @param peerAddress IP number and port under which other nodes reach this node; not null
     * @param seeds peer addresses of a few nodes; not null
     * @param deploymentKey secret shared by all nodes; not null, not empty
     * @return the options, never null
     * @throws IllegalArgumentException if the key is empty
     */
    public static MembershipOptions of(
            HostId host,
            DataCentre dataCentre,
            Region region,
            String peerAddress,
            List<String> seeds,
            String deploymentKey) {
        return new MembershipOptions(
                host, dataCentre, region, peerAddress, seeds, deploymentKey, 1000, 3000, 200, 2000, DAY_MS, DAY_MS);
    }

    /**
     * Returns a copy with other intervals.
     *
     * @param newProbeIntervalMs interval of probes; positive
     * @param newSuspicionTimeoutMs how long a suspected member may refute; positive
     * @param newGossipIntervalMs interval of gossip rounds; positive
     * @param newExchangeIntervalMs interval of exchanges between data centres; positive
     * @return the copy, never null
     * @throws IllegalArgumentException if an interval is not positive
     */
    public MembershipOptions withIntervals(
            long newProbeIntervalMs, long newSuspicionTimeoutMs, long newGossipIntervalMs, long newExchangeIntervalMs) {
        return new MembershipOptions(
                host,
                dataCentre,
                region,
                peerAddress,
                seeds,
                deploymentKey,
                newProbeIntervalMs,
                newSuspicionTimeoutMs,
                newGossipIntervalMs,
                newExchangeIntervalMs,
                deadRetentionMs,
                tombstoneRetentionMs);
    }

    /**
     * Returns a copy with other retention times.
     *
     * @param newDeadRetentionMs how long dead members stay in the view; positive
     * @param newTombstoneRetentionMs how long after that they are remembered; positive
     * @return the copy, never null
     * @throws IllegalArgumentException if a time is not positive
     */
    public MembershipOptions withRetention(long newDeadRetentionMs, long newTombstoneRetentionMs) {
        return new MembershipOptions(
                host,
                dataCentre,
                region,
                peerAddress,
                seeds,
                deploymentKey,
                probeIntervalMs,
                suspicionTimeoutMs,
                gossipIntervalMs,
                exchangeIntervalMs,
                newDeadRetentionMs,
                newTombstoneRetentionMs);
    }

    private static void checkPositive(String name, long value) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " is " + value + ", but must be positive");
        }
    }
}
