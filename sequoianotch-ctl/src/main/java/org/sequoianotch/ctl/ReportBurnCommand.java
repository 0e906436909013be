package org.sequoianotch.ctl;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reports the burn rate of the error budgets. */
@Command(name = "burn", description = "Report how fast the error budgets burn and on what")
public final class ReportBurnCommand extends RemoteCommand {
    @Option(name = "--format", title = "FORMAT", description = "text, json or html (default text)")
    @AllowedRawValues(allowedValues = {"text", "json", "html"})
    private String format = "text";

    @Option(name = "--output", title = "FILE", description = "File to write instead of printing")
    private String output = "";

    /** Creates the command; the command line parser sets its options. */
    public ReportBurnCommand() {}

    @Override
    ExitCode execute(CtlContext context, AdminClient client) throws InterruptedException {
        String requestedFormat = isJson() ? "json" : format;
        Either<AdminClient.NoResponse, AdminResponse> response = client.get("/v1/burn?format=" + requestedFormat);
        if (response.isLeft() || !response.get().isOk()) {
            return print(context, response);
        }
        if (output.isEmpty()) {
            context.out().println(response.get().body().strip());
            return ExitCode.OK;
        }
        try {
            Files.writeString(Path.of(output), response.get().body());
            context.err().println("The report was written to " + output + ".");
            return ExitCode.OK;
        } catch (IOException e) {
            context.err().println("The report cannot be written to " + output + ": " + e + ".");
            return ExitCode.USAGE;
        }
    }
}
