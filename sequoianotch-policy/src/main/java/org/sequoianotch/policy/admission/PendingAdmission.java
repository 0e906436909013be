package org.sequoianotch.policy.admission;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.sequoianotch.error.Failure;

/** Call that was submitted for admission and waits for the decision. Implementations are thread-safe. */
public interface PendingAdmission {
    /**
     * Waits until the call is admitted or refused. The wait is bounded by the queue time limit and the deadline.
     *
     * @return the permit, or the failure, which always proves that the call did not run; never null
     */
    Either<Failure, Permit> await();

    /**
     * Delivers the decision to a callback, as the non-blocking alternative to {@link #await}. The callback runs on the
     * thread that makes the decision, or on the calling thread if the decision is already made.
     *
     * @param consumer receives the permit, or the failure; not null
     */
    void whenDecided(Consumer<Either<Failure, Permit>> consumer);

    /** Removes the call from the queue, so that {@link #await} returns a failure. Has no effect after the decision. */
    void cancel();
}
