package org.sequoianotch.daemon;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import org.sequoianotch.settings.NodeSetting;
import org.sequoianotch.settings.NodeSettings;
import org.sequoianotch.settings.SettingsProblem;

/**
 * Validated settings of a node and the validated templates of the files that they name.
 *
 * @param settings the settings; not null
 * @param templates the templates of the files; not null
 */
record CheckedSettings(NodeSettings settings, TemplateSource templates) {
    static Either<List<SettingsProblem>, CheckedSettings> read(Path file) {
        return NodeSettings.read(file).flatMap(settings -> {
            List<Path> templateFiles = settings.list(NodeSetting.TEMPLATE_FILES).stream()
                    .map(Path::of)
                    .toList();
            return TemplateSource.read(templateFiles).map(templates -> new CheckedSettings(settings, templates));
        });
    }

    /** Prints the problems to standard error. */
    static void printProblems(List<SettingsProblem> problems) {
        System.err.println(
                "The settings have " + problems.size() + (problems.size() == 1 ? " problem:" : " problems:"));
        problems.forEach(problem -> System.err.println("  " + problem));
    }
}
