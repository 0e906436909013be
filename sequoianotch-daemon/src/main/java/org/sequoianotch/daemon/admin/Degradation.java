package org.sequoianotch.daemon.admin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.sequoianotch.membership.Member;
import org.sequoianotch.membership.MemberState;
import org.sequoianotch.membership.MembershipView;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.Instance;
import org.sequoianotch.model.LoadReport;
import org.sequoianotch.template.ProtectionTemplate;
import org.sequoianotch.template.ServiceRule;
import org.sequoianotch.template.TemplateSet;

/**
 * One degradation of the deployment, as reported by the status.
 *
 * <p>This type is immutable.
 *
 * @param severity the severity; not null
 * @param description one sentence for the operator; not null
 */
record Degradation(Severity severity, String description) {
    private static final int MAX_DEGRADATIONS = 200;

    /** Severities in descending order, which is the order of the report. */
    enum Severity {
        SERVICE_DOWN,
        DATA_CENTRE_DOWN,
        NODE_FAILED,
        SHEDDING_CRITICAL,
        SHEDDING,
        NODE_SUSPECT,
        NODE_SILENT,
        REVISION_BEHIND,
        DRAINING
    }

    /** Finds the degradations, the most severe first, and at most {@link #MAX_DEGRADATIONS} of them. */
    static List<Degradation> find(MembershipView view, TemplateSet templates, NodeResponses<NodeLoad> responses) {
        List<Degradation> degradations = new ArrayList<>();
        addServices(view, templates, degradations);
        addDataCentres(view, degradations);
        view.members().forEach(member -> addMember(member, degradations));
        responses.byHost().forEach((host, load) -> addLoads(host.name(), load, degradations));
        responses
                .failures()
                .forEach((host, reason) -> degradations.add(new Degradation(
                        Severity.NODE_SILENT, "Host " + host + " did not respond to the load query: " + reason)));
        long newest = Math.max(view.highestConfigurationRevision(), templates.revision());
        responses.byHost().forEach((host, load) -> {
            if (load.revision() < newest) {
                String description =
                        "Host " + host + " is on template revision " + load.revision() + ", behind " + newest + ".";
                degradations.add(new Degradation(Severity.REVISION_BEHIND, description));
            }
        });
        degradations.sort(Comparator.comparing(Degradation::severity));
        return List.copyOf(degradations.subList(0, Math.min(degradations.size(), MAX_DEGRADATIONS)));
    }

    private static void addServices(MembershipView view, TemplateSet templates, List<Degradation> degradations) {
        for (ProtectionTemplate template : templates.templates().values()) {
            for (ServiceRule rule : template.services()) {
                if (view.instancesOf(rule.service()).isEmpty()) {
                    String description = "Service " + rule.service() + " of " + template.organisation()
                            + " has no instance that accepts calls.";
                    degradations.add(new Degradation(Severity.SERVICE_DOWN, description));
                }
            }
        }
    }

    private static void addDataCentres(MembershipView view, List<Degradation> degradations) {
        for (DataCentre dataCentre : view.dataCentres()) {
            List<Member> members = view.membersOf(dataCentre);
            boolean allLeft = members.stream().allMatch(member -> member.state() == MemberState.LEFT);
            if (!allLeft && members.stream().noneMatch(member -> member.state().isReachable())) {
                String description = "No node of data centre " + dataCentre + " is reachable from this node.";
                degradations.add(new Degradation(Severity.DATA_CENTRE_DOWN, description));
            }
        }
    }

    private static void addMember(Member member, List<Degradation> degradations) {
        if (member.state() == MemberState.FAILED) {
            String description = "Host " + member.host() + " in " + member.dataCentre() + " is declared failed.";
            degradations.add(new Degradation(Severity.NODE_FAILED, description));
        }
        if (member.state() == MemberState.SUSPECT) {
            String description =
                    "Host " + member.host() + " in " + member.dataCentre() + " does not respond to probes.";
            degradations.add(new Degradation(Severity.NODE_SUSPECT, description));
        }
        for (Instance instance : member.instances()) {
            if (member.state().isReachable() && !instance.state().acceptsWork()) {
                String description =
                        "The instance of " + instance.service() + " on host " + member.host() + " is draining.";
                degradations.add(new Degradation(Severity.DRAINING, description));
            }
        }
    }

    private static void addLoads(String host, NodeLoad node, List<Degradation> degradations) {
        for (Map.Entry<String, LoadReport> entry : node.loads().entrySet()) {
            LoadReport load = entry.getValue();
            if (load.admissionLevel() < LoadReport.ADMIT_ALL) {
                Severity severity = load.admissionLevel() < 1 ? Severity.SHEDDING_CRITICAL : Severity.SHEDDING;
                String description = String.format(
                        Locale.ROOT,
                        "The instance of %s on host %s sheds load: admission level %.2f of 3, %d of %d calls in flight,"
                                + " %d queued.",
                        entry.getKey(),
                        host,
                        load.admissionLevel(),
                        load.inFlight(),
                        load.limit(),
                        load.queued());
                degradations.add(new Degradation(severity, description));
            }
        }
    }
}
