package org.sequoianotch.policy.admission;

import java.util.Objects;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.RequestId;

/**
 * Attributes of a call by which it is admitted, queued or refused.
 *
 * <p>This type is immutable.
 *
 * @param requestId the request; not null
 * @param criticality importance of the request; not null
 * @param depth number of calls above this one in the call chain, a measure of the work already spent; not negative
 * @param deadlineAtMs deadline on the monotonic clock, in milliseconds
 * @param targetAtMs time until which a response has its full value for the caller, on the monotonic clock, in
 *     milliseconds; positive infinity if there is none
 */
public record AdmissionRequest(
        RequestId requestId, Criticality criticality, int depth, double deadlineAtMs, double targetAtMs) {
    /**
     * Checks the depth.
     *
     * @throws IllegalArgumentException if the depth is negative
     */
    public AdmissionRequest {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(criticality, "criticality");
        if (depth < 0) {
            throw new IllegalArgumentException("depth is " + depth + ", but must not be negative");
        }
    }

    /**
     * Creates a request without a target.
     *
     * @param requestId the request; not null
     * @param criticality importance of the request; not null
     * @param depth number of calls above this one in the call chain; not negative
     * @param deadlineAtMs deadline on the monotonic clock, in milliseconds
     */
    public AdmissionRequest(RequestId requestId, Criticality criticality, int depth, double deadlineAtMs) {
        this(requestId, criticality, depth, deadlineAtMs, Double.POSITIVE_INFINITY);
    }
}
