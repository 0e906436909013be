package org.sequoianotch.proof.scenario;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;
import org.sequoianotch.proof.standin.Execution;
import org.sequoianotch.proof.standin.StandIn;

/**
 * Evaluates the checks of a scenario step against the history, the stand-ins and the nodes.
 *
 * <p>One thread uses this class.
 */
final class CheckEvaluator {
    private static final double PERCENT = 100.0;
    private static final int MAX_RESPONSES_SHOWN = 4;

    private final History history;
    private final Deployment deployment;
    private final Map<String, Integer> exitCodes;
    private final double elapsedMs;
    private final ControlSteps control;

    CheckEvaluator(
            History history,
            Deployment deployment,
            Map<String, Integer> exitCodes,
            double elapsedMs,
            ControlSteps control) {
        this.history = history;
        this.deployment = deployment;
        this.exitCodes = exitCodes;
        this.elapsedMs = elapsedMs;
        this.control = control;
    }

    /**
     * Evaluates a check such as {@code status = 200} or {@code runs specdesk /doors <= 3}.
     *
     * @param step name of the step; not null
     * @param check the check; not null
     * @return a message if the check does not hold, otherwise empty
     * @throws IllegalArgumentException if there is no such check
     */
    Optional<String> evaluate(String step, String check) {
        String[] words = check.split("\\s+");
        String comparison = words[words.length - 2];
        String wanted = words[words.length - 1];
        return switch (words[0]) {
            case "status" -> checkEachCall(
                    step, check, wanted, call -> Integer.toString(call.outcome().status()));
            case "outcome" -> checkEachCall(
                    step, check, wanted, call -> call.outcome().outcome());
            case "kind" -> checkEachCall(
                    step, check, wanted, call -> errorKind(call.outcome().body()));
            case "runs" -> compareNumber(step, check, countExecutions(words[1], words[2]), comparison, wanted);
            case "retries" -> compareNumber(step, check, countRetries(), comparison, wanted);
            case "good" -> compareNumber(step, check, goodPercent(words[1]), comparison, wanted);
            case "told" -> compareNumber(step, check, countOutcome(words[1], words[2]), comparison, wanted);
            case "unanswered" -> compareNumber(step, check, countWithoutResponse(words[1]), comparison, wanted);
            case "change" -> checkChangeResponses(step, check, words);
            case "loser-told" -> compareNumber(
                    step, check, refusalNamesAcceptedChange(words[1], words[2]), comparison, wanted);
            case "same-answer" -> compareNumber(step, check, sameResponse(words[1], words[2]), comparison, wanted);
            case "revision" -> compareNumber(step, check, control.highestRevision(words[1]), comparison, wanted);
            case "lowest-revision" -> compareNumber(step, check, control.lowestRevision(words[1]), comparison, wanted);
            case "mentions" -> compareNumber(step, check, mentions(step, words[1]), comparison, wanted);
            case "exit" -> compareNumber(
                    step, check, exitCodes.getOrDefault(control.resolveAlias(words[1]), -1), comparison, wanted);
            case "elapsed" -> compareNumber(step, check, elapsedMs, comparison, wanted);
            case "alive" -> compareNumber(
                    step, check, deployment.node(control.resolveAlias(words[1])).isAlive() ? 1 : 0, comparison, wanted);
            default -> throw new IllegalArgumentException("unknown check \"" + check + "\" in step " + step);
        };
    }

    private Optional<String> checkEachCall(
            String step, String check, String wanted, Function<History.SentCall, String> attribute) {
        List<History.SentCall> calls = history.calls(step);
        if (calls.isEmpty()) {
            return Optional.of("Step " + step + ": \"" + check + "\" requires a call, but the step sent none.");
        }
        return calls.stream()
                .filter(call -> !attribute.apply(call).equals(wanted))
                .findFirst()
                .map(call -> "Step " + step + ": \"" + check + "\" does not hold for " + call);
    }

    private static String errorKind(String body) {
        String marker = "\"kind\":\"";
        int start = body.indexOf(marker);
        return start < 0 ? "" : body.substring(start + marker.length(), body.indexOf('"', start + marker.length()));
    }

    private long countExecutions(String service, String pathPrefix) {
        long runs = 0;
        for (StandIn standIn : deployment.standIns()) {
            if (standIn.options().service().name().equals(service)) {
                runs += standIn.executionLog().executions().stream()
                        .map(Execution::path)
                        .filter(path -> path.startsWith(pathPrefix) && !path.equals("/ready"))
                        .count();
            }
        }
        return runs;
    }

