package org.sequoianotch.policy.admission;

import org.sequoianotch.model.LoadReport;

/** Admission control for the calls to one instance. Implementations are thread-safe. */
public interface AdmissionControl {
    /**
     * Submits a call for admission without blocking.
     *
     * @param request the call; not null
     * @return the pending admission, which delivers the decision; never null
     */
    PendingAdmission submit(AdmissionRequest request);

    /**
     * Returns the current load of the instance.
     *
     * @return the load, never null
     */
    LoadReport load();
}
