package org.sequoianotch.daemon.explain;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.time.Clock;

/**
 * Timelines of the requests that this node has seen, in bounded memory.
 *
 * <p>When it is full, the oldest ordinary request goes first; refused, slow and repeated requests go only when nothing
 * else is left. This class is thread-safe.
 */
public final class RequestJournal implements Journal {
    /** Events kept of one request, so that a long chain cannot fill the memory. */
    private static final int MAX_EVENTS = 64;

    private final HostId host;
    private final Clock clock;
    private final int maxRequests;
    private final double slowMs;
    private final Map<RequestId, Timeline> ordinary = new LinkedHashMap<>();
    private final Map<RequestId, Timeline> notable = new LinkedHashMap<>();

    /**
     * Creates an empty journal.
     *
     * @param host the host of this node, which the events name; not null
     * @param clock the clock; not null
     * @param maxRequests requests kept; positive
     * @param slowMs a request that took longer counts as slow, in milliseconds
     */
    public RequestJournal(HostId host, Clock clock, int maxRequests, double slowMs) {
        this.host = host;
        this.clock = clock;
        this.maxRequests = maxRequests;
        this.slowMs = slowMs;
    }

    @Override
    public synchronized void record(RequestId requestId, EventKind kind, String sentence) {
        Timeline timeline = find(requestId);
        if (timeline == null) {
            timeline = new Timeline();
            ordinary.put(requestId, timeline);
            evict();
        }
        if (timeline.events.size() < MAX_EVENTS) {
            timeline.events.add(new TimelineEvent(clock.nowMs(), host, kind, sentence));
        }
        if (kind.isNotable()) {
            promote(requestId);
        }
    }

    @Override
    public synchronized void finish(RequestSummary summary) {
        if (summary.latencyMs() > slowMs) {
            promote(summary.requestId());
        }
    }

    /**
     * Returns the events of a request.
     *
     * @param requestId the request; not null
     * @return the events in the order in which they happened, never null; empty if the request is not known
     */
    public synchronized List<TimelineEvent> events(RequestId requestId) {
        Timeline timeline = find(requestId);
        return timeline == null ? List.of() : List.copyOf(timeline.events);
    }

    /**
     * Returns the number of requests kept.
     *
     * @return the number; not negative
     */
    public synchronized int size() {
        return ordinary.size() + notable.size();
    }

    private @Nullable Timeline find(RequestId requestId) {
        Timeline timeline = notable.get(requestId);
        return timeline == null ? ordinary.get(requestId) : timeline;
    }

    private void promote(RequestId requestId) {
        Timeline timeline = ordinary.remove(requestId);
        if (timeline != null) {
            notable.put(requestId, timeline);
        }
    }

    private void evict() {
        if (size() <= maxRequests) {
            return;
        }
        // The request just added is ordinary too and must not be the one that goes.
        Map<RequestId, Timeline> source = ordinary.size() > 1 ? ordinary : notable;
        Iterator<RequestId> oldest = source.keySet().iterator();
        oldest.next();
        oldest.remove();
    }

    /** Events of one request. */
    private static final class Timeline {
        private final List<TimelineEvent> events = new ArrayList<>(4);
    }
}
