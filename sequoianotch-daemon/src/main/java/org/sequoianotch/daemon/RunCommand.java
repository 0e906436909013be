package org.sequoianotch.daemon;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;
import org.sequoianotch.error.Failure;
import org.sequoianotch.settings.SettingsProblem;

/** Runs a node until the process receives a termination signal. */
@Command(name = "run", description = "Run a node")
public final class RunCommand implements DaemonCommand {
    @Option(name = "--settings", title = "FILE", description = "Settings file of the node")
    @Required
    private String settingsFile = "";

    /** Creates the command; the command line parser sets its options. */
    public RunCommand() {}

    @Override
    public ExitCode run() throws InterruptedException {
        Either<List<SettingsProblem>, CheckedSettings> checked = CheckedSettings.read(Path.of(settingsFile));
        if (checked.isLeft()) {
            CheckedSettings.printProblems(checked.getLeft());
            return ExitCode.WRONG_SETTINGS;
        }
        Logging.configure(checked.get().settings());
        Either<Failure, Node> started =
                Node.start(checked.get().settings(), checked.get().templates());
        if (started.isLeft()) {
            System.err.println(started.getLeft().detail());
            return ExitCode.START_FAILED;
        }
        awaitStopSignal(started.get());
        return ExitCode.OK;
    }

    /** Blocks the main thread. The node is stopped in a shutdown hook, which the JVM runs on SIGTERM. */
    private static void awaitStopSignal(Node node) throws InterruptedException {
        CountDownLatch neverReleased = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "shutdown"));
        neverReleased.await();
    }

    private static void stop(Node node) {
        try {
            boolean finished = node.stop();
            LogManager.shutdown();
            if (!finished) {
                Runtime.getRuntime().halt(ExitCode.CUT_OFF.code());
            }
            Runtime.getRuntime().halt(ExitCode.OK.code());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
