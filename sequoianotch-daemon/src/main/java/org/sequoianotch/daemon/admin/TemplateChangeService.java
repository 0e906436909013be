package org.sequoianotch.daemon.admin;

import java.util.List;
import java.util.Optional;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.OrganisationName;

/** Applies template changes. Implementations are thread-safe and may block. */
@FunctionalInterface
public interface TemplateChangeService {
    /** Refuses every change; used on a node whose settings name no control group. */
    TemplateChangeService NONE =
            (organisation, text, expectedRevision, changeId, operatorName, dryRun) -> new ChangeResult.Refused(
                    ChangeRefusal.NO_CONTROL_GROUP,
                    "The settings of this node name no control group, so templates can be changed only in the template"
                            + " files.",
                    List.of(),
                    "");

    /**
     * Applies a change, or evaluates it as a dry run.
     *
     * @param organisation the organisation; not null
     * @param text the whole template as INI text, already validated; not null
     * @param expectedRevision the revision that the operator expects to be in force
     * @param changeId idempotency key of the change: a resend with the same id is applied only once; not null
     * @param operatorName name of the operator who submits the change; not null
     * @param dryRun true to evaluate the change without committing it
     * @return the result of the change, never null
     * @throws InterruptedException if the thread is interrupted while waiting, for example because the node stops
     */
    ChangeResult apply(
            OrganisationName organisation,
            String text,
            long expectedRevision,
            String changeId,
            String operatorName,
            boolean dryRun)
            throws InterruptedException;

    /**
     * Returns the host of the leader of the control group.
     *
     * @return the host, or empty if no leader is known
     */
    default Optional<HostId> leader() {
        return Optional.empty();
    }
}
