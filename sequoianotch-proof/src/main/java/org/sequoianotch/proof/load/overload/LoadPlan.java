package org.sequoianotch.proof.load.overload;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.proof.load.CallTemplate;
import org.sequoianotch.proof.scenario.Scenario;
import org.sequoianotch.proof.standin.DownstreamCall;
import org.sequoianotch.settings.IniFile;
import org.sequoianotch.settings.ValueKind;

/**
 * A deployment and its load, as described by an INI file.
 *
 * <p>This type is immutable.
 *
 * @param name name of the deployment; not null
 * @param template path of the protection template; not null
 * @param deepService service at the end of the call chains, which the phase SLOW slows down; not null
 * @param spareService service of which a single instance can carry the steady load, so that phases may remove one; not
 *     null
 * @param services the services by name; not null
 * @param classes the classes of requests; not null
 * @param hosts the hosts, one for each instance; not null
 */
record LoadPlan(
        String name,
        Path template,
        String deepService,
        String spareService,
        Map<String, ServicePlan> services,
        List<LoadClass> classes,
        List<Scenario.HostPlan> hosts) {
    private static final int LEDGER_HOSTS_PER_DATA_CENTRE = 3;

    static LoadPlan read(Path file) {
        IniFile ini = IniFile.read(file).getOrElseThrow(problems -> new IllegalArgumentException(problems.toString()));
        Map<String, String> loadSection = ini.sections().getOrDefault("load", Map.of());
        Map<String, ServicePlan> services = new LinkedHashMap<>();
        List<LoadClass> classes = new ArrayList<>();
        double shareSum = ini.sections().values().stream()
                .mapToDouble(values -> Double.parseDouble(values.getOrDefault("share", "0")))
                .sum();
        ini.sections().forEach((section, values) -> {
            String[] words = section.split("\\s+", 2);
            switch (words[0]) {
                case "load" -> {}
                case "service" -> services.put(words[1], parseService(section, words[1], values));
                case "class" -> classes.add(parseLoadClass(section, words[1], values, shareSum));
                default -> throw new IllegalArgumentException(
                        file + ": unknown section [" + section + "]; expected load, service NAME or class NAME");
            }
        });
        // Template paths are relative to the parent of the folder that contains the load plans.
        Path folder = file.toAbsolutePath().normalize().getParent().getParent();
        return new LoadPlan(
                required("load", loadSection, "name"),
                folder.resolve(required("load", loadSection, "template")),
                required("load", loadSection, "deep_service"),
                required("load", loadSection, "spare_service"),
                services,
                classes,
                placeHosts(
                        services,
                        ValueKind.items(required("load", loadSection, "data_centres")),
                        required("load", loadSection, "region")));
    }

    private static ServicePlan parseService(String section, String name, Map<String, String> values) {
        String calls = values.getOrDefault("calls", "");
        return new ServicePlan(
                name,
                Integer.parseInt(required(section, values, "instances")),
                Integer.parseInt(required(section, values, "slots")),
                Double.parseDouble(required(section, values, "work_ms")),
                calls,
                ValueKind.items(calls).stream().map(DownstreamCall::parse).toList());
    }

    private static LoadClass parseLoadClass(String section, String name, Map<String, String> values, double shareSum) {
        String[] request = required(section, values, "request").split("\\s+");
        byte[] body = new byte[Integer.parseInt(values.getOrDefault("body_bytes", "0"))];
        boolean keyed = values.getOrDefault("keyed", "false").equals("true");
        return new LoadClass(
                Criticality.valueOf(required(section, values, "criticality").toUpperCase(Locale.ROOT)),
                new CallTemplate(name, request[0], request[1], body, keyed),
                Long.parseLong(required(section, values, "patience_ms")),
                Double.parseDouble(required(section, values, "share")) / shareSum);
    }

    /** Assigns one host to each instance, and spreads the instances of each service over the data centres. */
    private static List<Scenario.HostPlan> placeHosts(
            Map<String, ServicePlan> services, List<String> dataCentres, String region) {
        List<Scenario.HostPlan> hosts = new ArrayList<>();
        Map<String, Integer> hostsOfDataCentre = new LinkedHashMap<>();
        for (ServicePlan service : services.values()) {
            for (int i = 0; i < service.instances(); i++) {
                String dataCentre = dataCentres.get(i % dataCentres.size());
                boolean ledger = hostsOfDataCentre.merge(dataCentre, 1, Integer::sum) <= LEDGER_HOSTS_PER_DATA_CENTRE;
                hosts.add(new Scenario.HostPlan(
                        service.name() + "-" + (i + 1),
                        dataCentre,
                        region,
                        service.name(),
                        service.slots(),
                        service.workMs(),
                        service.callsText(),
                        ledger,
                        false));
            }
        }
        return hosts;
    }

    private static String required(String section, Map<String, String> values, String key) {
        String value = values.get(key);
        if (value == null) {
            throw new IllegalArgumentException("the key " + key + " is missing in section [" + section + "]");
        }
        return value;
    }

    List<String> hostsOf(String service) {
        return hosts.stream()
                .filter(host -> host.service().equals(service))
                .map(Scenario.HostPlan::name)
                .toList();
    }
}
