package org.sequoianotch.proof.load.overload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sequoianotch.proof.standin.DownstreamCall;

/**
 * Model of the requests per second that the instances of a load plan could complete under ideal admission.
 *
 * <p>A request holds a slot of each service on its call chain for the service's own work and that of its downstream
 * services. Ideal admission serves the classes in order of criticality, and of each as many requests as the slots
 * allow.
 *
 * <p>This class is immutable.
 */
final class CapacityModel {
    private static final double MS_PER_S = 1_000.0;
    /** Tolerance for rounding errors when a share or a number of free slots is compared with its limit. */
    private static final double EPSILON = 1e-9;

    private final LoadPlan plan;
    private final Map<String, Double> workMs;
    private final Map<String, Double> slots;

    private CapacityModel(LoadPlan plan, Map<String, Double> workMs, Map<String, Double> slots) {
        this.plan = plan;
        this.workMs = workMs;
        this.slots = slots;
    }

    /** Creates a model of the whole deployment from the measured work time of each service, in milliseconds. */
    static CapacityModel of(LoadPlan plan, Map<String, Double> workMs) {
        Map<String, Double> slots = new HashMap<>();
        plan.services()
                .values()
                .forEach(service -> slots.put(service.name(), (double) (service.instances() * service.slots())));
        return new CapacityModel(plan, Map.copyOf(workMs), slots);
    }

    /** Returns a copy with the slots of one service multiplied by a factor. */
    CapacityModel withSlotFactor(String service, double factor) {
        Map<String, Double> changed = new HashMap<>(slots);
        changed.merge(service, factor, (before, by) -> before * by);
        return new CapacityModel(plan, workMs, changed);
    }

    /** Returns a copy with the work time of one service multiplied by a factor. */
    CapacityModel withWorkFactor(String service, double factor) {
        Map<String, Double> changed = new HashMap<>(workMs);
        changed.merge(service, factor, (before, by) -> before * by);
        return new CapacityModel(plan, changed, slots);
    }

    /** Returns the rate of requests, in the plan's mix of classes, at which the first service has no free slots. */
    double capacityPerS() {
        double lowestPerS = Double.POSITIVE_INFINITY;
        for (String service : slots.keySet()) {
            double heldMs = 0;
            for (LoadClass loadClass : plan.classes()) {
                heldMs += loadClass.share() * slotHeldMs(loadClass).getOrDefault(service, 0.0);
            }
            lowestPerS = Math.min(lowestPerS, heldMs == 0 ? lowestPerS : slots.get(service) * MS_PER_S / heldMs);
        }
        return lowestPerS;
    }

    /** Returns the requests completed per second under ideal admission at an offered rate of the plan's mix. */
    double idealPerS(double offeredPerS) {
        Map<String, Double> free = new HashMap<>(slots);
        double completed = 0;
        List<LoadClass> byCriticality = new ArrayList<>(plan.classes());
        byCriticality.sort(Comparator.comparing(LoadClass::criticality));
        for (int from = 0; from < byCriticality.size(); ) {
            int to = from;
            while (to < byCriticality.size()
                    && byCriticality.get(to).criticality()
                            == byCriticality.get(from).criticality()) {
                to++;
            }
            completed += admitClasses(byCriticality.subList(from, to), offeredPerS, free);
            from = to;
        }
        return completed;
    }

    /**
     * Raises the admitted share of all classes together and returns the requests completed per second. A class stops at
     * its offered rate, or when a service on its call chain has no free slots. Reduces the free slots accordingly.
     */
    private double admitClasses(List<LoadClass> classes, double offeredPerS, Map<String, Double> free) {
        double[] admitted = new double[classes.size()];
        boolean[] done = new boolean[classes.size()];
        while (true) {
            double step = 1;
            for (int i = 0; i < done.length; i++) {
                step = done[i] ? step : Math.min(step, 1 - admitted[i]);
            }
            Map<String, Double> slotsNeeded = slotsNeeded(classes, done, offeredPerS);
            for (Map.Entry<String, Double> need : slotsNeeded.entrySet()) {
                step = Math.min(step, Math.max(0, free.get(need.getKey())) / need.getValue());
            }
            for (Map.Entry<String, Double> need : slotsNeeded.entrySet()) {
                free.merge(need.getKey(), -step * need.getValue(), Double::sum);
            }
            boolean allDone = true;
            for (int i = 0; i < done.length; i++) {
                admitted[i] += done[i] ? 0 : step;
                boolean full =
                        slotHeldMs(classes.get(i)).keySet().stream().anyMatch(service -> free.get(service) < EPSILON);
                done[i] |= full || admitted[i] >= 1 - EPSILON;
                allDone &= done[i];
            }
            if (allDone) {
                double completed = 0;
                for (int i = 0; i < admitted.length; i++) {
                    completed += admitted[i] * offeredPerS * classes.get(i).share();
                }
                return completed;
            }
        }
    }

    /** Returns the slots of each service that the classes that can still be raised need at their offered rate. */
    private Map<String, Double> slotsNeeded(List<LoadClass> classes, boolean[] done, double offeredPerS) {
        Map<String, Double> slotsNeeded = new HashMap<>();
        for (int i = 0; i < done.length; i++) {
            if (!done[i]) {
                double requestsPerMs = offeredPerS * classes.get(i).share() / MS_PER_S;
                slotHeldMs(classes.get(i))
                        .forEach((service, ms) -> slotsNeeded.merge(service, ms * requestsPerMs, Double::sum));
            }
        }
        return slotsNeeded;
    }

    /** Returns how long a request holds a slot of each service on its call chain, in milliseconds. */
    private Map<String, Double> slotHeldMs(LoadClass loadClass) {
        Map<String, Double> held = new HashMap<>();
        addSlotHeldMs(loadClass.call().path(), held);
        return held;
    }

    /** Adds the times of a call and of its downstream calls; returns the time of the call, in milliseconds. */
    private double addSlotHeldMs(String target, Map<String, Double> held) {
        String[] parts = target.split("/", 3);
        ServicePlan service = plan.services().get(parts[1]);
        if (service == null) {
            throw new IllegalArgumentException(
                    "the load plan has no service " + parts[1] + ", which the call target " + target + " names");
        }
        double sumMs = workMs.get(service.name());
        for (DownstreamCall call : service.calls()) {
            if (("/" + parts[2]).startsWith(call.pathPrefix())) {
                for (int i = 0; i < call.count(); i++) {
                    sumMs += addSlotHeldMs(call.target(), held);
                }
            }
        }
        held.merge(service.name(), sumMs, Double::sum);
        return sumMs;
    }
}
