package org.sequoianotch.template;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.OrganisationName;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.settings.IniFile;
import org.sequoianotch.settings.SettingsProblem;

/**
 * Reads and checks the INI text of a protection template.
 *
 * <p>Sections are {@code [template]}, {@code [service NAME]}, {@code [route SERVICE METHOD PATH]} and
 * {@code [objective SERVICE CRITICALITY]}. The whole text is checked, and all problems are reported together.
 *
 * <p>An instance parses one text and is not thread-safe. The method {@link #parse(String, String)} is.
 */
public final class TemplateParser {
    private static final long DEFAULT_DEADLINE_MS = 2_000;
    private static final long MAX_DEADLINE_MS = 600_000;
    private static final int DEFAULT_RETRY_ALLOWANCE = 3;
    private static final int MAX_RETRY_ALLOWANCE = 1_000;
    private static final int MAX_CALLS = 100_000;

    private final IniFile file;
    private final List<SettingsProblem> problems = new ArrayList<>();
    private final List<ServiceRule> services = new ArrayList<>();
    private final List<RouteRule> routes = new ArrayList<>();
    private final List<Objective> objectives = new ArrayList<>();
    private final Set<String> usedKeys = new HashSet<>();
    private long deadlineMs = DEFAULT_DEADLINE_MS;
    private int retryAllowance = DEFAULT_RETRY_ALLOWANCE;

    private TemplateParser(IniFile file) {
        this.file = file;
    }

    /**
     * Parses a template.
     *
     * @param name name of the file, for messages; not null
     * @param text the INI text; not null
     * @return the template on the right, or all problems of the text on the left; never null
     */
    public static Either<List<SettingsProblem>, ProtectionTemplate> parse(String name, String text) {
        return IniFile.parse(name, text).flatMap(file -> new TemplateParser(file).parse());
    }

    private Either<List<SettingsProblem>, ProtectionTemplate> parse() {
        OrganisationName organisation = parseTemplateSection();
        file.sections().forEach((section, entries) -> {
            String[] words = section.split("\\s+");
            switch (words[0]) {
                case "template" -> {}
                case "service" -> parseService(section, words);
                case "route" -> parseRoute(section, words);
                case "objective" -> parseObjective(section, words);
                default -> addProblem(
                        section, "", "", "no such section; allowed are template, service, route, objective");
            }
        });
        checkReferences();
        reportUnusedKeys();
        if (organisation == null || !problems.isEmpty()) {
            return Either.left(List.copyOf(problems));
        }
        return Either.right(new ProtectionTemplate(organisation, services, routes, objectives));
    }

    private @Nullable OrganisationName parseTemplateSection() {
        deadlineMs = readNumber("template", "deadline_ms", DEFAULT_DEADLINE_MS, 1, MAX_DEADLINE_MS);
        retryAllowance =
                (int) readNumber("template", "retry_allowance", DEFAULT_RETRY_ALLOWANCE, 0, MAX_RETRY_ALLOWANCE);
        String name = readText("template", "organisation").orElse("");
        try {
            return OrganisationName.of(name);
        } catch (IllegalArgumentException e) {
            addProblem("template", "organisation", name, String.valueOf(e.getMessage()));
            return null;
        }
    }

    private void parseService(String section, String[] words) {
        ServiceName service = words.length == 2 ? parseServiceName(section, words[1]) : null;
        if (service == null) {
            addProblem(section, "", "", "the section name must be [service NAME]");
            return;
        }
        ServiceRule defaults = ServiceRule.ofDefaults(service);
        services.add(new ServiceRule(
                service,
                (int) readNumber(section, "max_in_flight", defaults.maxInFlight(), 1, MAX_CALLS),
                (int) readNumber(section, "queue_length", defaults.queueLength(), 0, MAX_CALLS),
                readNumber(section, "queue_time_ms", defaults.queueTimeMs(), 0, MAX_DEADLINE_MS),
                (int) readNumber(section, "retry_budget_percent", defaults.retryBudgetPercent(), 0, 100),
                readNumber(section, "slow_start_ms", defaults.slowStartMs(), 0, MAX_DEADLINE_MS)));
    }

