package org.sequoianotch.policy.admission;

import java.util.List;
import java.util.Optional;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.Instance;
import org.sequoianotch.model.LoadReport;

/**
 * Admission at the entry node, by the load that the callees' nodes reported. Implementations are thread-safe.
 */
public interface EntryGate {
    /**
     * Takes in a load report that came back with an answer or a refusal.
     *
     * @param host the host of the instance; not null
     * @param load the load; not null
     */
    void observe(HostId host, LoadReport load);

    /**
     * Decides whether a call may be sent at all.
     *
     * @param criticality how much the request matters; not null
     * @param instances the instances that could serve the call; not null
     * @return empty if it may, or the refusal
     */
    Optional<Failure> check(Criticality criticality, List<Instance> instances);
}
