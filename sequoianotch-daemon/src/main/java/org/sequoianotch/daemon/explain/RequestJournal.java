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
 * Timelines of the requests that passed through this node, in bounded memory.
 *
 * <p>When it is full, the oldest ordinary requests are evicted first. Notable requests, such as refused, repeated and
 * slow ones, are evicted only when no ordinary request is left.
 *
 * <p>This class is thread-safe.
 */
public final class RequestJournal implements RequestRecorder {
    /** Limit of the events of one request, so that a long chain of calls cannot exhaust the memory. */
    private static final int MAX_EVENTS = 64;
    /** The first events describe the request and the last ones its end, so events in between are dropped. */
    private static final int FIRST_EVENTS = MAX_EVENTS / 2;
    /** A sentence can contain a path of up to 8 KiB, the limit of the request line, so sentences are truncated. */
    private static final int MAX_SENTENCE_CHARS = 512;
    /** Mean timeline size, which bounds the total size. Without it, long sentences could fill a heap of 48 MB. */
    private static final int MEAN_TIMELINE_CHARS = 2_048;

    private final HostId host;
    private final Clock clock;
    private final int maxRequests;
    private final double slowMs;
    private final long maxChars;
    private long chars;
    private final Map<RequestId, Timeline> ordinary = new LinkedHashMap<>();
    private final Map<RequestId, Timeline> notable = new LinkedHashMap<>();

    /**
     * Creates an empty journal.
     *
     * @param host the host of this node, which is recorded with the events; not null
     * @param clock the clock; not null
     * @param maxRequests largest number of requests kept; positive
     * @param slowMs latency above which a request counts as slow, in milliseconds
     */
    public RequestJournal(HostId host, Clock clock, int maxRequests, double slowMs) {
        this.host = host;
        this.clock = clock;
        this.maxRequests = maxRequests;
        this.slowMs = slowMs;
        this.maxChars = (long) maxRequests * MEAN_TIMELINE_CHARS;
    }

    @Override
    public synchronized void record(RequestId requestId, EventKind kind, String sentence) {
        Timeline timeline = find(requestId);
        if (timeline == null) {
            timeline = new Timeline();
            ordinary.put(requestId, timeline);
        }
        chars += timeline.add(new TimelineEvent(clock.nowMs(), host, kind, truncate(sentence)));
        if (kind.isNotable()) {
            promote(requestId);
        }
        evict(requestId);
    }

    @Override
    public synchronized void recordEnd(RequestSummary summary) {
        Timeline timeline = find(summary.requestId());
        if (timeline != null) {
            timeline.end = RequestEnd.of(host, summary);
        }
        if (summary.latencyMs() > slowMs) {
            promote(summary.requestId());
        }
    }

    /**
     * Returns the timeline of a request.
     *
     * @param requestId the request; not null
     * @return the events in the order in which they were recorded, and the end if it is known; empty if the request is
     *     not known; never null
     */
    public synchronized RequestTimeline timeline(RequestId requestId) {
        Timeline timeline = find(requestId);
        return timeline == null ? RequestTimeline.EMPTY : new RequestTimeline(timeline.eventsWithGap(), timeline.end);
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

    private static String truncate(String sentence) {
        return sentence.length() <= MAX_SENTENCE_CHARS
                ? sentence
                : sentence.substring(0, MAX_SENTENCE_CHARS - 1) + "\u2026";
    }

    private void evict(RequestId current) {
        while (size() > 1 && (size() > maxRequests || chars > maxChars)) {
            if (!evictOldest(ordinary, current)) {
                evictOldest(notable, current);
            }
        }
    }

    /** Evicts the oldest request, but never the one that an event was just added to. */
    private boolean evictOldest(Map<RequestId, Timeline> source, RequestId current) {
        Iterator<Map.Entry<RequestId, Timeline>> oldest = source.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<RequestId, Timeline> entry = oldest.next();
            if (!entry.getKey().equals(current)) {
                chars -= entry.getValue().chars;
                oldest.remove();
                return true;
            }
        }
        return false;
    }

    /** The events of a request. */
    private static final class Timeline {
        private final List<TimelineEvent> events = new ArrayList<>(4);
        private @Nullable RequestEnd end;
        private int droppedEvents;
        private long chars;

        /** Adds an event and returns the change of the timeline's size in characters. */
        private long add(TimelineEvent event) {
            long before = chars;
            events.add(event);
            chars += event.description().length();
            if (events.size() > MAX_EVENTS) {
                chars -= events.remove(FIRST_EVENTS).description().length();
                droppedEvents++;
            }
            return chars - before;
        }

        private List<TimelineEvent> eventsWithGap() {
            if (droppedEvents == 0) {
                return events;
            }
            List<TimelineEvent> all = new ArrayList<>(events);
            TimelineEvent last = all.get(FIRST_EVENTS - 1);
            String sentence = droppedEvents + " events of this host were dropped.";
            all.add(FIRST_EVENTS, new TimelineEvent(last.atMs(), last.host(), EventKind.LEFT_OUT, sentence));
            return all;
        }
    }
}
