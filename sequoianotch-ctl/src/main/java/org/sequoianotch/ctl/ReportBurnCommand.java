package org.sequoianotch.ctl;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reports the burn of the error budgets. */
@Command(name = "burn", description = "Report how fast the error budgets burn and on what")
public final class ReportBurnCommand extends RemoteCommand {
    @Option(name = "--format", title = "FORMAT", description = "text, json or html (default text)")
    @AllowedRawValues(allowedValues = {"text", "json", "html"})
    private String format = "text";

    @Option(name = "--output", title = "FILE", description = "File to write instead of printing")
    private String output = "";

    /** Creates the command; its options are set by the command line parser. */
    public ReportBurnCommand() {}

    @Override
    ExitCode ask(CtlContext context, AdminClient client) throws InterruptedException {
        String asked = isJson() ? "json" : format;
        Either<AdminClient.NoAnswer, AdminAnswer> answer = client.get("/v1/burn?format=" + asked);
        if (answer.isLeft() || !answer.get().isOk()) {
            return print(context, answer);
        }
        if (output.isEmpty()) {
            context.out().println(answer.get().body().strip());
            return ExitCode.OK;
        }
        try {
            Files.writeString(Path.of(output), answer.get().body());
            context.err().println("The report was written to " + output + ".");
            return ExitCode.OK;
        } catch (IOException e) {
            context.err().println("The report cannot be written to " + output + ": " + e + ".");
            return ExitCode.USAGE;
        }
    }
}
