package org.sequoianotch.policy;

import java.util.Locale;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.Region;
import org.sequoianotch.policy.admission.AdmissionControl;
import org.sequoianotch.policy.admission.EntryGate;
import org.sequoianotch.policy.admission.ProtectiveAdmission;
import org.sequoianotch.policy.admission.ProtectiveEntryGate;
import org.sequoianotch.policy.admission.RequestRateLimit;
import org.sequoianotch.policy.naive.NaiveAdmission;
import org.sequoianotch.policy.naive.NaiveEntryGate;
import org.sequoianotch.policy.naive.NaiveRetryPolicy;
import org.sequoianotch.policy.naive.NaiveSelector;
import org.sequoianotch.policy.retry.ProtectiveRetryPolicy;
import org.sequoianotch.policy.retry.RedirectRetryPolicy;
import org.sequoianotch.policy.retry.RetryPolicy;
import org.sequoianotch.policy.retry.SharedRetryLimit;
import org.sequoianotch.policy.routing.InstanceSelector;
import org.sequoianotch.policy.routing.ProtectiveSelector;
import org.sequoianotch.template.ServiceRule;
import org.sequoianotch.time.Clock;

/** Set of policies that a node applies to admission, routing and retries. */
public enum PolicyMode {
    /** Adaptive concurrency limits, load shedding by criticality, bounded retries, and routing by load. */
    PROTECTIVE {
        @Override
        public AdmissionControl newAdmission(ServiceRule rule, int slots, RequestRateLimit rateLimit, Clock clock) {
            return new ProtectiveAdmission(rule, slots, rateLimit, clock);
        }

        @Override
        public EntryGate newEntryGate(Clock clock, RandomGenerator random) {
            return new ProtectiveEntryGate(clock, random);
        }

        @Override
        public InstanceSelector newSelector(
                ServiceRule rule,
                DataCentre homeDataCentre,
                Region homeRegion,
                int crossRegionPriceMsPerKib,
                Clock clock,
                RandomGenerator random) {
            return new ProtectiveSelector(rule, homeDataCentre, homeRegion, crossRegionPriceMsPerKib, clock, random);
        }

        @Override
        public RetryPolicy newRetryPolicy(ServiceRule rule, SharedRetryLimit limit, Clock clock) {
            return new ProtectiveRetryPolicy(rule, clock);
        }
    },
    /** Protective policies for exact announced slots and a retry budget that all nodes of a service share. */
    KNOWN_SLOTS {
        @Override
        public AdmissionControl newAdmission(ServiceRule rule, int slots, RequestRateLimit rateLimit, Clock clock) {
            return ProtectiveAdmission.ofKnownSlots(rule, slots, rateLimit, clock);
        }

        @Override
        public EntryGate newEntryGate(Clock clock, RandomGenerator random) {
            return PROTECTIVE.newEntryGate(clock, random);
        }

        @Override
        public InstanceSelector newSelector(
                ServiceRule rule,
                DataCentre homeDataCentre,
                Region homeRegion,
                int crossRegionPriceMsPerKib,
                Clock clock,
                RandomGenerator random) {
            return PROTECTIVE.newSelector(rule, homeDataCentre, homeRegion, crossRegionPriceMsPerKib, clock, random);
        }

        @Override
        public RetryPolicy newRetryPolicy(ServiceRule rule, SharedRetryLimit limit, Clock clock) {
            return new RedirectRetryPolicy(rule, limit, clock);
        }
    },
    /** First come, first served; three retries at each hop; random routing. Baseline for comparisons. */
    NAIVE {
        @Override
        public AdmissionControl newAdmission(ServiceRule rule, int slots, RequestRateLimit rateLimit, Clock clock) {
            return new NaiveAdmission(slots, clock);
        }

        @Override
        public EntryGate newEntryGate(Clock clock, RandomGenerator random) {
            return new NaiveEntryGate();
        }

        @Override
        public InstanceSelector newSelector(
                ServiceRule rule,
                DataCentre homeDataCentre,
                Region homeRegion,
                int crossRegionPriceMsPerKib,
                Clock clock,
                RandomGenerator random) {
            return new NaiveSelector(random);
        }

        @Override
        public RetryPolicy newRetryPolicy(ServiceRule rule, SharedRetryLimit limit, Clock clock) {
            return new NaiveRetryPolicy();
        }
    };

    /**
     * Finds a mode by its code.
     *
     * @param code the code: {@code protective}, {@code known_slots} or {@code naive}; not null
     * @return the mode, or empty if no mode has that code
     */
    public static Optional<PolicyMode> ofCode(String code) {
        for (PolicyMode mode : values()) {
            if (mode.code().equals(code)) {
                return Optional.of(mode);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the name used in settings.
     *
     * @return the code in lower case, never null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Creates the admission control of one local instance.
     *
     * @param rule limits of the service; not null
     * @param slots calls that the backend server runs concurrently; at least 1
     * @param rateLimit limit on the calls that are started, where the mode keeps one; not null
     * @param clock the clock; not null
     * @return the admission control, never null
     */
    public abstract AdmissionControl newAdmission(ServiceRule rule, int slots, RequestRateLimit rateLimit, Clock clock);

    /**
     * Creates the admission control of one local instance that never names a rate.
     *
     * @param rule limits of the service; not null
     * @param slots calls that the backend server runs concurrently; at least 1
     * @param clock the clock; not null
     * @return the admission control, never null
     */
    public AdmissionControl newAdmission(ServiceRule rule, int slots, Clock clock) {
        return newAdmission(rule, slots, new RequestRateLimit(clock), clock);
    }

    /**
     * Creates the entry gate of one service at a node.
     *
     * @param clock the clock; not null
     * @param random source of randomness; not null
     * @return the gate, never null
     */
    public abstract EntryGate newEntryGate(Clock clock, RandomGenerator random);

    /**
     * Creates the selector of one service at a node.
     *
     * @param rule limits of the service; not null
     * @param homeDataCentre the node's data centre; not null
     * @param homeRegion the node's region; not null
     * @param crossRegionPriceMsPerKib time that a call must save for each KiB that it sends to another region; not
     *     negative
     * @param clock the clock; not null
     * @param random source of randomness; not null
     * @return the selector, never null
     */
    public abstract InstanceSelector newSelector(
            ServiceRule rule,
            DataCentre homeDataCentre,
            Region homeRegion,
            int crossRegionPriceMsPerKib,
            Clock clock,
            RandomGenerator random);

    /**
     * Creates the retry policy of one service at a node.
     *
     * @param rule limits of the service; not null
     * @param limit limit on the retries of all nodes, where the mode has one; not null
     * @param clock the clock; not null
     * @return the policy, never null
     */
    public abstract RetryPolicy newRetryPolicy(ServiceRule rule, SharedRetryLimit limit, Clock clock);
}
