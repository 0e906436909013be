package org.sequoianotch.daemon.explain;

import java.util.Objects;
import org.sequoianotch.model.HostId;

/**
 * One event in the timeline of a request.
 *
 * <p>This type is immutable.
 *
 * @param atMs wall-clock time, in milliseconds since the Unix epoch
 * @param host the host whose node saw it; not null
 * @param kind the kind; not null
 * @param sentence one or more plain sentences; not null
 */
public record TimelineEvent(long atMs, HostId host, EventKind kind, String sentence) {
    /** Checks the components. */
    public TimelineEvent {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(sentence, "sentence");
    }
}
