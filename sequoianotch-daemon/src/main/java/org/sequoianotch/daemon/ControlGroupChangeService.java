package org.sequoianotch.daemon;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.control.ControlClient;
import org.sequoianotch.control.ControlGroup;
import org.sequoianotch.control.group.Member;
import org.sequoianotch.control.state.ChangeRequest;
import org.sequoianotch.control.state.LineDiff;
import org.sequoianotch.control.state.TemplateTexts;
import org.sequoianotch.daemon.admin.ChangeRefusal;
import org.sequoianotch.daemon.admin.ChangeResult;
import org.sequoianotch.daemon.admin.TemplateChangeService;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.OrganisationName;

/**
 * Applies template changes through the control group.
 *
 * <p>This class is thread-safe.
 */
final class ControlGroupChangeService implements TemplateChangeService {
    private static final int MAX_DIFFERENCE_LINES = 200;

    private final ControlClient client;
    private final @Nullable ControlGroup group;

    ControlGroupChangeService(ControlClient client, @Nullable ControlGroup group) {
        this.client = client;
        this.group = group;
    }

    @Override
    public ChangeResult apply(
            OrganisationName organisation,
            String text,
            long expectedRevision,
            String changeId,
            String operatorName,
            boolean dryRun) {
        return dryRun
                ? evaluate(organisation, text, expectedRevision)
                : commit(new ChangeRequest(changeId, operatorName, organisation, text, expectedRevision));
    }

    private ChangeResult evaluate(OrganisationName organisation, String text, long expectedRevision) {
        Either<Failure, TemplateTexts> read = client.read();
        if (read.isLeft()) {
            return new ChangeResult.Refused(
                    ChangeRefusal.NO_MAJORITY, read.getLeft().detail(), List.of(), "");
        }
        TemplateTexts current = read.get();
        String difference = difference(current, organisation, text);
        if (current.revision() != expectedRevision) {
            return new ChangeResult.Refused(
                    ChangeRefusal.REVISION_CONFLICT,
                    "The revision in force is " + current.revision() + ", not " + expectedRevision + ".",
                    List.of(),
                    difference);
        }
        return new ChangeResult.Accepted(current.revision() + 1, difference);
    }

    private static String difference(TemplateTexts current, OrganisationName organisation, String text) {
        String before = current.texts().getOrDefault(organisation, "");
        return String.join("\n", LineDiff.between(before, text, MAX_DIFFERENCE_LINES));
    }

    private ChangeResult commit(ChangeRequest request) {
        Either<Failure, org.sequoianotch.control.state.ChangeResult> response = client.apply(request);
        if (response.isLeft()) {
            return new ChangeResult.Refused(
                    ChangeRefusal.IN_DOUBT, response.getLeft().detail(), List.of(), "");
        }
        return switch (response.get()) {
            case org.sequoianotch.control.state.ChangeResult.Accepted accepted -> new ChangeResult.Accepted(
                    accepted.revision(), "");
            case org.sequoianotch.control.state.ChangeResult.Refused refused -> toRefused(refused);
        };
    }

    private static ChangeResult toRefused(org.sequoianotch.control.state.ChangeResult.Refused refused) {
        String lines = String.join("\n", refused.lines());
        return switch (refused.error()) {
            case INVALID_TEMPLATE -> new ChangeResult.Refused(
                    ChangeRefusal.INVALID, refused.detail(), refused.lines(), "");
            case CHANGE_ID_REUSED -> new ChangeResult.Refused(
                    ChangeRefusal.CHANGE_ID_REUSED, refused.detail(), List.of(), lines);
            case STALE_REVISION -> new ChangeResult.Refused(
                    ChangeRefusal.REVISION_CONFLICT,
                    refused.detail() + " The revision in force is " + refused.currentRevision() + ".",
                    List.of(),
                    lines);
            case NO_LEADER, ANSWER_LOST, STORAGE_FAILED, MEMBERS_NOT_CHANGED -> new ChangeResult.Refused(
                    ChangeRefusal.IN_DOUBT, refused.detail(), List.of(), "");
        };
    }

    @Override
    public Optional<HostId> leader() {
        return group == null ? Optional.empty() : group.status().leader().map(Member::host);
    }
}
