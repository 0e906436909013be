package org.sequoianotch.policy.simulation;

import java.util.HashSet;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.Instance;
import org.sequoianotch.model.Region;
import org.sequoianotch.policy.TestLimits;
import org.sequoianotch.policy.admission.EntryGate;
import org.sequoianotch.policy.retry.FailedAttempt;
import org.sequoianotch.policy.retry.RetryAllowance;
import org.sequoianotch.policy.retry.RetryPolicy;
import org.sequoianotch.policy.routing.Attempt;
import org.sequoianotch.policy.routing.AttemptResult;
import org.sequoianotch.policy.routing.InstanceSelector;
import org.sequoianotch.policy.routing.RoutingRequest;
import org.sequoianotch.template.RepeatRule;

/** Makes the calls of one node to one service with the policies under test. */
final class SimulatedClient {
    private static final DataCentre HOME = DataCentre.of("brest");
    private static final Region REGION = Region.of("west");

    private final Simulation simulation;
    private final SimulatedService target;
    private final EntryGate entryGate;
    private final InstanceSelector selector;
    private final RetryPolicy retryPolicy;

    SimulatedClient(Simulation simulation, SimulatedService target) {
        this.simulation = simulation;
        this.target = target;
        Random random = new Random(simulation.random.nextLong());
        this.entryGate = simulation.mode.newEntryGate(simulation.clock, random);
        this.selector = simulation.mode.newSelector(target.rule, HOME, REGION, 5, simulation.clock, random);
        this.retryPolicy = simulation.mode.newRetryPolicy(target.rule, TestLimits.ONE_NODE, simulation.clock);
    }

    void call(SimulatedRequest.Call call) {
        retryPolicy.onFirstAttempt(call.request().criticality);
        new Attempts(call).next();
    }

    private final class Attempts {
        private final SimulatedRequest.Call call;
        private final SimulatedRequest request;
        private final Set<HostId> tried = new HashSet<>();
        private int attempts;

        Attempts(SimulatedRequest.Call call) {
            this.call = call;
            this.request = call.request();
        }

        void next() {
            Optional<Failure> refusal = entryGate.check(request.criticality, target.instances());
            if (refusal.isPresent()) {
                call.done().accept(refusal);
                return;
            }
            Optional<Instance> selected =
                    selector.select(new RoutingRequest(request.criticality, 1_024, tried), target.instances());
            if (selected.isEmpty()) {
                call.done().accept(Optional.of(Failure.of(ErrorKind.NO_INSTANCE, "")));
                return;
            }
            Instance instance = selected.get();
            attempts++;
            tried.add(instance.host());
            Attempt attempt = selector.start(instance);
            double startedAtMs = simulation.nowMs();
            SimulatedInstance callee = target.find(instance.host());
            RetryAllowance share = RetryAllowance.of(call.allowance().takeShare());
            Consumer<Optional<Failure>> onResponseArrival = failure -> {
                entryGate.observe(instance.host(), callee.load());
                attempt.finish(result(failure), simulation.nowMs() - startedAtMs, callee.load());
                call.allowance().giveBack(share.close());
                onAttemptEnd(failure);
            };
            Consumer<Optional<Failure>> onResponse =
                    failure -> simulation.after(Simulation.NETWORK_MS, () -> onResponseArrival.accept(failure));
            SimulatedRequest.Call sent = new SimulatedRequest.Call(request, call.depth(), share, onResponse);
            simulation.after(Simulation.NETWORK_MS, () -> callee.serve(sent));
        }

        private void onAttemptEnd(Optional<Failure> failure) {
            double timeLeftMs = request.deadlineAtMs - simulation.nowMs();
            if (failure.isPresent()
                    && retryPolicy.mayRetry(
                            new FailedAttempt(
                                    failure.get(), RepeatRule.SAFE, request.criticality, attempts, timeLeftMs),
                            call.allowance())) {
                next();
            } else {
                call.done().accept(failure);
            }
        }
    }

    private static AttemptResult result(Optional<Failure> failure) {
        return failure.map(cause -> switch (cause.kind()) {
                    case OVERLOADED, RETRIES_EXHAUSTED, DRAINING -> AttemptResult.REFUSED;
                    case DEADLINE_BEFORE_RUN, DEADLINE_IN_DOUBT -> AttemptResult.TIMED_OUT;
                    case CALLER_GONE -> AttemptResult.CANCELLED;
                    default -> AttemptResult.SERVER_ERROR;
                })
                .orElse(AttemptResult.SUCCEEDED);
    }
}
