package org.sequoianotch.policy.routing;

import org.jspecify.annotations.Nullable;
import org.sequoianotch.model.LoadReport;

/** One attempt at an instance, counted as in flight until it is finished. */
public interface Attempt {
    /**
     * Ends the attempt. Later calls have no effect.
     *
     * @param result result of the attempt; not null
     * @param latencyMs duration of the attempt, in milliseconds; not negative
     * @param load load report that was received, or null if there was none
     */
    void finish(AttemptResult result, double latencyMs, @Nullable LoadReport load);
}
