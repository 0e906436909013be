package org.sequoianotch.ctl;

import java.io.PrintStream;
import java.util.Map;
import java.util.Objects;

/**
 * Output streams and environment of a command.
 *
 * @param out stream for results; not null
 * @param err stream for errors and notes; not null
 * @param environment the environment variables; not null
 */
public record CtlContext(PrintStream out, PrintStream err, Map<String, String> environment) {
    /** Checks that no component is null and copies the map. */
    public CtlContext {
        Objects.requireNonNull(out, "out");
        Objects.requireNonNull(err, "err");
        environment = Map.copyOf(environment);
    }
}
