package org.sequoianotch.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.Instance;
import org.sequoianotch.model.ServiceName;

/**
 * Snapshot of the members that a node knows.
 *
 * <p>Lists are ordered by host id. This type is immutable.
 */
public final class MembershipView {
    private final List<Member> members;
    private final long highestConfigurationRevision;
    /** Built by the first query that needs it; concurrent queries may build it twice, with equal results. */
    private volatile @Nullable Index index;

    private MembershipView(List<Member> members, long highestConfigurationRevision) {
        this.members = members;
        this.highestConfigurationRevision = highestConfigurationRevision;
    }

    private static final class Index {
        final Map<HostId, Member> byHost = new HashMap<>();
        final Map<DataCentre, List<Member>> byDataCentre = new HashMap<>();
        final Map<ServiceName, List<Instance>> byService = new HashMap<>();
        final Map<MemberState, Integer> counts = new EnumMap<>(MemberState.class);

        Index(List<Member> members) {
            members.forEach(this::add);
            byDataCentre.replaceAll((key, list) -> List.copyOf(list));
            byService.replaceAll((key, list) -> List.copyOf(list));
        }

        private void add(Member member) {
            byHost.put(member.host(), member);
            counts.merge(member.state(), 1, Integer::sum);
            byDataCentre
                    .computeIfAbsent(member.dataCentre(), key -> new ArrayList<>())
                    .add(member);
            if (member.state().isReachable()) {
                member.instances().stream()
                        .filter(instance -> instance.state().acceptsWork())
                        .forEach(instance -> byService
                                .computeIfAbsent(instance.service(), key -> new ArrayList<>())
                                .add(instance));
            }
        }
    }

    private Index index() {
        Index built = index;
        if (built == null) {
            built = new Index(members);
            index = built;
        }
        return built;
    }

    /**
     * Creates a view.
     *
     * @param members the members, each host once; not null
     * @param highestConfigurationRevision highest known configuration revision
     * @return the view, never null
     */
    public static MembershipView of(Collection<Member> members, long highestConfigurationRevision) {
        return new MembershipView(
                members.stream().sorted(Comparator.comparing(Member::host)).toList(), highestConfigurationRevision);
    }

    /**
     * Returns all members, including those that left or failed recently.
     *
     * @return the members, never null
     */
    public List<Member> members() {
        return members;
    }

    /**
     * Finds the member of a host.
     *
     * @param host the host; not null
     * @return the member, or empty if the host is not known
     */
    public Optional<Member> member(HostId host) {
        return Optional.ofNullable(index().byHost.get(host));
    }

    /**
     * Returns the members of a data centre, in any state.
     *
     * @param dataCentre the data centre; not null
     * @return the members, never null, empty if the data centre is not known
     */
    public List<Member> membersOf(DataCentre dataCentre) {
        return index().byDataCentre.getOrDefault(dataCentre, List.of());
    }

    /**
     * Returns the data centres that have a known member.
     *
     * @return the data centres, never null
     */
    public Set<DataCentre> dataCentres() {
        return Set.copyOf(index().byDataCentre.keySet());
    }

    /**
     * Returns the instances of a service that accept work: the member is alive or suspected and the instance is not
     * draining.
     *
     * @param service the service; not null
     * @return the instances, never null, may be empty
     */
    public List<Instance> instancesOf(ServiceName service) {
        return index().byService.getOrDefault(service, List.of());
    }

    /**
     * Returns the services that have an instance which accepts work.
     *
     * @return the services, never null
     */
    public Set<ServiceName> services() {
        return Set.copyOf(index().byService.keySet());
    }

    /**
     * Counts the members in a state.
     *
     * @param state the state; not null
     * @return the number of members, never negative
     */
    public int count(MemberState state) {
        return index().counts.getOrDefault(state, 0);
    }

    /**
     * Returns the highest configuration revision that any member has reported.
     *
     * @return the revision, zero if none is known
     */
    public long highestConfigurationRevision() {
        return highestConfigurationRevision;
    }
}
