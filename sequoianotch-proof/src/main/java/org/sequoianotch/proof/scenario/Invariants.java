package org.sequoianotch.proof.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sequoianotch.proof.standin.Execution;
import org.sequoianotch.proof.standin.StandIn;

/**
 * Invariants of every scenario, checked by comparing the responses that callers received with what the stand-ins
 * executed.
 *
 * <p>A message about a violated requirement begins with the number of the requirement, such as R4. This class is
 * stateless.
 */
public final class Invariants {
    private Invariants() {}

    /**
     * Checks the invariants at the end of a scenario.
     *
     * @param history calls and template changes with their responses; not null
     * @param standIns all stand-ins that were started; not null
     * @return one message for each violation, never null
     */
    public static List<String> check(History history, List<StandIn> standIns) {
        List<String> violations = new ArrayList<>();
        Set<String> executedRequests = new HashSet<>();
        Map<String, Integer> executionsOfKey = new HashMap<>();
        // A backend server also sends the key with downstream calls. Those that are safe may be repeated, so only
        // targets that callers call themselves are counted.
        Set<String> callerTargets = new HashSet<>();
        history.calls().forEach(call -> callerTargets.add(call.path() + " key " + call.key()));
        for (StandIn standIn : standIns) {
            for (Execution execution : standIn.executionLog().executions()) {
                executedRequests.add(execution.requestId());
                String target = "/" + standIn.options().service() + execution.path() + " key " + execution.key();
                if (execution.key() != null && callerTargets.contains(target)) {
                    executionsOfKey.merge(target, 1, Integer::sum);
                }
            }
        }
        executionsOfKey.forEach((target, executions) -> {
            if (executions > 1) {
                violations.add("R5: " + target + " was executed " + executions + " times instead of at most once.");
            }
        });
        history.calls().forEach(call -> checkCall(call, executedRequests, violations));
        checkChanges(history.changeResponses(), violations);
        return violations;
    }

    /** Checks that a change has one revision, however often it was submitted, and that a revision has one change. */
    private static void checkChanges(List<TemplateChangeResponse> responses, List<String> violations) {
        Map<Long, String> changeOfRevision = new HashMap<>();
        Map<String, Long> revisionOfChange = new HashMap<>();
        for (TemplateChangeResponse response : responses) {
            if (!response.isAccepted()) {
                continue;
            }
            String change = response.change().changeId();
            String otherChange = changeOfRevision.putIfAbsent(response.revision(), change);
            Long otherRevision = revisionOfChange.putIfAbsent(change, response.revision());
            if (otherChange != null && !otherChange.equals(change)) {
                violations.add("R8: changes " + otherChange + " and " + change + " were both accepted as revision "
                        + response.revision() + ".");
            }
            if (otherRevision != null && otherRevision != response.revision()) {
                violations.add("R8: change " + change + " was accepted as revision " + otherRevision + " and as "
                        + response.revision() + ".");
            }
        }
    }

    private static void checkCall(History.SentCall call, Set<String> executedRequests, List<String> violations) {
        String requestId = call.outcome().requestId();
        String description = call.method() + " " + call.path() + " (request " + requestId + ")";
        if (call.outcome().outcome().equals("not-run") && executedRequests.contains(requestId)) {
            violations.add("R4: the caller of " + description
                    + " received the outcome not-run, but the request was executed.");
        }
        boolean ownResponse = call.outcome().body().contains("request " + requestId);
        if (call.outcome().isGood() && call.key() == null && !ownResponse && !requestId.isEmpty()) {
            violations.add("R3: the caller of " + description + " received the response of another request: "
                    + call.outcome().body());
        }
        if (call.outcome().status() != 0 && call.outcome().outcome().isEmpty()) {
            violations.add("The caller of " + description + " received no outcome with status "
                    + call.outcome().status() + ".");
        }
    }
}