    /** Returns the number of retries by nodes: executions that neither a caller nor a backend server requested. */
    private long countRetries() {
        long executions = 0;
        long requested = history.calls().size();
        for (StandIn standIn : deployment.standIns()) {
            executions += standIn.executionLog().executions().size();
            requested += standIn.executionLog().downstreamCalls();
        }
        return executions - requested;
    }

    private double goodPercent(String load) {
        List<History.SentCall> calls = history.calls(load);
        long good = calls.stream().filter(call -> call.outcome().isGood()).count();
        return calls.isEmpty() ? 0 : good * PERCENT / calls.size();
    }

    private long countOutcome(String load, String outcome) {
        return history.calls(load).stream()
                .filter(call -> call.outcome().outcome().equals(outcome))
                .count();
    }

    private long countWithoutResponse(String load) {
        return history.calls(load).stream()
                .filter(call -> call.outcome().status() == 0)
                .count();
    }

    /** Counts responses to template changes by their code, as in {@code change accepted STEP … = N}. */
    private Optional<String> checkChangeResponses(String step, String check, String[] words) {
        List<String> steps = List.of(words).subList(2, words.length - 2);
        List<TemplateChangeResponse> responses = steps.stream()
                .flatMap(name -> history.changeResponses(name).stream())
                .toList();
        long count = responses.stream()
                .filter(response -> response.code().equals(words[1]))
                .count();
        return compareNumber(step, check, count, words[words.length - 2], words[words.length - 1])
                .map(message -> message + " Responses: "
                        + responses.stream()
                                .map(response -> response.code() + " " + response.body())
                                .limit(MAX_RESPONSES_SHOWN)
                                .toList());
    }

    /**
     * Returns 1 if the response to the refused one of two changes names the accepted one's operator and value, else 0.
     */
    private long refusalNamesAcceptedChange(String one, String other) {
        List<TemplateChangeResponse> responses = Stream.of(one, other)
                .flatMap(name -> history.changeResponses(name).stream())
                .toList();
        Optional<TemplateChangeResponse> acceptance =
                responses.stream().filter(TemplateChangeResponse::isAccepted).findFirst();
        Optional<TemplateChangeResponse> refusal =
                responses.stream().filter(response -> !response.isAccepted()).findFirst();
        if (acceptance.isEmpty() || refusal.isEmpty()) {
            return 0;
        }
        TemplateChangeResponse.Change accepted = acceptance.get().change();
        String refusalBody = refusal.get().body();
        String value = accepted.setting().substring(accepted.setting().indexOf('=') + 1);
        return refusalBody.contains(accepted.operator()) && refusalBody.contains(value) ? 1 : 0;
    }

    /** Returns 1 if two steps each received one response with the same code and the same body, else 0. */
    private long sameResponse(String one, String other) {
        List<TemplateChangeResponse> first = history.changeResponses(one);
        List<TemplateChangeResponse> second = history.changeResponses(other);
        return first.size() == 1
                        && second.size() == 1
                        && first.get(0).code().equals(second.get(0).code())
                        && first.get(0).body().equals(second.get(0).body())
                ? 1
                : 0;
    }

    /** Returns 1 if a response or a text of the step contains a word, else 0. */
    private long mentions(String step, String word) {
        boolean inResponse = history.changeResponses(step).stream()
                .anyMatch(response -> response.body().contains(word));
        boolean inCall = history.calls(step).stream()
                .anyMatch(call -> call.outcome().body().contains(word));
        return inResponse || inCall || history.text(step).contains(word) ? 1 : 0;
    }

    private static Optional<String> compareNumber(
            String step, String check, double actual, String comparison, String wantedText) {
        double wanted = Double.parseDouble(wantedText);
        boolean holds =
                switch (comparison) {
                    case "=" -> actual == wanted;
                    case "<=" -> actual <= wanted;
                    case ">=" -> actual >= wanted;
                    default -> throw new IllegalArgumentException(
                            "unknown comparison in check \"" + check + "\"; expected =, <= or >=");
                };
        return holds
                ? Optional.empty()
                : Optional.of(
                        "Step " + step + ": \"" + check + "\" does not hold; the actual value is " + actual + ".");
    }
}
