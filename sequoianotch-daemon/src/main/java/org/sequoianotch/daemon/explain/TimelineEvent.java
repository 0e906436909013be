package org.sequoianotch.daemon.explain;

import java.util.Objects;
import org.sequoianotch.model.HostId;

/**
 * An event in the timeline of a request.
 *
 * <p>This type is immutable.
 *
 * @param atMs wall-clock time, in milliseconds since the Unix epoch
 * @param host the host whose node recorded the event; not null
 * @param kind kind of the event; not null
 * @param description one or more plain sentences that describe the event; not null
 */
public record TimelineEvent(long atMs, HostId host, EventKind kind, String description) {
    /** Checks that no component is null. */
    public TimelineEvent {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(description, "description");
    }
}
