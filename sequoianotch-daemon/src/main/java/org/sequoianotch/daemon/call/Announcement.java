package org.sequoianotch.daemon.call;

import java.util.Objects;
import org.sequoianotch.model.BackendState;
import org.sequoianotch.model.ServiceName;

/**
 * What a backend server says of itself to its host's node.
 *
 * <p>This type is immutable.
 *
 * @param service the service; not null
 * @param port port at which the backend server listens; from 1 to 65535
 * @param slots calls that it runs at once; from 1 to 100000
 * @param state its state; not null
 * @param instanceId name that tells it from earlier and later processes at the same address, or empty; not null
 */
public record Announcement(ServiceName service, int port, int slots, BackendState state, String instanceId) {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_SLOTS = 100_000;

    /** Checks the components. */
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
     * Creates the announcement of a backend server without an identity of its own.
     *
     * @param service the service; not null
     * @param port port at which the backend server listens; from 1 to 65535
     * @param slots calls that it runs at once; from 1 to 100000
     * @param state its state; not null
     */
    public Announcement(ServiceName service, int port, int slots, BackendState state) {
        this(service, port, slots, state, "");
    }
}
