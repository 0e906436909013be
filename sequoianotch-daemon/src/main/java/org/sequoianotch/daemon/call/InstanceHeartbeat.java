package org.sequoianotch.daemon.call;

import java.util.Objects;
import org.sequoianotch.model.BackendState;
import org.sequoianotch.model.ServiceName;

/**
 * A heartbeat of an instance. It may arrive late, even after heartbeats of a later incarnation.
 *
 * <p>This type is immutable.
 *
 * @param instanceId id of the instance, which a later incarnation may reuse; not null, not empty
 * @param startedAtMs start of the incarnation, in milliseconds since the Unix epoch; zero if it is not known
 * @param sequence sequence number of the heartbeat within its incarnation
 * @param service the service; not null
 * @param port port at which the instance listens
 * @param slots largest number of concurrent calls
 * @param state state of the instance; not null
 */
public record InstanceHeartbeat(
        String instanceId,
        long startedAtMs,
        long sequence,
        ServiceName service,
        int port,
        int slots,
        BackendState state) {
    /**
     * Checks the instance id.
     *
     * @throws IllegalArgumentException if the instance id is empty
     */
    public InstanceHeartbeat {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(state, "state");
        if (instanceId.isEmpty()) {
            throw new IllegalArgumentException("instanceId is empty, but must not be");
        }
    }

    /**
     * Returns a number for the incarnation. Two incarnations on one host have different start times or ids.
     *
     * @return the number, which is the same in each process
     */
    public long incarnation() {
        return 31 * startedAtMs + instanceId.hashCode();
    }
}
