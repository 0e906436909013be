package org.sequoianotch.policy.admission;

import io.vavr.control.Either;
import java.util.Objects;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.task.Signal;

/**
 * Promise of the admission decision about one call, for a waiting thread or a callback.
 *
 * <p>The first decision is kept; later ones are ignored. This class is thread-safe.
 */
public final class AdmissionPromise {
    private final Signal decided = new Signal();
    private @Nullable Either<Failure, Permit> decision;
    private @Nullable Consumer<Either<Failure, Permit>> consumer;

    /** Creates a promise without a decision. */
    public AdmissionPromise() {}

    /**
     * Returns the failure of a call that was cancelled before it was admitted.
     *
     * @return a failure that proves that the call did not run, never null
     */
    public static Failure cancelled() {
        return new Failure(ErrorKind.OVERLOADED, "The call was cancelled while it waited to be admitted.", 0);
    }

    /**
     * Sets the decision. The callback runs on the calling thread, which must hold no lock.
     *
     * @param value the permit, or the failure; not null
     */
    public void complete(Either<Failure, Permit> value) {
        Consumer<Either<Failure, Permit>> registered;
        synchronized (this) {
            if (decision != null) {
                return;
            }
            decision = value;
            registered = consumer;
        }
        decided.raise();
        if (registered != null) {
            registered.accept(value);
        }
    }

    /**
     * Delivers the decision to a callback once it is made, or at once if it is already made.
     *
     * @param newConsumer receives the decision; not null; replaces an earlier callback
     */
    public void whenDecided(Consumer<Either<Failure, Permit>> newConsumer) {
        Either<Failure, Permit> existing;
        synchronized (this) {
            existing = decision;
            consumer = newConsumer;
        }
        if (existing != null) {
            newConsumer.accept(existing);
        }
    }

    /**
     * Waits for the decision without a time limit.
     *
     * @param onInterrupt removes the call from its queue if the thread is interrupted; not null
     * @return the decision, never null
     */
    public Either<Failure, Permit> await(Runnable onInterrupt) {
        decided.awaitUninterruptibly(this::isDecided, onInterrupt);
        return decision();
    }

    /**
     * Waits for the decision for a limited time.
     *
     * @param waitMs maximum wait in milliseconds
     * @return true if the decision was made within that time
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean awaitFor(long waitMs) throws InterruptedException {
        return decided.await(this::isDecided, waitMs);
    }

    private synchronized boolean isDecided() {
        return decision != null;
    }

    private synchronized Either<Failure, Permit> decision() {
        return Objects.requireNonNull(decision, "decision");
    }
}
