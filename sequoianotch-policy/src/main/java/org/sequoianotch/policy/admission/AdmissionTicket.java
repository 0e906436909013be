package org.sequoianotch.policy.admission;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.sequoianotch.error.Failure;

/** Place of one call in the admission of an instance. This type is thread-safe. */
public interface AdmissionTicket {
    /**
     * Waits until the call is admitted or refused. The wait is bounded by the queue time limit and the deadline.
     *
     * @return the permit, or the failure, which always proves that the call did not run
     */
    Either<Failure, Permit> await();

    /**
     * Passes the decision on as soon as it is made, as an alternative to {@link #await} that does not block. The
     * consumer runs on the thread that makes the decision, or on this one if it is already made.
     *
     * @param consumer receives the permit, or the failure; not null
     */
    void whenDecided(Consumer<Either<Failure, Permit>> consumer);

    /** Removes the call from the queue; {@link #await} then returns a failure. Does nothing after the call ended. */
    void cancel();
}
