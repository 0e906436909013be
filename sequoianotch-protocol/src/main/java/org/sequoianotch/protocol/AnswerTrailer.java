package org.sequoianotch.protocol;

import java.util.Objects;
import org.sequoianotch.model.LoadReport;

/**
 * What comes back at the end of a call, whether answered or refused.
 *
 * <p>This type is immutable.
 *
 * @param returnedRetries retries of the share that the callee did not use; not negative
 * @param load load of the instance; not null
 */
public record AnswerTrailer(int returnedRetries, LoadReport load) {
    /** Checks the components. */
    public AnswerTrailer {
        Objects.requireNonNull(load, "load");
        if (returnedRetries < 0) {
            throw new IllegalArgumentException("returnedRetries is " + returnedRetries + ", but must not be negative");
        }
    }
}
