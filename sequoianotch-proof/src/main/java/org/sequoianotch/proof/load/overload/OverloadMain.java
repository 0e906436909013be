package org.sequoianotch.proof.load.overload;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.proof.scenario.Deployment;
import org.sequoianotch.proof.scenario.Scenario;

/**
 * Measures end-to-end goodput under overload in naive and protective mode, and prints a table for comparison.
 *
 * <p>Arguments: path of a load plan, then {@code --phase NAME} and {@code --mode NAME} (both may be repeated),
 * {@code --seconds N} for the duration of each trigger, and {@code --markdown FILE} for a copy of the output.
 *
 * <p>One thread uses this class.
 */
public final class OverloadMain {
    private static final int DEFAULT_TRIGGER_S = 4;
    private static final long MS_PER_S = 1_000;
    private static final long WARM_UP_MS = 4_000;

    private final LoadPlan plan;
    private final List<Phase> phases;
    private final List<String> modes;
    private final long triggerMs;
    private final StringBuilder output = new StringBuilder();
    private @Nullable CapacityModel model;

    private OverloadMain(LoadPlan plan, List<Phase> phases, List<String> modes, long triggerMs) {
        this.plan = plan;
        this.phases = phases;
        this.modes = modes;
        this.triggerMs = triggerMs;
    }

    /**
     * Runs the measurement.
     *
     * @param arguments arguments as described for the class; not null
     * @throws IOException if a process cannot be started or a file cannot be written
     * @throws InterruptedException if the thread is interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        List<Phase> phases = new ArrayList<>();
        List<String> modes = new ArrayList<>();
        long triggerMs = DEFAULT_TRIGGER_S * MS_PER_S;
        @Nullable Path markdown = null;
        for (int i = 1; i + 1 < arguments.length; i += 2) {
            String value = arguments[i + 1];
            switch (arguments[i]) {
                case "--phase" -> phases.add(Phase.parse(value));
                case "--mode" -> modes.add(value);
                case "--seconds" -> triggerMs = Long.parseLong(value) * MS_PER_S;
                case "--markdown" -> markdown = Path.of(value);
                default -> throw new IllegalArgumentException(
                        "unknown option " + arguments[i] + "; expected --phase, --mode, --seconds or --markdown");
            }
        }
        OverloadMain measurement = new OverloadMain(
                LoadPlan.read(Path.of(arguments[0])),
                phases.isEmpty() ? List.of(Phase.values()) : phases,
                modes.isEmpty() ? List.of("naive", "protective") : modes,
                triggerMs);
        measurement.run();
        if (markdown != null) {
            Files.writeString(markdown, measurement.output);
        }
        System.exit(0);
    }

    private void run() throws IOException, InterruptedException {
        print("## " + plan.name());
        print("");
        print(machineState());
        List<String> rows = new ArrayList<>();
        List<String> failures = new ArrayList<>();
        for (String mode : modes) {
            runMode(mode, rows, failures);
        }
        print("");
        print(PhaseReport.HEADER);
        rows.stream().sorted(Comparator.comparing(OverloadMain::phaseOf)).forEach(this::print);
        print("");
        print("| phase | mode | failed requests |");
        print("| --- | --- | --- |");
        failures.stream().sorted(Comparator.comparing(OverloadMain::phaseOf)).forEach(this::print);
        print("");
        print("At the end: " + machineState());
    }

    private static Phase phaseOf(String row) {
        return Phase.parse(row.split(" ")[1]);
    }

    private void runMode(String mode, List<String> rows, List<String> failures)
            throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("sequoianotch-overload");
        Scenario scenario = new Scenario(plan.name(), "", "", false, "", false, plan.hosts(), List.of(), List.of());
        try (Deployment deployment = new Deployment(scenario, mode, folder, List.of(plan.template()))) {
            deployment.start();
            deployment.awaitReady();
            CapacityModel capacity = calibratedModel(deployment);
            new PhaseRunner(plan, capacity, deployment, Phase.STEADY, triggerMs).warmUp(WARM_UP_MS);
            for (Phase phase : phases) {
                PhaseReport report = new PhaseRunner(plan, capacity, deployment, phase, triggerMs).run(mode);
                System.err.println(report.figuresRow());
                rows.add(report.figuresRow());
                failures.add(report.failuresRow());
            }
        } finally {
            delete(folder);
        }
    }

    /** Returns the capacity model. It is calibrated only once, so that all modes are compared at the same capacity. */
    private CapacityModel calibratedModel(Deployment deployment) throws InterruptedException {
        if (model == null) {
            Map<String, Double> workMs = Calibration.measureSlotHeldMs(plan, deployment);
            model = CapacityModel.of(plan, workMs);
            print(String.format(
                    Locale.ROOT,
                    "Capacity with this mix: %.0f requests/s. A call holds a slot, without nodes, for: %s.",
                    model.capacityPerS(),
                    plan.services().keySet().stream()
                            .map(service -> String.format(Locale.ROOT, "%s %.1f ms", service, workMs.get(service)))
                            .toList()));
        }
        return model;
    }

    private static String machineState() {
        return String.format(
                Locale.ROOT,
                "Machine: %d processors, load average %.1f.",
                Runtime.getRuntime().availableProcessors(),
                ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
    }

    private void print(String line) {
        System.out.println(line);
        output.append(line).append('\n');
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        }
    }
}
