package org.sequoianotch.ctl;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.control.Either;
import org.sequoianotch.template.ProtectionTemplate;

/** Validates a template file without contacting a node. */
@Command(name = "check", description = "Check a template file without a node")
public final class TemplateCheckCommand implements CtlCommand {
    @Arguments(title = "FILE", description = "Template file")
    @Required
    private String file = "";

    @Option(name = "--json", description = "Print JSON")
    private boolean json;

    /** Creates the command; the command line parser sets its options. */
    public TemplateCheckCommand() {}

    @Override
    public ExitCode run(CtlContext context) {
        Either<ExitCode, TemplateFile> read = TemplateFile.read(context, file, json);
        if (read.isLeft()) {
            return read.getLeft();
        }
        ProtectionTemplate template = read.get().template();
        if (json) {
            context.out()
                    .println(JsonNodeFactory.instance
                            .objectNode()
                            .put("file", file)
                            .put("valid", true)
                            .put("organisation", template.organisation().name())
                            .toPrettyString());
        } else {
            context.out()
                    .printf(
                            "The template of %s is valid: %d services, %d routes, %d objectives.%n",
                            template.organisation(),
                            template.services().size(),
                            template.routes().size(),
                            template.objectives().size());
        }
        return ExitCode.OK;
    }
}
