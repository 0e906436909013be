package org.sequoianotch.daemon.call;

import java.util.Objects;
import org.sequoianotch.model.BackendState;
import org.sequoianotch.model.ServiceName;

/**
 * The state and capacity that a backend server reports to the node on its host.
 *
 * <p>This type is immutable.
 *
 * @param service the service; not null
 * @param port port at which the backend server listens; from 1 to 65535
 * @param slots largest number of concurrent calls; from 1 to 100000
 * @param state state of the backend server; not null
 * @param instanceId id that distinguishes the process from earlier and later ones at the same address, or empty if it
 *     has none; not null
 * @param incarnation number that differs between the incarnations of instances on one host, or
 *     {@link #UNKNOWN_INCARNATION}
 */
public record Announcement(
        ServiceName service, int port, int slots, BackendState state, String instanceId, long incarnation) {
    /** Value of {@code incarnation} for a backend server whose incarnations cannot be told apart. */
    public static final long UNKNOWN_INCARNATION = 0;

    private static final int MAX_PORT = 65_535;
    private static final int MAX_SLOTS = 100_000;

    /**
     * Checks the port and the slots.
     *
     * @throws IllegalArgumentException if the port or the slots are out of range
     */
    public Announcement {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(instanceId, "instanceId");
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("port is " + port + ", but must be from 1 to " + MAX_PORT);
        }
        if (slots < 1 || slots > MAX_SLOTS) {
            throw new IllegalArgumentException("slots is " + slots + ", but must be from 1 to " + MAX_SLOTS);
        }
    }

    /**
     * Creates the announcement of a backend server that has no instance id.
     *
     * @param service the service; not null
     * @param port port at which the backend server listens; from 1 to 65535
     * @param slots largest number of concurrent calls; from 1 to 100000
     * @param state state of the backend server; not null
     * @throws IllegalArgumentException if the port or the slots are out of range
     */
    public Announcement(ServiceName service, int port, int slots, BackendState state) {
        this(service, port, slots, state, "", UNKNOWN_INCARNATION);
    }
}
