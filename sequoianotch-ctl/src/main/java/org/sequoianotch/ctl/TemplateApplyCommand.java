package org.sequoianotch.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Pattern;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.annotations.restrictions.ranges.LongRange;
import io.vavr.control.Either;
import java.util.UUID;

/** Submits a template change to a node. */
@Command(name = "apply", description = "Change the template of an organisation")
public final class TemplateApplyCommand extends RemoteCommand {
    /** Limit of requests for one change. Retries are safe, because a change id is applied at most once. */
    private static final int MAX_ATTEMPTS = 3;

    private static final long MS_PER_S = 1_000;

    @Arguments(title = "FILE", description = "Template file")
    @Required
    private String file = "";

    @Option(name = "--expect-revision", title = "N", description = "Revision that the change is based on")
    @Required
    @LongRange(min = 0)
    private long expectRevision;

    @Option(name = "--dry-run", description = "Show the difference and change nothing")
    private boolean dryRun;

    @Option(name = "--wait", title = "SECONDS", description = "Wait until all nodes are on the revision")
    @LongRange(min = 0, max = 120)
    private long waitSeconds;

    @Option(name = "--change-id", title = "ID", description = "Identifies the change in a resend")
    @Pattern(pattern = "[A-Za-z0-9._-]{8,64}", description = "8 to 64 letters, digits, '.', '_' or '-'")
    private String changeId = "";

    /** Creates the command; the command line parser sets its options. */
    public TemplateApplyCommand() {}

    @Override
    ExitCode execute(CtlContext context, AdminClient client) throws InterruptedException {
        Either<ExitCode, TemplateFile> read = TemplateFile.read(context, file, isJson());
        if (read.isLeft()) {
            return read.getLeft();
        }
        String id = changeId.isEmpty() ? UUID.randomUUID().toString() : changeId;
        context.err().println("Change id: " + id);
        String target = "/v1/templates/" + read.get().template().organisation() + "?expect_revision=" + expectRevision
                + "&change_id=" + id + "&dry_run=" + dryRun + "&wait_ms=" + waitSeconds * MS_PER_S;
        String text = read.get().text();
        Either<AdminClient.NoResponse, AdminResponse> response = client.put(target, text, waitSeconds * MS_PER_S);
        boolean maybeReceived = maybeReceived(response);
        for (int attempts = 1; response.isLeft() && attempts < MAX_ATTEMPTS; attempts++) {
            context.err().println(response.getLeft().message() + " Sending the same change id again.");
            response = client.put(target, text, waitSeconds * MS_PER_S);
            maybeReceived |= maybeReceived(response);
        }
        if (response.isLeft()) {
            context.err().println(response.getLeft().message());
            return maybeReceived ? reportInDoubt(context, id) : reportNotSent(context);
        }
        return printResult(context, response.get(), id);
    }

    private static boolean maybeReceived(Either<AdminClient.NoResponse, AdminResponse> response) {
        return response.isRight() || response.getLeft().maybeReceived();
    }

    private static ExitCode reportNotSent(CtlContext context) {
        context.err().println("Nothing was changed.");
        return ExitCode.NOT_REACHABLE;
    }

    private ExitCode printResult(CtlContext context, AdminResponse response, String id) {
        Either<String, JsonNode> body = parse(response);
        if (body.isLeft()) {
            context.err().println(body.getLeft());
            return reportInDoubt(context, id);
        }
        JsonNode json = body.get();
        if (!response.isOk()) {
            printError(context, response, json);
            json.path("problems").forEach(problem -> context.err().println("  " + problem.asText()));
            printDifference(context, json);
            return json.path("error").asText().equals(IN_DOUBT) ? reportInDoubt(context, id) : ExitCode.REFUSED;
        }
        if (isJson()) {
            context.out().println(response.body().strip());
            return ExitCode.OK;
        }
        context.out()
                .println(
                        dryRun
                                ? "Nothing was changed; the change would make revision "
                                        + json.path("revision").asLong() + "."
                                : "Revision " + json.path("revision").asLong() + " is committed.");
        printDifference(context, json);
        printProgress(context, json);
        return ExitCode.OK;
    }

    private ExitCode reportInDoubt(CtlContext context, String id) {
        if (!dryRun) {
            context.err()
                    .println("It is not known whether the change was made. Repeat the command with --change-id " + id
                            + " to find out; it makes no second change.");
        }
        return dryRun ? ExitCode.NOT_REACHABLE : ExitCode.IN_DOUBT;
    }

    private void printDifference(CtlContext context, JsonNode json) {
        String difference = json.path("difference").asText();
        if (!difference.isEmpty() && !isJson()) {
            context.out().println(difference);
        }
    }

    private static void printProgress(CtlContext context, JsonNode json) {
        if (!json.has("nodes_on_revision")) {
            return;
        }
        context.out()
                .println(json.path("nodes_on_revision").asLong() + " of "
                        + json.path("nodes_reachable").asLong() + " reachable nodes are on the revision.");
        json.path("nodes_behind")
                .forEach(host -> context.out().println("  host " + host.asText() + " is not on it yet"));
        json.path("nodes_not_reachable")
                .forEach(host -> context.out().println("  host " + host.asText() + " is not reachable"));
    }
}
