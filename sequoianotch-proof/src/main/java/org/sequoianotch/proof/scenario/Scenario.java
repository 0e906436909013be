package org.sequoianotch.proof.scenario;

import java.util.List;
import java.util.Objects;

/**
 * A whole-system test: a deployment and steps with their checks, which {@link ScenarioParser} reads from an INI file.
 *
 * <p>This type is immutable.
 *
 * @param name name of the scenario; not null
 * @param requirement the requirements that the scenario verifies, numbered as on the design page, such as {@code R4
 *     R5}; not null
 * @param guards the failure that the scenario guards against; not null
 * @param naiveBreaks whether nodes in naive mode are expected to violate a check or an invariant
 * @param template name of a template file in the test resources, or empty for the example template; not null
 * @param relay whether there is a relay in front of each peer listener, so that steps can cut connections between hosts
 * @param hosts the hosts to start; not null
 * @param settings settings of all nodes that override those of {@link Deployment}, as {@code section.key = value}; not
 *     null
 * @param steps the steps in order; not null
 */
public record Scenario(
        String name,
        String requirement,
        String guards,
        boolean naiveBreaks,
        String template,
        boolean relay,
        List<HostPlan> hosts,
        List<String> settings,
        List<Step> steps) {
    /** Checks that no required text is null, and copies the lists. */
    public Scenario {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(requirement, "requirement");
        Objects.requireNonNull(guards, "guards");
        hosts = List.copyOf(hosts);
        settings = List.copyOf(settings);
        steps = List.copyOf(steps);
    }

    @Override
    public String toString() {
        return name;
    }

    /**
     * A host of a scenario.
     *
     * @param name name of the host; not null
     * @param dataCentre data centre of the host; not null
     * @param region region of the host; not null
     * @param service service of the host's stand-in backend server, or empty if there is none; not null
     * @param slots number of requests that the stand-in processes concurrently; positive
     * @param workMs work time of the stand-in for each request, in milliseconds; not negative
     * @param calls downstream calls of the stand-in, separated by commas; not null, may be empty
     * @param ledger whether the host is a ledger host
     * @param control whether the host is a control host
     */
    public record HostPlan(
            String name,
            String dataCentre,
            String region,
            String service,
            int slots,
            double workMs,
            String calls,
            boolean ledger,
            boolean control) {}

    /**
     * A step of a scenario.
     *
     * @param name name of the step; not null
     * @param action words of the action; not null, not empty
     * @param checks checks that are evaluated after the action; not null
     */
    public record Step(String name, List<String> action, List<String> checks) {
        /** Copies the lists. */
        public Step {
            action = List.copyOf(action);
            checks = List.copyOf(checks);
        }

        /**
         * Returns the value of an option, which is the word after the option's name.
         *
         * @param option name of the option; not null
         * @param defaultValue value to return if the action does not have the option; not null
         * @return the value, never null
         */
        public String option(String option, String defaultValue) {
            int index = action.indexOf(option);
            return index < 0 || index + 1 >= action.size() ? defaultValue : action.get(index + 1);
        }

        /**
         * Returns the value of an option as a number.
         *
         * @param option name of the option; not null
         * @param defaultValue value to return if the action does not have the option
         * @return the value
         * @throws NumberFormatException if the value is not a number
         */
        public int number(String option, int defaultValue) {
            return Integer.parseInt(option(option, Integer.toString(defaultValue)));
        }
    }
}
