package org.sequoianotch.protocol;

import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.model.InstanceNotice;
import org.sequoianotch.model.LoadReport;

/**
 * Trailer of a response or a refusal, which ends a call.
 *
 * <p>This type is immutable.
 *
 * @param returnedRetries retries granted with the call that the callee did not use; not negative
 * @param load load of the instance that served the call; not null
 * @param notice what the instance has said about itself, or null if that is nothing
 */
public record ResponseTrailer(int returnedRetries, LoadReport load, @Nullable InstanceNotice notice) {
    /** Checks that the number of retries is not negative. */
    public ResponseTrailer {
        Objects.requireNonNull(load, "load");
        if (returnedRetries < 0) {
            throw new IllegalArgumentException("returnedRetries is " + returnedRetries + ", but must not be negative");
        }
    }

    /**
     * Creates the trailer of a call to an instance that has said nothing about itself.
     *
     * @param returnedRetries retries granted with the call that the callee did not use; not negative
     * @param load load of the instance that served the call; not null
     */
    public ResponseTrailer(int returnedRetries, LoadReport load) {
        this(returnedRetries, load, null);
    }
}
