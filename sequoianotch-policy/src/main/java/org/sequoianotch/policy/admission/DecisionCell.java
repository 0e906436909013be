package org.sequoianotch.policy.admission;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;

/**
 * Holds the decision about one call until a waiting thread or a callback takes it.
 *
 * <p>This class is thread-safe. The first decision counts; later ones are ignored.
 */
public final class DecisionCell {
    private final CompletableFuture<Either<Failure, Permit>> decision = new CompletableFuture<>();

    /** Creates a cell without a decision. */
    public DecisionCell() {}

    /**
     * Returns the failure of a call that was cancelled before it was admitted.
     *
     * @return a failure that proves that the call did not run, never null
     */
    public static Failure cancelled() {
        return new Failure(ErrorKind.OVERLOADED, "The call was cancelled while it waited to be admitted.", 0);
    }

    /**
     * Sets the decision. Callbacks run on this thread, so no lock may be held.
     *
     * @param value the permit, or the failure; not null
     */
    public void decide(Either<Failure, Permit> value) {
        decision.complete(value);
    }

    /**
     * Passes the decision on when it is made.
     *
     * @param consumer receives the decision; not null
     */
    public void whenDecided(Consumer<Either<Failure, Permit>> consumer) {
        decision.thenAccept(consumer);
    }

    /**
     * Waits for the decision without a time limit.
     *
     * @param onInterrupt makes the call leave its queue if the thread is interrupted; not null
     * @return the decision, never null
     */
    public Either<Failure, Permit> await(Runnable onInterrupt) {
        boolean interrupted = false;
        try {
            while (true) {
                try {
                    return decision.get();
                } catch (InterruptedException e) {
                    interrupted = true;
                    onInterrupt.run();
                } catch (ExecutionException e) {
                    throw new IllegalStateException("A decision cannot end with an exception", e);
                }
            }
        } finally {
            if (interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /**
     * Waits for the decision for a limited time.
     *
     * @param waitMs the longest wait in milliseconds
     * @return true if the decision is made
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean awaitFor(long waitMs) throws InterruptedException {
        try {
            decision.get(waitMs, TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException e) {
            return false;
        } catch (ExecutionException e) {
            throw new IllegalStateException("A decision cannot end with an exception", e);
        }
    }
}
