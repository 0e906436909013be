package org.sequoianotch.control;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.sequoianotch.control.state.ControlError;
import org.sequoianotch.error.Failure;

/** Waits for the results of proposals. This class is stateless. */
final class ProposalResults {
    private ProposalResults() {}

    /** Waits for a result; after a timeout or an interrupt the change may still be accepted. */
    static Either<Failure, byte[]> await(CompletableFuture<Either<Failure, byte[]>> result, long timeoutMs) {
        try {
            return result.get(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            return Either.left(
                    ControlError.ANSWER_LOST.failure("No majority stored the change within " + timeoutMs + " ms."));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(ControlError.ANSWER_LOST.failure("The wait for the result was interrupted."));
        } catch (ExecutionException e) {
            return Either.left(ControlError.ANSWER_LOST.failure(String.valueOf(e.getCause())));
        }
    }
}
