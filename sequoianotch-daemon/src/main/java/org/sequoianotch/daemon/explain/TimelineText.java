package org.sequoianotch.daemon.explain;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.model.HostId;

/**
 * Renders timelines in plain sentences, of which the first states the outcome.
 *
 * <p>This class is stateless.
 */
public final class TimelineText {
    private TimelineText() {}

    /**
     * Renders a timeline.
     *
     * @param timeline the timeline; not null
     * @return the sentences, followed by a line for each event, never null
     */
    public static List<String> render(RequestTimeline timeline) {
        List<String> lines = new ArrayList<>();
        lines.add(outcome(timeline));
        timeline.end()
                .ifPresent(end -> lines.add(String.format(
                        "The entry node was host %s. It applied the rule \"%s\" of template revision %d and made"
                                + " %s.",
                        end.host(), end.rule(), end.revision(), pluralize(end.attempts(), "attempt"))));
        if (!timeline.events().isEmpty()) {
            lines.add(callsToBackendServers(timeline));
        }
        for (TimelineEvent event : timeline.events()) {
            lines.add(Instant.ofEpochMilli(event.atMs()) + " " + event.host() + ": " + event.description());
        }
        return lines;
    }

    private static String outcome(RequestTimeline timeline) {
        if (timeline.endOrNull() != null) {
            return outcomeOfEnd(timeline.endOrNull(), timeline);
        }
        List<TimelineEvent> events = timeline.events();
        if (events.isEmpty()) {
            return "No node that responded has a record of this request: it is older than the records that are kept, or"
                    + " its id is wrong.";
        }
        boolean onlyRefused = events.stream().allMatch(event -> event.kind() == EventKind.REFUSED);
        return onlyRefused
                ? "The request was refused on arrival and did not run."
                : "How the request ended is not known: it is still running, or no node that responded has the record of"
                        + " its end.";
    }

    private static String outcomeOfEnd(RequestEnd end, RequestTimeline timeline) {
        String after = String.format(Locale.ROOT, "after %.1f ms", end.latencyMs());
        if (end.error().isEmpty()) {
            boolean replayed = end.attempts() == 0 && has(timeline, EventKind.KEY_ANSWERED);
            return replayed
                    ? "The caller got the stored response of an earlier run, with status " + end.status() + " " + after
                            + "; the request did not run again."
                    : "The request completed: a backend server sent a complete response with status " + end.status()
                            + " " + after + ".";
        }
        ErrorKind kind = end.error().get();
        String callerResult = "the caller was told " + kind.code() + " (status " + end.status() + ") " + after + ".";
        if (kind == ErrorKind.CALLER_GONE) {
            callerResult = "the caller closed its connection " + after + ".";
        }
        return (kind.provesNotRun() ? "The request did not run: " : "It is not certain whether the request ran: ")
                + callerResult;
    }

    private static String callsToBackendServers(RequestTimeline timeline) {
        TreeSet<HostId> hosts = new TreeSet<>();
        int calls = 0;
        for (TimelineEvent event : timeline.events()) {
            if (event.kind() == EventKind.ADMITTED) {
                calls++;
                hosts.add(event.host());
            }
        }
        if (calls == 0) {
            return "None of the nodes that responded sent a call of the request to a backend server.";
        }
        return String.format(
                "%s sent to backend servers, on %s %s%s.",
                calls == 1 ? "1 call was" : calls + " calls were",
                hosts.size() == 1 ? "host" : "hosts",
                String.join(", ", hosts.stream().map(HostId::name).toList()),
                has(timeline, EventKind.REFUSED) ? "; calls that were refused did not run" : "");
    }

    private static String pluralize(int number, String noun) {
        return number + " " + noun + (number == 1 ? "" : "s");
    }

    private static boolean has(RequestTimeline timeline, EventKind kind) {
        return timeline.events().stream().anyMatch(event -> event.kind() == kind);
    }
}
