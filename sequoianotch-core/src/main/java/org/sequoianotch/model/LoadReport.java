package org.sequoianotch.model;

/**
 * Load of one instance, measured by its node and sent with every response and refusal.
 *
 * <p>The admission level is a number from 0 to 3. Its integer part is the number of criticalities that are admitted
 * without restriction, and its fractional part is the fraction admitted of the next one. A level of 3.0 admits all
 * requests, and a level of 1.5 admits all critical requests and half of the standard ones.
 *
 * <p>This type is immutable.
 *
 * @param inFlight calls that the backend server is running; not negative
 * @param limit largest number of calls that may run at the backend server concurrently; at least 1
 * @param queued calls waiting in the node's queue; not negative
 * @param admissionLevel from 0 (no requests) to 3 (all requests); the lowest level among the instance and its
 *     downstream services
 * @param instanceLevel admission level of the instance alone, without its downstream services, which affect other
 *     instances of the service as well; at least {@code admissionLevel} and at most 3
 * @param maxRequestsPerS requests per second that the instance takes from all nodes together; not negative,
 *     {@link InstanceNotice#UNLIMITED} if it names no rate
 */
public record LoadReport(
        int inFlight, int limit, int queued, double admissionLevel, double instanceLevel, double maxRequestsPerS) {
    /** Admission level at which every request is admitted. */
    public static final double ADMIT_ALL = Criticality.values().length;

    /** Checks the ranges of the numbers and the order of the two levels. */
    public LoadReport {
        if (inFlight < 0 || queued < 0 || limit < 1) {
            throw new IllegalArgumentException(
                    "inFlight " + inFlight + ", limit " + limit + " or queued " + queued + " is out of range");
        }
        if (!(admissionLevel >= 0 && admissionLevel <= instanceLevel && instanceLevel <= ADMIT_ALL)) {
            throw new IllegalArgumentException("admissionLevel is " + admissionLevel + " and instanceLevel is "
                    + instanceLevel + ", but must be from 0 to " + ADMIT_ALL
                    + ", and instanceLevel must not be the lower one");
        }
        if (!(maxRequestsPerS >= 0)) {
            throw new IllegalArgumentException(
                    "maxRequestsPerS is " + maxRequestsPerS + ", but must be a number that is not negative");
        }
    }

    /**
     * Creates the report of an instance that names no rate.
     *
     * @param inFlight calls that the backend server is running; not negative
     * @param limit largest number of calls that may run at the backend server concurrently; at least 1
     * @param queued calls waiting in the node's queue; not negative
     * @param admissionLevel from 0 (no requests) to 3 (all requests)
     * @param instanceLevel admission level of the instance alone; at least {@code admissionLevel} and at most 3
     */
    public LoadReport(int inFlight, int limit, int queued, double admissionLevel, double instanceLevel) {
        this(inFlight, limit, queued, admissionLevel, instanceLevel, InstanceNotice.UNLIMITED);
    }

    /**
     * Creates the report of an instance without downstream services that names no rate.
     *
     * @param inFlight calls that the backend server is running; not negative
     * @param limit largest number of calls that may run at the backend server concurrently; at least 1
     * @param queued calls waiting in the node's queue; not negative
     * @param admissionLevel from 0 (no requests) to 3 (all requests)
     */
    public LoadReport(int inFlight, int limit, int queued, double admissionLevel) {
        this(inFlight, limit, queued, admissionLevel, admissionLevel);
    }

    /**
     * Returns whether the instance names the requests per second that it takes. Its level then says nothing about
     * other instances of its service.
     *
     * @return true if it names a rate
     */
    public boolean isRateLimited() {
        return maxRequestsPerS != InstanceNotice.UNLIMITED;
    }

    /**
     * Returns the fraction of the requests of a criticality that the instance and its downstream services admit.
     *
     * @param criticality the criticality; not null
     * @return a fraction from 0 to 1
     */
    public double admittedFraction(Criticality criticality) {
        return admittedFractionAt(admissionLevel, criticality);
    }

    /**
     * Returns the fraction of the requests of a criticality that the instance alone admits.
     *
     * @param criticality the criticality; not null
     * @return a fraction from 0 to 1
     */
    public double fractionAdmittedByInstance(Criticality criticality) {
        return admittedFractionAt(instanceLevel, criticality);
    }

    private static double admittedFractionAt(double level, Criticality criticality) {
        return Math.clamp(level - criticality.ordinal(), 0.0, 1.0);
    }

    /**
     * Returns the load of the instance, including its queue, relative to its limit.
     *
     * @return number of calls in flight and queued, divided by the limit; may exceed 1
     */
    public double utilisation() {
        return (double) (inFlight + queued) / limit;
    }
}
