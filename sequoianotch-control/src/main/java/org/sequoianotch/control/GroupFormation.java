package org.sequoianotch.control;

import java.util.List;
import org.sequoianotch.control.group.GroupSettings;
import org.sequoianotch.control.group.MemberChangePolicy;

/**
 * How a control group is formed, and how its members change without an operator.
 *
 * <p>This type is immutable.
 *
 * @param founderAddresses peer addresses of the initial members, the one that forms the group first; not empty
 * @param formationAllowed whether a host with an empty data folder may form a group; false once the deployment has had
 *     one, so that a host that lost its disk does not form a second group
 * @param removeUnresponsiveAfterMs time without a reply after which a member is removed, in milliseconds; zero for
 *     never
 * @param minVoters minimum number of voters that automatic removals leave; positive
 * @param maxVoters maximum number of voters; further control hosts serve without a vote; at least {@code minVoters}
 * @param discardsCorruptFolder whether the files of a corrupt data folder are removed, so that the host rejoins under a
 *     new identity
 */
public record GroupFormation(
        List<String> founderAddresses,
        boolean formationAllowed,
        long removeUnresponsiveAfterMs,
        int minVoters,
        int maxVoters,
        boolean discardsCorruptFolder) {
    /** Nine members tolerate four failures; with more, every change has to wait for more replies. */
    private static final int DEFAULT_MAX_VOTERS = 9;

    /** Checks the components and copies the addresses. */
    public GroupFormation {
        founderAddresses = List.copyOf(founderAddresses);
        if (founderAddresses.isEmpty()) {
            throw new IllegalArgumentException("founderAddresses is empty, but must contain at least one address");
        }
        if (removeUnresponsiveAfterMs < 0 || minVoters < 1 || maxVoters < minVoters) {
            throw new IllegalArgumentException("removeUnresponsiveAfterMs is " + removeUnresponsiveAfterMs
                    + ", minVoters is " + minVoters + " and maxVoters is " + maxVoters
                    + ", but must be at least 0, at least 1 and at least minVoters");
        }
    }

    /**
     * Returns whether the group discovers its hosts and changes its members without an operator.
     *
     * @return false if the hosts are named in the settings
     */
    boolean isOpen() {
        return removeUnresponsiveAfterMs > 0;
    }

    /**
     * Returns the policy of membership changes.
     *
     * @param settings time limits of the group; not null
     * @return the policy, never null
     */
    MemberChangePolicy memberChangePolicy(GroupSettings settings) {
        // Until then an election may have delayed the replies of a voter that is in contact.
        long goneAfterMs = 2 * settings.electionTimeoutMs();
        return new MemberChangePolicy(goneAfterMs, removeUnresponsiveAfterMs, minVoters, maxVoters);
    }

    /**
     * Creates the formation of a group whose members are named in the settings and changed by operators only.
     *
     * @param founderAddresses peer addresses of all members, the one that forms the group first; not empty
     * @return the formation, never null
     */
    public static GroupFormation fixed(List<String> founderAddresses) {
        return new GroupFormation(founderAddresses, true, 0, 1, DEFAULT_MAX_VOTERS, false);
    }

    /**
     * Creates the formation of a group that starts with the founders, admits further control hosts as they are
     * discovered, and removes unresponsive members.
     *
     * @param founderAddresses peer addresses of the founders in any order; not empty
     * @param formationAllowed whether this host may form the group
     * @param removeUnresponsiveAfterMs time without a reply after which a member is removed, in milliseconds; positive
     * @param minVoters minimum number of voters, which is 2f + 1 to tolerate f failures; positive
     * @return the formation, never null
     */
    public static GroupFormation open(
            List<String> founderAddresses, boolean formationAllowed, long removeUnresponsiveAfterMs, int minVoters) {
        return new GroupFormation(
                founderAddresses.stream().sorted().toList(),
                formationAllowed,
                removeUnresponsiveAfterMs,
                minVoters,
                Math.max(minVoters, DEFAULT_MAX_VOTERS),
                true);
    }
}
