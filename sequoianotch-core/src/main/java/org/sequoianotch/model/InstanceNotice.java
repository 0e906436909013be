package org.sequoianotch.model;

/**
 * What an instance has said about itself in its responses, in the form in which nodes exchange it.
 *
 * <p>The node beside the instance sends its notice with each response. Other nodes keep it and send it back with their
 * calls, because a node forgets it when its process is restarted.
 *
 * <p>This type is immutable.
 *
 * @param incarnation number that differs between the incarnations of the instances on one host
 * @param version number that the node raises with each change, across incarnations; positive
 * @param maxRequestsPerS requests per second that the instance takes from all nodes together; not negative,
 *     {@link #UNLIMITED} if it names no rate
 * @param leaving whether the instance has said that it is leaving, which holds until the end of its incarnation
 */
public record InstanceNotice(long incarnation, long version, double maxRequestsPerS, boolean leaving) {
    /** Value of {@code maxRequestsPerS} for an instance that names no rate. */
    public static final double UNLIMITED = Double.POSITIVE_INFINITY;

    /**
     * Checks the numbers.
     *
     * @throws IllegalArgumentException if the version is not positive, or the rate is negative or not a number
     */
    public InstanceNotice {
        if (version <= 0) {
            throw new IllegalArgumentException("version is " + version + ", but must be positive");
        }
        if (!(maxRequestsPerS >= 0)) {
            throw new IllegalArgumentException(
                    "maxRequestsPerS is " + maxRequestsPerS + ", but must be a number that is not negative");
        }
    }

    /**
     * Tells whether another notice says the same about the same incarnation, whatever its version.
     *
     * @param other the other notice; not null
     * @return true if only the versions may differ
     */
    public boolean hasContentOf(InstanceNotice other) {
        return incarnation == other.incarnation && maxRequestsPerS == other.maxRequestsPerS && leaving == other.leaving;
    }

    /**
     * Returns a copy with a different version.
     *
     * @param newVersion the version; positive
     * @return the copy, never null
     */
    public InstanceNotice withVersion(long newVersion) {
        return new InstanceNotice(incarnation, newVersion, maxRequestsPerS, leaving);
    }
}
