package org.sequoianotch.daemon.admin;

import java.util.List;
import java.util.Objects;

/** Result of a template change. Implementations are immutable. */
public sealed interface ChangeResult {
    /**
     * The change was committed, or would be committed if it were not a dry run.
     *
     * @param revision the revision that the change created, or would create after a dry run
     * @param difference line difference to the template in force; not null, may be empty
     */
    record Accepted(long revision, String difference) implements ChangeResult {
        /** Checks that no component is null. */
        public Accepted {
            Objects.requireNonNull(difference, "difference");
        }
    }

    /**
     * The change was refused.
     *
     * @param refusal the reason; not null
     * @param detail message for the operator, which names the author of a conflicting change; not null
     * @param problems validation errors of the template, one line each; not null, may be empty
     * @param difference line difference to the template in force or to the earlier change; not null, may be empty
     */
    record Refused(ChangeRefusal refusal, String detail, List<String> problems, String difference)
            implements ChangeResult {
        /** Checks that no component is null and copies the list. */
        public Refused {
            Objects.requireNonNull(refusal, "refusal");
            Objects.requireNonNull(detail, "detail");
            Objects.requireNonNull(difference, "difference");
            problems = List.copyOf(problems);
        }
    }
}
