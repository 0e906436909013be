package org.sequoianotch.membership;

import java.util.List;

/** Receives changes of the membership. Calls are made one at a time; implementations must return quickly. */
@FunctionalInterface
public interface MembershipListener {
    /**
     * Reports changes.
     *
     * @param view the view after the changes; not null
     * @param changed the new versions of the members that changed; not null, may be empty if only the highest known
     *     configuration revision changed
     */
    void membershipChanged(MembershipView view, List<Member> changed);
}
