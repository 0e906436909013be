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
 * @param peerAddress IP address and port under which other nodes reach this node, for TCP and UDP; not null
 * @param seeds peer addresses of a few nodes; not null, may be empty, may contain this node
 * @param deploymentKey secret shared by all nodes; not null, not empty
 * @param probeIntervalMs interval between probes, in milliseconds; positive
 * @param suspicionTimeoutMs time within which a suspected member can refute the suspicion, in milliseconds; positive
 * @param gossipIntervalMs interval between gossip rounds while updates are pending, in milliseconds; positive
 * @param exchangeIntervalMs interval between exchanges with other data centres, in milliseconds; positive
 * @param deadRetentionMs time for which a member that failed or left stays in the view, in milliseconds; failed local
 *     members are pinged occasionally in this time; positive
 * @param tombstoneRetentionMs time after that for which its last state is kept, so that an old update does not restore
 *     the member, in milliseconds; positive
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
     * Creates options with the default intervals: probes every second, a suspicion timeout of 3 s, gossip every 200 ms,
     * exchanges every 2 s, dead members shown for a day and tombstones kept for another day.
     *
     * @param host this host; not null
     * @param dataCentre its data centre; not null
     * @param region its region; not null
     * @param peerAddress IP address and port under which other nodes reach this node; not null
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
     * @param newProbeIntervalMs interval between probes, in milliseconds; positive
     * @param newSuspicionTimeoutMs suspicion timeout, in milliseconds; positive
     * @param newGossipIntervalMs interval between gossip rounds, in milliseconds; positive
     * @param newExchangeIntervalMs interval between exchanges with other data centres, in milliseconds; positive
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
     * @param newDeadRetentionMs time for which dead members stay in the view, in milliseconds; positive
     * @param newTombstoneRetentionMs time after that for which tombstones are kept, in milliseconds; positive
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
