package org.sequoianotch.daemon.burn;

import java.util.List;
import java.util.Locale;
import java.util.function.ToLongFunction;

/**
 * Renders burn reports as a self-contained HTML page, which loads no external resources.
 *
 * <p>Each objective has a plot with a bar for each minute of the last hour, which shows the fraction of bad requests by
 * cause, and a line at the error budget.
 *
 * <p>This class is stateless.
 */
public final class BurnHtml {
    private static final int BAR_WIDTH_PX = 8;
    private static final int PLOT_WIDTH_PX = BAR_WIDTH_PX * BurnCounters.MINUTES;
    private static final int PLOT_HEIGHT_PX = 80;
    private static final List<Layer> LAYERS = List.of(
            new Layer("shed", "#b8860b", WindowCounts::shed),
            new Layer("late", "#4682b4", WindowCounts::late),
            new Layer("failed", "#b22222", WindowCounts::failed),
            new Layer("unknown", "#6a3d9a", WindowCounts::unknown));
    private static final String STYLE = "body{font-family:sans-serif;margin:2em;max-width:60em}"
            + "table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ccc}"
            + "td:first-child,th:first-child{text-align:left}svg{background:#f7f7f7}.over{color:#b22222}";

    private BurnHtml() {}

    private record Layer(String name, String colour, ToLongFunction<WindowCounts> count) {}

    /**
     * Renders a report.
     *
     * @param report the report; not null
     * @return the page, never null
     */
    public static String render(BurnReport report) {
        StringBuilder page = new StringBuilder("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">")
                .append("<title>Error budget burn</title><style>")
                .append(STYLE)
                .append("</style></head><body>\n<h1>Error budget burn</h1>\n<p>")
                .append(escape(BurnText.headline(report)))
                .append("</p>\n");
        addTable(page, report);
        page.append("<p>Bars: fraction of bad requests in each of the last 60 minutes, the latest on the right, scaled"
                + " to the largest. Dashed line: error budget. Colours:");
        LAYERS.forEach(layer -> page.append(" <span style=\"color:")
                .append(layer.colour())
                .append("\">")
                .append(layer.name())
                .append("</span>"));
        page.append(".</p>\n");
        report.lines().forEach(line -> addPlot(page, line));
        report.sortedMissing().forEach((host, reason) -> page.append("<p>Host ")
                .append(escape(host.name()))
                .append(" did not respond: ")
                .append(escape(reason))
                .append("</p>\n"));
        return page.append("</body></html>\n").toString();
    }

    private static void addTable(StringBuilder page, BurnReport report) {
        page.append("<table><tr><th>Objective</th><th>Burn 5 min</th><th>Burn 1 h</th><th>Good</th>");
        LAYERS.forEach(layer -> page.append("<th>").append(layer.name()).append("</th>"));
        page.append("</tr>\n");
        for (BurnLine line : report.lines()) {
            page.append("<tr><td>")
                    .append(escape(BurnText.name(line.objective())))
                    .append("</td>");
            addRate(page, line.fastRate());
            addRate(page, line.slowRate());
            page.append("<td>").append(line.slow().good()).append("</td>");
            LAYERS.forEach(layer -> page.append("<td>")
                    .append(layer.count().applyAsLong(line.slow()))
                    .append("</td>"));
            page.append("</tr>\n");
        }
        page.append("</table>\n");
    }

    private static void addRate(StringBuilder page, double rate) {
        page.append(rate > 1 ? "<td class=\"over\">" : "<td>")
                .append(String.format(Locale.ROOT, "%.2f", rate))
                .append("</td>");
    }

    private static void addPlot(StringBuilder page, BurnLine line) {
        double budget = line.objective().errorBudget();
        double maxFraction = Math.max(
                2 * budget,
                line.minutes().stream().mapToDouble(BurnHtml::badFraction).max().orElse(0));
        page.append("<h2>").append(escape(BurnText.name(line.objective()))).append("</h2>\n<p>");
        page.append(escape(BurnText.describe(line))).append("</p>\n");
        page.append(String.format(
                Locale.ROOT,
                "<svg width=\"%d\" height=\"%d\" role=\"img\" aria-label=\"Bad requests by minute\">",
                PLOT_WIDTH_PX,
                PLOT_HEIGHT_PX));
        for (int minute = 0; minute < line.minutes().size(); minute++) {
            addBar(page, line.minutes().get(minute), minute * BAR_WIDTH_PX, maxFraction);
        }
        double budgetY = PLOT_HEIGHT_PX * (1 - budget / maxFraction);
        page.append(String.format(
                Locale.ROOT,
                "<line x1=\"0\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#333\" stroke-dasharray=\"4 3\"/>",
                PLOT_WIDTH_PX,
                budgetY,
                budgetY));
        page.append(String.format(
                Locale.ROOT, "<text x=\"4\" y=\"11\" font-size=\"10\">%.2f%% bad</text></svg>\n", maxFraction * 100));
    }

    private static void addBar(StringBuilder page, WindowCounts counts, int x, double maxFraction) {
        double y = PLOT_HEIGHT_PX;
        for (Layer layer : LAYERS) {
            long count = layer.count().applyAsLong(counts);
            if (count > 0) {
                double height = PLOT_HEIGHT_PX * ((double) count / counts.total()) / maxFraction;
                y -= height;
                page.append(String.format(
                        Locale.ROOT,
                        "<rect x=\"%d\" y=\"%.2f\" width=\"%d\" height=\"%.2f\" fill=\"%s\"/>",
                        x,
                        y,
                        BAR_WIDTH_PX - 1,
                        height,
                        layer.colour()));
            }
        }
    }

    private static double badFraction(WindowCounts counts) {
        return counts.total() == 0 ? 0 : (double) counts.bad() / counts.total();
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
