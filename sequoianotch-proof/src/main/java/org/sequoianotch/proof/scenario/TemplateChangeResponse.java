package org.sequoianotch.proof.scenario;

import java.util.Objects;

/**
 * Response that an operator received to a template change.
 *
 * <p>This type is immutable.
 *
 * @param change the change; not null
 * @param code {@code accepted}, {@code would_be_accepted} for a dry run, the error code of the node, or
 *     {@code no_answer} if no response arrived; not null
 * @param revision the revision that the accepted change created, or -1 if the response has none
 * @param body the response body, or the error message if no response arrived; not null
 */
record TemplateChangeResponse(Change change, String code, long revision, String body) {
    TemplateChangeResponse {
        Objects.requireNonNull(change, "change");
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(body, "body");
    }

    boolean isAccepted() {
        return code.equals("accepted");
    }

    /**
     * A submitted template change.
     *
     * @param organisation organisation of the template; not null
     * @param text complete text of the template; not null
     * @param setting the changed setting, such as {@code deadline_ms=2100}; not null
     * @param expectedRevision revision on which the change is based
     * @param changeId id of the change; not null
     * @param operator operator who submitted the change; not null
     * @param dryRun whether only the difference is requested and nothing is changed
     */
    record Change(
            String organisation,
            String text,
            String setting,
            long expectedRevision,
            String changeId,
            String operator,
            boolean dryRun) {}
}
