package org.sequoianotch.policy.admission;

import org.sequoianotch.model.LoadReport;

/** Admission of calls to one instance. Implementations are thread-safe. */
public interface AdmissionControl {
    /**
     * Puts a call into admission without blocking.
     *
     * @param request the call; not null
     * @return its ticket, never null
     */
    AdmissionTicket submit(AdmissionRequest request);

    /**
     * Returns the load of the instance as it is now.
     *
     * @return the load, never null
     */
    LoadReport load();
}
