package org.sequoianotch.proof.standin;

/**
 * Faults that a stand-in backend server injects into its responses.
 *
 * <p>This type is immutable.
 *
 * @param slowFactor factor by which the work time of each request is multiplied; at least 0
 * @param errorFraction fraction of the requests that immediately receive status 500; from 0 to 1
 * @param truncateResponses whether it closes the connection in the middle of each response
 * @param hang whether it accepts requests and never responds
 */
public record InjectedFaults(double slowFactor, double errorFraction, boolean truncateResponses, boolean hang) {
    /** No faults. */
    public static final InjectedFaults NONE = new InjectedFaults(1.0, 0.0, false, false);

    /** Checks the ranges of the factor and the fraction. */
    public InjectedFaults {
        if (!(slowFactor >= 0) || !(errorFraction >= 0 && errorFraction <= 1)) {
            throw new IllegalArgumentException(
                    "slowFactor must be at least 0 and errorFraction from 0 to 1, but got slowFactor " + slowFactor
                            + " and errorFraction " + errorFraction);
        }
    }

    /**
     * Returns a copy with another slow-down.
     *
     * @param newSlowFactor factor by which the work time of each request is multiplied; at least 0
     * @return the copy, never null
     */
    public InjectedFaults withSlowFactor(double newSlowFactor) {
        return new InjectedFaults(newSlowFactor, errorFraction, truncateResponses, hang);
    }

    /**
     * Returns a copy with another error rate.
     *
     * @param newErrorFraction fraction of the requests that immediately receive status 500; from 0 to 1
     * @return the copy, never null
     */
    public InjectedFaults withErrorFraction(double newErrorFraction) {
        return new InjectedFaults(slowFactor, newErrorFraction, truncateResponses, hang);
    }

    /**
     * Returns a copy that does or does not truncate responses.
     *
     * @param newTruncateResponses whether it closes the connection in the middle of each response
     * @return the copy, never null
     */
    public InjectedFaults withTruncatedResponses(boolean newTruncateResponses) {
        return new InjectedFaults(slowFactor, errorFraction, newTruncateResponses, hang);
    }

    /**
     * Returns a copy that does or does not hang.
     *
     * @param newHang whether it accepts requests and never responds
     * @return the copy, never null
     */
    public InjectedFaults withHang(boolean newHang) {
        return new InjectedFaults(slowFactor, errorFraction, truncateResponses, newHang);
    }
}
