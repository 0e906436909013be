package org.sequoianotch.daemon.call;

import java.util.Objects;
import java.util.OptionalDouble;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.model.InstanceNotice;

/**
 * What an instance says about itself in one response.
 *
 * <p>This type is immutable.
 *
 * @param maxRequestsPerS requests per second that the instance takes from all nodes together; not negative,
 *     {@link InstanceNotice#UNLIMITED} if the response names no rate; empty if the rate cannot be read, which leaves
 *     the one in force unchanged; not null
 * @param leaving whether the response says that the instance is leaving
 * @param problem why a part of the statement cannot be read, or null if all of it was read
 */
public record InstanceStatement(OptionalDouble maxRequestsPerS, boolean leaving, @Nullable String problem) {
    /** A response in which the instance says nothing about itself. */
    public static final InstanceStatement NONE =
            new InstanceStatement(OptionalDouble.of(InstanceNotice.UNLIMITED), false, null);

    /**
     * Checks the rate.
     *
     * @throws IllegalArgumentException if the rate is negative or not a number
     */
    public InstanceStatement {
        Objects.requireNonNull(maxRequestsPerS, "maxRequestsPerS");
        if (maxRequestsPerS.isPresent() && !(maxRequestsPerS.getAsDouble() >= 0)) {
            throw new IllegalArgumentException("maxRequestsPerS is " + maxRequestsPerS.getAsDouble()
                    + ", but must be a number that is not negative");
        }
    }
}
