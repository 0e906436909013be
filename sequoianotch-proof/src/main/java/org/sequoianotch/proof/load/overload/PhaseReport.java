package org.sequoianotch.proof.load.overload;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.proof.standin.Execution;

/**
 * Results of one measurement phase as rows of Markdown tables.
 *
 * <p>The values are those of the trigger's duration unless stated otherwise.
 */
final class PhaseReport {
    static final String HEADER =
            """
            | phase | mode | offered/s | good/s | ideal/s | good of ideal | critical good/all | standard | sheddable \
            | p50 ms | p99 ms | wasted work | retries/request | recovery s | busiest node | late start p99 ms |
            | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |""";
    private static final double MS_PER_S = 1_000.0;
    private static final double PERCENT = 100.0;
    private static final double US_PER_MS = 1_000.0;
    private static final double WINDOW_MS = 500;
    private static final double WINDOW_STEP_MS = 100;
    private static final double RECOVERY_FRACTION = 0.95;
    private static final int MAX_LATENCY_US = 60_000_000;

    private final Phase phase;
    private final String mode;
    private final double idealPerS;
    private final double startMs;
    private final double triggerAtMs;
    private final double triggerEndMs;
    private final double busiestNodePercent;
    private final List<Sample> allSamples;
    private final List<Sample> triggerSamples;
    private final Map<String, List<Execution>> executions;

    PhaseReport(
            Phase phase,
            String mode,
            double idealPerS,
            double startMs,
            double triggerAtMs,
            double triggerEndMs,
            double busiestNodePercent,
            List<Sample> samples,
            Map<String, List<Execution>> executions) {
        this.phase = phase;
        this.mode = mode;
        this.idealPerS = idealPerS;
        this.startMs = startMs;
        this.triggerAtMs = triggerAtMs;
        this.triggerEndMs = triggerEndMs;
        this.busiestNodePercent = busiestNodePercent;
        this.allSamples = List.copyOf(samples);
        this.triggerSamples = allSamples.stream()
                .filter(sample -> sample.scheduledAtMs() >= triggerAtMs && sample.scheduledAtMs() < triggerEndMs)
                .toList();
        this.executions = executions;
    }

    String figuresRow() {
        double seconds = (triggerEndMs - triggerAtMs) / MS_PER_S;
        // Counts responses by their end, so that requests that wait in a queue until after the trigger do not count as
        // goodput during it.
        long good = allSamples.stream()
                .filter(sample ->
                        sample.isGood() && sample.endedAtMs() >= triggerAtMs && sample.endedAtMs() < triggerEndMs)
                .count();
        Histogram latencies = new Histogram(MAX_LATENCY_US, 3);
        triggerSamples.stream()
                .filter(Sample::isGood)
                .forEach(sample ->
                        latencies.recordValue((long) Math.min(MAX_LATENCY_US, sample.latencyMs() * US_PER_MS)));
        Histogram delays = new Histogram(MAX_LATENCY_US, 3);
        triggerSamples.forEach(
                sample -> delays.recordValue((long) Math.clamp(sample.startDelayMs() * US_PER_MS, 0, MAX_LATENCY_US)));
        return String.format(
                Locale.ROOT,
                "| %s | %s | %.0f | %.0f | %.0f | %.1f%% | %s | %s | %s | %.1f | %.1f | %.1f%% | %.3f | %s | %.0f%%"
                        + " | %.1f |",
                phase.code(),
                mode,
                triggerSamples.size() / seconds,
                good / seconds,
                idealPerS,
                good / seconds / idealPerS * PERCENT,
                formatGoodShare(Criticality.CRITICAL),
                formatGoodShare(Criticality.STANDARD),
                formatGoodShare(Criticality.SHEDDABLE),
                latencies.getValueAtPercentile(50) / US_PER_MS,
                latencies.getValueAtPercentile(99) / US_PER_MS,
                wastedWorkPercent(),
                retriesPerRequest(),
                formatRecoveryTime(),
                busiestNodePercent,
                delays.getValueAtPercentile(99) / US_PER_MS);
    }

