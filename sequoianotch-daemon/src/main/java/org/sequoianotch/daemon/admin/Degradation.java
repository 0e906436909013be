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
 * One thing that is not as it should be.
 *
 * <p>This type is immutable.
 *
 * @param severity how bad it is; not null
 * @param sentence one plain sentence; not null
 */
record Degradation(Severity severity, String sentence) {
    private static final int MAX_LISTED = 200;

    /** How bad something is, the worst first. */
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

    /** Finds everything that is degraded, with the worst first. */
    static List<Degradation> find(MembershipView view, TemplateSet templates, Answers<NodeLoad> answers) {
        List<Degradation> all = new ArrayList<>();
        addServices(view, templates, all);
        addDataCentres(view, all);
        view.members().forEach(member -> addMember(member, all));
        answers.byHost().forEach((host, load) -> addLoads(host.name(), load, all));
        answers.missing()
                .forEach((host, reason) -> all.add(new Degradation(
                        Severity.NODE_SILENT,
                        "Host " + host + " did not answer the question for its load: " + reason)));
        long newest = Math.max(view.highestConfigurationRevision(), templates.revision());
        answers.byHost().forEach((host, load) -> {
            if (load.revision() < newest) {
                String sentence =
                        "Host " + host + " is on template revision " + load.revision() + ", behind " + newest + ".";
                all.add(new Degradation(Severity.REVISION_BEHIND, sentence));
            }
        });
        all.sort(Comparator.comparing(Degradation::severity));
        return List.copyOf(all.subList(0, Math.min(all.size(), MAX_LISTED)));
    }

    private static void addServices(MembershipView view, TemplateSet templates, List<Degradation> all) {
        for (ProtectionTemplate template : templates.templates().values()) {
            for (ServiceRule rule : template.services()) {
                if (view.instancesOf(rule.service()).isEmpty()) {
                    String sentence = "Service " + rule.service() + " of " + template.organisation()
                            + " has no instance that takes work.";
                    all.add(new Degradation(Severity.SERVICE_DOWN, sentence));
                }
            }
        }
    }

    private static void addDataCentres(MembershipView view, List<Degradation> all) {
        for (DataCentre dataCentre : view.dataCentres()) {
            List<Member> members = view.membersOf(dataCentre);
            boolean allLeft = members.stream().allMatch(member -> member.state() == MemberState.LEFT);
            if (!allLeft && members.stream().noneMatch(member -> member.state().isReachable())) {
                String sentence = "No node of data centre " + dataCentre + " is reachable from this node.";
                all.add(new Degradation(Severity.DATA_CENTRE_DOWN, sentence));
            }
        }
    }

    private static void addMember(Member member, List<Degradation> all) {
        if (member.state() == MemberState.FAILED) {
            String sentence = "Host " + member.host() + " in " + member.dataCentre() + " is declared failed.";
            all.add(new Degradation(Severity.NODE_FAILED, sentence));
        }
        if (member.state() == MemberState.SUSPECT) {
            String sentence = "Host " + member.host() + " in " + member.dataCentre() + " does not answer probes.";
            all.add(new Degradation(Severity.NODE_SUSPECT, sentence));
        }
        for (Instance instance : member.instances()) {
            if (member.state().isReachable() && !instance.state().acceptsWork()) {
                String sentence =
                        "The instance of " + instance.service() + " on host " + member.host() + " is leaving.";
                all.add(new Degradation(Severity.DRAINING, sentence));
            }
        }
    }

    private static void addLoads(String host, NodeLoad node, List<Degradation> all) {
        for (Map.Entry<String, LoadReport> entry : node.loads().entrySet()) {
            LoadReport load = entry.getValue();
            if (load.admissionLevel() < LoadReport.ADMIT_ALL) {
                Severity severity = load.admissionLevel() < 1 ? Severity.SHEDDING_CRITICAL : Severity.SHEDDING;
                String sentence = String.format(
                        Locale.ROOT,
                        "The instance of %s on host %s sheds load: admission level %.2f of 3, %d of %d calls in flight,"
                                + " %d queued.",
                        entry.getKey(),
                        host,
                        load.admissionLevel(),
                        load.inFlight(),
                        load.limit(),
                        load.queued());
                all.add(new Degradation(severity, sentence));
            }
        }
    }
}
