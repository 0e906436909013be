package org.sequoianotch.daemon;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;

/** Validates a settings file and the template files that it names, without starting a node. */
@Command(name = "check", description = "Check a settings file without starting a node")
public final class CheckCommand implements DaemonCommand {
    @Option(name = "--settings", title = "FILE", description = "Settings file of the node")
    @Required
    private String settingsFile = "";

    /** Creates the command; the command line parser sets its options. */
    public CheckCommand() {}

    @Override
    public ExitCode run() {
        return CheckedSettings.read(Path.of(settingsFile))
                .peekLeft(CheckedSettings::printProblems)
                .peek(checked -> System.out.println("The settings are valid."))
                .fold(problems -> ExitCode.WRONG_SETTINGS, checked -> ExitCode.OK);
    }
}
