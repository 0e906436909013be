package org.sequoianotch.daemon.burn;

import java.util.Locale;
import java.util.Optional;
import org.sequoianotch.daemon.explain.RequestSummary;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.template.Objective;

/**
 * How a request counts towards an objective.
 *
 * <p>The order of the constants is the order of the counts on the wire.
 */
public enum Verdict {
    /** The request completed in time. */
    GOOD,
    /** The request was refused because of overload. */
    SHED,
    /** The request completed too late, or its deadline expired before it ran. */
    LATE,
    /** The request failed in a known way: the backend server returned an error, or no instance was available. */
    FAILED,
    /** It is not certain whether the request ran. */
    UNKNOWN;

    private static final int SERVER_ERROR = 500;

    /**
     * Classifies a request.
     *
     * @param summary how the request ended; not null
     * @param objective the objective that applies to the request; not null
     * @return the verdict, or empty if the request does not count, because the caller sent an invalid request or closed
     *     its connection within the latency of the objective
     */
    public static Optional<Verdict> of(RequestSummary summary, Objective objective) {
        boolean late = summary.latencyMs() > objective.latencyMs();
        Optional<ErrorKind> error = summary.error();
        if (error.isPresent()) {
            return ofError(error.get(), late);
        }
        if (summary.status() >= SERVER_ERROR) {
            return Optional.of(FAILED);
        }
        return Optional.of(late ? LATE : GOOD);
    }

    private static Optional<Verdict> ofError(ErrorKind kind, boolean late) {
        return switch (kind) {
            case OVERLOADED, INSTANCE_REFUSED, RETRIES_EXHAUSTED -> Optional.of(SHED);
            case DEADLINE_BEFORE_RUN -> Optional.of(LATE);
            case NO_INSTANCE, DRAINING, NOT_CONFIGURED, LEDGER_NOT_READY, INTERNAL -> Optional.of(FAILED);
            case KEY_IN_PROGRESS,
                    KEY_IN_DOUBT,
                    LEDGER_UNREACHABLE,
                    DEADLINE_IN_DOUBT,
                    CONNECTION_LOST,
                    BACKEND_CUT_ANSWER -> Optional.of(UNKNOWN);
            case BAD_REQUEST, UNKNOWN_SERVICE, KEY_REQUIRED, KEY_REUSED, BODY_INCOMPLETE, BODY_TOO_LARGE -> Optional
                    .empty();
                // A caller that closed its connection later than the objective allows probably gave up waiting.
            case CALLER_GONE, CALL_CANCELLED -> late ? Optional.of(LATE) : Optional.empty();
        };
    }

    /**
     * Returns the name that is used in reports.
     *
     * @return the name in lower case, never null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