    private void parseRoute(String section, String[] words) {
        ServiceName service = words.length == 4 ? parseServiceName(section, words[1]) : null;
        if (service == null || !words[3].startsWith("/")) {
            addProblem(section, "", "", "the section name must be [route SERVICE METHOD /PATH]");
            return;
        }
        Criticality criticality =
                readChoice(section, "criticality", Criticality::ofCode, "critical, standard or sheddable");
        RepeatRule repeat = readChoice(section, "repeat", RepeatRule::ofCode, "safe, keyed or never");
        long routeDeadlineMs = readNumber(section, "deadline_ms", deadlineMs, 1, MAX_DEADLINE_MS);
        int allowance = (int) readNumber(section, "retry_allowance", retryAllowance, 0, MAX_RETRY_ALLOWANCE);
        if (criticality != null && repeat != null) {
            routes.add(new RouteRule(service, words[2], words[3], criticality, repeat, routeDeadlineMs, allowance));
        }
    }

    private void parseObjective(String section, String[] words) {
        ServiceName service = words.length == 3 ? parseServiceName(section, words[1]) : null;
        Optional<Criticality> criticality = words.length == 3 ? Criticality.ofCode(words[2]) : Optional.empty();
        if (service == null || criticality.isEmpty()) {
            addProblem(section, "", "", "the section name must be [objective SERVICE CRITICALITY]");
            return;
        }
        String goodText = readText(section, "good_percent").orElse("");
        long latencyMs = readNumber(section, "latency_ms", 1_000, 1, MAX_DEADLINE_MS);
        try {
            objectives.add(new Objective(service, criticality.get(), Double.parseDouble(goodText), latencyMs));
        } catch (IllegalArgumentException e) {
            addProblem(section, "good_percent", goodText, "allowed is a number above 0 and below 100");
        }
    }

    private void checkReferences() {
        Set<ServiceName> known = new HashSet<>();
        services.forEach(rule -> known.add(rule.service()));
        routes.stream()
                .filter(route -> !known.contains(route.service()))
                .forEach(route -> addProblem(
                        "route " + route.label(), "", "", "there is no section [service " + route.service() + "]"));
        objectives.stream()
                .filter(objective -> !known.contains(objective.service()))
                .forEach(objective -> addProblem(
                        "objective " + objective.service(),
                        "",
                        "",
                        "there is no section [service " + objective.service() + "]"));
        for (ServiceName service : known) {
            boolean hasDefaultRoute = routes.stream()
                    .anyMatch(route -> route.service().equals(service)
                            && route.pathPrefix().equals("/")
                            && route.method().equals(RouteRule.ANY_METHOD));
            if (!hasDefaultRoute) {
                addProblem("service " + service, "", "", "there is no section [route " + service + " * /]");
            }
        }
    }

    private void reportUnusedKeys() {
        file.sections()
                .forEach((section, entries) -> entries.forEach((key, value) -> {
                    if (!usedKeys.contains(section + '\n' + key)) {
                        addProblem(section, key, value, "no such key in this section");
                    }
                }));
    }

    private @Nullable ServiceName parseServiceName(String section, String name) {
        try {
            return ServiceName.of(name);
        } catch (IllegalArgumentException e) {
            addProblem(section, "", name, String.valueOf(e.getMessage()));
            return null;
        }
    }

    private <T> @Nullable T readChoice(
            String section, String key, Function<String, Optional<T>> finder, String allowed) {
        String code = readText(section, key).orElse("");
        Optional<T> found = finder.apply(code);
        if (found.isEmpty()) {
            addProblem(section, key, code, "allowed is " + allowed);
        }
        return found.orElse(null);
    }

    private long readNumber(String section, String key, long defaultValue, long min, long max) {
        Optional<String> text = readText(section, key);
        if (text.isEmpty()) {
            return defaultValue;
        }
        try {
            long value = Long.parseLong(text.get());
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below together with numbers out of range.
        }
        addProblem(section, key, text.get(), "allowed is a whole number from " + min + " to " + max);
        return defaultValue;
    }

    private Optional<String> readText(String section, String key) {
        usedKeys.add(section + '\n' + key);
        Map<String, String> entries = file.sections().getOrDefault(section, Map.of());
        return Optional.ofNullable(entries.get(key));
    }

    private void addProblem(String section, String key, String value, String message) {
        problems.add(new SettingsProblem(file.name(), section, key, value, message));
    }
}
