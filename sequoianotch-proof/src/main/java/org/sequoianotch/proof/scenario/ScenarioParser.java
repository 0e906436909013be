package org.sequoianotch.proof.scenario;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.sequoianotch.settings.IniFile;

/**
 * Parser of scenario files, whose language is described in {@code docs/scenarios.md}.
 *
 * <p>This class is stateless.
 */
public final class ScenarioParser {
    private ScenarioParser() {}

    /**
     * Reads a scenario file.
     *
     * @param file the file; not null
     * @return the scenario, never null
     * @throws IllegalArgumentException if the file cannot be read or is not a valid scenario
     */
    public static Scenario read(Path file) {
        IniFile ini = IniFile.read(file).getOrElseThrow(problems -> new IllegalArgumentException(problems.toString()));
        Map<String, String> scenarioSection = ini.sections().getOrDefault("scenario", Map.of());
        List<Scenario.HostPlan> hosts = new ArrayList<>();
        List<Scenario.Step> steps = new ArrayList<>();
        ini.sections().forEach((section, values) -> {
            String[] words = section.split("\\s+", 2);
            switch (words[0]) {
                case "scenario", "settings" -> {}
                case "host" -> hosts.add(parseHost(words[1], values));
                case "step" -> steps.add(parseStep(words[1], values));
                default -> throw new IllegalArgumentException(file + ": unknown section [" + section
                        + "]; expected scenario, settings, host NAME or step NAME");
            }
        });
        return new Scenario(
                required(file, scenarioSection, "name"),
                required(file, scenarioSection, "requirement"),
                required(file, scenarioSection, "guards"),
                scenarioSection.getOrDefault("naive_breaks", "false").equals("true"),
                scenarioSection.getOrDefault("template", ""),
                scenarioSection.getOrDefault("relay", "false").equals("true"),
                hosts,
                readSettings(ini),
                steps);
    }

    private static List<String> readSettings(IniFile ini) {
        List<String> settings = new ArrayList<>();
        ini.sections().getOrDefault("settings", Map.of()).forEach((key, value) -> settings.add(key + " = " + value));
        return settings;
    }

    private static Scenario.HostPlan parseHost(String name, Map<String, String> values) {
        return new Scenario.HostPlan(
                name,
                values.getOrDefault("data_centre", "austin-1"),
                values.getOrDefault("region", "texas"),
                values.getOrDefault("service", ""),
                Integer.parseInt(values.getOrDefault("slots", "50")),
                Double.parseDouble(values.getOrDefault("work_ms", "2")),
                values.getOrDefault("calls", ""),
                values.getOrDefault("ledger", "false").equals("true"),
                values.getOrDefault("control", "false").equals("true"));
    }

    private static Scenario.Step parseStep(String name, Map<String, String> values) {
        List<String> checks = new ArrayList<>();
        for (String check : values.getOrDefault("expect", "").split(",")) {
            if (!check.isBlank()) {
                checks.add(check.trim());
            }
        }
        return new Scenario.Step(
                name, List.of(values.getOrDefault("do", "nothing").trim().split("\\s+")), checks);
    }

    private static String required(Path file, Map<String, String> values, String key) {
        String value = values.get(key);
        if (value == null) {
            throw new IllegalArgumentException(file + ": the key " + key + " is missing in [scenario]");
        }
        return value;
    }
}
