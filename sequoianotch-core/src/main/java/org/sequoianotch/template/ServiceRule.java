package org.sequoianotch.template;

import java.util.Objects;
import org.sequoianotch.model.ServiceName;

/**
 * Limits of one service.
 *
 * <p>This type is immutable.
 *
 * @param service the service; not null
 * @param maxInFlight largest number of concurrent calls at one instance, an upper bound of its measured limit; at
 *     least 1
 * @param queueLength largest number of calls that wait at one instance; not negative
 * @param queueTimeMs longest wait of a call in the queue of one instance, in milliseconds; not negative
 * @param retryBudgetPercent retries that one node may add, in percent of its first attempts; from 0 to 100
 * @param slowStartMs time over which a cold instance reaches its full share, in milliseconds; not negative
 */
public record ServiceRule(
        ServiceName service,
        int maxInFlight,
        int queueLength,
        long queueTimeMs,
        int retryBudgetPercent,
        long slowStartMs) {
    private static final int MAX_PERCENT = 100;
    private static final int DEFAULT_MAX_IN_FLIGHT = 1_000;
    private static final int DEFAULT_QUEUE_LENGTH = 50;
    private static final long DEFAULT_QUEUE_TIME_MS = 100;
    private static final int DEFAULT_RETRY_BUDGET_PERCENT = 10;
    private static final long DEFAULT_SLOW_START_MS = 5_000;

    /** Checks the ranges of the limits. */
    public ServiceRule {
        Objects.requireNonNull(service, "service");
        if (maxInFlight < 1 || queueLength < 0 || queueTimeMs < 0 || slowStartMs < 0) {
            throw new IllegalArgumentException(
                    "service " + service + " has maxInFlight " + maxInFlight + ", queueLength "
                            + queueLength + ", queueTimeMs " + queueTimeMs + " and slowStartMs " + slowStartMs
                            + ", of which one is out of range");
        }
        if (retryBudgetPercent < 0 || retryBudgetPercent > MAX_PERCENT) {
            throw new IllegalArgumentException("retryBudgetPercent of service " + service + " is " + retryBudgetPercent
                    + ", but must be from 0 to " + MAX_PERCENT);
        }
    }

    /**
     * Creates the limits of a service for which its template sets none.
     *
     * @param service the service; not null
     * @return the limits, never null
     */
    public static ServiceRule ofDefaults(ServiceName service) {
        return new ServiceRule(
                service,
                DEFAULT_MAX_IN_FLIGHT,
                DEFAULT_QUEUE_LENGTH,
                DEFAULT_QUEUE_TIME_MS,
                DEFAULT_RETRY_BUDGET_PERCENT,
                DEFAULT_SLOW_START_MS);
    }
}
