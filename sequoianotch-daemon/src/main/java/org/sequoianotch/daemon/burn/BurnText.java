package org.sequoianotch.daemon.burn;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.sequoianotch.template.Objective;

/**
 * Renders burn reports as text and as JSON.
 *
 * <p>This class is stateless.
 */
public final class BurnText {
    private BurnText() {}

    /**
     * Renders a report as text.
     *
     * @param report the report; not null
     * @return a headline, followed by one sentence for each objective, never null
     */
    public static String text(BurnReport report) {
        StringBuilder text = new StringBuilder(headline(report)).append('\n');
        for (BurnLine line : report.lines()) {
            text.append(describe(line)).append('\n');
        }
        report.sortedMissing().forEach((host, reason) -> text.append("Host ")
                .append(host)
                .append(" did not respond, so its requests are not counted: ")
                .append(reason)
                .append('\n'));
        return text.toString();
    }

    static String headline(BurnReport report) {
        long burning =
                report.lines().stream().filter(line -> line.fastRate() > 1).count();
        return burning + " of " + report.lines().size()
                + " objectives currently burn their error budget faster than allowed (" + report.nodes()
                + (report.nodes() == 1 ? " node" : " nodes") + " counted).";
    }

    static String describe(BurnLine line) {
        Objective objective = line.objective();
        if (line.slow().total() == 0) {
            return name(objective) + ": no requests in the last hour.";
        }
        return String.format(
                Locale.ROOT,
                "%s: burn rate %.2f over 5 min and %.2f over 1 h; %d of %d requests were good in the last hour%s.",
                name(objective),
                line.fastRate(),
                line.slowRate(),
                line.slow().good(),
                line.slow().total(),
                causes(line.slow()));
    }

    static String name(Objective objective) {
        return String.format(
                Locale.ROOT,
                "%s %s (%s%% within %d ms)",
                objective.service(),
                objective.criticality().code(),
                Double.toString(objective.goodPercent()).replaceAll("\\.0$", ""),
                objective.latencyMs());
    }

    private static String causes(WindowCounts counts) {
        if (counts.bad() == 0) {
            return "";
        }
        List<Map.Entry<String, Long>> causes = new ArrayList<>(List.of(
                Map.entry("shed", counts.shed()),
                Map.entry("late", counts.late()),
                Map.entry("failed", counts.failed()),
                Map.entry("unknown", counts.unknown())));
        causes.removeIf(cause -> cause.getValue() == 0);
        causes.sort(Map.Entry.comparingByValue(Comparator.reverseOrder()));
        return "; bad requests: "
                + String.join(
                        ", ",
                        causes.stream()
                                .map(cause -> cause.getValue() + " " + cause.getKey())
                                .toList());
    }

    /**
     * Renders a report as JSON.
     *
     * @param report the report; not null
     * @return the report, which contains the sentences in the field {@code text}, never null
     */
    public static ObjectNode json(BurnReport report) {
        ObjectNode json = JsonNodeFactory.instance.objectNode().put("nodes", report.nodes());
        ArrayNode lines = json.putArray("objectives");
        for (BurnLine line : report.lines()) {
            Objective objective = line.objective();
            ObjectNode node = lines.addObject()
                    .put("service", objective.service().name())
                    .put("criticality", objective.criticality().code())
                    .put("good_percent", objective.goodPercent())
                    .put("latency_ms", objective.latencyMs());
            addWindow(node.putObject("fast"), line.fast(), objective);
            addWindow(node.putObject("slow"), line.slow(), objective);
        }
        ArrayNode text = json.putArray("text");
        text(report).lines().forEach(text::add);
        ObjectNode missing = json.putObject("not_answered");
        report.sortedMissing().forEach((host, reason) -> missing.put(host.name(), reason));
        return json;
    }

    private static void addWindow(ObjectNode node, WindowCounts counts, Objective objective) {
        node.put("burn_rate", counts.burnRate(objective))
                .put("good", counts.good())
                .put("bad", counts.bad())
                .put("shed", counts.shed())
                .put("late", counts.late())
                .put("failed", counts.failed())
                .put("unknown", counts.unknown());
    }
}
