package org.sequoianotch.template;

import java.util.Objects;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.ServiceName;

/**
 * Service-level objective for one service and criticality.
 *
 * <p>This type is immutable.
 *
 * @param service the service; not null
 * @param criticality the class of requests; not null
 * @param goodPercent share of requests that must be good, in percent; above 0 and below 100
 * @param latencyMs a request counts as good only if it completed within this time, in milliseconds; positive
 */
public record Objective(ServiceName service, Criticality criticality, double goodPercent, long latencyMs) {
    private static final double MAX_PERCENT = 100.0;

    /** Checks the components. */
    public Objective {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(criticality, "criticality");
        if (!(goodPercent > 0 && goodPercent < MAX_PERCENT) || latencyMs <= 0) {
            throw new IllegalArgumentException(
                    "goodPercent " + goodPercent + " or latencyMs " + latencyMs + " is out of range");
        }
    }

    /**
     * Returns the part of requests that may be bad.
     *
     * @return a fraction above 0 and below 1
     */
    public double errorBudget() {
        return 1.0 - goodPercent / MAX_PERCENT;
    }
}
