package org.sequoianotch.proof.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import org.sequoianotch.model.BackendState;
import org.sequoianotch.proof.load.CallOutcome;
import org.sequoianotch.proof.load.CallTemplate;
import org.sequoianotch.proof.load.OpenLoopGenerator;
import org.sequoianotch.proof.standin.InjectedFaults;
import org.sequoianotch.proof.standin.StandIn;

/**
 * Runs a scenario: starts its deployment, executes its steps, and evaluates checks and invariants.
 *
 * <p>An instance runs one scenario once, on one thread.
 */
public final class ScenarioRunner {
    private static final int DEFAULT_CALL_TIMEOUT_MS = 10_000;
    private static final int DEFAULT_UNTIL_TIMEOUT_MS = 30_000;
    private static final long UNTIL_POLL_INTERVAL_MS = 50;

    private final Scenario scenario;
    private final Deployment deployment;
    private final History history = new History();
    private final Map<String, Thread> loads = new ConcurrentHashMap<>();
    private final Map<String, String> mintedKeys = new ConcurrentHashMap<>();
    private final Map<String, Integer> exitCodes = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final List<String> measurements = new ArrayList<>();
    private final ControlSteps control;

    /**
     * Creates a runner.
     *
     * @param scenario the scenario; not null
     * @param mode mode of the nodes, {@code protective} or {@code naive}; not null
     * @param folder empty folder for settings, data and logs; not null
     * @param templates template files of all nodes; not null
     */
    public ScenarioRunner(Scenario scenario, String mode, Path folder, List<Path> templates) {
        this.scenario = scenario;
        this.deployment = new Deployment(scenario, mode, folder, templates);
        this.control = new ControlSteps(scenario, deployment, history, templates.get(0));
    }

    /**
     * Runs the scenario.
     *
     * @return one message for each check or invariant that does not hold, never null; empty if all hold
     * @throws IOException if a process cannot be started
     * @throws InterruptedException if the thread is interrupted while a step runs
     * @throws IllegalArgumentException if a step has an unknown action or check
     * @throws IllegalStateException if the deployment does not become ready or a process does not end in time
     */
    public List<String> run() throws IOException, InterruptedException {
        try (deployment;
                control) {
            deployment.start();
            deployment.awaitReady();
            control.start();
            deployment.standIns().forEach(standIn -> standIn.executionLog().clear());
            for (Scenario.Step step : scenario.steps()) {
                long startedNs = System.nanoTime();
                execute(step);
                double elapsedMs = (System.nanoTime() - startedNs) / 1_000_000.0;
                CheckEvaluator evaluator = new CheckEvaluator(history, deployment, exitCodes, elapsedMs, control);
                if (step.action().contains("measured")) {
                    measurements.add(String.format(Locale.ROOT, "%s, %s: %.0f ms", scenario, step.name(), elapsedMs));
                }
                step.checks()
                        .forEach(check -> evaluator.evaluate(step.name(), check).ifPresent(violations::add));
            }
            for (Thread load : loads.values()) {
                load.join();
            }
            violations.addAll(control.violations());
            violations.addAll(Invariants.check(history, deployment.standIns()));
            return violations;
        }
    }

    /**
     * Returns the ends of the node logs for a failure message.
     *
     * @return the last log lines of each node, never null
     */
    public String logTails() {
        return deployment.logTails();
    }

    /**
     * Returns the durations of the steps that are marked with the word {@code measured}.
     *
     * @return one line with a duration in milliseconds for each such step, never null
     */
    public List<String> measurements() {
        return List.copyOf(measurements);
    }

    private void execute(Scenario.Step step) throws IOException, InterruptedException {
        List<String> words = step.action();
        String target = words.size() > 1 ? control.resolveAlias(words.get(1)) : "";
        switch (words.get(0)) {
            case "call" -> sendCalls(step);
            case "load" -> startLoad(step);
            case "join" -> loads.get(target).join();
            case "sleep" -> Thread.sleep(Long.parseLong(target));
            case "mint" -> mintedKeys.put(target, deployment.mintKey(chooseHost(step)));
            case "kill" -> deployment.node(target).kill();
            case "start" -> {
                control.nodeRestarted(target);
                deployment.node(target).start();
            }
            case "terminate" -> deployment.node(target).terminate();
            case "await-exit" -> exitCodes.put(target, deployment.node(target).awaitExit());
            case "freeze" -> deployment.node(target).sendSignal("STOP");
            case "unfreeze" -> deployment.node(target).sendSignal("CONT");
            case "crash-backend" -> deployment.standIn(target).close();
            case "start-backend" -> deployment.startStandIn(target);
            case "drain-backend" -> deployment.standIn(target).announce(BackendState.DRAINING);
            case "behave" -> injectFaults(step, deployment.standIn(target));
            case "lose-disk" -> deployment.deleteLedgerData(target);
            case "await-ready" -> deployment.awaitReady();
            case "send-garbage" -> MalformedInput.send(deployment, target, step.option("as", ""));
            case "lose-control-disk" -> deployment.deleteControlData(target);
            case "damage-control-log" -> deployment.damageControlLog(target);
            case "cut", "cut-one-way", "silence", "isolate", "cut-data-centre", "heal" -> deployment
                    .network()
                    .execute(words.stream().map(control::resolveAlias).toList());
            case "background" -> startInBackground(step);
            case "nothing" -> {}
            default -> {
                if (!control.execute(step)) {
                    throw new IllegalArgumentException(
                            scenario.name() + ": unknown action " + words + " in step " + step.name());
                }
            }
        }
    }

