package org.sequoianotch.ctl;

import java.io.PrintStream;
import java.util.Map;
import java.util.Objects;

/**
 * What surrounds a command: where it prints and its environment variables.
 *
 * @param out takes the result; not null
 * @param err takes errors and notes; not null
 * @param environment environment variables; not null
 */
public record CtlContext(PrintStream out, PrintStream err, Map<String, String> environment) {
    /** Checks the components and copies the map. */
    public CtlContext {
        Objects.requireNonNull(out, "out");
        Objects.requireNonNull(err, "err");
        environment = Map.copyOf(environment);
    }
}
