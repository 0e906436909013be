package org.sequoianotch.control;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import org.sequoianotch.control.group.GroupSettings;
import org.sequoianotch.model.HostId;

/**
 * Options of a control host.
 *
 * <p>This type is immutable.
 *
 * @param host this host; not null
 * @param hosts addresses of the peer listeners of the control hosts, including this one; not null
 * @param dataFolder folder of the replicated log; not null
 * @param settings time and size limits of the Raft protocol; not null
 * @param changeTimeoutMs maximum wait for a change or a read, in milliseconds; positive
 * @param admissionTimeoutMs maximum wait for a new member to catch up, in milliseconds; positive
 * @param formation how the group is formed and its members change; not null
 */
public record ControlGroupOptions(
        HostId host,
        SortedMap<HostId, String> hosts,
        Path dataFolder,
        GroupSettings settings,
        long changeTimeoutMs,
        long admissionTimeoutMs,
        GroupFormation formation) {
    private static final long DEFAULT_CHANGE_TIMEOUT_MS = 10_000;
    private static final long DEFAULT_ADMISSION_TIMEOUT_MS = 60_000;

    /** Checks the components and copies the hosts. */
    public ControlGroupOptions {
        Objects.requireNonNull(dataFolder, "dataFolder");
        Objects.requireNonNull(settings, "settings");
        Objects.requireNonNull(formation, "formation");
        hosts = Collections.unmodifiableSortedMap(new TreeMap<>(hosts));
        if (!hosts.containsKey(host)) {
            throw new IllegalArgumentException("host " + host + " is not one of the control hosts " + hosts.keySet());
        }
        if (changeTimeoutMs <= 0 || admissionTimeoutMs <= 0) {
            throw new IllegalArgumentException("the timeouts must be positive, but changeTimeoutMs is "
                    + changeTimeoutMs + " and admissionTimeoutMs is " + admissionTimeoutMs);
        }
    }

    /**
     * Creates options with the default limits.
     *
     * @param host this host; not null
     * @param hosts addresses of the peer listeners of all control hosts, including this one; not null
     * @param dataFolder folder of the replicated log; not null
     * @param electionTimeoutMs minimum time without a leader before a member starts an election, in milliseconds; at
     *     least 50
     * @return the options, never null
     */
    public static ControlGroupOptions of(
            HostId host, SortedMap<HostId, String> hosts, Path dataFolder, long electionTimeoutMs) {
        return new ControlGroupOptions(
                host,
                hosts,
                dataFolder,
                GroupSettings.of(electionTimeoutMs),
                DEFAULT_CHANGE_TIMEOUT_MS,
                DEFAULT_ADMISSION_TIMEOUT_MS,
                GroupFormation.fixed(new ArrayList<>(new TreeMap<>(hosts).values())));
    }

    /**
     * Returns the address of this host's peer listener.
     *
     * @return the address, never null
     */
    String ownAddress() {
        return hosts.get(host);
    }
}
