package org.sequoianotch.daemon.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.TreeSet;
import org.sequoianotch.membership.Member;
import org.sequoianotch.membership.MemberState;
import org.sequoianotch.membership.MembershipView;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.Instance;
import org.sequoianotch.model.LoadReport;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.template.ProtectionTemplate;
import org.sequoianotch.template.TemplateSet;

/** Renders the status of the deployment, as seen by one node, as JSON and text. This class is not thread-safe. */
final class StatusReport {
    private final MembershipView view;
    private final TemplateSet templates;
    private final NodeResponses<NodeLoad> responses;
    private final Optional<HostId> leader;
    private final ObjectNode json = JsonNodeFactory.instance.objectNode();
    private final ArrayNode text = JsonNodeFactory.instance.arrayNode();

    private StatusReport(
            MembershipView view, TemplateSet templates, NodeResponses<NodeLoad> responses, Optional<HostId> leader) {
        this.view = view;
        this.templates = templates;
        this.responses = responses;
        this.leader = leader;
    }

    static ObjectNode of(
            HostId ownHost,
            MembershipView view,
            TemplateSet templates,
            NodeResponses<NodeLoad> responses,
            Optional<HostId> leader) {
        StatusReport report = new StatusReport(view, templates, responses, leader);
        report.json.put("answered_by", ownHost.name());
        report.addDegraded();
        report.addRevision();
        report.addMembers();
        report.addServices();
        report.json.set("text", report.text);
        return report.json;
    }

    private void addDegraded() {
        List<Degradation> degraded = Degradation.find(view, templates, responses);
        ArrayNode list = json.putArray("degraded");
        text.add(
                degraded.isEmpty()
                        ? "Nothing is degraded."
                        : degraded.size() + (degraded.size() == 1 ? " degradation" : " degradations")
                                + ", the most severe first:");
        for (Degradation degradation : degraded) {
            list.addObject()
                    .put("severity", degradation.severity().name().toLowerCase(Locale.ROOT))
                    .put("sentence", degradation.description());
            text.add("  " + degradation.description());
        }
    }

    private void addRevision() {
        json.put("template_revision", templates.revision());
        json.put("highest_revision", Math.max(templates.revision(), view.highestConfigurationRevision()));
        json.put("leader", leader.map(HostId::name).orElse(null));
        text.add("Template revision " + templates.revision() + " is in force here; "
                + leader.map(host -> "host " + host + " leads the control group.")
                        .orElse("no leader of a control group is known here."));
    }

    private void addMembers() {
        ObjectNode states = json.putObject("members_by_state");
        for (MemberState state : MemberState.values()) {
            states.put(state.name().toLowerCase(Locale.ROOT), view.count(state));
        }
        ArrayNode dataCentres = json.putArray("data_centres");
        for (DataCentre dataCentre : new TreeSet<>(view.dataCentres())) {
            List<Member> members = view.membersOf(dataCentre);
            long reachable = members.stream()
                    .filter(member -> member.state().isReachable())
                    .count();
            dataCentres
                    .addObject()
                    .put("name", dataCentre.name())
                    .put("members", members.size())
                    .put("reachable", reachable);
            text.add("Data centre " + dataCentre + ": " + reachable + " of " + members.size() + " nodes reachable.");
        }
        ArrayNode list = json.putArray("members");
        view.members().forEach(member -> addMember(list.addObject(), member));
    }

    private void addMember(ObjectNode node, Member member) {
        NodeLoad load = responses.byHost().get(member.host());
        node.put("host", member.host().name())
                .put("data_centre", member.dataCentre().name())
                .put("region", member.region().name())
                .put("state", member.state().name().toLowerCase(Locale.ROOT))
                .put("revision", load == null ? member.configurationRevision() : load.revision());
        if (load != null) {
            node.put("open_requests", load.openRequests());
        }
    }

    private void addServices() {
        ArrayNode list = json.putArray("services");
        TreeSet<String> names = new TreeSet<>();
        for (ProtectionTemplate template : templates.templates().values()) {
            template.services().forEach(rule -> names.add(rule.service().name()));
        }
        view.services().forEach(service -> names.add(service.name()));
        for (String name : names) {
            ServiceName service = ServiceName.of(name);
            String organisation = templates
                    .templateOf(service)
                    .map(template -> template.organisation().name())
                    .orElse(null);
            ObjectNode node = list.addObject().put("name", name).put("organisation", organisation);
            int acceptingCount = view.instancesOf(service).size();
            text.add("Service " + name + ": " + acceptingCount
                    + (acceptingCount == 1 ? " instance accepts" : " instances accept") + " calls.");
            ArrayNode instances = node.putArray("instances");
            view.members().forEach(member -> member.instances().stream()
                    .filter(instance -> instance.service().equals(service))
                    .forEach(instance -> addInstance(instances.addObject(), member, instance)));
        }
    }

    private void addInstance(ObjectNode node, Member member, Instance instance) {
        String state = instance.state().code();
        node.put("host", member.host().name())
                .put("data_centre", member.dataCentre().name())
                .put("node_state", member.state().name().toLowerCase(Locale.ROOT))
                .put("state", state)
                .put("slots", instance.slots());
        StringBuilder line = new StringBuilder("  host " + member.host() + " in " + member.dataCentre() + ": " + state);
        if (member.state() != MemberState.ALIVE) {
            line.append(", its node is ").append(member.state().name().toLowerCase(Locale.ROOT));
        }
        NodeLoad nodeLoad = responses.byHost().get(member.host());
        LoadReport load = nodeLoad == null
                ? null
                : nodeLoad.loads().get(instance.service().name());
        if (load != null) {
            node.put("in_flight", load.inFlight())
                    .put("limit", load.limit())
                    .put("queued", load.queued())
                    .put("admission_level", load.admissionLevel());
            line.append(String.format(
                    Locale.ROOT,
                    ", %d of %d in flight, %d queued, admission level %.2f",
                    load.inFlight(),
                    load.limit(),
                    load.queued(),
                    load.admissionLevel()));
        }
        text.add(line.append('.').toString());
    }
}
