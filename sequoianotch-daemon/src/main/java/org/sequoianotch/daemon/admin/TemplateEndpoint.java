package org.sequoianotch.daemon.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoianotch.daemon.http.BufferedResponse;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.membership.Member;
import org.sequoianotch.membership.MembershipView;
import org.sequoianotch.model.OrganisationName;
import org.sequoianotch.settings.SettingsProblem;
import org.sequoianotch.template.ProtectionTemplate;
import org.sequoianotch.template.TemplateParser;
import org.sequoianotch.time.Clock;

/**
 * Handles the requests that change a template: validates them, applies them and reports their propagation.
 *
 * <p>This class is thread-safe.
 */
final class TemplateEndpoint {
    private static final Logger LOG = LogManager.getLogger(TemplateEndpoint.class);
    /** A change and its metadata must fit into one frame of 256 KiB. */
    static final int MAX_TEMPLATE_BYTES = 240 * 1024;

    private static final long MAX_WAIT_MS = 120_000;
    private static final long WAIT_POLL_MS = 50;
    private static final String CHANGE_ID_PATTERN = "[A-Za-z0-9._-]{8,64}";

    private final TemplateChangeService templateChanges;
    private final Supplier<MembershipView> view;
    private final Clock clock;

    TemplateEndpoint(TemplateChangeService templateChanges, Supplier<MembershipView> view, Clock clock) {
        this.templateChanges = templateChanges;
        this.view = view;
        this.clock = clock;
    }

    /** Validated parameters of a template change. */
    private record Change(OrganisationName organisation, long expectedRevision, String changeId, boolean dryRun) {}

    BufferedResponse put(AdminRequest request, Either<Failure, byte[]> body, String organisation, String operator)
            throws InterruptedException {
        Either<BufferedResponse, Change> change = parseChange(request, organisation);
        Either<BufferedResponse, OptionalLong> waitMs = request.numberParameter("wait_ms", MAX_WAIT_MS);
        if (change.isLeft() || waitMs.isLeft()) {
            return change.isLeft() ? change.getLeft() : waitMs.getLeft();
        }
        if (body.isLeft()) {
            boolean tooLarge = body.getLeft().kind() == ErrorKind.BAD_REQUEST;
            AdminError error = tooLarge ? AdminError.TOO_LARGE : AdminError.BAD_REQUEST;
            return AdminResponses.error(error, body.getLeft().detail() + " Nothing was changed.");
        }
        String text = new String(body.get(), StandardCharsets.UTF_8);
        List<String> problems = validate(change.get().organisation(), text);
        if (!problems.isEmpty()) {
            String detail = "The template has problems. Nothing was changed.";
            return refused(new ChangeResult.Refused(ChangeRefusal.INVALID, detail, problems, ""));
        }
        return apply(change.get(), text, operator, waitMs.get().orElse(0));
    }

    private static Either<BufferedResponse, Change> parseChange(AdminRequest request, String organisation) {
        Either<BufferedResponse, OptionalLong> revision = request.numberParameter("expect_revision", Long.MAX_VALUE);
        if (revision.isLeft()) {
            return Either.left(revision.getLeft());
        }
        String changeId = request.parameter("change_id").orElse("");
        String dryRun = request.parameter("dry_run").orElse("false");
        if (revision.get().isEmpty() || !changeId.matches(CHANGE_ID_PATTERN)) {
            return badRequest(
                    "The parameters expect_revision and change_id (8 to 64 letters, digits, '.', '_' or '-') are"
                            + " required.");
        }
        if (!dryRun.equals("true") && !dryRun.equals("false")) {
            return badRequest("The parameter dry_run must be true or false, but is \"" + dryRun + "\".");
        }
        try {
            return Either.right(new Change(
                    OrganisationName.of(organisation), revision.get().getAsLong(), changeId, dryRun.equals("true")));
        } catch (IllegalArgumentException e) {
            return badRequest("The organisation in the path is not a valid name: " + e.getMessage());
        }
    }

    private static Either<BufferedResponse, Change> badRequest(String detail) {
        return Either.left(AdminResponses.error(AdminError.BAD_REQUEST, detail));
    }

    private static List<String> validate(OrganisationName organisation, String text) {
        Either<List<SettingsProblem>, ProtectionTemplate> parsed = TemplateParser.parse("template", text);
        if (parsed.isLeft()) {
            return parsed.getLeft().stream().map(SettingsProblem::toString).toList();
        }
        OrganisationName templateOrganisation = parsed.get().organisation();
        return templateOrganisation.equals(organisation)
                ? List.of()
                : List.of(
                        "The template is for organisation " + templateOrganisation + ", not for " + organisation + ".");
    }

    private BufferedResponse apply(Change change, String text, String operator, long waitMs)
            throws InterruptedException {
        ChangeResult result = templateChanges.apply(
                change.organisation(), text, change.expectedRevision(), change.changeId(), operator, change.dryRun());
        return switch (result) {
            case ChangeResult.Refused refused -> {
                LOG.info(
                        "[admin] Template change {} of {} by operator {} ended with error {}.",
                        change.changeId(),
                        change.organisation(),
                        operator,
                        refused.refusal().code());
                yield refused(refused);
            }
            case ChangeResult.Accepted accepted -> {
                if (!change.dryRun()) {
                    LOG.info(
                            "[admin] Operator {} changed the template of {}: revision {}, change id {}.",
                            operator,
                            change.organisation(),
                            accepted.revision(),
                            change.changeId());
                }
                yield accepted(change, accepted, waitMs);
            }
        };
    }

    private static BufferedResponse refused(ChangeResult.Refused refused) {
        ObjectNode json = AdminResponses.errorBody(refused.refusal().code(), refused.detail())
                .put("difference", refused.difference());
        ArrayNode problems = json.putArray("problems");
        refused.problems().forEach(problems::add);
        return AdminResponses.json(refused.refusal().status(), json);
    }

    private BufferedResponse accepted(Change change, ChangeResult.Accepted accepted, long waitMs)
            throws InterruptedException {
        ObjectNode json = JsonNodeFactory.instance
                .objectNode()
                .put("revision", accepted.revision())
                .put("change_id", change.changeId())
                .put("dry_run", change.dryRun())
                .put("difference", accepted.difference());
        if (!change.dryRun() && waitMs > 0) {
            addProgress(json, accepted.revision(), waitMs);
        }
        return AdminResponses.json(AdminResponses.OK, json);
    }

    private void addProgress(ObjectNode json, long revision, long waitMs) throws InterruptedException {
        double deadlineMs = clock.monotonicMs() + waitMs;
        List<Member> behind = membersBehind(revision);
        while (!behind.isEmpty() && clock.monotonicMs() < deadlineMs) {
            clock.sleep(WAIT_POLL_MS);
            behind = membersBehind(revision);
        }
        List<Member> unreachable = view.get().members().stream()
                .filter(member -> !member.state().isReachable())
                .toList();
        long reachable = view.get().members().size() - unreachable.size();
        json.put("nodes_on_revision", reachable - behind.size()).put("nodes_reachable", reachable);
        ArrayNode names = json.putArray("nodes_behind");
        behind.forEach(member -> names.add(member.host().name()));
        ArrayNode notReachable = json.putArray("nodes_not_reachable");
        unreachable.forEach(member -> notReachable.add(member.host().name()));
    }

    private List<Member> membersBehind(long revision) {
        return view.get().members().stream()
                .filter(member -> member.state().isReachable() && member.configurationRevision() < revision)
                .toList();
    }
}
