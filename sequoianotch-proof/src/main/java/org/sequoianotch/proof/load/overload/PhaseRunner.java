package org.sequoianotch.proof.load.overload;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.sequoianotch.proof.load.CallOutcome;
import org.sequoianotch.proof.load.OpenLoopGenerator;
import org.sequoianotch.proof.load.ProcessUsage;
import org.sequoianotch.proof.scenario.Deployment;
import org.sequoianotch.proof.standin.Execution;
import org.sequoianotch.proof.standin.StandIn;
import org.sequoianotch.time.SystemClock;

/**
 * Runs one measurement phase against a running deployment.
 *
 * <p>An instance runs one phase. One thread uses it; the load generators add samples from their own threads.
 */
final class PhaseRunner {
    static final long BASELINE_MS = 2_000;
    /** Time for executions that are still running when the load ends. */
    private static final long SETTLE_TIME_MS = 500;

    private static final long SEED = 20_261_204L;
    private static final double PERCENT = 100.0;

    private final LoadPlan plan;
    private final CapacityModel model;
    private final Deployment deployment;
    private final Phase phase;
    private final long triggerMs;
    private final List<String> entryHosts;
    private final List<Sample> samples = Collections.synchronizedList(new ArrayList<>());

    PhaseRunner(LoadPlan plan, CapacityModel model, Deployment deployment, Phase phase, long triggerMs) {
        this.plan = plan;
        this.model = model;
        this.deployment = deployment;
        this.phase = phase;
        this.triggerMs = triggerMs;
        this.entryHosts = phase.entryHosts(plan);
    }

    PhaseReport run(String mode) throws IOException, InterruptedException {
        deployment.standIns().forEach(standIn -> standIn.executionLog().clear());
        Map<String, Double> cpuBeforeMs = nodeCpuMs();
        double capacity = model.capacityPerS();
        double startMs = SystemClock.INSTANCE.monotonicMs();
        Thread steady = startLoad(Phase.STEADY_FACTOR * capacity, BASELINE_MS + 2 * triggerMs, 0);
        Thread.sleep(BASELINE_MS);
        double triggerAtMs = SystemClock.INSTANCE.monotonicMs();
        Thread surge = startLoad((phase.loadFactor() - Phase.STEADY_FACTOR) * capacity, triggerMs, 1);
        phase.startTrigger(plan, deployment);
        Thread.sleep(triggerMs / 2);
        phase.changeTriggerHalfway(plan, deployment);
        sleepUntil(triggerAtMs + triggerMs);
        phase.endTrigger(plan, deployment);
        double triggerEndMs = SystemClock.INSTANCE.monotonicMs();
        double busiestNodePercent = busiestNodePercent(cpuBeforeMs, nodeCpuMs(), triggerEndMs - startMs);
        steady.join();
        surge.join();
        Thread.sleep(SETTLE_TIME_MS);
        Map<String, List<Execution>> executions = executions();
        phase.restore(plan, deployment);
        double idealPerS = phase.idealPerS(model, plan, phase.loadFactor() * capacity);
        return new PhaseReport(
                phase, mode, idealPerS, startMs, triggerAtMs, triggerEndMs, busiestNodePercent, samples, executions);
    }

    /** Sends the steady load without measuring, so that the code is compiled when the first phase starts. */
    void warmUp(long durationMs) throws InterruptedException {
        startLoad(Phase.STEADY_FACTOR * model.capacityPerS(), durationMs, 2).join();
    }

    private static void sleepUntil(double atMs) throws InterruptedException {
        Thread.sleep((long) Math.max(0, atMs - SystemClock.INSTANCE.monotonicMs()));
    }

    private Thread startLoad(double ratePerS, long durationMs, int stream) {
        return Thread.ofPlatform().name("load-" + stream).start(() -> {
            if (ratePerS > 0) {
                new OpenLoopGenerator()
                        .run(ratePerS, durationMs, (index, scheduledAtMs) -> send(stream, index, scheduledAtMs));
            }
        });
    }

    private void send(int stream, int index, double scheduledAtMs) throws InterruptedException {
        double startDelayMs = SystemClock.INSTANCE.monotonicMs() - scheduledAtMs;
        SplittableRandom random = new SplittableRandom(SEED + stream * 1_000_003L + index * 7_919L);
        LoadClass loadClass = chooseClass(random.nextDouble());
        String key = loadClass.call().keyed() ? deployment.mintKey(chooseEntryHost(random)) : "";
        CallOutcome outcome = new CallOutcome(0, "", "", "", 0);
        for (int attempt = 0; attempt < phase.attempts() && !outcome.isGood(); attempt++) {
            double remainingMs = scheduledAtMs + loadClass.timeoutMs() - SystemClock.INSTANCE.monotonicMs();
            if (remainingMs < 1) {
                break;
            }
            outcome = deployment.caller(chooseEntryHost(random)).send(loadClass.call(), key, scheduledAtMs, (long)
                    remainingMs);
        }
        String requestId = outcome.isGood() ? outcome.requestId() : "";
        samples.add(new Sample(
                loadClass, scheduledAtMs, startDelayMs, describeFailure(outcome), requestId, outcome.latencyMs()));
    }

    private static String describeFailure(CallOutcome outcome) {
        if (outcome.isGood()) {
            return "";
        }
        String marker = "\"kind\":\"";
        int start = outcome.body().indexOf(marker) + marker.length();
        if (start >= marker.length()) {
            String place = outcome.body().contains("The entry node refused") ? " at entry" : "";
            return outcome.body().substring(start, outcome.body().indexOf('"', start)) + place;
        }
        return outcome.status() == 0 ? "no response" : "status " + outcome.status();
    }

    private String chooseEntryHost(SplittableRandom random) {
        return entryHosts.get(random.nextInt(entryHosts.size()));
    }

    /** Returns the class at a point from 0 to 1 of the cumulative shares. */
    private LoadClass chooseClass(double point) {
        double remaining = point;
        for (LoadClass loadClass : plan.classes()) {
            remaining -= loadClass.share();
            if (remaining < 0) {
                return loadClass;
            }
        }
        return plan.classes().getLast();
    }

    private Map<String, List<Execution>> executions() {
        Map<String, List<Execution>> byService = new HashMap<>();
        for (StandIn standIn : deployment.standIns()) {
            byService
                    .computeIfAbsent(standIn.options().service().name(), service -> new ArrayList<>())
                    .addAll(standIn.executionLog().executions());
        }
        return byService;
    }

    private Map<String, Double> nodeCpuMs() throws IOException {
        Map<String, Double> usage = new HashMap<>();
        for (String host : entryHosts) {
            usage.put(host, ProcessUsage.of(deployment.node(host).pid()).cpuMs());
        }
        return usage;
    }

    private static double busiestNodePercent(Map<String, Double> before, Map<String, Double> after, double elapsedMs) {
        return after.entrySet().stream()
                .mapToDouble(entry -> (entry.getValue() - before.get(entry.getKey())) * PERCENT / elapsedMs)
                .max()
                .orElse(0);
    }
}
