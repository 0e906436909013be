package org.sequoianotch.proof.load.overload;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import org.sequoianotch.model.BackendState;
import org.sequoianotch.proof.scenario.Deployment;
import org.sequoianotch.proof.standin.InjectedFaults;

/**
 * Trigger of a measurement phase: a surge of load or a fault, on top of a steady load of 0.7 of the capacity.
 *
 * <p>A phase measures the goodput before, during and after its trigger.
 */
enum Phase {
    /** No trigger. */
    STEADY,
    /** The offered load rises to twice the capacity. */
    SURGE2 {
        @Override
        double loadFactor() {
            return 2;
        }
    },
    /** The offered load rises to five times the capacity. */
    SURGE5 {
        @Override
        double loadFactor() {
            return 5;
        }
    },
    /**
     * The service at the end of the call chains becomes ten times as slow, and clients make up to three attempts
     * without delay.
     */
    SLOW {
        @Override
        int attempts() {
            return 3;
        }

        @Override
        void startTrigger(LoadPlan plan, Deployment deployment) {
            injectFaults(plan, deployment, InjectedFaults.NONE.withSlowFactor(SLOW_FACTOR));
        }

        @Override
        void endTrigger(LoadPlan plan, Deployment deployment) {
            injectFaults(plan, deployment, InjectedFaults.NONE);
        }

        @Override
        double idealPerS(CapacityModel model, LoadPlan plan, double offeredPerS) {
            return model.withWorkFactor(plan.deepService(), SLOW_FACTOR).idealPerS(offeredPerS);
        }
    },
    /** The node of one instance is killed and is restarted only after the phase. */
    KILL {
        @Override
        void startTrigger(LoadPlan plan, Deployment deployment) {
            deployment.node(plan.hostsOf(plan.spareService()).getLast()).kill();
        }

        @Override
        void restore(LoadPlan plan, Deployment deployment) throws IOException, InterruptedException {
            deployment.node(plan.hostsOf(plan.spareService()).getLast()).start();
            deployment.awaitReady();
        }

        @Override
        boolean outlastsTrigger() {
            return true;
        }

        @Override
        double idealPerS(CapacityModel model, LoadPlan plan, double offeredPerS) {
            return withoutOneInstance(model, plan).idealPerS(offeredPerS);
        }
    },
    /** One instance immediately responds to all requests with errors. */
    ERRORS {
        @Override
        void startTrigger(LoadPlan plan, Deployment deployment) {
            deployment
                    .standIn(plan.hostsOf(plan.spareService()).getLast())
                    .injectFaults(InjectedFaults.NONE.withErrorFraction(1));
        }

        @Override
        void endTrigger(LoadPlan plan, Deployment deployment) {
            deployment.standIn(plan.hostsOf(plan.spareService()).getLast()).injectFaults(InjectedFaults.NONE);
        }

        @Override
        double idealPerS(CapacityModel model, LoadPlan plan, double offeredPerS) {
            return withoutOneInstance(model, plan).idealPerS(offeredPerS);
        }
    },
    /** One instance of a service drains; halfway through the trigger, all others do so as well. */
    DRAIN {
        @Override
        void startTrigger(LoadPlan plan, Deployment deployment) throws InterruptedException {
            deployment.standIn(plan.hostsOf(plan.spareService()).getFirst()).announce(BackendState.DRAINING);
        }

        @Override
        void changeTriggerHalfway(LoadPlan plan, Deployment deployment) throws InterruptedException {
            for (String host : plan.hostsOf(plan.spareService())) {
                deployment.standIn(host).announce(BackendState.DRAINING);
            }
        }

        @Override
        void endTrigger(LoadPlan plan, Deployment deployment) throws InterruptedException {
            for (String host : plan.hostsOf(plan.spareService())) {
                deployment.standIn(host).announce(BackendState.SERVING);
            }
        }

        @Override
        double idealPerS(CapacityModel model, LoadPlan plan, double offeredPerS) {
            double first = withoutOneInstance(model, plan).idealPerS(offeredPerS);
            return (first + model.withSlotFactor(plan.spareService(), 0).idealPerS(offeredPerS)) / 2;
        }
    };

    /** Fraction of the capacity that is offered before and after the trigger. */
    static final double STEADY_FACTOR = 0.7;

    private static final double SLOW_FACTOR = 10;

    static Phase parse(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT));
    }

    String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the load offered during the trigger as a fraction of the capacity. */
    double loadFactor() {
        return STEADY_FACTOR;
    }

    /** Returns the maximum number of attempts that a client makes for each request. */
    int attempts() {
        return 1;
    }

    void startTrigger(LoadPlan plan, Deployment deployment) throws InterruptedException {}

    /** Changes the fault when half of the trigger has passed. */
    void changeTriggerHalfway(LoadPlan plan, Deployment deployment) throws InterruptedException {}

    void endTrigger(LoadPlan plan, Deployment deployment) throws InterruptedException {}

    /** Restores the deployment after the phase, when all measurements of the phase are complete. */
    void restore(LoadPlan plan, Deployment deployment) throws IOException, InterruptedException {}

    /**
     * Tells whether the fault persists after the trigger, so that the recovery time counts from the trigger's start.
     */
    boolean outlastsTrigger() {
        return false;
    }

    /** Returns the requests completed per second under ideal admission while the trigger is active. */
    double idealPerS(CapacityModel model, LoadPlan plan, double offeredPerS) {
        return model.idealPerS(offeredPerS);
    }

    /** Returns the hosts that clients send requests to, without the host whose node the phase kills. */
    List<String> entryHosts(LoadPlan plan) {
        String spare = plan.hostsOf(plan.spareService()).getLast();
        return plan.hosts().stream()
                .map(host -> host.name())
                .filter(host -> !outlastsTrigger() || !host.equals(spare))
                .toList();
    }

    private static CapacityModel withoutOneInstance(CapacityModel model, LoadPlan plan) {
        int instances = plan.services().get(plan.spareService()).instances();
        return model.withSlotFactor(plan.spareService(), (instances - 1.0) / instances);
    }

    private static void injectFaults(LoadPlan plan, Deployment deployment, InjectedFaults faults) {
        plan.hostsOf(plan.deepService())
                .forEach(host -> deployment.standIn(host).injectFaults(faults));
    }
}
