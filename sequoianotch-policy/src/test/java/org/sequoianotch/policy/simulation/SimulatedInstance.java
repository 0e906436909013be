package org.sequoianotch.policy.simulation;

import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.Instance;
import org.sequoianotch.model.LoadReport;
import org.sequoianotch.policy.admission.AdmissionControl;
import org.sequoianotch.policy.admission.AdmissionRequest;
import org.sequoianotch.policy.admission.AdmissionTicket;
import org.sequoianotch.policy.admission.CallResult;
import org.sequoianotch.policy.admission.Permit;
import org.sequoianotch.policy.retry.RetryAllowance;

/** A backend server with its node's admission; it may call a service below before it answers. */
final class SimulatedInstance {
    final Instance instance;
    /** Slows the backend server down. */
    double slowFactor = 1;
    /** Makes the backend server answer each call with an error at once. */
    boolean failsFast;
    /** Calls that the backend server ran. */
    int ran;

    private final Simulation simulation;
    private final SimulatedService service;
    private final AdmissionControl admission;
    private final @Nullable SimulatedClient below;

    SimulatedInstance(Simulation simulation, SimulatedService service, Instance instance) {
        this.simulation = simulation;
        this.service = service;
        this.instance = instance;
        this.admission = simulation.mode.newAdmission(service.rule, instance.slots(), simulation.clock);
        this.below = service.below == null ? null : new SimulatedClient(simulation, service.below);
    }

    LoadReport load() {
        return admission.load();
    }

    void serve(SimulatedRequest request, int depth, RetryAllowance allowance, Consumer<Optional<Failure>> reply) {
        AdmissionTicket ticket =
                admission.submit(new AdmissionRequest(request.id, request.criticality, depth, request.deadlineAtMs));
        Runnable cancel = ticket::cancel;
        request.onCancel(cancel);
        // Stands for the waiting thread, which makes its call expire.
        simulation.after(service.rule.queueTimeMs() + 0.01, admission::load);
        ticket.whenDecided(decision -> {
            request.offCancel(cancel);
            if (decision.isLeft()) {
                reply.accept(Optional.of(decision.getLeft()));
            } else {
                new Execution(request, depth, allowance, reply, decision.get()).start();
            }
        });
    }

    private final class Execution {
        private final SimulatedRequest request;
        private final int depth;
        private final RetryAllowance allowance;
        private final Consumer<Optional<Failure>> reply;
        private final Permit permit;
        private final double startedAtMs = simulation.nowMs();
        private final Runnable cancel = this::cancel;
        private boolean working = true;
        private boolean ended;

        Execution(
                SimulatedRequest request,
                int depth,
                RetryAllowance allowance,
                Consumer<Optional<Failure>> reply,
                Permit permit) {
            this.request = request;
            this.depth = depth;
            this.allowance = allowance;
            this.reply = reply;
            this.permit = permit;
        }

        void start() {
            ran++;
            request.onCancel(cancel);
            double durationMs = failsFast ? 0.5 : simulation.exponential(service.workMs) * slowFactor;
            simulation.after(durationMs, this::onWorkDone);
        }

        private void onWorkDone() {
            if (ended) {
                return;
            }
            working = false;
            request.addWork(simulation.nowMs() - startedAtMs);
            if (failsFast) {
                end(CallResult.FAILED, Optional.of(Failure.of(ErrorKind.INTERNAL, "")));
            } else if (below == null) {
                end(CallResult.ANSWERED, Optional.empty());
            } else {
                below.call(request, depth + 1, allowance, this::onSubCall);
            }
        }

        private void onSubCall(Optional<Failure> failure) {
            if (failure.isPresent()) {
                end(CallResult.OVERLOADED, Optional.of(Failure.of(ErrorKind.RETRIES_EXHAUSTED, "")));
            } else {
                end(CallResult.ANSWERED, failure);
            }
        }

        private void cancel() {
            if (working) {
                request.addWork(simulation.nowMs() - startedAtMs);
            }
            end(CallResult.CANCELLED, Optional.of(Failure.of(ErrorKind.CALLER_GONE, "")));
        }

        private void end(CallResult result, Optional<Failure> failure) {
            if (!ended) {
                ended = true;
                request.offCancel(cancel);
                permit.release(result, simulation.nowMs() - startedAtMs);
                reply.accept(failure);
            }
        }
    }
}
