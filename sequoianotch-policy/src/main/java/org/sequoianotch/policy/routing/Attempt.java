package org.sequoianotch.policy.routing;

import org.jspecify.annotations.Nullable;
import org.sequoianotch.model.LoadReport;

/** One attempt at an instance, counted as in flight until it is finished. */
public interface Attempt {
    /**
     * Ends the attempt. Later calls do nothing.
     *
     * @param result how it ended; not null
     * @param latencyMs time that it took, in milliseconds; not negative
     * @param load load report that came back, or null if none did
     */
    void finish(AttemptResult result, double latencyMs, @Nullable LoadReport load);
}