    private String formatGoodShare(Criticality criticality) {
        List<Sample> offered = triggerSamples.stream()
                .filter(sample -> sample.loadClass().criticality() == criticality)
                .toList();
        long good = offered.stream().filter(Sample::isGood).count();
        return String.format(
                Locale.ROOT, "%d/%d (%.1f%%)", good, offered.size(), PERCENT * good / Math.max(1, offered.size()));
    }

    /** Counts the failures during the trigger by class and kind, most frequent first. */
    private List<String> failures() {
        Map<String, Integer> counts = new HashMap<>();
        triggerSamples.stream()
                .filter(sample -> !sample.isGood())
                .forEach(sample ->
                        counts.merge(sample.loadClass().call().name() + " " + sample.failure(), 1, Integer::sum));
        return counts.entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
                .map(entry -> entry.getKey() + " " + entry.getValue())
                .toList();
    }

    String failuresRow() {
        return "| " + phase.code() + " | " + mode + " | " + String.join(", ", failures()) + " |";
    }

    private List<Execution> triggerExecutions(String service) {
        return executions.get(service).stream()
                .filter(execution -> execution.startedAtMs() >= triggerAtMs && execution.startedAtMs() < triggerEndMs)
                .toList();
    }

    /** Returns the time that stand-ins spent on requests that failed, as a percentage of their total work time. */
    private double wastedWorkPercent() {
        Set<String> goodIds = new HashSet<>();
        allSamples.stream().filter(Sample::isGood).forEach(sample -> goodIds.add(sample.requestId()));
        double totalMs = 0;
        double wastedMs = 0;
        for (String service : executions.keySet()) {
            for (Execution execution : triggerExecutions(service)) {
                totalMs += execution.slotHeldMs();
                wastedMs += goodIds.contains(execution.requestId()) ? 0 : execution.slotHeldMs();
            }
        }
        return totalMs == 0 ? 0 : wastedMs * PERCENT / totalMs;
    }

    /** Returns the repeated executions of a request at the same service, divided by the number of client requests. */
    private double retriesPerRequest() {
        long retries = 0;
        for (String service : executions.keySet()) {
            Map<String, Integer> runs = new HashMap<>();
            triggerExecutions(service).forEach(execution -> runs.merge(execution.requestId(), 1, Integer::sum));
            retries += runs.values().stream().mapToInt(count -> count - 1).sum();
        }
        return (double) retries / Math.max(1, triggerSamples.size());
    }

    /**
     * Returns the recovery time in seconds: the time until two successive windows, by scheduled start, reach 95% of the
     * goodput before the trigger.
     */
    private String formatRecoveryTime() {
        double beforeMs = triggerAtMs - startMs;
        double targetGood = RECOVERY_FRACTION * goodBetween(startMs, triggerAtMs) * WINDOW_MS / beforeMs;
        double fromMs = phase.outlastsTrigger() ? triggerAtMs : triggerEndMs;
        double lastMs =
                allSamples.stream().mapToDouble(Sample::scheduledAtMs).max().orElse(fromMs);
        List<Double> starts = new ArrayList<>();
        for (double atMs = fromMs; atMs + 2 * WINDOW_MS <= lastMs; atMs += WINDOW_STEP_MS) {
            starts.add(atMs);
        }
        for (double atMs : starts) {
            boolean recovered = goodBetween(atMs, atMs + WINDOW_MS) >= targetGood
                    && goodBetween(atMs + WINDOW_MS, atMs + 2 * WINDOW_MS) >= targetGood;
            if (recovered) {
                return String.format(Locale.ROOT, "%.1f", (atMs - fromMs) / MS_PER_S);
            }
        }
        return String.format(Locale.ROOT, "> %.1f", (lastMs - fromMs) / MS_PER_S);
    }

    private long goodBetween(double fromMs, double toMs) {
        return allSamples.stream()
                .filter(sample -> sample.isGood() && sample.scheduledAtMs() >= fromMs && sample.scheduledAtMs() < toMs)
                .count();
    }
}
