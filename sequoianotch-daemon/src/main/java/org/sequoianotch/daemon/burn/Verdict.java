package org.sequoianotch.daemon.burn;

import java.util.Locale;
import java.util.Optional;
import org.sequoianotch.daemon.explain.RequestSummary;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.template.Objective;

/** What a request counts as under an objective. The order of the constants is the order on the wire. */
public enum Verdict {
    /** It completed in time. */
    GOOD,
    /** It was refused because of overload. */
    SHED,
    /** It completed too late, or its deadline passed before it ran. */
    LATE,
    /** It failed, and it is known how: an error of the backend server, or no instance in reach. */
    FAILED,
    /** It may or may not have run. */
    UNKNOWN;

    private static final int SERVER_ERROR = 500;

    /**
     * Judges a request.
     *
     * @param summary how it ended; not null
     * @param objective the objective that covers it; not null
     * @return the verdict, or empty if the caller made a mistake or left early enough, so that it does not count
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
                // A caller that waited longer than the objective allows probably left because of that.
            case CALLER_GONE -> late ? Optional.of(LATE) : Optional.empty();
        };
    }

    /**
     * Returns the name used in reports.
     *
     * @return the code in lower case, never null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
