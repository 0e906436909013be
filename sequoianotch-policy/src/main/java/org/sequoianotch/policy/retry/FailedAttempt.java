package org.sequoianotch.policy.retry;

import java.util.Objects;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.template.RepeatRule;

/**
 * Failed attempt of a call, for which a retry policy decides whether to retry.
 *
 * <p>This type is immutable.
 *
 * @param failure failure of the attempt; not null
 * @param repeat the repeat rule of the route; not null
 * @param criticality importance of the request; not null
 * @param attempts number of attempts made so far; at least 1
 * @param timeLeftMs time until the deadline, in milliseconds; negative after it
 */
public record FailedAttempt(
        Failure failure, RepeatRule repeat, Criticality criticality, int attempts, double timeLeftMs) {
    /**
     * Checks the number of attempts.
     *
     * @throws IllegalArgumentException if there are fewer than 1 attempts
     */
    public FailedAttempt {
        Objects.requireNonNull(failure, "failure");
        Objects.requireNonNull(repeat, "repeat");
        Objects.requireNonNull(criticality, "criticality");
        if (attempts < 1) {
            throw new IllegalArgumentException("attempts is " + attempts + ", but must be at least 1");
        }
    }
}
