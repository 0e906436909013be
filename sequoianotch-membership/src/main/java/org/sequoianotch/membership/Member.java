package org.sequoianotch.membership;

import java.util.List;
import java.util.Objects;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.Instance;
import org.sequoianotch.model.Region;

/**
 * State of one node as known to the group.
 *
 * <p>The node itself owns everything except the state and its time. It raises the change number whenever its instances
 * change, and the incarnation whenever it starts or refutes a suspicion. {@link #merge} is commutative, associative and
 * idempotent for each host, so nodes converge whatever the order in which updates arrive. This type is immutable.
 *
 * @param host the host; not null
 * @param dataCentre the data centre of the host; not null
 * @param region the region of the host; not null
 * @param peerAddress IP address and port of the peer listener, for TCP and UDP; not null
 * @param incarnation wall-clock time of the start of the node, in milliseconds since the Unix epoch; a
 *     refutation sets it to one above the refuted incarnation
 * @param changeNumber number of changes of the instances within the incarnation
 * @param state the state; not null
 * @param stateSinceMs wall-clock time at which the state was declared, in milliseconds since the Unix epoch
 * @param instances the instances of the backend server; not null, may be empty
 * @param configurationRevision highest configuration revision in force on the member, as far as known
 */
public record Member(
        HostId host,
        DataCentre dataCentre,
        Region region,
        String peerAddress,
        long incarnation,
        long changeNumber,
        MemberState state,
        long stateSinceMs,
        List<Instance> instances,
        long configurationRevision) {
    /** Checks the components and copies the list. */
    public Member {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(state, "state");
        instances = List.copyOf(instances);
    }

    /**
     * Merges two versions of the same host. The higher incarnation wins. Within one incarnation, the member's own data
     * is taken from the version with the higher change number, and the state from the version whose state has
     * precedence.
     *
     * @param other the other version; not null, of the same host
     * @return the merged version, never null
     * @throws IllegalArgumentException if the hosts differ
     */
    public Member merge(Member other) {
        if (!host.equals(other.host)) {
            throw new IllegalArgumentException("The member " + other.host + " cannot be merged into " + host);
        }
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation ? this : other;
        }
        Member data = compareData(this, other) >= 0 ? this : other;
        Member status = compareStatus(this, other) >= 0 ? this : other;
        long revision = Math.max(configurationRevision, other.configurationRevision);
        if (data == status && data.configurationRevision == revision) {
            return data;
        }
        return data.withState(status.state, status.stateSinceMs).withConfigurationRevision(revision);
    }

    /**
     * Returns whether this member is newer in some part than the given version.
     *
     * @param otherIncarnation the other incarnation
     * @param otherChangeNumber the other change number
     * @param otherState the other state; not null
     * @return true if merging this into the other version would change it
     */
    boolean hasUpdateFor(long otherIncarnation, long otherChangeNumber, MemberState otherState) {
        if (incarnation != otherIncarnation) {
            return incarnation > otherIncarnation;
        }
        return changeNumber > otherChangeNumber || state.overrides(otherState);
    }

    boolean hasUpdateFor(Member other) {
        return hasUpdateFor(other.incarnation, other.changeNumber, other.state);
    }

    Member withState(MemberState newState, long sinceMs) {
        return new Member(
                host,
                dataCentre,
                region,
                peerAddress,
                incarnation,
                changeNumber,
                newState,
                sinceMs,
                instances,
                configurationRevision);
    }

    Member withConfigurationRevision(long revision) {
        return new Member(
                host,
                dataCentre,
                region,
                peerAddress,
                incarnation,
                changeNumber,
                state,
                stateSinceMs,
                instances,
                revision);
    }

    Member withInstances(List<Instance> newInstances) {
        return new Member(
                host,
                dataCentre,
                region,
                peerAddress,
                incarnation,
                changeNumber + 1,
                state,
                stateSinceMs,
                newInstances,
                configurationRevision);
    }

    Member withIncarnation(long newIncarnation, long sinceMs) {
        return new Member(
                host,
                dataCentre,
                region,
                peerAddress,
                newIncarnation,
                changeNumber,
                MemberState.ALIVE,
                sinceMs,
                instances,
                configurationRevision);
    }

    private static int compareData(Member left, Member right) {
        int byChange = Long.compare(left.changeNumber, right.changeNumber);
        if (byChange != 0) {
            return byChange;
        }
        // Two processes that start with one host id in the same millisecond can have equal versions of different data.
        return left.dataSortKey().compareTo(right.dataSortKey());
    }

    private static int compareStatus(Member left, Member right) {
        int byState = left.state.compareTo(right.state);
        // Several members may declare the same failure; all nodes keep the earliest time.
        return byState != 0 ? byState : Long.compare(right.stateSinceMs, left.stateSinceMs);
    }

    private String dataSortKey() {
        return dataCentre + " " + region + " " + peerAddress + " " + instances;
    }
}
