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
 * @param hosts every control host with the address of its peer listener, this one among them; not null
 * @param dataFolder folder of the log; not null
 * @param settings limits of the quorum protocol; not null
 * @param changeTimeoutMs longest wait for a change or a read, in milliseconds; positive
 * @param admissionTimeoutMs longest wait until a new member has caught up, in milliseconds; positive
 * @param formation how the group forms and changes; not null
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
            throw new IllegalArgumentException("the timeouts must be positive");
        }
    }

    /**
     * Creates options with the default limits.
     *
     * @param host this host; not null
     * @param hosts every control host with the address of its peer listener, this one among them; not null
     * @param dataFolder folder of the log; not null
     * @param electionTimeoutMs shortest time without a leader before a member stands for election, in milliseconds
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
