package org.sequoianotch.daemon.call;

import org.sequoianotch.daemon.http.BackendClient;
import org.sequoianotch.model.BackendState;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.policy.admission.AdmissionControl;
import org.sequoianotch.template.ServiceRule;

/**
 * The instance of a service on this node's host, as its backend server announced it.
 *
 * <p>This type is immutable. Its admission control and client are thread-safe.
 *
 * @param service the service; not null
 * @param port port at which the backend server listens
 * @param slots largest number of concurrent calls; at least 1
 * @param state the announced state; not null
 * @param instanceId id of the process, or empty if it has none; not null
 * @param acceptsUntilMs until when a draining instance still accepts calls, on the monotonic clock, in milliseconds
 * @param leaseUntilMs end of the lease on the monotonic clock, in milliseconds
 * @param startedAtMs time of the first announcement, in milliseconds since the Unix epoch
 * @param rule limits that the admission was created with; not null
 * @param admission admission control of calls; not null
 * @param notice what the instance says about itself; not null
 * @param client connections to the backend server; not null
 */
record LocalInstance(
        ServiceName service,
        int port,
        int slots,
        BackendState state,
        String instanceId,
        double acceptsUntilMs,
        double leaseUntilMs,
        long startedAtMs,
        ServiceRule rule,
        AdmissionControl admission,
        LocalNotice notice,
        BackendClient client) {
    LocalInstance withLease(BackendState newState, double newAcceptsUntilMs, double newLeaseUntilMs) {
        return new LocalInstance(
                service,
                port,
                slots,
                newState,
                instanceId,
                newAcceptsUntilMs,
                newLeaseUntilMs,
                startedAtMs,
                rule,
                admission,
                notice,
                client);
    }

    LocalInstance withAdmission(ServiceRule newRule, AdmissionControl newAdmission) {
        return new LocalInstance(
                service,
                port,
                slots,
                state,
                instanceId,
                acceptsUntilMs,
                leaseUntilMs,
                startedAtMs,
                newRule,
                newAdmission,
                notice,
                client);
    }

    /** Tells whether calls may be sent to the instance. A draining one accepts them until all nodes know of it. */
    boolean accepts(double nowMs) {
        return state.acceptsWork() || nowMs < acceptsUntilMs;
    }
}
