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
 * @param criticality criticality of the requests; not null
 * @param goodPercent part of the requests that must be good, in percent; above 0 and below 100
 * @param latencyMs time within which a request must complete to count as good, in milliseconds; positive
 */
public record Objective(ServiceName service, Criticality criticality, double goodPercent, long latencyMs) {
    private static final double MAX_PERCENT = 100.0;

    /** Checks the ranges of the percentage and the latency. */
    public Objective {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(criticality, "criticality");
        if (!(goodPercent > 0 && goodPercent < MAX_PERCENT) || latencyMs <= 0) {
            throw new IllegalArgumentException(
                    "goodPercent " + goodPercent + " or latencyMs " + latencyMs + " is out of range");
        }
    }

    /**
     * Returns the fraction of requests that need not be good.
     *
     * @return a fraction above 0 and below 1
     */
    public double errorBudget() {
        return 1.0 - goodPercent / MAX_PERCENT;
    }
}
