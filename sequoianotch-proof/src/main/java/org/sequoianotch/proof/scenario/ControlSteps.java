package org.sequoianotch.proof.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Steps and checks of a scenario that concern the control group and the template revisions in force.
 *
 * <p>Steps may run on several threads.
 */
final class ControlSteps implements AutoCloseable {
    private static final String ORGANISATION = "lone-star-bellworks";
    private static final int DEFAULT_WAIT_MS = 30_000;
    private static final long POLL_INTERVAL_MS = 20;
    private static final long RESEND_DELAY_MS = 100;

    private final Scenario scenario;
    private final Deployment deployment;
    private final History history;
    private final Path template;
    private final AdminClient admin;
    private final RevisionMonitor revisionMonitor;
    private final Map<String, String> aliases = new ConcurrentHashMap<>();
    private final List<String> violations = new ArrayList<>();
    /** Highest revision of an accepted change, which steps refer to as {@code latest}. */
    private final AtomicLong latestRevision = new AtomicLong();

    ControlSteps(Scenario scenario, Deployment deployment, History history, Path template) {
        this.scenario = scenario;
        this.deployment = deployment;
        this.history = history;
        this.template = template;
        this.admin = new AdminClient(deployment::adminAddress);
        this.revisionMonitor = new RevisionMonitor(admin);
    }

    /** Starts to monitor the revisions in force if the scenario has a control group. */
    void start() {
        if (!controlHosts().isEmpty()) {
            revisionMonitor.start(
                    scenario.hosts().stream().map(Scenario.HostPlan::name).toList());
        }
    }

    private List<String> controlHosts() {
        return scenario.hosts().stream()
                .filter(Scenario.HostPlan::control)
                .map(Scenario.HostPlan::name)
                .toList();
    }

