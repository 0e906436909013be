package org.sequoianotch.model;

import java.util.Objects;

/**
 * One running copy of a service on the backend server of a host, as its node announces it to other nodes.
 *
 * <p>This type is immutable.
 *
 * @param service the service; not null
 * @param host the host whose node carries the calls; not null
 * @param dataCentre the host's data centre; not null
 * @param region the host's region; not null
 * @param peerAddress IP address and port of the node's peer listener, such as {@code 127.0.0.1:8082}; not null
 * @param slots largest number of calls that the backend server runs concurrently; at least 1
 * @param state the announced state; not null
 * @param startedAtMs wall-clock time at which the instance was first announced, in milliseconds since the Unix epoch;
 *     used for slow start
 */
public record Instance(
        ServiceName service,
        HostId host,
        DataCentre dataCentre,
        Region region,
        String peerAddress,
        int slots,
        BackendState state,
        long startedAtMs) {
    /** Checks that the instance has at least one slot. */
    public Instance {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(state, "state");
        if (slots < 1) {
            throw new IllegalArgumentException("slots is " + slots + ", but must be at least 1");
        }
    }

    /**
     * Returns a copy with a different state.
     *
     * @param newState the state; not null
     * @return the copy, never null
     */
    public Instance withState(BackendState newState) {
        return new Instance(service, host, dataCentre, region, peerAddress, slots, newState, startedAtMs);
    }
}
