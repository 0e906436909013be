package org.sequoianotch.policy.admission;

import java.util.Objects;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.RequestId;

/**
 * What admission needs to know about a call.
 *
 * <p>This type is immutable.
 *
 * @param requestId the request; not null
 * @param criticality how much the request matters; not null
 * @param depth calls above this one in the chain, as the measure of work already spent; not negative
 * @param deadlineAtMs deadline on the monotonic clock, in milliseconds
 */
public record AdmissionRequest(RequestId requestId, Criticality criticality, int depth, double deadlineAtMs) {
    /** Checks the components. */
    public AdmissionRequest {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(criticality, "criticality");
        if (depth < 0) {
            throw new IllegalArgumentException("depth is " + depth + ", but must not be negative");
        }
    }
}
