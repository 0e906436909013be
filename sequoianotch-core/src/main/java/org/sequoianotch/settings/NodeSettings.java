package org.sequoianotch.settings;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The checked settings of one node.
 *
 * <p>This type is immutable. Every value has been checked against its {@link NodeSetting}, so a getter that fits
 * the kind of the setting does not fail.
 */
public final class NodeSettings {
    private static final Map<NodeSetting, Set<String>> CHOICES = Map.of(
            NodeSetting.MODE, Set.of("protective", "naive"),
            NodeSetting.LOG_LEVEL, Set.of("error", "warn", "info", "debug"),
            NodeSetting.LOG_LAYOUT, Set.of("text", "json"));
    private static final Set<Integer> CONTROL_GROUP_SIZES = Set.of(0, 1, 3, 5, 7);

    private final Map<NodeSetting, String> values;

    private NodeSettings(Map<NodeSetting, String> values) {
        this.values = values;
    }

    /**
     * Reads and checks a settings file.
     *
     * @param path the path; not null
     * @return the settings on the right, or all problems of the file on the left; never null
     */
    public static Either<List<SettingsProblem>, NodeSettings> read(Path path) {
        return IniFile.read(path).flatMap(NodeSettings::from);
    }

    /**
     * Checks the content of a settings file.
     *
     * @param file the content; not null
     * @return the settings on the right, or all problems of the file on the left; never null
     */
    public static Either<List<SettingsProblem>, NodeSettings> from(IniFile file) {
        List<SettingsProblem> problems = new ArrayList<>();
        Map<NodeSetting, String> values = new EnumMap<>(NodeSetting.class);
        file.sections()
                .forEach((section, entries) -> entries.forEach((key, value) -> NodeSetting.find(section, key)
                        .ifPresentOrElse(
                                setting -> values.put(setting, value),
                                () -> problems.add(new SettingsProblem(
                                        file.name(), section, key, value, "no such setting; see docs/settings.md")))));
        for (NodeSetting setting : NodeSetting.values()) {
            checkValue(file.name(), setting, values, problems);
        }
        if (problems.isEmpty()) {
            checkConsistency(file.name(), new NodeSettings(values), problems);
        }
        return problems.isEmpty() ? Either.right(new NodeSettings(values)) : Either.left(problems);
    }

    private static void checkValue(
            String file, NodeSetting setting, Map<NodeSetting, String> values, List<SettingsProblem> problems) {
        String text = values.get(setting);
        if (text == null) {
            setting.defaultText()
                    .ifPresentOrElse(
                            value -> values.put(setting, value),
                            () -> problems.add(
                                    newProblem(file, setting, "", "a value is required: " + setting.allowed())));
            return;
        }
        Set<String> choices = CHOICES.get(setting);
        if (choices != null && !choices.contains(text)) {
            problems.add(newProblem(file, setting, text, "allowed is one of " + String.join(", ", sorted(choices))));
        } else if (!setting.accepts(text)) {
            problems.add(newProblem(file, setting, text, "allowed is " + setting.allowed()));
        }
    }

    private static void checkConsistency(String file, NodeSettings settings, List<SettingsProblem> problems) {
        if (!settings.list(NodeSetting.DATA_CENTRES).contains(settings.text(NodeSetting.DATA_CENTRE))) {
            problems.add(newProblem(
                    file,
                    NodeSetting.DATA_CENTRE,
                    settings.text(NodeSetting.DATA_CENTRE),
                    "it must be one of [deployment] data_centres"));
        }
        if (!CONTROL_GROUP_SIZES.contains(
                settings.list(NodeSetting.CONTROL_HOSTS).size())) {
            problems.add(newProblem(
                    file,
                    NodeSetting.CONTROL_HOSTS,
                    settings.text(NodeSetting.CONTROL_HOSTS),
                    "allowed are none, 1, 3, 5 or 7 control hosts"));
        }
        if (!settings.address(NodeSetting.BACKEND_LISTEN).getAddress().isLoopbackAddress()) {
            problems.add(newProblem(
                    file,
                    NodeSetting.BACKEND_LISTEN,
                    settings.text(NodeSetting.BACKEND_LISTEN),
                    "it must be a loopback address, because only the host's own backend server may use it"));
        }
        if (settings.number(NodeSetting.PEER_SILENCE_TIMEOUT_MS) <= settings.number(NodeSetting.PEER_HEARTBEAT_MS)) {
            problems.add(newProblem(
                    file,
                    NodeSetting.PEER_SILENCE_TIMEOUT_MS,
                    settings.text(NodeSetting.PEER_SILENCE_TIMEOUT_MS),
                    "it must be longer than [peer] heartbeat_ms"));
        }
        checkTls(file, settings, problems);
    }

    private static void checkTls(String file, NodeSettings settings, List<SettingsProblem> problems) {
        List<NodeSetting> files =
                List.of(NodeSetting.PEER_TLS_CERTIFICATE, NodeSetting.PEER_TLS_KEY, NodeSetting.PEER_TLS_TRUST);
        boolean anyGiven =
                files.stream().anyMatch(setting -> settings.path(setting).isPresent());
        for (NodeSetting setting : files) {
            Optional<Path> path = settings.path(setting);
            if (anyGiven && path.isEmpty()) {
                problems.add(newProblem(
                        file,
                        setting,
                        "",
                        "tls_certificate, tls_key and tls_trust must be set together or not at all"));
            } else if (path.isPresent() && !Files.isReadable(path.get())) {
                problems.add(newProblem(file, setting, settings.text(setting), "the file cannot be read"));
            }
        }
    }

    private static List<String> sorted(Set<String> choices) {
        return choices.stream().sorted().toList();
    }

    private static SettingsProblem newProblem(String file, NodeSetting setting, String value, String message) {
        return new SettingsProblem(file, setting.section(), setting.key(), value, message);
    }

    /**
     * Returns the text of a setting.
     *
     * @param setting the setting; not null
     * @return the text, never null; empty if the setting is optional and not given
     */
    public String text(NodeSetting setting) {
        return values.get(setting);
    }

    /**
     * Returns the number of a setting of a numeric kind.
     *
     * @param setting the setting; not null
     * @return the number, in the unit of the setting's kind
     * @throws NumberFormatException if the setting is not of a numeric kind
     */
    public long number(NodeSetting setting) {
        return Long.parseLong(text(setting));
    }

    /**
     * Returns the items of a list setting.
     *
     * @param setting the setting; not null
     * @return the items, never null, may be empty
     */
    public List<String> list(NodeSetting setting) {
        return ValueKind.items(text(setting));
    }

    /**
     * Returns the value of an address setting.
     *
     * @param setting the setting, which must have a value; not null
     * @return the address, never null
     * @throws java.util.NoSuchElementException if the setting has no value or is not an address
     */
    public InetSocketAddress address(NodeSetting setting) {
        return ValueKind.parseAddress(text(setting)).orElseThrow();
    }

    /**
     * Returns the path of a setting that names a file or folder.
     *
     * @param setting the setting; not null
     * @return the path, or empty if the setting has no value
     */
    public Optional<Path> path(NodeSetting setting) {
        return text(setting).isEmpty() ? Optional.empty() : Optional.of(Path.of(text(setting)));
    }
}
