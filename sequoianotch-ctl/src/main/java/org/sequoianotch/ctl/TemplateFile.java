package org.sequoianotch.ctl;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.sequoianotch.settings.SettingsProblem;
import org.sequoianotch.template.ProtectionTemplate;
import org.sequoianotch.template.TemplateParser;

/**
 * A template file that was read and validated.
 *
 * @param text the INI text; not null
 * @param template the parsed template; not null
 */
record TemplateFile(String text, ProtectionTemplate template) {
    /** Reads and validates a file; on failure prints the problems and returns the exit code. */
    static Either<ExitCode, TemplateFile> read(CtlContext context, String file, boolean json) {
        String text;
        try {
            text = Files.readString(Path.of(file));
        } catch (IOException e) {
            context.err().println("The template file " + file + " cannot be read: " + e + ".");
            return Either.left(ExitCode.USAGE);
        }
        Either<List<SettingsProblem>, ProtectionTemplate> parsed = TemplateParser.parse(file, text);
        if (parsed.isLeft()) {
            printProblems(context, file, parsed.getLeft(), json);
            return Either.left(ExitCode.REFUSED);
        }
        return Either.right(new TemplateFile(text, parsed.get()));
    }

    private static void printProblems(CtlContext context, String file, List<SettingsProblem> problems, boolean json) {
        if (json) {
            ObjectNode node =
                    JsonNodeFactory.instance.objectNode().put("file", file).put("valid", false);
            ArrayNode list = node.putArray("problems");
            problems.forEach(problem -> list.add(problem.toString()));
            context.out().println(node.toPrettyString());
        }
        context.err()
                .println("The template has " + problems.size() + (problems.size() == 1 ? " problem:" : " problems:"));
        problems.forEach(problem -> context.err().println("  " + problem));
    }
}
