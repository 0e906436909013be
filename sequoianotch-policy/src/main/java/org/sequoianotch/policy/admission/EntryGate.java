package org.sequoianotch.policy.admission;

import java.util.List;
import java.util.Optional;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.Instance;
import org.sequoianotch.model.LoadReport;

/**
 * Admission at the entry node, based on the load that the nodes of the callees reported. Implementations are
 * thread-safe.
 */
public interface EntryGate {
    /**
     * Records a load report that was received with a response or a refusal.
     *
     * @param host the host of the instance; not null
     * @param load the load; not null
     */
    void observe(HostId host, LoadReport load);

    /**
     * Decides whether a call may be sent.
     *
     * @param criticality importance of the request; not null
     * @param instances the instances that could serve the call; not null
     * @return empty if the call may be sent, otherwise the refusal
     */
    Optional<Failure> check(Criticality criticality, List<Instance> instances);
}