    /** Executes a step if it is one of the control group; returns whether it is. */
    boolean execute(Scenario.Step step) throws IOException, InterruptedException {
        switch (step.action().get(0)) {
            case "apply" -> submitChanges(step, 1);
            case "apply-many" -> submitChanges(
                    step, Integer.parseInt(step.action().get(1)));
            case "await-revision" -> awaitRevision(step);
            case "await-drained" -> awaitDrained(step);
            case "await-log" -> awaitLog(step);
            case "find-leader" -> findLeader(step);
            case "show-templates" -> history.addText(
                    step.name(),
                    admin.templates(resolveAlias(step.action().get(1))).toString());
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Returns the host of an alias that {@code find-leader} has set, or the word itself if it is no alias. */
    String resolveAlias(String word) {
        return aliases.getOrDefault(word, word);
    }

    void nodeRestarted(String host) {
        revisionMonitor.nodeRestarted(host);
    }

    long highestRevision(String host) {
        return revisionMonitor.highestRevision(resolveAlias(host));
    }

    long lowestRevision(String host) {
        return revisionMonitor.lowestRevision(resolveAlias(host));
    }

    List<String> violations() {
        List<String> all = new ArrayList<>(violations);
        all.addAll(revisionMonitor.violations());
        return all;
    }

    private long revision(String word) {
        return word.equals("latest") ? latestRevision.get() : Long.parseLong(word);
    }

    /**
     * Submits template changes one after the other, for example
     * {@code apply deadline_ms=2100 expect latest at a as change-01 by bob}. With {@code dry-run}, nothing is changed.
     * With {@code tries N}, a change with an inconclusive response is sent again with the same id, up to N times in
     * all.
     */
    private void submitChanges(Scenario.Step step, int count) throws IOException, InterruptedException {
        for (int i = 0; i < count; i++) {
            String setting = count == 1 ? step.action().get(1) : "deadline_ms=" + (2_001 + i);
            String changeId = step.option(
                    "as",
                    "change-" + Long.toHexString(ThreadLocalRandom.current().nextLong()));
            TemplateChangeResponse.Change change = new TemplateChangeResponse.Change(
                    ORGANISATION,
                    templateWith(setting),
                    setting,
                    revision(step.option("expect", "latest")),
                    changeId,
                    step.option("by", "alice"),
                    step.action().contains("dry-run"));
            TemplateChangeResponse response = admin.submit(change, chooseHost(step));
            for (int remaining = step.number("tries", 1) - 1; remaining > 0 && isInconclusive(response); remaining--) {
                history.add(step.name() + " before", response);
                Thread.sleep(RESEND_DELAY_MS);
                response = admin.submit(change, chooseHost(step));
            }
            history.add(step.name(), response);
            if (response.isAccepted()) {
                latestRevision.accumulateAndGet(response.revision(), Math::max);
            }
        }
    }

    /** Tells whether the control group made no known decision on the change, so that it may be sent again. */
    private static boolean isInconclusive(TemplateChangeResponse response) {
        return Set.of("in_doubt", "no_majority", "no_answer").contains(response.code());
    }

    private String chooseHost(Scenario.Step step) {
        String[] hosts = step.option("at", scenario.hosts().get(0).name()).split("/");
        return resolveAlias(hosts[ThreadLocalRandom.current().nextInt(hosts.length)]);
    }

    /** Returns the template of the scenario with the first line of one setting replaced. */
    private String templateWith(String setting) throws IOException {
        String[] parts = setting.split("=", 2);
        String text = Files.readString(template);
        Matcher line =
                Pattern.compile("(?m)^" + Pattern.quote(parts[0]) + " = .*$").matcher(text);
        if (parts.length != 2 || !line.find()) {
            throw new IllegalArgumentException("the template " + template + " has no setting for the change \""
                    + setting + "\"; expected KEY=VALUE");
        }
        return line.replaceFirst(parts[0] + " = " + parts[1]);
    }

    /** {@code await-revision N within MS [at a/b]}: waits until these nodes, or all running ones, have the revision. */
    private void awaitRevision(Scenario.Step step) throws InterruptedException {
        long wanted = revision(step.action().get(1));
        await(step, () -> {
            Set<String> behind = new HashSet<>();
            for (String host : hostsToPoll(step)) {
                if (revisionMonitor.readRevision(host) < wanted) {
                    behind.add(host);
                }
            }
            return behind.isEmpty() ? "" : "hosts " + behind + " had not reached revision " + wanted;
        });
    }

    private List<String> hostsToPoll(Scenario.Step step) {
        String at = step.option("at", "");
        if (!at.isEmpty()) {
            return List.of(at.split("/")).stream().map(this::resolveAlias).toList();
        }
        return scenario.hosts().stream()
                .map(Scenario.HostPlan::name)
                .filter(host -> deployment.node(host).isAlive())
                .toList();
    }

    /** {@code await-drained HOST within MS}: waits until no polled node reports the host's instances as serving. */
    private void awaitDrained(Scenario.Step step) throws InterruptedException {
        String drained = resolveAlias(step.action().get(1));
        await(step, () -> {
            for (String polledHost : hostsToPoll(step)) {
                for (JsonNode service : admin.status(polledHost).path("services")) {
                    for (JsonNode instance : service.path("instances")) {
                        if (instance.path("host").asText().equals(drained)
                                && instance.path("state").asText().equals("serving")) {
                            return "host " + polledHost + " still reported instances of host " + drained
                                    + " as serving";
                        }
                    }
                }
            }
            return "";
        });
    }

    /** {@code await-log HOST WORD within MS}: waits until the log of a node contains a word. */
    private void awaitLog(Scenario.Step step) throws InterruptedException {
        String host = resolveAlias(step.action().get(1));
        String word = step.action().get(2);
        await(
                step,
                () -> deployment.node(host).logContains(word)
                        ? ""
                        : "the log of host " + host + " did not contain \"" + word + "\"");
    }

    /**
     * Sets the aliases {@code leader}, {@code follower} and {@code third} when all control hosts name the same leader.
     */
    private void findLeader(Scenario.Step step) throws InterruptedException {
        await(step, () -> {
            Set<String> leaders = new HashSet<>();
            for (String host : controlHosts()) {
                if (deployment.node(host).isAlive()) {
                    leaders.add(admin.status(host).path("leader").asText(""));
                }
            }
            if (leaders.size() != 1 || !controlHosts().containsAll(leaders)) {
                return "the control hosts named the leaders " + leaders + " instead of one control host";
            }
            String leader = leaders.iterator().next();
            List<String> others = new ArrayList<>(controlHosts());
            others.remove(leader);
            aliases.put("leader", leader);
            aliases.put("follower", others.get(0));
            aliases.put("third", others.get(others.size() - 1));
            return "";
        });
    }

    private interface Condition {
        /** Returns an empty string if the condition holds, and otherwise the reason why it does not. */
        String unmetReason() throws InterruptedException;
    }

    private void await(Scenario.Step step, Condition condition) throws InterruptedException {
        int limitMs = step.number("within", DEFAULT_WAIT_MS);
        long endNs = System.nanoTime() + limitMs * 1_000_000L;
        String unmetReason = condition.unmetReason();
        while (!unmetReason.isEmpty() && System.nanoTime() < endNs) {
            Thread.sleep(POLL_INTERVAL_MS);
            unmetReason = condition.unmetReason();
        }
        if (!unmetReason.isEmpty()) {
            violations.add("Step " + step.name() + " timed out: after " + limitMs + " ms, " + unmetReason + ".");
        }
    }

    @Override
    public void close() {
        revisionMonitor.close();
        admin.close();
    }
}
