package org.sequoianotch.policy.naive;

import java.util.List;
import java.util.Optional;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.Instance;
import org.sequoianotch.model.LoadReport;
import org.sequoianotch.policy.admission.EntryGate;

/** Entry gate that admits every call. This class is stateless and thread-safe. */
public final class NaiveEntryGate implements EntryGate {
    /** Creates the gate. */
    public NaiveEntryGate() {}

    @Override
    public void observe(HostId host, LoadReport load) {
        // The load is ignored.
    }

    @Override
    public Optional<Failure> check(Criticality criticality, List<Instance> instances) {
        return Optional.empty();
    }
}
