package org.sequoianotch.daemon.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.SortedMap;
import org.sequoianotch.daemon.explain.RequestEnd;
import org.sequoianotch.daemon.explain.RequestTimeline;
import org.sequoianotch.daemon.explain.ServiceSummary;
import org.sequoianotch.daemon.explain.TimelineEvent;
import org.sequoianotch.daemon.explain.TimelineText;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Outcome;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.model.ServiceName;

/** Renders explanations as JSON, with lines of text for the terminal under {@code text}. This class is stateless. */
final class ExplainJson {
    private ExplainJson() {}

    static ObjectNode of(RequestId id, RequestTimeline timeline, SortedMap<HostId, String> failures) {
        ObjectNode json = JsonNodeFactory.instance.objectNode().put("request_id", id.toString());
        json.put("known", !timeline.events().isEmpty());
        timeline.end().ifPresent(end -> addEnd(json, end));
        ArrayNode events = json.putArray("events");
        for (TimelineEvent event : timeline.events()) {
            events.addObject()
                    .put("at_ms", event.atMs())
                    .put("host", event.host().name())
                    .put("kind", event.kind().name().toLowerCase(Locale.ROOT))
                    .put("sentence", event.description());
        }
        ArrayNode text = json.putArray("text");
        TimelineText.render(timeline).forEach(text::add);
        addNotAnswered(json, text, failures);
        return json;
    }

    private static void addEnd(ObjectNode json, RequestEnd end) {
        Outcome outcome = end.error().map(ErrorKind::outcome).orElse(Outcome.COMPLETED);
        json.put("outcome", outcome.headerValue())
                .put("status", end.status())
                .put("error", end.error().map(ErrorKind::code).orElse(null))
                .put("latency_ms", end.latencyMs())
                .put("attempts", end.attempts())
                .put("entry_host", end.host().name())
                .put("rule", end.rule())
                .put("template_revision", end.revision());
    }

    static ObjectNode of(
            ServiceName service, long sinceMs, ServiceSummary summary, SortedMap<HostId, String> failures) {
        ObjectNode json = JsonNodeFactory.instance
                .objectNode()
                .put("service", service.name())
                .put("since_ms", sinceMs);
        ArrayNode counts = json.putArray("counts");
        for (ServiceSummary.Row row : summary.rows()) {
            counts.addObject()
                    .put("rule", row.category().rule())
                    .put("effect", row.category().effect().name().toLowerCase(Locale.ROOT))
                    .put("cause", row.category().cause())
                    .put("count", row.count());
        }
        ArrayNode text = json.putArray("text");
        summary.render().forEach(text::add);
        addNotAnswered(json, text, failures);
        return json;
    }

    private static void addNotAnswered(ObjectNode json, ArrayNode text, SortedMap<HostId, String> failures) {
        AdminResponses.addNotAnswered(json, failures);
        failures.forEach(
                (host, reason) -> text.add("Host " + host + " did not respond, so its data is missing: " + reason));
    }
}