    /** Executes the action after the word {@code background} on a separate thread, which {@code join} waits for. */
    private void startInBackground(Scenario.Step step) {
        Scenario.Step backgroundStep = new Scenario.Step(
                step.name(), step.action().subList(1, step.action().size()), List.of());
        loads.put(
                step.name(),
                Thread.ofPlatform().name("background-" + step.name()).start(() -> {
                    try {
                        execute(backgroundStep);
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                }));
    }

    private static void injectFaults(Scenario.Step step, StandIn standIn) {
        InjectedFaults faults = InjectedFaults.NONE
                .withSlowFactor(Double.parseDouble(step.option("slow", "1")))
                .withErrorFraction(Double.parseDouble(step.option("errors", "0")))
                .withTruncatedResponses(step.action().contains("cut"))
                .withHang(step.action().contains("hang"));
        standIn.injectFaults(faults);
    }

    private String chooseHost(Scenario.Step step) {
        String[] hosts = control.resolveAlias(
                        step.option("at", scenario.hosts().get(0).name()))
                .split("/");
        return hosts[ThreadLocalRandom.current().nextInt(hosts.length)];
    }

    private CallTemplate createCallTemplate(Scenario.Step step) {
        byte[] body = new byte[step.number("body", 0)];
        return new CallTemplate(
                step.name(),
                step.action().get(1),
                step.action().get(2),
                body,
                step.action().contains("key") || step.action().contains("keys"));
    }

    /**
     * Sends one call, or several concurrent ones with {@code times N}. With {@code until STATUS}, repeats the call
     * until it returns that status or a time limit has passed.
     */
    private void sendCalls(Scenario.Step step) throws InterruptedException {
        CallTemplate template = createCallTemplate(step);
        String keyName = step.option("key", "");
        String key = mintedKeys.getOrDefault(keyName, keyName);
        if (step.action().contains("until")) {
            callUntilStatus(step, template, key);
            return;
        }
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < step.number("times", 1); i++) {
            threads.add(Thread.ofVirtual().start(() -> send(step, template, key, System.nanoTime() / 1e6)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    /**
     * Repeats a call until it returns a status. Earlier results are recorded as those of a step {@code STEP before}, to
     * which no check refers.
     */
    private void callUntilStatus(Scenario.Step step, CallTemplate template, String key) throws InterruptedException {
        int status = step.number("until", 0);
        long endNs = System.nanoTime() + step.number("within", DEFAULT_UNTIL_TIMEOUT_MS) * 1_000_000L;
        while (true) {
            CallOutcome outcome = deployment
                    .caller(chooseHost(step))
                    .send(template, key, System.nanoTime() / 1e6, step.number("timeout", DEFAULT_CALL_TIMEOUT_MS));
            boolean finished = outcome.status() == status || System.nanoTime() > endNs;
            String name = finished ? step.name() : step.name() + " before";
            history.add(new History.SentCall(
                    name, template.method(), template.path(), template.keyed() ? key : null, outcome));
            if (finished) {
                return;
            }
            Thread.sleep(UNTIL_POLL_INTERVAL_MS);
        }
    }

    /** Sends calls at a fixed rate in the background; with {@code tries N}, a failed call is repeated without delay. */
    private void startLoad(Scenario.Step step) {
        CallTemplate template = createCallTemplate(step);
        int ratePerS = step.number("rate", 10);
        int durationMs = step.number("for", 1_000);
        boolean keyed = step.action().contains("keys");
        Thread thread = Thread.ofPlatform().name("load-" + step.name()).start(() -> new OpenLoopGenerator()
                .run(ratePerS, durationMs, (index, scheduledAtMs) -> {
                    String key = keyed ? deployment.mintKey(chooseHost(step)) : "";
                    for (int attempt = 0; attempt < step.number("tries", 1); attempt++) {
                        if (send(step, template, key, scheduledAtMs)) {
                            return;
                        }
                    }
                }));
        loads.put(step.name(), thread);
    }

    private boolean send(Scenario.Step step, CallTemplate template, String key, double scheduledAtMs) {
        try {
            CallOutcome outcome = deployment
                    .caller(chooseHost(step))
                    .send(template, key, scheduledAtMs, step.number("timeout", DEFAULT_CALL_TIMEOUT_MS));
            history.add(new History.SentCall(
                    step.name(), template.method(), template.path(), template.keyed() ? key : null, outcome));
            return outcome.isGood();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
