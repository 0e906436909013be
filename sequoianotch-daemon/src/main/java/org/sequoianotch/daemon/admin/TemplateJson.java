package org.sequoianotch.daemon.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.List;
import org.sequoianotch.template.Objective;
import org.sequoianotch.template.ProtectionTemplate;
import org.sequoianotch.template.RouteRule;
import org.sequoianotch.template.ServiceRule;
import org.sequoianotch.template.TemplateSet;

/** Renders the templates in force as JSON, with their INI text under {@code text}. This class is stateless. */
final class TemplateJson {
    private TemplateJson() {}

    static ObjectNode of(TemplateSet templates) {
        ObjectNode json = JsonNodeFactory.instance.objectNode().put("revision", templates.revision());
        ArrayNode list = json.putArray("templates");
        ArrayNode text = json.putArray("text");
        text.add("# Template revision " + templates.revision() + " is in force.");
        List<ProtectionTemplate> sorted = templates.templates().values().stream()
                .sorted(Comparator.comparing(ProtectionTemplate::organisation))
                .toList();
        for (ProtectionTemplate template : sorted) {
            add(list.addObject(), template);
            addText(text, template);
        }
        json.set("text", text);
        return json;
    }

    private static void add(ObjectNode json, ProtectionTemplate template) {
        json.put("organisation", template.organisation().name());
        ArrayNode services = json.putArray("services");
        for (ServiceRule rule : template.services()) {
            services.addObject()
                    .put("service", rule.service().name())
                    .put("max_in_flight", rule.maxInFlight())
                    .put("queue_length", rule.queueLength())
                    .put("queue_time_ms", rule.queueTimeMs())
                    .put("retry_budget_percent", rule.retryBudgetPercent())
                    .put("slow_start_ms", rule.slowStartMs());
        }
        ArrayNode routes = json.putArray("routes");
        for (RouteRule route : template.routes()) {
            routes.addObject()
                    .put("service", route.service().name())
                    .put("method", route.method())
                    .put("path", route.pathPrefix())
                    .put("criticality", route.criticality().code())
                    .put("repeat", route.repeat().code())
                    .put("deadline_ms", route.deadlineMs())
                    .put("retry_allowance", route.retryAllowance());
        }
        ArrayNode objectives = json.putArray("objectives");
        for (Objective objective : template.objectives()) {
            objectives
                    .addObject()
                    .put("service", objective.service().name())
                    .put("criticality", objective.criticality().code())
                    .put("good_percent", objective.goodPercent())
                    .put("latency_ms", objective.latencyMs());
        }
    }

    private static void addText(ArrayNode text, ProtectionTemplate template) {
        text.add("").add("[template]").add("organisation = " + template.organisation());
        for (ServiceRule rule : template.services()) {
            text.add("")
                    .add("[service " + rule.service() + "]")
                    .add("max_in_flight = " + rule.maxInFlight())
                    .add("queue_length = " + rule.queueLength())
                    .add("queue_time_ms = " + rule.queueTimeMs())
                    .add("retry_budget_percent = " + rule.retryBudgetPercent())
                    .add("slow_start_ms = " + rule.slowStartMs());
        }
        for (RouteRule route : template.routes()) {
            text.add("")
                    .add("[route " + route.label() + "]")
                    .add("criticality = " + route.criticality().code())
                    .add("repeat = " + route.repeat().code())
                    .add("deadline_ms = " + route.deadlineMs())
                    .add("retry_allowance = " + route.retryAllowance());
        }
        for (Objective objective : template.objectives()) {
            text.add("")
                    .add("[objective " + objective.service() + " "
                            + objective.criticality().code() + "]")
                    .add("good_percent = " + objective.goodPercent())
                    .add("latency_ms = " + objective.latencyMs());
        }
    }
}
